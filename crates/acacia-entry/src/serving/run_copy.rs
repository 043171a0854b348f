//! Going on with a stream from a copy of its memory.
//!
//! Which streams are copied, and to which engine, is decided in the library
//! ([`place_copy`](acaciabay::ops::place_copy)).

use std::sync::Arc;

use acacia_runtime::clock::boot_now;
use acacia_runtime::event;

use super::attempt::AttemptOutcome;
use super::choice::ChosenEndpoint;
use super::codec::AttemptRole;
use super::stream_call::{OpenStream, StreamRun};

impl StreamRun {
    /// Lets the engine that keeps a copy of the run go on with it after an event.
    ///
    /// The platform has taken the first engine back, or it has died. The caller of a stream that may not be run again would
    /// see it break off; going on from the copy is the same run, and what the copy lacks is read again. Before the first
    /// event there may be no copy yet, and another engine would run the call a second time.
    pub(super) async fn go_on_from(&mut self, keeper: Option<ChosenEndpoint>, after: u64) -> Option<OpenStream> {
        let keeper = keeper?;
        let (shared, now) = (Arc::clone(&self.call.shared), boot_now());
        let ready = shared.still_ready(now, &self.call.service, &keeper.name);
        let hindrance = if now >= self.call.until {
            Some("the time is over")
        } else if ready.is_none() {
            Some("its keeper takes no calls")
        } else if !shared.spend_send(now, &self.call.service) {
            Some("no second send left")
        } else {
            None
        };
        if let Some(reason) = hindrance {
            slog::info!(shared.log, "copy not used"; "event" => event::ATTEMPT_FAILED,
                "request" => &self.call.head.request, "endpoint" => keeper.name.as_str(), "reason" => reason);
            return None;
        }
        let keeper = ready?;
        let guard = shared.begin_work(&keeper.name, self.maker_work());
        let next = shared.choose_keeper(now, &self.call, &keeper);
        let request = self.call.head.request.clone();
        let role = AttemptRole::GoOnFromCopy { request: &request };
        let AttemptOutcome::Answered(reply) = self.send_to(&keeper, role, Some(after), next.as_ref()).await else {
            return None;
        };
        let (parts, incoming) = reply.response.into_parts();
        slog::info!(shared.log, "stream goes on from a copy"; "event" => event::STREAM_RESUMED, "request" => request,
            "endpoint" => keeper.name.as_str(), "after" => after, "status" => parts.status.as_u16());
        metrics::counter!("acacia_streams_resumed_from_copies_total").increment(1);
        parts.status.is_success().then_some(OpenStream {
            endpoint: keeper.name,
            status: parts.status,
            headers: parts.headers,
            incoming,
            connection: reply.connection,
            guard,
            keeper: next,
        })
    }
}
