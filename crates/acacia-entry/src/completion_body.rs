//! The completion request as callers send it, and the answers in the form that they expect.

use std::time::{SystemTime, UNIX_EPOCH};

use acaciabay::core::fair_queue::RequestCost;
use acaciabay::core::usage::UsageFigures;
use bytes::Bytes;
use serde_json::{Map, Value, json};

use crate::refusal::CallerRefusal;

/// Which of the two completion interfaces a request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CompletionForm {
    Text,
    Chat,
}

/// A checked completion request.
#[derive(Clone, Debug)]
pub(crate) struct CompletionBody {
    pub(crate) form: CompletionForm,
    pub(crate) model: String,
    pub(crate) stream: bool,
    pub(crate) wants_usage: bool,
    /// What the request is expected to cost.
    pub(crate) cost: RequestCost,
    /// How many tokens it is expected to generate.
    pub(crate) output_tokens: u64,
    /// The start of the prompt, by which engines that may have cached it are preferred.
    pub(crate) prefix: Vec<u8>,
    fields: Map<String, Value>,
}

/// Bytes of a prompt that make a token, for estimates; engines count exactly.
const BYTES_PER_TOKEN: u64 = 5;
/// Tokens that a request without `max_tokens` is expected to generate.
const USUAL_TOKENS: u64 = 256;
/// The most tokens that a request may ask for.
const MOST_TOKENS: u64 = 1_000_000;
/// How much of a prompt's start decides where it goes. It covers the system prompt of usual requests.
const PREFIX_BYTES: usize = 1_024;

impl CompletionBody {
    /// Checks a caller's body.
    pub(crate) fn parse(form: CompletionForm, body: &[u8]) -> Result<Self, CallerRefusal> {
        let value: Value = serde_json::from_slice(body)
            .map_err(|error| CallerRefusal::bad_request("bad_json", format!("body is not JSON: {error}")))?;
        let Value::Object(fields) = value else {
            return Err(CallerRefusal::bad_request("bad_json", "/: expected an object"));
        };
        let model = text_field(&fields, "model")?;
        let prompt = match form {
            CompletionForm::Text => text_field(&fields, "prompt")?,
            CompletionForm::Chat => chat_prompt(&fields)?,
        };
        if fields.get("n").is_some_and(|n| n != 1) {
            return Err(CallerRefusal::bad_request("unsupported", "/n: only 1 is supported"));
        }
        let max_tokens = check_max_tokens(&fields)?;
        let wants_usage = fields
            .get("stream_options")
            .and_then(|options| options.get("include_usage"));
        let output_tokens = max_tokens.unwrap_or(USUAL_TOKENS);
        let prompt_tokens = prompt.len() as u64 / BYTES_PER_TOKEN + 1;
        Ok(Self {
            form,
            model,
            cost: RequestCost::of(prompt_tokens, output_tokens),
            output_tokens,
            stream: flag_field(&fields, "stream")?,
            wants_usage: wants_usage.and_then(Value::as_bool).unwrap_or(false),
            prefix: prompt.into_bytes().into_iter().take(PREFIX_BYTES).collect(),
            fields,
        })
    }

