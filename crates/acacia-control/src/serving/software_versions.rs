//! Answers operators which software versions the endpoints of each service have.

use std::collections::BTreeMap;

use acacia_runtime::clock::boot_now;
use acaciabay::core::serving::endpoint_registry::{EndpointPhase, EngineStage, ServingEndpoint};
use acaciabay::core::serving::software_version::SoftwareVersion;
use serde_json::{Value, json};

use super::shared::ControlShared;

/// Endpoints of one service and version.
#[derive(Clone, Copy, Debug, Default)]
struct VersionCount {
    decode: u32,
    prefill: u32,
    /// Endpoints without a stage.
    other: u32,
    draining: u32,
    /// Endpoints that have not reported lately, and therefore take up no streams.
    silent: u32,
}

impl VersionCount {
    fn add(&mut self, endpoint: &ServingEndpoint, is_reporting: bool) {
        let count = match (endpoint.phase, endpoint.stage) {
            _ if !is_reporting => &mut self.silent,
            (EndpointPhase::Draining, _) => &mut self.draining,
            (_, Some(EngineStage::Decode)) => &mut self.decode,
            (_, Some(EngineStage::Prefill)) => &mut self.prefill,
            (_, None) => &mut self.other,
        };
        *count += 1;
    }
}

/// Lists the services and versions of the endpoints that this replica knows and that have not left.
pub(super) fn list_versions(shared: &ControlShared) -> Value {
    let now = boot_now();
    let soft = shared.soft_state();
    let mut counts: BTreeMap<(&str, Option<&str>), VersionCount> = BTreeMap::new();
    let rows = soft.registry.rows();
    for (name, endpoint) in rows.filter(|(_, endpoint)| endpoint.phase != EndpointPhase::Gone) {
        let version = endpoint.version.as_ref().map(SoftwareVersion::as_str);
        let count = counts.entry((endpoint.service.as_str(), version)).or_default();
        count.add(endpoint, soft.registry.is_reporting(now, name));
    }
    let rows = counts.into_iter().map(|((service, version), count)| {
        json!({
            "service": service,
            "version": version,
            "decode": count.decode,
            "prefill": count.prefill,
            "other": count.other,
            "draining": count.draining,
            "silent": count.silent,
        })
    });
    json!({"versions": rows.collect::<Vec<_>>()})
}
