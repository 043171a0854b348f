//! Settings of `acacia-standin`.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

use crate::entry_settings::read_address;
use crate::finding::Findings;
use crate::object_reader::{ObjectReader, as_address, as_count, as_list, as_millis, as_name, as_text};

/// What one stand-in is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct StandinSettings {
    /// The endpoint's name.
    pub endpoint: String,
    /// The failure domain that it claims to be in.
    pub failure_domain: String,
    /// Where it takes requests; port 0 lets the system choose.
    pub address: SocketAddr,
    /// The entries' endpoint addresses, to which it reports in turn.
    pub entry_addresses: Vec<SocketAddr>,
    /// What it pretends to be.
    pub kind: StandinKind,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Prompt tokens that it works off a second, over all requests.
    pub prefill_rate: u32,
    /// Tokens that it generates a second for each request.
    pub decode_rate: u32,
    /// Tokens that it generates a second over all requests.
    pub batch_rate: u32,
    /// Pieces of memory, each of about a thousand tokens; requests beyond them wait in the engine, first come first
    /// served.
    pub pieces: u32,
    /// How many prompt starts its cache holds.
    pub cached_prefixes: u32,
    /// How old the load in its reports is.
    pub report_lag: Duration,
    /// Whether it checks fencing numbers of orders.
    pub checks_fencing: bool,
    /// The version of its software that it reports.
    pub version: String,
}

/// What a stand-in pretends to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StandinKind {
    /// A language-model engine with these models.
    Engine {
        /// The models that it serves.
        models: Vec<String>,
    },
    /// A plain service.
    Service {
        /// The service's name.
        service: String,
    },
    /// The platform's interface that takes usage windows. It reports to nobody.
    Platform,
}

impl StandinSettings {
    /// Checks a settings document.
    ///
    /// # Errors
    ///
    /// Fails with every finding in the document.
    pub fn from_json(document: &Value) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let settings = read(document, &mut findings);
        findings.into_result(settings)
    }
}

fn read(document: &Value, findings: &mut Findings) -> Option<StandinSettings> {
    let mut reader = ObjectReader::new(document, "", findings);
    let endpoint = reader.required("endpoint", findings, as_name);
    let failure_domain = reader.required("failure_domain", findings, as_name);
    let address = reader.required("address", findings, as_address);
    let entry_addresses = reader.items("entry_addresses", findings, read_address);
    let models = reader.optional("models", findings, as_names);
    let service = reader.optional("service", findings, as_text);
    let platform = reader
        .optional("platform", findings, crate::object_reader::as_flag)
        .unwrap_or(false);
    let mut rate = |name, fallback| {
        let count = reader
            .optional(name, findings, as_count(1..=10_000_000))
            .unwrap_or(fallback);
        u32::try_from(count).unwrap_or(u32::MAX)
    };
    let slots = rate("slots", 16);
    let prefill_rate = rate("prefill_rate", 20_000);
    let decode_rate = rate("decode_rate", 200);
    let batch_rate = rate("batch_rate", 4_000);
    let pieces = rate("pieces", 64);
    let cached_prefixes = rate("cached_prefixes", 32);
    let report_lag = reader
        .optional("report_lag_ms", findings, as_millis(0..=60_000))
        .unwrap_or_default();
    let checks_fencing = reader
        .optional("checks_fencing", findings, crate::object_reader::as_flag)
        .unwrap_or(true);
    let version = reader.optional("version", findings, as_name).unwrap_or("1").to_owned();
    reader.finish(findings);
    let kind = match (models, service, platform) {
        (Some(models), None, false) => StandinKind::Engine { models },
        (None, Some(service), false) => StandinKind::Service {
            service: service.to_owned(),
        },
        (None, None, true) => StandinKind::Platform,
        _ => {
            findings.add("/", "expected one of `models`, `service` and `platform`");
            return None;
        }
    };
    Some(StandinSettings {
        endpoint: endpoint?.to_owned(),
        failure_domain: failure_domain?.to_owned(),
        address: address?,
        entry_addresses: entry_addresses?,
        kind,
        slots,
        prefill_rate,
        decode_rate,
        batch_rate,
        pieces,
        cached_prefixes,
        report_lag,
        checks_fencing,
        version,
    })
}

fn as_names(value: &Value) -> Result<Vec<String>, String> {
    as_list(value)?
        .iter()
        .map(|item| as_name(item).map(ToOwned::to_owned))
        .collect()
}
