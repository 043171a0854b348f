//! Decision between prefill on the decode engine and prefill on a separate engine.
//!
//! A decode engine prefills at half the speed of a prefill engine, and all its streams wait meanwhile. So long prompts
//! are prefilled on a separate engine. A short prompt is prefilled on the decode engine: this takes less time than the
//! round trip to a prefill engine and the copy of the KV cache, and the prompt does not queue behind long ones in a
//! burst.

use crate::core::serving::prompt::PromptShape;

/// Ratio of the prefill time on a decode engine to that on a prefill engine.
const DECODER_PREFILL_FACTOR: f64 = 2.0;
/// Overhead of a separate prefill engine beside the prefill itself, in milliseconds: the round trip, a step of the
/// engine and the copy. The streams of a decode engine tolerate a pause of this length for one prompt.
const SEPARATE_PREFILL_OVERHEAD_MS: f64 = 4.0;

/// Returns `true` if the decode engine should also prefill the prompt.
///
/// `prefill_ms_per_token` is the time that a prefill engine takes per prompt token, in milliseconds. It is `None`
/// before the first measurement, and the result is then `false`.
pub fn is_prefilled_by_decoder(prompt: &PromptShape, prefill_ms_per_token: Option<f64>) -> bool {
    prefill_ms_per_token.is_some_and(|ms_per_token| {
        DECODER_PREFILL_FACTOR * ms_per_token * prompt.prompt_tokens as f64 <= SEPARATE_PREFILL_OVERHEAD_MS
    })
}
