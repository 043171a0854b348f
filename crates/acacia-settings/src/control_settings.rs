//! Settings of `acacia-control`.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use serde_json::Value;

use crate::entry_settings::read_address;
use crate::finding::Findings;
use crate::object_reader::{ObjectReader, as_address, as_millis, as_name, as_text};

/// How long a usage window stays open when the settings do not say.
pub const DEFAULT_WINDOW: Duration = Duration::from_secs(60);

/// What one host of the control group is told at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// The host's name, unique among the hosts of the group.
    pub host: String,
    /// The failure domain that the host is in.
    pub failure_domain: String,
    /// The one folder that holds all files of the process.
    pub data_folder: PathBuf,
    /// Where entries and the other replicas connect.
    pub peer_address: SocketAddr,
    /// Where operators' commands are answered.
    pub operator_address: SocketAddr,
    /// Where health and metrics are read.
    pub admin_address: SocketAddr,
    /// Peer addresses of other replicas, through which a new host finds its group.
    pub control_addresses: Vec<SocketAddr>,
    /// The hosts of entries and replicas; connections from any other are refused.
    pub peer_hosts: Vec<IpAddr>,
    /// The SHA-256 digest of the operators' token, in hexadecimal digits.
    pub operator_token_sha256: String,
    /// The platform interface that takes usage windows, as an address; none are sent when it is left out.
    pub platform_address: Option<SocketAddr>,
    /// How long a usage window stays open.
    pub usage_window: Duration,
    /// Where spans are written, as OTLP in JSON, one export a line.
    pub trace_file: Option<PathBuf>,
}

impl ControlSettings {
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

fn read(document: &Value, findings: &mut Findings) -> Option<ControlSettings> {
    let mut reader = ObjectReader::new(document, "", findings);
    let host = reader.required("host", findings, as_name);
    let failure_domain = reader.required("failure_domain", findings, as_name);
    let data_folder = reader.required("data_folder", findings, as_name);
    let peer_address = reader.required("peer_address", findings, as_address);
    let operator_address = reader.required("operator_address", findings, as_address);
    let admin_address = reader.required("admin_address", findings, as_address);
    let control_addresses = reader.items("control_addresses", findings, read_address);
    let peer_hosts = reader.items("peer_hosts", findings, read_ip);
    let operator_token_sha256 = reader.required("operator_token_sha256", findings, as_digest);
    let platform_address = reader.optional("platform_address", findings, as_address);
    let usage_window = reader.optional("usage_window_ms", findings, as_millis(100..=86_400_000));
    let trace_file = reader.optional("trace_file", findings, as_text).map(PathBuf::from);
    reader.finish(findings);
    Some(ControlSettings {
        host: host?.to_owned(),
        failure_domain: failure_domain?.to_owned(),
        data_folder: PathBuf::from(data_folder?),
        peer_address: peer_address?,
        operator_address: operator_address?,
        admin_address: admin_address?,
        control_addresses: control_addresses?,
        peer_hosts: peer_hosts?,
        operator_token_sha256: operator_token_sha256?.to_owned(),
        platform_address,
        usage_window: usage_window.unwrap_or(DEFAULT_WINDOW),
        trace_file,
    })
}

fn read_ip(value: &Value, path: String, findings: &mut Findings) -> Option<IpAddr> {
    let parsed = as_text(value).and_then(|text| {
        text.parse()
            .map_err(|_source| format!("expected an IP address, found `{text}`"))
    });
    parsed.map_err(|message| findings.add(path, message)).ok()
}

fn as_digest(value: &Value) -> Result<&str, String> {
    const DIGITS: usize = 64;
    let text = as_text(value)?;
    let valid = text.len() == DIGITS && text.chars().all(|digit| matches!(digit, '0'..='9' | 'a'..='f'));
    if valid {
        Ok(text)
    } else {
        Err(format!("expected {DIGITS} lower-case hexadecimal digits"))
    }
}
