//! What calls look like to callers and endpoints, as a trait that an adapter implements.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use acacia_http::ResponseBody;
use acaciabay::core::name::{CustomerName, EndpointName};
use acaciabay::core::serving::config::{ConfigFinding, ServingConfig};
use acaciabay::core::serving::prompt::PromptShape;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Response};

use super::refusal::CallRefusal;

/// What a caller's request head says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallHead {
    /// Identifies the request; each send of a caller has another.
    pub request: String,
    /// The host that the caller addresses.
    pub host: String,
    /// The path without its query.
    pub path: String,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// The prompt, where the call is for a model.
    pub prompt: Option<PromptShape>,
    /// The last event that the caller has of this stream.
    pub resume_after: Option<u64>,
}

/// Why a request head cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadFault {
    /// A field is missing or malformed.
    Malformed(&'static str),
    /// The head is larger than callers may send.
    TooLarge,
}

/// What one send is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptRole<'call> {
    /// The whole call.
    Whole,
    /// Only to read the prompt, and to keep it for another endpoint.
    ReadPrompt {
        /// An engine that probably keeps parts of the prompt, to copy them from.
        copy_from: Option<SocketAddr>,
    },
    /// To make the tokens of a prompt that another endpoint has read.
    MakeTokens {
        /// Where the prompt was read.
        reader: SocketAddr,
        /// Under which handle it is kept there.
        handle: &'call str,
    },
}

/// What one send says beside what the caller has said.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHead<'call> {
    /// The endpoint; any other that may have its address by now refuses.
    pub endpoint: &'call EndpointName,
    /// The customer whose key the caller has sent.
    pub customer: Option<&'call CustomerName>,
    /// How long the endpoint may work.
    pub time_left: Duration,
    /// What the send is for.
    pub role: AttemptRole<'call>,
    /// The last event that the caller has, where the stream goes on.
    pub resume_after: Option<u64>,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The request that it answers, as the endpoint says.
    pub request: Option<String>,
    /// Whether the endpoint says that it has not run the request and never will.
    pub not_run: bool,
    /// How long the endpoint keeps the connection, if it says so.
    pub keep_alive: Option<Duration>,
}

/// Translates calls.
pub trait CallCodec: fmt::Debug + Send + Sync + 'static {
    /// Reads a caller's request head.
    ///
    /// # Errors
    ///
    /// Fails when the head cannot be used.
    fn read_head(&self, parts: &Parts, largest_head: usize) -> Result<CallHead, HeadFault>;
    /// Writes the head of a send: the caller's, without what only the system may set, and with what it sets.
    fn attempt_head(&self, parts: &Parts, attempt: &AttemptHead<'_>) -> Request<()>;
    /// Reads the head of an answer.
    fn read_answer(&self, headers: &HeaderMap) -> AnswerHead;
    /// Takes away what concerns only the connection to the endpoint.
    fn caller_headers(&self, headers: &HeaderMap) -> HeaderMap;
    /// Reads the answer to [`AttemptRole::ReadPrompt`]: the handle under which the prompt is kept.
    fn read_prompt_handle(&self, body: &[u8]) -> Option<String>;
    /// Returns the call that frees a handle that is not used.
    fn free_handle(&self, handle: &str) -> (Method, String);
    /// Writes a refusal.
    fn write_refusal(&self, request: Option<&str>, refusal: &CallRefusal) -> Response<ResponseBody>;
    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// Fails with everything that keeps it from being read.
    fn read_config(&self, document: &[u8]) -> Result<ServingConfig, Vec<ConfigFinding>>;
}
