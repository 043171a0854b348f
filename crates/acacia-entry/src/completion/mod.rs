//! Runs a completion: attempts at engines, resumed where one fails, streamed or collected for the caller.

mod attempt;

use std::sync::Arc;
use std::time::Duration;

use acacia_http::json_response;
use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acaciabay::core::attempt::{AttemptState, ExecutionStatus};
use acaciabay::core::clock::BootTime;
use acaciabay::core::endpoint::EndpointRow;
use acaciabay::core::name::EndpointName;
use acaciabay::core::serving::call_fingerprint::CallContent;
use acaciabay::core::serving::software_version::StreamVersion;
use acaciabay::core::table::{PoolKind, RouteTarget};
use acaciabay::core::usage::UsageFigures;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};

use self::attempt::{AnswerBeginner, OpenAttempt};
use crate::admission::AdmissionPermit;
use crate::caller_http::CallerAnswer;
use crate::caller_request::{CallerIdentity, CallerRoute, admit, find_route, read_caller_body, time_left};
use crate::completion_body::{CompletionBody, CompletionForm};
use crate::completion_stream::stream_answer;
use crate::endpoint_stream::{StreamFault, StreamPiece, TokenPiece};
use crate::refusal::CallerRefusal;
use crate::shared::Entry;
use crate::suspect_calls::{CallTrial, LazyFingerprint, SentAttempt, TrackedCall};

/// Most attempts of one request, the first one included.
const MOST_ATTEMPTS: u32 = 5;
/// How long an engine may take to the first token before another attempt is made. A long prompt takes seconds on a busy
/// engine; silence beyond this may be a lost connection.
const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(10);
/// How long an engine may pause between tokens before another attempt is made; the target is 30 ms, so this is silence, not
/// slowness.
const NEXT_TOKEN_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for the end of an answer to come after its last piece. Later, its connection is closed instead of being used again.
const FINISH_TIMEOUT: Duration = Duration::from_secs(1);

pub(crate) async fn complete(
    entry: &Arc<Entry>,
    caller: CallerIdentity,
    request: Request<Incoming>,
    form: CompletionForm,
) -> CallerAnswer {
    let bytes = read_caller_body(entry, request.into_body()).await?;
    let body = CompletionBody::parse(form, &bytes)?;
    let route = find_route(entry, &caller, RouteTarget::Model(body.model.as_str().into()))?;
    match route.pool.kind {
        PoolKind::Engine => {}
        PoolKind::Repeatable | PoolKind::AtMostOnce => return Err(CallerRefusal::no_route(&body.model)),
    }
    let permit = admit(entry, &caller, &route, body.cost, body.output_tokens).await?;
    let mut run = CompletionRun::new(Arc::clone(entry), caller, route, body, permit);
    run.content = bytes;
    run.trial = entry.suspects.request_trial(&run.tracked()).await;
    // The head of the answer goes out only when there is something to answer with, so that a failure before the first
    // token still gets a status of its own.
    let first = run.next().await?;
    if run.body.stream {
        Ok(stream_answer(run, first))
    } else {
        collect_answer(run, first).await
    }
}

/// What a run yields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RunPiece {
    Token(TokenPiece),
    Finished(UsageFigures),
}

/// What comes of a silent engine while another attempt is made.
enum SilenceEnd {
    /// It goes on.
    GoesOn(Result<StreamPiece, StreamFault>),
    /// No other attempt was answered.
    Kept,
    Replaced(Box<OpenAttempt>),
}

/// One completion on its way through one or more attempts.
#[derive(Debug)]
pub(crate) struct CompletionRun {
    entry: Arc<Entry>,
    caller: CallerIdentity,
    route: CallerRoute,
    pub(crate) body: CompletionBody,
    /// The body as the caller sent it.
    content: Bytes,
    fingerprint: LazyFingerprint,
    /// Permission of the leader, if the request was suspect when it came.
    trial: Option<CallTrial>,
    attempt: Option<OpenAttempt>,
    attempts: u32,
    text: String,
    next_offset: u64,
    finish: Option<String>,
    usage: Option<UsageFigures>,
    tried: Vec<EndpointName>,
    /// What has written the first token.
    begun_by: Option<AnswerBeginner>,
    /// The endpoint whose connection failed in mid-stream; a new connection to it is tried once before others.
    again: Option<EndpointName>,
    /// Whether an endpoint may have run the request.
    maybe_run: bool,
    /// Held until the run ends; it stands for the pieces of memory that the request occupies.
    _permit: AdmissionPermit,
}

