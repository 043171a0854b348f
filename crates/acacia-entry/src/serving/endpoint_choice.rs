//! Choice of endpoints for calls: applies the placement functions of `acaciabay::ops` to the state of this entry.

use std::time::Duration;

use acacia_runtime::clock::boot_now;
use acaciabay::core::clock::BootTime;
use acaciabay::core::endpoint_rest::RestState;
use acaciabay::core::name::{DomainName, EndpointName, ServiceName};
use acaciabay::core::serving::endpoint_load::LoadTable;
use acaciabay::core::serving::endpoint_registry::{
    EndpointIncarnation, EndpointPhase, EndpointRegistry, EngineStage, ServingEndpoint,
};
use acaciabay::core::serving::limit_gate::LimitGate;
use acaciabay::core::serving::prompt::PromptShape;
use acaciabay::core::serving::software_version::StreamVersion;
use acaciabay::ops::engine_room::with_memory;
use acaciabay::ops::place_call::{Candidate, PlacementView, SliceView, place_plain, place_stream};
use acaciabay::ops::place_prompt::{PromptEngines, PromptPlacement, place_prompt};
use acaciabay::util::rendezvous;

use super::endpoint_limits::{ChoiceFailure, LimitDetour, choose_within_limits, limited};
use super::engine_lines::{SlicePart, count_slice_miss};
use super::shared::EntryShared;

/// Endpoint to which a call is sent, as it was when it was chosen.
#[derive(Clone, Debug)]
pub(super) struct ChosenEndpoint {
    pub(super) name: EndpointName,
    pub(super) endpoint: ServingEndpoint,
    /// Endpoint that would have been chosen but for its limit.
    pub(super) detour: Option<LimitDetour>,
}

/// Engines that may decode a call.
#[derive(Clone, Debug)]
pub(super) struct DecodeScope<'call> {
    pub(super) version: StreamVersion,
    /// Engines that the call was sent to.
    pub(super) tried: &'call [EndpointName],
    /// Time for which an engine that drains may be sent a stream that no other engine can continue.
    pub(super) drain_window: Duration,
    /// True if engines that have written something just now go before all others.
    pub(super) prefers_active: bool,
}

/// Engines among which one is looked for that is not silent.
#[derive(Clone, Debug)]
pub(super) enum SearchedStage<'call> {
    Decode(DecodeScope<'call>),
    /// Those that prefill prompts, but for the ones that were tried.
    Prefill(&'call [EndpointName]),
}

impl ChosenEndpoint {
    /// Returns the key by which the rest of the endpoint is recorded.
    pub(super) const fn rest_key(&self) -> (&EndpointName, EndpointIncarnation) {
        (&self.name, self.endpoint.incarnation)
    }
}

impl SearchedStage<'_> {
    pub(super) const fn stage(&self) -> EngineStage {
        match self {
            Self::Decode(_) => EngineStage::Decode,
            Self::Prefill(_) => EngineStage::Prefill,
        }
    }
}

/// Engine that prefills a prompt.
#[derive(Clone, Debug)]
pub(super) struct ChosenPrefillEngine {
    pub(super) engine: ChosenEndpoint,
    pub(super) place: PromptPlacement,
    /// Engine from which it may copy shared parts of the prompt.
    pub(super) copy_from: Option<ChosenEndpoint>,
}

impl EntryShared {
    /// Chooses an endpoint for a plain call.
    pub(super) fn choose_for_plain_call(
        &self,
        now: BootTime,
        service: &ServiceName,
        tried: &[EndpointName],
        request_hash: u64,
    ) -> Result<ChosenEndpoint, ChoiceFailure> {
        let mut state = self.state();
        let part = SlicePart::of(&mut state, now, service, EngineStage::Decode, 0);
        let slice = part.as_ref().map(|part| part.view(request_hash));
        let (registry, loads, limits) = state.choice_parts();
        let mut candidates = without_tried(registry.ready(now, service), tried);
        candidates.retain(|row| loads.rests.admits(now, rest_key(row)));
        let (name, detour) = choose_within_limits(
            now,
            limits,
            &candidates,
            |name| name,
            |candidates, permitted| {
                let view = self.placement(now, loads, permitted, slice);
                place_plain(&view, candidates, request_hash)
            },
        )
        .ok_or(ChoiceFailure::NoEndpoint)?;
        find_chosen(&candidates, &name, detour).ok_or(ChoiceFailure::NoEndpoint)
    }

