//! An attempt to have an engine decode a call, until its answer begins.

use std::sync::{Arc, OnceLock};

use acacia_runtime::clock::boot_now;
use acaciabay::core::clock::BootTime;
use acaciabay::core::serving::endpoint_activity::EndpointActivity;
use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use hyper::HeaderMap;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;

use super::answer_source::AnswerSource;
use super::attempt::{AttemptOutcome, AttemptTimeouts, EndpointReply, GiveUpReason, KeptConnection, send};
use super::call::AcceptedCall;
use super::codec::AttemptRole;
use super::endpoint_choice::ChosenEndpoint;
use super::plain_body::PlainStream;
use super::prefill::PrefilledPrompt;
use super::prompt_queue::PromptPass;
use super::retry_permits::RetryPermit;
use super::shared::LoadGuard;

/// Media type of event streams.
const EVENT_STREAM_TYPE: &str = "text/event-stream";

/// What an attempt needs before it is sent.
#[derive(Debug)]
pub(super) struct PreparedAttempt {
    pub(super) chosen: ChosenEndpoint,
    pub(super) prefilled: Option<PrefilledPrompt>,
    /// Pass of a prompt that the engine prefills itself. It ends with the preparation, when the answer has begun.
    pub(super) pass: Option<PromptPass>,
    /// Permit of an attempt after one that arrived.
    pub(super) retry: Option<RetryPermit>,
    pub(super) guard: LoadGuard,
}

/// How an attempt has ended, with what is left of its preparation.
#[derive(Debug)]
pub(super) struct OpeningEnd {
    pub(super) outcome: AttemptOutcome,
    pub(super) prepared: PreparedAttempt,
}

/// Attempt that was sent and whose answer has not begun. It owns all that it needs, so that a call can wait for two of them.
pub(super) struct StreamOpening {
    pub(super) chosen: ChosenEndpoint,
    pub(super) sent_at: BootTime,
    /// Completes when the answer begins, the attempt fails or the deadline of the call passes.
    pub(super) ending: BoxFuture<'static, OpeningEnd>,
    given_up: Arc<OnceLock<GiveUpReason>>,
}

impl StreamOpening {
    /// Sends a call to the engine that was prepared for it.
    pub(super) fn send(call: &Arc<AcceptedCall>, prepared: PreparedAttempt, resume_after: Option<u64>) -> Self {
        let sent_at = boot_now();
        let given_up = Arc::new(OnceLock::new());
        let timeouts = AttemptTimeouts {
            suspect_after: call.shared.state().suspicion_timeout(&call.service),
            give_up_after: call.deadline.since(sent_at),
            given_up: Arc::clone(&given_up),
        };
        let chosen = prepared.chosen.clone();
        let call = Arc::clone(call);
        let ending = async move {
            let role = prepared
                .prefilled
                .as_ref()
                .map_or(AttemptRole::Whole, |prefilled| AttemptRole::MakeTokens {
                    reader: prefilled.engine.endpoint.address,
                    handle: &prefilled.handle,
                });
            let retry = prepared.retry.as_ref();
            let outcome = send(&call, &prepared.chosen, (role, retry), resume_after, timeouts).await;
            if matches!(outcome, AttemptOutcome::Answered(_)) {
                let took = boot_now().since(sent_at);
                call.shared.state().record_first_answer(&call.service, took);
            }
            OpeningEnd { outcome, prepared }
        };
        Self {
            chosen,
            sent_at,
            ending: ending.boxed(),
            given_up,
        }
    }

    /// Gives the attempt up; its connection closes, which cancels the call at the engine.
    pub(super) fn give_up(self, reason: GiveUpReason) {
        // Nobody else gives this attempt up.
        let _first = self.given_up.set(reason);
    }
}

/// Answer of the engine that decodes a call, with the load that the call puts on the engine.
#[derive(Debug)]
pub(super) struct OpenStream {
    pub(super) source: AnswerSource,
    pub(super) headers: HeaderMap,
    pub(super) incoming: Incoming,
    pub(super) connection: KeptConnection,
    pub(super) guard: LoadGuard,
    /// When the engine last wrote something to this entry.
    pub(super) activity: Arc<EndpointActivity>,
}

impl OpenStream {
    /// Returns the answer that has begun, with what was prepared for it.
    pub(super) fn new(call: &AcceptedCall, prepared: PreparedAttempt, reply: EndpointReply) -> Self {
        let PreparedAttempt {
            chosen,
            mut prefilled,
            pass,
            guard,
            retry: _,
        } = prepared;
        drop(pass);
        if let Some(prefilled) = &mut prefilled {
            prefilled.mark_taken();
        }
        let activity = call.shared.state().loads.activity(&chosen.name);
        let (parts, incoming) = reply.response.into_parts();
        Self {
            source: AnswerSource {
                chosen,
                status: parts.status,
                framing: reply.framing,
                sent_at: reply.sent_at,
            },
            headers: parts.headers,
            incoming,
            connection: reply.connection,
            guard,
            activity,
        }
    }

    /// Returns true if the answer consists of events. A failure may have any body, which would look like half an event.
    pub(super) fn has_events(&self) -> bool {
        let kind = self.headers.get(CONTENT_TYPE).and_then(|kind| kind.to_str().ok());
        let is_other = kind.is_some_and(|kind| !kind.trim_start().starts_with(EVENT_STREAM_TYPE));
        self.source.status.is_success() && !is_other
    }

    /// Turns the answer into one that is passed on as it is.
    pub(super) fn into_plain(self, call: Arc<AcceptedCall>) -> PlainStream {
        PlainStream {
            call,
            source: self.source,
            start: Bytes::new(),
            incoming: self.incoming,
            connection: self.connection,
            guard: self.guard,
        }
    }
}
