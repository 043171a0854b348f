//! Choice of endpoints for calls: applies the placement functions of `acaciabay::ops` to the state of this entry.

use acaciabay::core::clock::BootTime;
use acaciabay::core::name::{DomainName, EndpointName, ServiceName};
use acaciabay::core::serving::endpoint_registry::{EngineStage, ServingEndpoint};
use acaciabay::core::serving::prompt::PromptShape;
use acaciabay::ops::place_call::{PlacementView, place_plain, place_stream};
use acaciabay::ops::place_prompt::{PromptEngines, PromptPlacement, place_prompt};

use super::shared::{EntryShared, EntryState};

/// Endpoint to which a call is sent, as it was when it was chosen.
#[derive(Clone, Debug)]
pub(super) struct ChosenEndpoint {
    pub(super) name: EndpointName,
    pub(super) endpoint: ServingEndpoint,
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
    ) -> Option<ChosenEndpoint> {
        let state = self.state();
        let candidates = without_tried(state.registry.ready(now, service), tried);
        let name = place_plain(&self.placement(now, &state), &candidates, request_hash)?;
        find_chosen(&candidates, &name)
    }

    /// Returns true if the service has separate engines for prefill that take calls at present.
    pub(super) fn has_prefill_engines(&self, now: BootTime, service: &ServiceName) -> bool {
        !available_of_stage(&self.state(), now, service, EngineStage::Prefill).is_empty()
    }

    /// Chooses an engine to prefill a prompt.
    pub(super) fn choose_prefill_engine(
        &self,
        now: BootTime,
        service: &ServiceName,
        tried: &[EndpointName],
        prompt: &PromptShape,
    ) -> Option<ChosenPrefillEngine> {
        let state = self.state();
        let readers = without_tried(available_of_stage(&state, now, service, EngineStage::Prefill), tried);
        let mut keepers = state.registry.answering(now, service);
        keepers.retain(|(_, endpoint)| endpoint.stage == Some(EngineStage::Prefill));
        let spec = state.engine_spec(service);
        let engines = PromptEngines {
            prefill_engines: &readers,
            sources: &keepers,
            pace: state.prefill_pace(service),
            link: spec.as_ref().and_then(|spec| spec.link.as_ref()),
        };
        let place = place_prompt(&self.placement(now, &state), &engines, prompt)?;
        let copy_from = place.copy_from.as_ref().and_then(|name| find_chosen(&keepers, name));
        Some(ChosenPrefillEngine {
            engine: find_chosen(&readers, &place.endpoint)?,
            copy_from,
            place,
        })
    }

    /// Chooses an engine to decode. `prefill_domain` is the failure domain of the engine that prefilled the prompt.
    pub(super) fn choose_decode_engine(
        &self,
        now: BootTime,
        service: &ServiceName,
        tried: &[EndpointName],
        prefill_domain: Option<&DomainName>,
        request_hash: u64,
    ) -> Option<ChosenEndpoint> {
        let memory = self.engine_memory(service);
        let state = self.state();
        let mut candidates = available_of_stage(&state, now, service, EngineStage::Decode);
        if candidates.is_empty() {
            // Endpoints that report no stage both prefill and decode.
            candidates = state.registry.ready(now, service);
            candidates.retain(|(_, endpoint)| endpoint.stage.is_none());
        }
        let candidates = without_tried(candidates, tried);
        let name = place_stream(
            &self.placement(now, &state),
            &candidates,
            memory,
            prefill_domain,
            request_hash,
        )?;
        find_chosen(&candidates, &name)
    }

    fn placement<'state>(&'state self, now: BootTime, state: &'state EntryState) -> PlacementView<'state> {
        PlacementView {
            now,
            domain: &self.domain,
            loads: &state.loads,
        }
    }
}

type EndpointRow<'state> = (&'state EndpointName, &'state ServingEndpoint);

fn available_of_stage<'state>(
    entry: &'state EntryState,
    now: BootTime,
    service: &'state ServiceName,
    stage: EngineStage,
) -> Vec<EndpointRow<'state>> {
    let mut rows = entry.registry.ready(now, service);
    rows.retain(|(name, endpoint)| {
        endpoint.stage == Some(stage) && !entry.loads.is_switching_stage(now, name, endpoint)
    });
    rows
}

fn without_tried<'state>(mut rows: Vec<EndpointRow<'state>>, tried: &[EndpointName]) -> Vec<EndpointRow<'state>> {
    rows.retain(|(name, _)| !tried.contains(name));
    rows
}

fn find_chosen(rows: &[EndpointRow<'_>], name: &EndpointName) -> Option<ChosenEndpoint> {
    let row = rows.iter().find(|(known, _)| *known == name)?;
    Some(ChosenEndpoint {
        name: row.0.clone(),
        endpoint: row.1.clone(),
    })
}