    /// Returns true if the service has separate engines for prefill that may be sent a prompt at present.
    pub(super) fn has_prefill_engines(&self, now: BootTime, service: &ServiceName) -> bool {
        let mut state = self.state();
        let (registry, loads, limits) = state.choice_parts();
        let engines = ServiceEngines::new(now, service, registry, loads).available_of_stage(EngineStage::Prefill);
        let has_room = engines
            .iter()
            .any(|(name, endpoint)| limits.admits(now, limited(name, endpoint)));
        if !has_room {
            record_demand(limits, &engines);
        }
        has_room
    }

    /// Checks that an engine could decode a call with this number of tokens: that not all are held back by limits, nor by full
    /// memory. A prompt that is prefilled for it would be prefilled in vain.
    pub(super) fn check_decode_room(
        &self,
        now: BootTime,
        service: &ServiceName,
        scope: &DecodeScope<'_>,
        tokens: u64,
    ) -> Result<(), ChoiceFailure> {
        let memory = self.engine_memory(service);
        let mut state = self.state();
        let part = SlicePart::of(&mut state, now, service, EngineStage::Decode, memory);
        let slice = part.as_ref().map(|part| part.view(0));
        let (registry, loads, limits) = state.choice_parts();
        if !limits.has_limits() && slice.is_none() && loads.rests.is_empty() {
            return Ok(());
        }
        let service_engines = ServiceEngines::new(now, service, registry, loads);
        let engines = service_engines.decode_candidates(scope);
        if engines.is_empty() && service_engines.has_resting_decoder(scope) {
            return Err(ChoiceFailure::NoEndpoint);
        }
        let engines = retain_with_memory(&self.placement(now, loads, &[], slice), engines, tokens)?;
        let mut rows = engines.iter().map(|(name, endpoint)| limited(name, endpoint));
        if !limits.has_limits() || engines.is_empty() || rows.any(|engine| limits.admits(now, engine)) {
            return Ok(());
        }
        record_demand(limits, &engines);
        Err(ChoiceFailure::NoEndpoint)
    }

    /// Returns true if an engine may write the rest of a stream, whether limits or a rest stand against it or not.
    pub(super) fn has_resume_engine(&self, now: BootTime, service: &ServiceName, scope: &DecodeScope<'_>) -> bool {
        let mut state = self.state();
        let (registry, loads, _) = state.choice_parts();
        let engines = ServiceEngines::new(now, service, registry, loads);
        !engines.decode_candidates(scope).is_empty() || engines.has_resting_decoder(scope)
    }

    /// Returns true if one of these engines has written something to this entry just now.
    pub(super) fn has_active_engine(&self, now: BootTime, service: &ServiceName, searched: &SearchedStage<'_>) -> bool {
        let mut state = self.state();
        let (registry, loads, _) = state.choice_parts();
        let engines = ServiceEngines::new(now, service, registry, loads).searched(searched);
        engines.iter().any(|(name, _)| loads.is_active(now, name))
    }

    /// Returns some of these engines, at most `count`, and others each time.
    pub(super) fn engines_to_ask(
        &self,
        now: BootTime,
        service: &ServiceName,
        searched: &SearchedStage<'_>,
        count: usize,
    ) -> Vec<ChosenEndpoint> {
        let mut state = self.state();
        let (registry, loads, _) = state.choice_parts();
        let mut engines = ServiceEngines::new(now, service, registry, loads).searched(searched);
        let draw = rendezvous::hash(&now.since_boot().as_nanos().to_le_bytes());
        engines.sort_by_key(|(name, _)| rendezvous::combine_hashes(draw, rendezvous::hash(name.as_str().as_bytes())));
        let names = engines.iter().take(count).map(|(name, _)| *name);
        names.filter_map(|name| find_chosen(&engines, name, None)).collect()
    }

