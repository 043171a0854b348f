//! Settings of the processes that serve calls by host and path.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use acaciabay::util::number::round_up;
use serde_json::Value;

use crate::entry_settings::read_address;
use crate::finding::Findings;
use crate::object_reader::{ObjectReader, as_address, as_count, as_flag, as_name, as_number, as_seconds, as_text};

/// Largest slack of a bound on second sends, in sends, and on the use of an allowance, in units.
const MOST_SENDS: f64 = 1e9;
const MOST_UNITS: f64 = 1e12;
/// Largest memory of a host, in megabytes.
const MOST_MEGABYTES: f64 = 16_777_216.0;
/// Bytes of a megabyte.
const MEGABYTE: f64 = 1_048_576.0;
/// Largest number of calls in a waiting room.
const MOST_WAITING_CALLS: u64 = 1_000_000;
/// Largest part of the host's memory that one of its bounds may take.
const MOST_MEMORY_FRACTION: f64 = 0.5;

/// Part of the host's memory for request bodies, if the host's memory is known and nothing else is set.
const REQUEST_MEMORY_DIVISOR: usize = 4;
/// Memory for request bodies if the host's memory is not known either, in bytes.
const DEFAULT_REQUEST_MEMORY: usize = 32 * 1024 * 1024;

/// What a control process is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingControlSettings {
    /// The host's name.
    pub host: String,
    /// The failure domain that the host is in.
    pub failure_domain: String,
    /// The one folder that holds all files of the process.
    pub data_folder: PathBuf,
    /// Where operators and endpoints call.
    pub control_address: SocketAddr,
    /// Where entries and the other replicas connect.
    pub peer_address: SocketAddr,
    /// Where metrics are read.
    pub metrics_address: SocketAddr,
    /// Control addresses of other hosts, through which a new one finds its group.
    pub seed_addresses: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time: the seeds then found the group.
    pub found_group: bool,
    /// How many disks may be lost at once without losing anything that was accepted.
    pub tolerated_losses: usize,
    /// The platform's address for usage and orders; nothing is sent without it.
    pub platform_address: Option<SocketAddr>,
    /// The length of a usage window.
    pub usage_window: Duration,
    /// Within which time a usage window is due after its end.
    pub usage_due: Duration,
    /// Within which time duties must not go back and forth between two hosts.
    pub duty_lease: Duration,
    /// How far all entries together may exceed a customer's allowance; not at all without it.
    pub allowance_tolerance: Option<WindowBoundSettings>,
    /// Whether all services count as uneven: entries then get slices and speeds of their endpoints.
    pub balanced_load: bool,
    /// Memory in bytes for request bodies, of all callers of the control address together.
    pub request_memory: usize,
}

/// What an entry process is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingEntrySettings {
    /// The host's name.
    pub host: String,
    /// The failure domain that the host is in.
    pub failure_domain: String,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the balancer asks whether to send callers here.
    pub ready_address: SocketAddr,
    /// Where metrics are read.
    pub metrics_address: SocketAddr,
    /// The port of the control processes for entries.
    pub peer_port: u16,
    /// Control addresses through which the control group is found.
    pub seed_addresses: Vec<SocketAddr>,
    /// Within which time a withdrawn key must stop working, also where this host is cut off.
    pub key_withdrawal: Duration,
    /// Within which time an accepted configuration must be in force.
    pub config_in_force: Duration,
    /// The length of a usage window.
    pub usage_window: Duration,
    /// How long the process may take to stop.
    pub stop_grace: Duration,
    /// The bound on second sends.
    pub send_bound: WindowBoundSettings,
    /// Where other entries connect that have lost their path to an endpoint; this one relays nothing without it.
    pub relay_address: Option<SocketAddr>,
    /// The address of this host from which endpoints are called; the system chooses one without it.
    pub endpoint_source: Option<IpAddr>,
    /// Within which time after its departure was acknowledged an endpoint must get its last request; without it, none is sent to an
    /// endpoint that drains.
    pub endpoint_drain: Option<Duration>,
    /// Memory in bytes for answers that callers read slowly, of all calls together. Without it, an answer is read no faster
    /// than its caller reads.
    pub answer_buffer: Option<usize>,
    /// Memory in bytes for request bodies, of all callers together.
    pub request_memory: usize,
    /// Bounds of the calls that wait at this entry until engines are free; without them, calls are sent at once or refused.
    pub waiting_room: Option<WaitingRoomSettings>,
}