    /// Returns the path of the same interface at an endpoint.
    pub(crate) const fn endpoint_path(&self) -> &'static str {
        match self.form {
            CompletionForm::Text => "/v1/completions",
            CompletionForm::Chat => "/v1/chat/completions",
        }
    }

    /// Returns the body for an endpoint: always streamed, with usage, and from `offset` where `text` is known already.
    pub(crate) fn endpoint_body(&self, offset: u64, text: &str) -> Bytes {
        let mut fields = self.fields.clone();
        fields.insert("stream".to_owned(), json!(true));
        fields.insert("stream_options".to_owned(), json!({"include_usage": true}));
        if offset > 0 {
            fields.insert("resume".to_owned(), json!({"offset": offset, "text": text}));
        }
        Bytes::from(Value::Object(fields).to_string())
    }

    /// Returns one chunk of a streamed answer.
    pub(crate) fn chunk(&self, id: &str, text: &str, finish: Option<&str>) -> Value {
        let choice = match self.form {
            CompletionForm::Text => json!({"index": 0, "text": text, "finish_reason": finish}),
            CompletionForm::Chat => json!({"index": 0, "delta": {"content": text}, "finish_reason": finish}),
        };
        let object = match self.form {
            CompletionForm::Text => "text_completion",
            CompletionForm::Chat => "chat.completion.chunk",
        };
        json!({"id": id, "object": object, "created": unix_now(), "model": self.model, "choices": [choice]})
    }

    /// Returns the last chunk of a streamed answer, with its usage.
    pub(crate) fn usage_chunk(&self, id: &str, usage: &UsageFigures) -> Value {
        let mut chunk = self.chunk(id, "", None);
        chunk["choices"] = json!([]);
        chunk["usage"] = usage_json(usage);
        chunk
    }

    /// Returns a whole answer.
    pub(crate) fn whole(&self, id: &str, text: &str, finish: &str, usage: &UsageFigures) -> Value {
        let (object, choice) = match self.form {
            CompletionForm::Text => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": finish}),
            ),
            CompletionForm::Chat => {
                let message = json!({"role": "assistant", "content": text});
                (
                    "chat.completion",
                    json!({"index": 0, "message": message, "finish_reason": finish}),
                )
            }
        };
        json!({
            "id": id,
            "object": object,
            "created": unix_now(),
            "model": self.model,
            "choices": [choice],
            "usage": usage_json(usage),
        })
    }
}

fn usage_json(usage: &UsageFigures) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.output_tokens,
        "total_tokens": usage.prompt_tokens + usage.output_tokens,
    })
}

fn text_field(fields: &Map<String, Value>, name: &'static str) -> Result<String, CallerRefusal> {
    match fields.get(name) {
        Some(Value::String(text)) => Ok(text.clone()),
        Some(_) => Err(CallerRefusal::bad_request(
            "bad_field",
            format!("/{name}: expected a string"),
        )),
        None => Err(CallerRefusal::bad_request("bad_field", format!("/{name}: missing"))),
    }
}

fn flag_field(fields: &Map<String, Value>, name: &'static str) -> Result<bool, CallerRefusal> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(CallerRefusal::bad_request(
            "bad_field",
            format!("/{name}: expected true or false"),
        )),
    }
}

fn check_max_tokens(fields: &Map<String, Value>) -> Result<Option<u64>, CallerRefusal> {
    match fields.get("max_tokens") {
        None | Some(Value::Null) => Ok(None),
        Some(value) => {
            let tokens = value.as_u64().filter(|tokens| (1..=MOST_TOKENS).contains(tokens));
            let message = format!("/max_tokens: expected a whole number from 1 to {MOST_TOKENS}");
            tokens
                .map(Some)
                .ok_or_else(|| CallerRefusal::bad_request("bad_field", message))
        }
    }
}

fn chat_prompt(fields: &Map<String, Value>) -> Result<String, CallerRefusal> {
    let Some(Value::Array(messages)) = fields.get("messages") else {
        return Err(CallerRefusal::bad_request("bad_field", "/messages: expected a list"));
    };
    if messages.is_empty() {
        return Err(CallerRefusal::bad_request(
            "bad_field",
            "/messages: expected at least one message",
        ));
    }
    let mut prompt = Vec::new();
    for (index, message) in messages.iter().enumerate() {
        let Some(content) = message.get("content").and_then(Value::as_str) else {
            let place = format!("/messages/{index}/content: expected a string");
            return Err(CallerRefusal::bad_request("bad_field", place));
        };
        prompt.push(content);
    }
    Ok(prompt.join("\n"))
}

fn unix_now() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_secs())
}
