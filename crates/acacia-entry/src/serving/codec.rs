//! Translation between the wire format of calls and the entry's own types.
//!
//! The entry does not depend on a wire format: an adapter implements [`CallCodec`].

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use acacia_http::ResponseBody;
use acaciabay::core::endpoint_rest::RestRequest;
use acaciabay::core::name::{CustomerName, EndpointName};
use acaciabay::core::serving::config::{ConfigFinding, ServingConfig};
use acaciabay::core::serving::endpoint_limit::LimitNotice;
use acaciabay::core::serving::endpoint_registry::EndpointIncarnation;
use acaciabay::core::serving::load_report::LoadNotice;
use acaciabay::core::serving::prompt::PromptShape;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};

use super::refusal::CallRefusal;

/// Contents of a caller's request head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallHead {
    /// Identifier of the request. A caller that repeats a call sends a different one.
    pub request: String,
    /// Host name that the caller addressed.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// API key of the caller.
    pub key: Option<String>,
    /// Time for which the caller waits for the answer.
    pub timeout: Option<Duration>,
    /// Shape of the prompt, if the call is for a model.
    pub prompt: Option<PromptShape>,
    /// Identifier of the last event that the caller has received, if it resumes a stream.
    pub resume_after: Option<u64>,
    /// Attempt that brought the first event, if the caller takes up a stream.
    pub earlier_attempt: EarlierAttempt,
}

impl CallHead {
    /// Returns true if the caller takes up a stream of which it has received events.
    pub fn takes_up_stream(&self) -> bool {
        self.resume_after.is_some() || self.earlier_attempt != EarlierAttempt::Unnamed
    }
}

/// Attempt that brought the first event of a stream, as the caller names it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum EarlierAttempt {
    /// The caller names none.
    #[default]
    Unnamed,
    /// The attempt with this identifier.
    Named(String),
    /// What the caller names is no identifier, or there are several.
    Unclear,
}

/// Reason for which a request head is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// The named field is missing or malformed.
    Malformed(&'static str),
    /// The head is larger than callers may send.
    TooLarge,
}

/// Part of a call that an endpoint is asked to execute in one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptRole<'call> {
    /// The whole call.
    Whole,
    /// Prefill of the prompt. The endpoint keeps the result for another endpoint.
    ReadPrompt {
        /// Address of an engine that has probably cached parts of the prompt, from which they can be copied.
        copy_from: Option<SocketAddr>,
    },
    /// Decoding of a prompt that another endpoint has prefilled.
    MakeTokens {
        /// Address of the engine that prefilled the prompt.
        reader: SocketAddr,
        /// Handle of the prefilled prompt on that engine.
        handle: &'call str,
    },
}

/// Data that the entry adds to the caller's request head for one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHead<'call> {
    /// Name of the intended endpoint. If the address now belongs to another endpoint, that one refuses the call.
    pub endpoint: &'call EndpointName,
    /// Customer to whom the caller's key belongs.
    pub customer: Option<&'call CustomerName>,
    /// Time that the endpoint has left for the call.
    pub time_left: Duration,
    /// Part of the call that the endpoint is to execute.
    pub role: AttemptRole<'call>,
    /// Identifier of the last event that the caller has received, if the stream is resumed.
    pub resume_after: Option<u64>,
    /// Priority of the call; 0 is the highest.
    pub priority: u8,
}

/// Contents of the head of an endpoint's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// Identifier of the answered request, if the endpoint sent it.
    pub request: Option<String>,
    /// True if the endpoint states that it has not run the request and never will.
    pub not_run: bool,
    /// Time for which the endpoint keeps the connection open, if it sent one.
    pub keep_alive: Option<Duration>,
    /// Rate limit that the endpoint names.
    pub limit: LimitNotice,
    /// Load that the endpoint states.
    pub load: LoadNotice,
    /// Rest that the endpoint asks for, or its departure.
    pub rest: RestRequest,
}

/// Translator between HTTP messages and the entry's types.
pub trait CallCodec: fmt::Debug + Send + Sync + 'static {
    /// Reads a caller's request head.
    ///
    /// # Errors
    ///
    /// Fails if the head is malformed or larger than `max_head_bytes` bytes.
    fn read_head(&self, parts: &Parts, max_head_bytes: usize) -> Result<CallHead, HeadError>;
    /// Writes the request head of an attempt: the caller's head, in which the headers reserved for the entry are
    /// replaced by its own.
    fn write_attempt_head(&self, parts: &Parts, attempt: &AttemptHead<'_>) -> Request<()>;
    /// Reads the head of an endpoint's answer.
    fn read_answer_head(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;
    /// Returns the headers of an answer without those that concern only the connection to the endpoint.
    fn filter_answer_headers(&self, headers: &HeaderMap) -> HeaderMap;
    /// Reads the handle of the prefilled prompt from the body of an answer to [`AttemptRole::ReadPrompt`].
    fn read_prompt_handle(&self, body: &[u8]) -> Option<String>;
    /// Returns the method and path of the request that frees an unused handle.
    fn free_handle_request(&self, handle: &str) -> (Method, String);
    /// Returns the method and path of the request by which an endpoint says what it is.
    fn status_request(&self) -> (Method, &'static str);
    /// Reads from the answer when the endpoint started, if it says so.
    fn read_incarnation(&self, body: &[u8]) -> Option<EndpointIncarnation>;
    /// Writes the response to a refused call. `request` is the identifier of the request, if it could be read.
    fn write_refusal(&self, request: Option<&str>, refusal: &CallRefusal) -> Response<ResponseBody>;
    /// Parses a configuration document.
    ///
    /// # Errors
    ///
    /// Fails with all findings that make the document invalid.
    fn read_config(&self, document: &[u8]) -> Result<ServingConfig, Vec<ConfigFinding>>;
}
