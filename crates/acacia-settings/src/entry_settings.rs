//! Settings of `acacia-entry`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::Value;

use crate::finding::Findings;
use crate::object_reader::{ObjectReader, as_address, as_count, as_millis, as_name, as_text};

/// What one entry host is told at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// The host's name, unique among entries.
    pub host: String,
    /// The failure domain that the host is in.
    pub failure_domain: String,
    /// Where callers connect; port 0 lets the system choose.
    pub caller_address: SocketAddr,
    /// Where endpoints announce themselves and report.
    pub endpoint_address: SocketAddr,
    /// Where health and metrics are read.
    pub admin_address: SocketAddr,
    /// The peer addresses of the control group; at least one that answers is needed at the start.
    pub control_addresses: Vec<SocketAddr>,
    /// Bounds on what callers may send.
    pub limits: CallerLimits,
    /// How requests are admitted and placed.
    pub policy: AdmissionPolicy,
    /// Where spans are written, as OTLP in JSON, one export a line; nothing is written when it is left out.
    pub trace_file: Option<PathBuf>,
}

/// How requests are admitted and placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdmissionPolicy {
    /// Weighted fair queueing under shares, placement by affinity and load.
    #[default]
    Fair,
    /// The baseline of the measurements: first come, first served, round robin, no shares.
    Baseline,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The largest request head, in bytes.
    pub head_bytes: usize,
    /// How long a caller may take to send the request head.
    pub head_timeout: Duration,
    /// How long a caller may take to send the request body.
    pub body_timeout: Duration,
    /// Most connections held open at once.
    pub connections: usize,
    /// How long a request may wait for its turn before it is refused.
    pub queue_wait: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            body_bytes: 4 * 1024 * 1024,
            head_bytes: 16 * 1024,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            connections: 8_192,
            queue_wait: Duration::from_millis(600),
        }
    }
}

impl EntrySettings {
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

fn read(document: &Value, findings: &mut Findings) -> Option<EntrySettings> {
    let mut reader = ObjectReader::new(document, "", findings);
    let host = reader.required("host", findings, as_name);
    let failure_domain = reader.required("failure_domain", findings, as_name);
    let caller_address = reader.required("caller_address", findings, as_address);
    let endpoint_address = reader.required("endpoint_address", findings, as_address);
    let admin_address = reader.required("admin_address", findings, as_address);
    let control_addresses = reader.items("control_addresses", findings, read_address);
    if control_addresses.as_ref().is_some_and(Vec::is_empty) {
        findings.add("/control_addresses", "expected at least one address");
    }
    let mut limits = reader.child("limits", findings);
    let caller_limits = read_limits(&mut limits, findings);
    limits.finish(findings);
    let policy = reader.optional("policy", findings, as_policy).unwrap_or_default();
    let trace_file = reader.optional("trace_file", findings, as_text).map(PathBuf::from);
    reader.finish(findings);
    Some(EntrySettings {
        host: host?.to_owned(),
        failure_domain: failure_domain?.to_owned(),
        caller_address: caller_address?,
        endpoint_address: endpoint_address?,
        admin_address: admin_address?,
        control_addresses: control_addresses?,
        limits: caller_limits,
        policy,
        trace_file,
    })
}

pub(crate) fn read_address(value: &Value, path: String, findings: &mut Findings) -> Option<SocketAddr> {
    as_address(value).map_err(|message| findings.add(path, message)).ok()
}

fn as_policy(value: &Value) -> Result<AdmissionPolicy, String> {
    match as_text(value)? {
        "fair" => Ok(AdmissionPolicy::Fair),
        "baseline" => Ok(AdmissionPolicy::Baseline),
        other => Err(format!("expected `fair` or `baseline`, found `{other}`")),
    }
}

fn read_limits(reader: &mut ObjectReader<'_>, findings: &mut Findings) -> CallerLimits {
    let fallback = CallerLimits::default();
    let mut count = |name, range| reader.optional(name, findings, as_count(range));
    let body_bytes = count("body_bytes", 1..=1 << 30);
    let head_bytes = count("head_bytes", 8_192..=1 << 20);
    let connections = count("connections", 1..=1_000_000);
    let mut millis = |name| reader.optional(name, findings, as_millis(10..=600_000));
    let head_timeout = millis("head_timeout_ms");
    let body_timeout = millis("body_timeout_ms");
    let queue_wait = millis("queue_wait_ms");
    let size = |count: Option<u64>, fallback| count.and_then(|count| usize::try_from(count).ok()).unwrap_or(fallback);
    CallerLimits {
        body_bytes: size(body_bytes, fallback.body_bytes),
        head_bytes: size(head_bytes, fallback.head_bytes),
        head_timeout: head_timeout.unwrap_or(fallback.head_timeout),
        body_timeout: body_timeout.unwrap_or(fallback.body_timeout),
        connections: size(connections, fallback.connections),
        queue_wait: queue_wait.unwrap_or(fallback.queue_wait),
    }
}