impl CompletionRun {
    fn new(
        entry: Arc<Entry>,
        caller: CallerIdentity,
        route: CallerRoute,
        body: CompletionBody,
        permit: AdmissionPermit,
    ) -> Self {
        Self {
            entry,
            caller,
            route,
            body,
            content: Bytes::new(),
            fingerprint: LazyFingerprint::default(),
            trial: None,
            attempt: None,
            attempts: 0,
            text: String::new(),
            next_offset: 0,
            finish: None,
            usage: None,
            tried: Vec::new(),
            begun_by: None,
            again: None,
            maybe_run: false,
            _permit: permit,
        }
    }

    /// Returns the id that the caller sees.
    pub(crate) fn caller_id(&self) -> String {
        format!("cmpl-{}", self.caller.id)
    }

    /// Returns the call as it is recognised when it is sent again.
    fn tracked(&self) -> TrackedCall<'_> {
        TrackedCall {
            content: CallContent {
                method: "POST",
                host: "",
                target: self.body.endpoint_path(),
                customer: Some(&self.caller.customer),
                body: &self.content,
            },
            route: &self.body.model,
            fingerprint: &self.fingerprint,
            parts: &[],
        }
    }

    fn record_break(&self, endpoint: &EndpointName, row: &EndpointRow, sent_at: BootTime) {
        let sent = SentAttempt::to_row(endpoint, row, sent_at);
        self.entry.suspects.record_break(&self.tracked(), sent);
    }

    fn verdict(&self) -> ExecutionStatus {
        let state = if self.next_offset > 0 {
            AttemptState::Started
        } else if self.maybe_run {
            AttemptState::Written
        } else {
            AttemptState::Unsent
        };
        state.execution_status()
    }

    /// Returns the next token, or the usage of the whole answer, through as many attempts as that takes.
    pub(crate) async fn next(&mut self) -> Result<RunPiece, CallerRefusal> {
        loop {
            let left = time_left(boot_now(), self.route.deadline);
            if left.is_zero() {
                return Err(CallerRefusal::deadline_passed(self.verdict()));
            }
            let Some(mut attempt) = self.attempt.take() else {
                self.attempt = Some(self.open_attempt(left).await?);
                continue;
            };
            let read = match tokio::time::timeout(self.patience(left), attempt.stream.next()).await {
                Ok(read) => read,
                Err(_elapsed) => match self.seek_other(&mut attempt, left).await {
                    SilenceEnd::GoesOn(read) => read,
                    SilenceEnd::Kept => {
                        self.attempt = Some(attempt);
                        continue;
                    }
                    SilenceEnd::Replaced(other) => {
                        self.log_failed(&attempt, "silence");
                        self.attempt = Some(*other);
                        continue;
                    }
                },
            };
            match self.take_piece(&attempt, read) {
                Ok(StreamPiece::Token(token)) if token.offset == self.next_offset => {
                    self.note_pace(&mut attempt);
                    self.note_beginner(&attempt);
                    self.attempt = Some(attempt);
                    return Ok(RunPiece::Token(self.take_token(token)));
                }
                // A token that came before, on this attempt or on an earlier one, is never passed on twice.
                Ok(StreamPiece::Token(token)) if token.offset < self.next_offset => self.attempt = Some(attempt),
                Ok(StreamPiece::Token(_)) => self.abandon(&attempt, "gap in the stream"),
                Ok(StreamPiece::Usage(usage)) => {
                    self.usage = Some(usage);
                    self.attempt = Some(attempt);
                }
                Ok(StreamPiece::Done) => match (&self.finish, self.usage) {
                    (Some(_), Some(usage)) => {
                        self.entry.suspects.record_whole_answer(&self.tracked());
                        self.end_attempt(attempt);
                        return Ok(RunPiece::Finished(usage));
                    }
                    _ => self.abandon(&attempt, "stream ended early"),
                },
                Err(reason) => self.abandon(&attempt, &reason),
            }
        }
    }

    fn note_pace(&self, attempt: &mut OpenAttempt) {
        let now = boot_now();
        let gap = now.since(attempt.last_token_at);
        let pool = &self.route.pool.name;
        if attempt.has_begun {
            self.entry.admission.note_gap(pool, gap);
        } else {
            self.entry.admission.note_first(pool, gap);
        }
        attempt.has_begun = true;
        attempt.last_token_at = now;
    }

    fn note_beginner(&mut self, attempt: &OpenAttempt) {
        self.begun_by.get_or_insert_with(|| AnswerBeginner {
            endpoint: attempt.endpoint.clone(),
            incarnation: attempt.row.incarnation,
            version: StreamVersion::begun_by(attempt.row.version.as_ref()),
        });
    }

    fn take_token(&mut self, token: TokenPiece) -> TokenPiece {
        self.next_offset += 1;
        self.text.push_str(&token.text);
        self.finish.clone_from(&token.finish);
        token
    }

    /// Returns the time for which an engine may write nothing before another attempt is made beside it.
    fn patience(&self, left: Duration) -> Duration {
        let patience = if self.next_offset == 0 {
            FIRST_TOKEN_TIMEOUT
        } else {
            NEXT_TOKEN_TIMEOUT
        };
        patience.min(left)
    }

    /// Makes another attempt while the engine of this one is silent, which may go on meanwhile. It is left only for an attempt
    /// that is answered.
    async fn seek_other(&mut self, attempt: &mut OpenAttempt, left: Duration) -> SilenceEnd {
        if attempt.is_sought {
            self.tried.push(attempt.endpoint.clone());
        } else {
            self.set_next_place(attempt);
        }
        attempt.is_sought = true;
        let opening = tokio::time::timeout(NEXT_TOKEN_TIMEOUT.min(left), self.open_attempt(left));
        tokio::select! {
            biased;
            read = attempt.stream.next() => SilenceEnd::GoesOn(read),
            opened = opening => match opened {
                Ok(Ok(other)) => SilenceEnd::Replaced(Box::new(other)),
                Ok(Err(refusal)) => {
                    slog::info!(self.entry.log, "silent engine kept"; "event" => event::SILENCE_JUDGED,
                        "endpoint" => attempt.endpoint.as_str(), "request" => &self.caller.id,
                        "outcome" => refusal.message);
                    SilenceEnd::Kept
                }
                Err(_elapsed) => SilenceEnd::Kept,
            },
        }
    }

    fn take_piece(&self, attempt: &OpenAttempt, read: Result<StreamPiece, StreamFault>) -> Result<StreamPiece, String> {
        match read {
            Ok(piece) => Ok(piece),
            Err(StreamFault::Crossed) => {
                slog::error!(self.entry.log, "answer belongs to another request"; "event" => event::ANSWER_CROSSED,
                    "endpoint" => attempt.endpoint.as_str(), "request" => &self.caller.id);
                Err("answer belongs to another request".to_owned())
            }
            Err(StreamFault::Malformed) => Err("malformed chunk".to_owned()),
            Err(StreamFault::Broken(reason)) => {
                self.record_break(&attempt.endpoint, &attempt.row, attempt.sent_at);
                Err(reason)
            }
        }
    }

    /// Gives up an attempt, whose connection closes when it is dropped, which cancels the request at the engine.
    fn abandon(&mut self, attempt: &OpenAttempt, reason: &str) {
        self.log_failed(attempt, reason);
        self.set_next_place(attempt);
    }

    fn log_failed(&self, attempt: &OpenAttempt, reason: &str) {
        slog::info!(self.entry.log, "attempt failed"; "event" => event::ATTEMPT_FAILED,
            "endpoint" => attempt.endpoint.as_str(), "request" => &self.caller.id,
            "offset" => self.next_offset, "reason" => reason);
        metrics::counter!("acacia_attempts_failed_total").increment(1);
    }

    /// Notes where the next attempt goes: over a new connection to the same engine first.
    fn set_next_place(&mut self, attempt: &OpenAttempt) {
        if attempt.was_again {
            self.tried.push(attempt.endpoint.clone());
        } else {
            self.again = Some(attempt.endpoint.clone());
        }
    }

    fn end_attempt(&self, attempt: OpenAttempt) {
        self.entry.retries.lock().deposit();
        let entry = Arc::clone(&self.entry);
        tokio::spawn(async move {
            let OpenAttempt {
                stream,
                connection,
                guard,
                ..
            } = attempt;
            drop(guard);
            let finished = tokio::time::timeout(FINISH_TIMEOUT, stream.finish()).await;
            if finished == Ok(true) {
                entry.client.give_back(boot_now(), connection).await;
            }
        });
    }

    /// Commits the usage before the caller learns that the answer is whole.
    pub(crate) async fn bill(&self, usage: UsageFigures) {
        let _span = self.entry.spans.start("usage commit", self.caller.trace);
        self.entry
            .usage
            .record(self.entry.incarnation(), &self.caller.customer, usage)
            .await;
    }

    /// Bills an answer that was cut or cancelled by the tokens that the caller was given.
    pub(crate) async fn bill_partial(&self) {
        if self.next_offset > 0 {
            self.bill(UsageFigures {
                output_tokens: self.next_offset,
                ..UsageFigures::default()
            })
            .await;
        }
    }
}

async fn collect_answer(mut run: CompletionRun, first: RunPiece) -> CallerAnswer {
    let mut piece = first;
    let usage = loop {
        match piece {
            RunPiece::Token(_) => {}
            RunPiece::Finished(usage) => break usage,
        }
        piece = match run.next().await {
            Ok(piece) => piece,
            Err(refusal) => return Err(refusal),
        };
    };
    run.bill(usage).await;
    let finish = run.finish.as_deref().unwrap_or("stop");
    Ok(json_response(
        StatusCode::OK,
        &run.body.whole(&run.caller_id(), &run.text, finish, &usage),
    ))
}