    /// Returns the time since any other endpoint of a service wrote something to this entry, if one ever has.
    pub(super) fn others_silence(&self, service: &ServiceName, endpoint: &EndpointName) -> Option<Duration> {
        let now = boot_now();
        let state = self.state();
        let others = state.registry.answering(now, service).into_iter();
        let others = others.filter(|(name, _)| *name != endpoint);
        others.filter_map(|(name, _)| state.loads.silence(now, name)).min()
    }

    /// Chooses an engine to prefill a prompt.
    pub(super) fn choose_prefill_engine(
        &self,
        now: BootTime,
        service: &ServiceName,
        (tried, prefers_active): (&[EndpointName], bool),
        prompt: &PromptShape,
        request_hash: u64,
    ) -> Result<ChosenPrefillEngine, ChoiceFailure> {
        let mut state = self.state();
        let spec = state.engine_spec(service);
        let usual_pace = state.prefill_pace(service);
        let model = state.prefill_model(service).cloned();
        let memory = spec.map_or(0, |spec| spec.memory_tokens);
        let part = SlicePart::of(&mut state, now, service, EngineStage::Prefill, memory);
        let slice = part.as_ref().map(|part| part.view(request_hash));
        let (registry, loads, limits) = state.choice_parts();
        let engines = ServiceEngines::new(now, service, registry, loads);
        let mut homes = without_tried(engines.of_stage(EngineStage::Prefill), tried);
        let view = self.placement(now, loads, &[], slice);
        // Others may have memory while those that are active have none.
        let mut readers = homes.clone();
        readers.retain(|row| loads.rests.admits(now, rest_key(row)));
        let mut readers = retain_with_memory(&view, readers, prompt.prompt_tokens)?;
        if prefers_active {
            engines.retain_active(&mut homes);
            engines.retain_active(&mut readers);
        }
        let mut keepers = registry.answering(now, service);
        keepers.retain(|(_, endpoint)| endpoint.stage == Some(EngineStage::Prefill));
        let (place, detour) = choose_within_limits(
            now,
            limits,
            &readers,
            |place: &PromptPlacement| &place.endpoint,
            |admitted, permitted| {
                let engines = PromptEngines {
                    prefill_engines: admitted,
                    home_engines: &homes,
                    sources: &keepers,
                    pace: usual_pace,
                    model: model.as_ref(),
                    link: spec.as_ref().and_then(|spec| spec.link.as_ref()),
                };
                place_prompt(&self.placement(now, loads, permitted, slice), &engines, prompt)
            },
        )
        .ok_or(ChoiceFailure::NoEndpoint)?;
        if let Some(slice) = slice {
            count_slice_miss(slice, &readers, &place.endpoint);
        }
        let copy_from = place.copy_from.as_ref();
        Ok(ChosenPrefillEngine {
            copy_from: copy_from.and_then(|name| find_chosen(&keepers, name, None)),
            engine: find_chosen(&readers, &place.endpoint, detour).ok_or(ChoiceFailure::NoEndpoint)?,
            place,
        })
    }

