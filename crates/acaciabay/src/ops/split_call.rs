//! Decision between prefill on the decode engine and prefill on a separate engine.
//!
//! A decode engine prefills at half the speed of a prefill engine, and all its streams wait meanwhile. But a short
//! prompt takes it less time than the round trip to a prefill engine and the copy of the prompt's memory, and on a
//! prefill engine it would queue behind long prompts in every burst.

use crate::core::serving::prompt::PromptShape;

/// Ratio of the prefill time on a decode engine to that on a prefill engine.
const DECODER_PREFILL_FACTOR: f64 = 2.0;
/// Overhead of a separate prefill engine beside the prefill itself, in milliseconds: the round trip, a step of the
/// engine and the copy. The streams of a decode engine tolerate a pause of this length for one prompt.
const SEPARATE_PREFILL_OVERHEAD_MS: f64 = 4.0;

/// Returns `true` if the decode engine should also prefill the prompt.
///
/// `pace` is the time in milliseconds that a prefill engine takes per prompt token, or `None` until it was measured.
pub fn is_prefilled_by_decoder(prompt: &PromptShape, prefill_ms_per_token: Option<f64>) -> bool {
    prefill_ms_per_token.is_some_and(|ms_per_token| {
        DECODER_PREFILL_FACTOR * ms_per_token * prompt.prompt_tokens as f64 <= SEPARATE_PREFILL_OVERHEAD_MS
    })
}
