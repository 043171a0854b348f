//! Whether the prompt of a call is read apart from the making of its tokens.
//!
//! Engines that make tokens read at half the speed of those that only read, and everything that they stream waits
//! meanwhile. A short prompt takes them less time than the way to a reader and the copy back; read apart, it would wait
//! behind long ones in every burst.

use crate::core::serving::prompt::PromptShape;

/// How much longer an engine that makes tokens takes to read.
const MAKER_FACTOR: f64 = 2.0;
/// What a call pays for a reader beside the reading itself, in milliseconds: the way there and back, a step of the engine
/// and the copy. A maker's streams can spare as much for one prompt.
const READER_DETOUR_MS: f64 = 4.0;

/// Tells whether the engine that makes the tokens also reads the prompt. `pace` is how many milliseconds a reader takes
/// for a token of a prompt; nothing while that was not measured.
pub fn is_read_by_maker(prompt: &PromptShape, pace: Option<f64>) -> bool {
    pace.is_some_and(|pace| MAKER_FACTOR * pace * prompt.prompt_tokens as f64 <= READER_DETOUR_MS)
}