    /// Chooses an engine to decode. `prefill_domain` is the failure domain of the engine that prefilled the prompt.
    pub(super) fn choose_decode_engine(
        &self,
        now: BootTime,
        service: &ServiceName,
        scope: &DecodeScope<'_>,
        (request_hash, tokens): (u64, u64),
        prefill_domain: Option<&DomainName>,
    ) -> Result<ChosenEndpoint, ChoiceFailure> {
        let memory = self.engine_memory(service);
        let mut state = self.state();
        let part = SlicePart::of(&mut state, now, service, EngineStage::Decode, memory);
        let slice = part.as_ref().map(|part| part.view(request_hash));
        let (registry, loads, limits) = state.choice_parts();
        let engines = ServiceEngines::new(now, service, registry, loads);
        let view = self.placement(now, loads, &[], slice);
        let mut candidates = retain_with_memory(&view, engines.all_decode_candidates(scope), tokens)?;
        if scope.prefers_active {
            engines.retain_active(&mut candidates);
        }
        let (name, detour) = choose_within_limits(
            now,
            limits,
            &candidates,
            |name| name,
            |candidates, permitted| {
                let view = self.placement(now, loads, permitted, slice);
                place_stream(&view, candidates, memory, prefill_domain, request_hash)
            },
        )
        .ok_or(ChoiceFailure::NoEndpoint)?;
        find_chosen(&candidates, &name, detour).ok_or(ChoiceFailure::NoEndpoint)
    }

    const fn placement<'state>(
        &'state self,
        now: BootTime,
        loads: &'state LoadTable,
        permitted: &'state [EndpointName],
        slice: Option<SliceView<'state>>,
    ) -> PlacementView<'state> {
        PlacementView {
            now,
            domain: &self.domain,
            loads,
            permitted,
            slice,
        }
    }
}

/// Returns the engines that have memory for a call with this number of tokens.
fn retain_with_memory<'state>(
    view: &PlacementView<'_>,
    candidates: Vec<Candidate<'state>>,
    tokens: u64,
) -> Result<Vec<Candidate<'state>>, ChoiceFailure> {
    if view.slice.is_none() || candidates.is_empty() {
        return Ok(candidates);
    }
    let roomy = with_memory(view, &candidates, tokens);
    if roomy.is_empty() {
        metrics::counter!("acacia_memory_refused_total").increment(1);
        return Err(ChoiceFailure::NoMemory);
    }
    Ok(roomy)
}

/// Engines of one service at one time.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceEngines<'state> {
    now: BootTime,
    service: &'state ServiceName,
    registry: &'state EndpointRegistry,
    loads: &'state LoadTable,
}

impl<'state> ServiceEngines<'state> {
    pub(super) const fn new(
        now: BootTime,
        service: &'state ServiceName,
        registry: &'state EndpointRegistry,
        loads: &'state LoadTable,
    ) -> Self {
        Self {
            now,
            service,
            registry,
            loads,
        }
    }

    fn is_settled(&self, (name, endpoint): &Candidate<'_>) -> bool {
        !self.loads.is_switching_stage(self.now, name, endpoint)
    }

    fn is_awake(&self, row: &Candidate<'_>) -> bool {
        self.loads.rests.admits(self.now, rest_key(row))
    }

