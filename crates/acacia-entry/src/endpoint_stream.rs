//! The stream of tokens that an engine answers with, checked chunk by chunk.

use acaciabay::core::usage::UsageFigures;
use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;

/// The longest line that an engine may send.
const LONGEST_LINE: usize = 1024 * 1024;

/// One piece of an engine's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum StreamPiece {
    /// The token at a place of the answer.
    Token(TokenPiece),
    /// What the whole answer consumed.
    Usage(UsageFigures),
    /// The answer is whole.
    Done,
}

/// One token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TokenPiece {
    pub(crate) offset: u64,
    pub(crate) text: String,
    pub(crate) finish: Option<String>,
}

/// Why a stream cannot be read on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum StreamFault {
    /// The connection broke, or ended before the answer was whole.
    Broken(String),
    /// A chunk was not in the protocol's form.
    Malformed,
    /// A chunk carried the id of another request.
    Crossed,
}

#[derive(Debug, Deserialize)]
struct ChunkBody {
    id: String,
    offset: u64,
    #[serde(default)]
    choices: Vec<ChunkChoice>,
    usage: Option<ChunkUsage>,
}

#[derive(Debug, Deserialize)]
struct ChunkChoice {
    text: Option<String>,
    delta: Option<ChunkDelta>,
    finish_reason: Option<String>,
}

#[derive(Debug, Deserialize)]
struct ChunkDelta {
    #[serde(default)]
    content: String,
}

#[derive(Debug, Deserialize)]
struct ChunkUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
}

/// Reads an engine's stream and checks that every chunk belongs to the request.
#[derive(Debug)]
pub(crate) struct EndpointStream {
    body: Incoming,
    buffer: BytesMut,
    id: String,
}

impl EndpointStream {
    pub(crate) fn new(body: Incoming, id: &str) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
            id: id.to_owned(),
        }
    }

    /// Returns the next piece.
    pub(crate) async fn next(&mut self) -> Result<StreamPiece, StreamFault> {
        loop {
            if let Some(line) = self.take_line()? {
                if let Some(piece) = self.parse_line(&line)? {
                    return Ok(piece);
                }
                continue;
            }
            self.read_more().await?;
        }
    }

    /// Reads to the end of the connection's answer after [`StreamPiece::Done`], so that the connection may be used again.
    pub(crate) async fn finish(mut self) -> bool {
        while let Some(frame) = self.body.frame().await {
            let clean = frame.is_ok_and(|frame| frame.into_data().is_ok_and(|data| data.is_empty()));
            if !clean {
                return false;
            }
        }
        self.buffer.is_empty()
    }

    async fn read_more(&mut self) -> Result<(), StreamFault> {
        match self.body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    self.buffer.extend_from_slice(&data);
                }
                Ok(())
            }
            Some(Err(error)) => Err(StreamFault::Broken(error.to_string())),
            None => Err(StreamFault::Broken("answer ended early".to_owned())),
        }
    }

    fn take_line(&mut self) -> Result<Option<Bytes>, StreamFault> {
        let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') else {
            return if self.buffer.len() > LONGEST_LINE {
                Err(StreamFault::Malformed)
            } else {
                Ok(None)
            };
        };
        let line = self.buffer.split_to(end).freeze();
        self.buffer.advance(1);
        Ok(Some(line))
    }

    fn parse_line(&self, line: &[u8]) -> Result<Option<StreamPiece>, StreamFault> {
        let Some(data) = line.strip_prefix(b"data:") else {
            return Ok(None);
        };
        let data = data.trim_ascii();
        if data == b"[DONE]" {
            return Ok(Some(StreamPiece::Done));
        }
        let chunk: ChunkBody = serde_json::from_slice(data).map_err(|_source| StreamFault::Malformed)?;
        if chunk.id != self.id {
            return Err(StreamFault::Crossed);
        }
        Ok(piece_of(chunk))
    }
}

fn piece_of(chunk: ChunkBody) -> Option<StreamPiece> {
    if let Some(usage) = chunk.usage {
        let figures = UsageFigures {
            prompt_tokens: usage.prompt_tokens,
            output_tokens: usage.completion_tokens,
            calls: 0,
        };
        return Some(StreamPiece::Usage(figures));
    }
    let choice = chunk.choices.into_iter().next()?;
    let text = choice
        .text
        .or_else(|| choice.delta.map(|delta| delta.content))
        .unwrap_or_default();
    Some(StreamPiece::Token(TokenPiece {
        offset: chunk.offset,
        text,
        finish: choice.finish_reason,
    }))
}
