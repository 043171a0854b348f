//! What engines can prefill for this entry, from which prompts are admitted (`prompt_queue`).

use std::time::Duration;

use acaciabay::core::clock::BootTime;
use acaciabay::core::name::{EndpointName, ServiceName};
use acaciabay::core::serving::endpoint_load::LoadTable;
use acaciabay::core::serving::endpoint_registry::EngineStage;
use acaciabay::core::serving::prompt::PromptShape;
use acaciabay::core::serving::prompt_room::prefill_credit;
use acaciabay::util::number::bounded_time;

use super::call::AcceptedCall;
use super::endpoint_choice::{DecodeScope, ServiceEngines};
use super::shared::EntryShared;

/// What the engines of a stage can prefill for this entry.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefillCapacity {
    /// Prefill time that may be outstanding.
    pub(super) credit: Duration,
    /// True if one of the engines has nothing to do, as far as this entry knows.
    pub(super) has_idle: bool,
}

/// Expected work of a prefill.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExpectedPrefill {
    pub(super) tokens: u64,
    pub(super) time: Duration,
}

impl EntryShared {
    /// Returns what the engines of a stage can prefill for this entry, or `None` if it has no slice of the service or the
    /// stage no engine.
    pub(super) fn prefill_capacity(
        &self,
        now: BootTime,
        service: &ServiceName,
        prefill_stage: EngineStage,
    ) -> Option<PrefillCapacity> {
        let mut state = self.state();
        let slice = *state.slices.get(service)?;
        let (registry, loads, _) = state.choice_parts();
        let engines = ServiceEngines::new(now, service, registry, loads).that_prefill(prefill_stage);
        let speeds = engines.iter().map(|(name, _)| 1.0 / loads.slowdown(now, name));
        (!engines.is_empty()).then(|| PrefillCapacity {
            credit: prefill_credit(slice, speeds.sum()),
            has_idle: engines.iter().any(|(name, _)| is_idle(loads, name)),
        })
    }

    /// Returns the expected work of prefilling a prompt at the engine that has most of it cached.
    pub(super) fn expected_prefill(
        &self,
        now: BootTime,
        service: &ServiceName,
        prefill_stage: EngineStage,
        prompt: &PromptShape,
    ) -> ExpectedPrefill {
        let mut state = self.state();
        let usual_pace = LoadTable::usual_pace(state.prefill_pace(service));
        let model = state.prefill_model(service).cloned();
        let (registry, loads, _) = state.choice_parts();
        let engines = ServiceEngines::new(now, service, registry, loads).that_prefill(prefill_stage);
        let cached = engines
            .iter()
            .map(|(name, _)| loads.cached_prefix_tokens(name, &prompt.parts));
        let tokens = prompt.prompt_tokens.saturating_sub(cached.max().unwrap_or(0)).max(1);
        let modelled = model.and_then(|model| model.expected_ms(tokens as f64));
        let millis = modelled.unwrap_or(tokens as f64 * usual_pace);
        ExpectedPrefill {
            tokens,
            time: bounded_time(millis / 1_000.0),
        }
    }

    /// Returns true if an engine has no call, as far as this entry knows.
    pub(super) fn is_idle(&self, engine: &EndpointName) -> bool {
        is_idle(&self.state().loads, engine)
    }

    /// Returns the engine that would prefill the prompt of a call now.
    pub(super) fn choose_prefiller(
        &self,
        now: BootTime,
        call: &AcceptedCall,
        prompt: &PromptShape,
        stage: EngineStage,
    ) -> Option<EndpointName> {
        match stage {
            EngineStage::Prefill => {
                let chosen = self.choose_prefill_engine(now, &call.service, (&[], false), prompt, call.request_hash);
                Some(chosen.ok()?.engine.name)
            }
            EngineStage::Decode => {
                let scope = DecodeScope {
                    version: call.stream_version(),
                    tried: &[],
                    drain_window: self.drain_window(),
                    prefers_active: false,
                };
                let tokens = prompt.prompt_tokens + prompt.output_tokens;
                let chosen = self.choose_decode_engine(now, &call.service, &scope, (call.request_hash, tokens), None);
                Some(chosen.ok()?.name)
            }
        }
    }
}

fn is_idle(loads: &LoadTable, name: &EndpointName) -> bool {
    loads.work(name).calls == 0
}
