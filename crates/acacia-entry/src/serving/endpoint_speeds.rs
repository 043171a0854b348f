//! Observations of how long work takes at endpoints: what their answers state, and how long prefills take.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acacia_wire::endpoint_speed_from_wire;
use acacia_wire::generated::serving;
use acaciabay::core::clock::BootTime;
use acaciabay::core::name::{EndpointName, ServiceName};
use acaciabay::core::serving::endpoint_speed::{PaceOutbox, PrefillSums, SpeedSource, StatedReport};
use acaciabay::core::serving::load_report::LoadNotice;
use acaciabay::core::serving::prefill_model::PrefillModel;
use acaciabay::core::serving::prefill_pace::PrefillTime;
use acaciabay::util::number::bounded_time;
use hyper::StatusCode;
use slog::Logger;

use super::call::AcceptedCall;
use super::endpoint_choice::ChosenEndpoint;
use super::shared::EntryState;

/// Smallest number of tokens of a prefill that is measured. The time of fewer depends more on the network than on the engine.
const MIN_MEASURED_TOKENS: u64 = 500;
/// Length of the prompt, in tokens, by whose expected time changes of a model are judged.
const SAMPLE_TOKENS: f64 = 10_000.0;
/// Relative change of that time which is logged.
const LOGGED_CHANGE: f64 = 0.25;

/// What this entry observes of endpoints' speeds.
#[derive(Debug, Default)]
pub(super) struct SpeedObservations {
    /// What the leader was not told yet.
    pub(super) outbox: PaceOutbox,
    models: BTreeMap<ServiceName, ServiceModel>,
    /// Endpoints whose load could not be read. It is logged once for each.
    unreadable: HashSet<EndpointName>,
}

impl SpeedObservations {
    /// Drops endpoints that are no longer known.
    pub(super) fn retain(&mut self, is_known: impl Fn(&EndpointName) -> bool) {
        self.unreadable.retain(is_known);
    }
}

#[derive(Debug, Default)]
struct ServiceModel {
    model: PrefillModel,
    /// Expected time of [`SAMPLE_TOKENS`] when it was logged last.
    logged_ms: Option<f64>,
}

/// Terms of a model that has begun to be used, or has changed.
#[derive(Clone, Copy, Debug)]
pub(super) struct ModelChange {
    terms: [f64; 3],
    sample_ms: f64,
}

impl ServiceModel {
    fn take_change(&mut self) -> Option<ModelChange> {
        let sample_ms = self.model.expected_ms(SAMPLE_TOKENS)?;
        let is_known = |logged: f64| (sample_ms / logged).ln().abs() < LOGGED_CHANGE.ln_1p();
        if self.logged_ms.is_some_and(is_known) {
            return None;
        }
        self.logged_ms = Some(sample_ms);
        Some(ModelChange {
            terms: self.model.terms(),
            sample_ms,
        })
    }
}

impl EntryState {
    /// Returns the model of a service's prefill times, if this entry has a slice of the service.
    pub(super) fn prefill_model(&self, service: &ServiceName) -> Option<&PrefillModel> {
        let is_uneven = self.slices.contains_key(service);
        self.speeds
            .models
            .get(service)
            .filter(|_| is_uneven)
            .map(|row| &row.model)
    }

    /// Records the prefill of a prompt that had no known queue in front of it, if this entry has a slice of the service. Returns
    /// the model if operators should see it.
    pub(super) fn record_prefill_speed(
        &mut self,
        now: BootTime,
        service: &ServiceName,
        chosen: &ChosenEndpoint,
        reading: PrefillTime,
        copy_time: Duration,
    ) -> Option<ModelChange> {
        let is_measurable = reading.queued == 0 && reading.unread >= MIN_MEASURED_TOKENS;
        if !is_measurable || !self.slices.contains_key(service) {
            return None;
        }
        let pace = self.prefill_pace(service)?;
        // A copy that was faster than estimated leaves nothing to measure.
        let took = reading.took.checked_sub(copy_time).filter(|took| !took.is_zero())?;
        let (name, birth) = (&chosen.name, chosen.endpoint.incarnation);
        let Self { speeds, loads, .. } = self;
        let slowdown = loads.slowdown(now, name);
        if !speeds.models.contains_key(service) {
            speeds.models.insert(service.clone(), ServiceModel::default());
        }
        let row = speeds.models.get_mut(service)?;
        if let Some(expected_ms) = row.model.expected_ms(reading.unread as f64) {
            let expected = bounded_time(expected_ms / 1_000.0);
            let sums = PrefillSums {
                prefills: 1,
                took,
                expected,
                expected_stated: expected.mul_f64(loads.speeds.stated_factor(now, name)),
            };
            loads.speeds.record_prefills(now, name, birth, &sums);
            speeds.outbox.record_prefills(name, birth, &sums);
        }
        row.model.record(reading.unread, took, slowdown, pace);
        row.take_change()
    }
}

/// Records the load that an answer states.
pub(super) fn record_load_notice(call: &AcceptedCall, chosen: &ChosenEndpoint, status: StatusCode, notice: LoadNotice) {
    // The answer of another endpoint at this address says nothing about this one.
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    match notice {
        LoadNotice::Absent => {}
        LoadNotice::Stated(load) => {
            let Some(pace) = load.pace else { return };
            let report = StatedReport { pace, at: boot_now() };
            let (name, birth) = (&chosen.name, chosen.endpoint.incarnation);
            let mut state = call.shared.state();
            state.loads.speeds.record_stated(name, birth, report);
            state.speeds.outbox.record_stated(name, birth, report);
        }
        LoadNotice::Unreadable => {
            metrics::counter!("acacia_loads_unreadable_total").increment(1);
            let is_first = call.shared.state().speeds.unreadable.insert(chosen.name.clone());
            if is_first {
                slog::warn!(call.shared.log, "stated load cannot be read"; "event" => event::LOAD_UNREADABLE,
                    "request" => &call.head.request, "endpoint" => chosen.name.as_str(),
                    "birth" => chosen.endpoint.incarnation.0);
            }
        }
    }
}

/// Applies the speeds that a leader has told over the connection `source`.
pub(super) fn apply_speeds(
    log: &Logger,
    state: &mut EntryState,
    now: BootTime,
    source: SpeedSource,
    rows: &[serving::EndpointSpeed],
) {
    let rows = rows.iter().filter_map(|row| {
        let read = endpoint_speed_from_wire(now, row);
        let read = read.inspect_err(|error| {
            slog::warn!(log, "malformed speed of an endpoint received"; "event" => event::MESSAGE_REFUSED,
                "endpoint" => &row.endpoint, "error" => %error);
        });
        read.ok()
    });
    state.loads.speeds.apply(now, source, rows);
}

/// Logs a model that is used from now on, or has changed.
pub(super) fn log_model_change(call: &AcceptedCall, change: &ModelChange) {
    let [constant_ms, token_ms, square_ms] = change.terms;
    slog::info!(call.shared.log, "prefill time modelled"; "event" => event::PREFILL_MODELLED,
        "service" => call.service.as_str(), "constant_ms" => constant_ms, "token_ms" => token_ms,
        "square_ms" => square_ms, "sample_ms" => change.sample_ms);
}