    /// Returns the engines of a stage, those that have asked for rest included.
    fn of_stage(&self, stage: EngineStage) -> Vec<Candidate<'state>> {
        let mut rows = self.registry.ready(self.now, self.service);
        rows.retain(|row| row.1.stage == Some(stage) && self.is_settled(row));
        rows
    }

    fn available_of_stage(&self, stage: EngineStage) -> Vec<Candidate<'state>> {
        let mut rows = self.of_stage(stage);
        rows.retain(|row| self.is_awake(row));
        rows
    }

    /// Returns the engines of a stage that may prefill a prompt.
    pub(super) fn that_prefill(&self, stage: EngineStage) -> Vec<Candidate<'state>> {
        match stage {
            EngineStage::Prefill => self.available_of_stage(EngineStage::Prefill),
            EngineStage::Decode => self.all_decode_candidates(&DecodeScope {
                version: StreamVersion::Any,
                tried: &[],
                drain_window: Duration::ZERO,
                prefers_active: false,
            }),
        }
    }

    fn decode_candidates(&self, scope: &DecodeScope<'_>) -> Vec<Candidate<'state>> {
        let mut rows = self.all_decode_candidates(scope);
        if scope.prefers_active {
            self.retain_active(&mut rows);
        }
        rows
    }

    /// Removes engines that have not written anything just now, unless none has.
    fn retain_active(&self, rows: &mut Vec<Candidate<'state>>) {
        let is_active = |row: &Candidate<'_>| self.loads.is_active(self.now, row.0);
        if rows.iter().any(is_active) {
            rows.retain(is_active);
        }
    }

    fn searched(&self, stage: &SearchedStage<'_>) -> Vec<Candidate<'state>> {
        match stage {
            SearchedStage::Decode(scope) => self.all_decode_candidates(scope),
            SearchedStage::Prefill(tried) => without_tried(self.available_of_stage(EngineStage::Prefill), tried),
        }
    }

    fn all_decode_candidates(&self, scope: &DecodeScope<'_>) -> Vec<Candidate<'state>> {
        if scope.version != StreamVersion::Any {
            return self.resume_candidates(scope);
        }
        let mut rows = self.decoders(scope);
        rows.retain(|row| self.is_awake(row));
        rows
    }

    /// Returns the engines that decode calls, those that have asked for rest included.
    fn decoders(&self, scope: &DecodeScope<'_>) -> Vec<Candidate<'state>> {
        let engines = self.of_stage(EngineStage::Decode);
        if !engines.is_empty() {
            return without_tried(engines, scope.tried);
        }
        // Endpoints that report no stage both prefill and decode.
        let mut rows = self.registry.ready(self.now, self.service);
        rows.retain(|(_, endpoint)| endpoint.stage.is_none());
        without_tried(rows, scope.tried)
    }

    /// Returns true if an engine that could decode has asked for rest.
    fn has_resting_decoder(&self, scope: &DecodeScope<'_>) -> bool {
        let rests = |row: &Candidate<'_>| {
            let state = self.loads.rests.state(self.now, rest_key(row));
            matches!(state, RestState::Resting { .. })
        };
        let rows = if scope.version == StreamVersion::Any {
            self.decoders(scope)
        } else {
            self.resumers(scope)
        };
        rows.iter().any(rests)
    }

    /// Returns the engines that may write the rest of a stream, those that have asked for rest included.
    fn resumers(&self, scope: &DecodeScope<'_>) -> Vec<Candidate<'state>> {
        let rows = self
            .registry
            .resumable(self.now, self.service, &scope.version, scope.drain_window);
        let mut rows = without_tried(rows, scope.tried);
        rows.retain(|row| row.1.stage != Some(EngineStage::Prefill) && self.is_settled(row));
        rows
    }

    /// Returns the engines that may write the rest of a stream. Those that drain are used only if no other is left: the
    /// alternative is a stream that breaks.
    fn resume_candidates(&self, scope: &DecodeScope<'_>) -> Vec<Candidate<'state>> {
        let mut rows = self.resumers(scope);
        rows.retain(|row| self.loads.rests.may_write(self.now, rest_key(row)));
        let is_ready = |row: &Candidate<'_>| row.1.phase == EndpointPhase::Ready && self.is_awake(row);
        if rows.iter().any(is_ready) {
            rows.retain(is_ready);
        }
        rows
    }
}

/// Returns the key by which the rest of an endpoint is recorded.
pub(super) const fn rest_key<'state>(row: &Candidate<'state>) -> (&'state EndpointName, EndpointIncarnation) {
    (row.0, row.1.incarnation)
}

/// Records that a call would go to any of these engines. Without demand the leader would grant no permits for them.
fn record_demand(limits: &mut LimitGate, engines: &[Candidate<'_>]) {
    for (name, endpoint) in engines {
        limits.record_demand(limited(name, endpoint));
    }
}

fn without_tried<'state>(mut rows: Vec<Candidate<'state>>, tried: &[EndpointName]) -> Vec<Candidate<'state>> {
    rows.retain(|(name, _)| !tried.contains(name));
    rows
}

fn find_chosen(rows: &[Candidate<'_>], name: &EndpointName, detour: Option<LimitDetour>) -> Option<ChosenEndpoint> {
    let row = rows.iter().find(|(known, _)| *known == name)?;
    Some(ChosenEndpoint {
        name: row.0.clone(),
        endpoint: row.1.clone(),
        detour,
    })
}