/// Bounds of the calls that wait at an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingRoomSettings {
    /// Number of calls.
    pub calls: usize,
    /// Memory of their bodies, in bytes.
    pub memory: usize,
}

/// A bound on what all entries together do within any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowBoundSettings {
    /// Fraction of what the bound refers to: second sends of the calls, or use beyond what an allowance admits.
    pub ratio: f64,
    /// What may be added to it.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

impl ServingControlSettings {
    /// Checks a settings document.
    ///
    /// # Errors
    ///
    /// Fails with every finding in the document.
    pub fn from_json(document: &Value) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let settings = read_control(document, &mut findings);
        findings.into_result(settings)
    }
}

impl ServingEntrySettings {
    /// Checks a settings document.
    ///
    /// # Errors
    ///
    /// Fails with every finding in the document.
    pub fn from_json(document: &Value) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let settings = read_entry(document, &mut findings);
        findings.into_result(settings)
    }
}

fn read_control(document: &Value, findings: &mut Findings) -> Option<ServingControlSettings> {
    let mut reader = ObjectReader::new(document, "", findings);
    let host = reader.required("host", findings, as_name);
    let failure_domain = reader.required("failure_domain", findings, as_name);
    let data_folder = reader.required("data_folder", findings, as_name);
    let control_address = reader.required("control_address", findings, as_address);
    let peer_address = reader.required("peer_address", findings, as_address);
    let metrics_address = reader.required("metrics_address", findings, as_address);
    let seed_addresses = reader.items("seed_addresses", findings, read_address);
    let found_group = reader.required("found_group", findings, as_flag);
    let tolerated_losses = reader.required("tolerated_losses", findings, as_count(0..=10));
    let platform_address = reader.optional("platform_address", findings, as_optional_address);
    let usage_window = reader.required("usage_window_s", findings, as_seconds(0.1..=86_400.0));
    let usage_due = reader.required("usage_due_s", findings, as_seconds(0.1..=86_400.0));
    let duty_lease = reader.required("duty_lease_ms", findings, as_count(0..=600_000));
    let has_tolerance = document.get("allowance_tolerance").is_some();
    let mut tolerance = reader.child("allowance_tolerance", findings);
    let allowance_tolerance = has_tolerance.then(|| read_window_bound(&mut tolerance, findings, MOST_UNITS));
    tolerance.finish(findings);
    let balanced_load = reader.optional("balanced_load", findings, as_flag);
    let (_host_memory, request_memory) = read_memory(&mut reader, findings);
    reader.finish(findings);
    Some(ServingControlSettings {
        host: host?.to_owned(),
        failure_domain: failure_domain?.to_owned(),
        data_folder: PathBuf::from(data_folder?),
        control_address: control_address?,
        peer_address: peer_address?,
        metrics_address: metrics_address?,
        seed_addresses: seed_addresses?,
        found_group: found_group?,
        tolerated_losses: usize::try_from(tolerated_losses?).ok()?,
        platform_address: platform_address.flatten(),
        usage_window: usage_window?,
        usage_due: usage_due?,
        duty_lease: Duration::from_millis(duty_lease?),
        allowance_tolerance: match allowance_tolerance {
            Some(tolerance) => Some(tolerance?),
            None => None,
        },
        balanced_load: balanced_load.unwrap_or(false),
        request_memory,
    })
}

fn read_entry(document: &Value, findings: &mut Findings) -> Option<ServingEntrySettings> {
    let mut reader = ObjectReader::new(document, "", findings);
    let host = reader.required("host", findings, as_name);
    let failure_domain = reader.required("failure_domain", findings, as_name);
    let caller_address = reader.required("caller_address", findings, as_address);
    let ready_address = reader.required("ready_address", findings, as_address);
    let metrics_address = reader.required("metrics_address", findings, as_address);
    let peer_port = reader.required("peer_port", findings, as_count(1..=65_535));
    let seed_addresses = reader.items("seed_addresses", findings, read_address);
    let key_withdrawal = reader.required("key_withdrawal_ms", findings, as_count(100..=600_000));
    let config_in_force = reader.required("config_in_force_ms", findings, as_count(100..=600_000));
    let usage_window = reader.required("usage_window_s", findings, as_seconds(0.1..=86_400.0));
    let stop_grace = reader.required("stop_grace_s", findings, as_seconds(0.1..=600.0));
    let relay_address = reader.optional("relay_address", findings, as_address);
    let endpoint_source = reader.optional("endpoint_source_address", findings, as_ip_address);
    let endpoint_drain = reader.optional("endpoint_drain_ms", findings, as_count(0..=600_000));
    let mut bound = reader.child("send_bound", findings);
    let send_bound = read_window_bound(&mut bound, findings, MOST_SENDS);
    bound.finish(findings);
    let (host_memory, request_memory) = read_memory(&mut reader, findings);
    let largest = host_memory.map_or(MOST_MEGABYTES, |bytes| bytes as f64 / MEGABYTE * MOST_MEMORY_FRACTION);
    let answer_buffer = reader.optional("answer_buffer_mb", findings, as_megabytes(largest));
    let waiting_room = read_waiting_room(document, &mut reader, findings, largest);
    reader.finish(findings);
    Some(ServingEntrySettings {
        host: host?.to_owned(),
        failure_domain: failure_domain?.to_owned(),
        caller_address: caller_address?,
        ready_address: ready_address?,
        metrics_address: metrics_address?,
        peer_port: u16::try_from(peer_port?).ok()?,
        seed_addresses: seed_addresses?,
        key_withdrawal: Duration::from_millis(key_withdrawal?),
        config_in_force: Duration::from_millis(config_in_force?),
        usage_window: usage_window?,
        stop_grace: stop_grace?,
        send_bound: send_bound?,
        relay_address,
        endpoint_source,
        endpoint_drain: endpoint_drain.map(Duration::from_millis),
        answer_buffer,
        request_memory,
        waiting_room,
    })
}

/// Reads the memory of the host, if it is known, and that for request bodies: a part of it if nothing else is set.
fn read_memory(reader: &mut ObjectReader<'_>, findings: &mut Findings) -> (Option<usize>, usize) {
    let host_memory = reader.optional("host_memory_mb", findings, as_megabytes(MOST_MEGABYTES));
    let largest = host_memory.map_or(MOST_MEGABYTES, |bytes| bytes as f64 / MEGABYTE * MOST_MEMORY_FRACTION);
    let request_memory = reader.optional("request_memory_mb", findings, as_megabytes(largest));
    let usual = host_memory.map_or(DEFAULT_REQUEST_MEMORY, |bytes| bytes / REQUEST_MEMORY_DIVISOR);
    (host_memory, request_memory.unwrap_or(usual))
}

/// Reads the bounds of the waiting room, if there are any and they are valid.
fn read_waiting_room(
    document: &Value,
    reader: &mut ObjectReader<'_>,
    findings: &mut Findings,
    largest: f64,
) -> Option<WaitingRoomSettings> {
    let is_set = document.get("waiting_room").is_some();
    let mut room = reader.child("waiting_room", findings);
    let (calls, memory) = if is_set {
        let calls = room.required("calls", findings, as_count(1..=MOST_WAITING_CALLS));
        (calls, room.required("memory_mb", findings, as_megabytes(largest)))
    } else {
        (None, None)
    };
    room.finish(findings);
    Some(WaitingRoomSettings {
        calls: usize::try_from(calls?).ok()?,
        memory: memory?,
    })
}

/// Reads an amount of memory above 0 and of at most `largest` megabytes, in bytes.
fn as_megabytes(largest: f64) -> impl FnOnce(&Value) -> Result<usize, String> {
    move |value| {
        let megabytes = as_number(0.0..=largest)(value)?;
        if megabytes <= 0.0 {
            return Err("has to be above 0".to_owned());
        }
        Ok(usize::try_from(round_up(megabytes * MEGABYTE)).unwrap_or(usize::MAX))
    }
}

fn read_window_bound(
    reader: &mut ObjectReader<'_>,
    findings: &mut Findings,
    most_slack: f64,
) -> Option<WindowBoundSettings> {
    let ratio = reader.required("ratio", findings, as_number(0.0..=10.0));
    let slack = reader.required("slack", findings, as_number(0.0..=most_slack));
    let window = reader.required("window_s", findings, as_seconds(0.1..=3_600.0));
    Some(WindowBoundSettings {
        ratio: ratio?,
        slack: slack?,
        window: window?,
    })
}

fn as_ip_address(value: &Value) -> Result<IpAddr, String> {
    let text = as_text(value)?;
    text.parse()
        .map_err(|_malformed| format!("`{text}` is not an IP address"))
}

/// Reads an address that a template leaves empty where there is none.
fn as_optional_address(value: &Value) -> Result<Option<SocketAddr>, String> {
    match as_text(value)? {
        "" => Ok(None),
        _ => as_address(value).map(Some),
    }
}
