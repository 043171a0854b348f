//! A whole system of real processes.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use acacia_http::{FetchRequest, fetch_json};
use acacia_operator::{IssuedKey, OperatorClient};
use acacia_standin::StandinRecord;
use hyper::Method;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::caller::Caller;
use crate::cluster_shape::{ClusterShape, ProgramPaths};
use crate::program::Program;
use crate::relay::Relay;

pub(crate) const OPERATOR_TOKEN: &str = "test-operator-token";
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Processes of one system, with the files that they were started from.
#[derive(Debug)]
pub struct TestCluster {
    pub(crate) paths: ProgramPaths,
    pub(crate) folder: TempDir,
    pub(crate) ip: Ipv4Addr,
    pub(crate) shape: ClusterShape,
    operator: OnceLock<OperatorClient>,
    /// Relays before the control replicas' peer addresses, for clusters that were started with them: other replicas
    /// and entries connect through these.
    pub relays: Vec<Relay>,
    /// The control replicas; nothing where one is not running.
    pub controls: Vec<Option<Program>>,
    /// The entries.
    pub entries: Vec<Option<Program>>,
    /// The engines, then the booking services.
    pub endpoints: Vec<Option<Program>>,
}

impl TestCluster {
    /// Starts all processes and waits until each listens.
    ///
    /// # Panics
    ///
    /// Panics when one does not start.
    pub fn start(paths: ProgramPaths, shape: &ClusterShape) -> Self {
        let mut cluster = Self {
            paths,
            folder: TempDir::new().expect("the system has a temporary folder"),
            ip: next_address(),
            shape: shape.clone(),
            operator: OnceLock::new(),
            relays: Vec::new(),
            controls: Vec::new(),
            entries: Vec::new(),
            endpoints: Vec::new(),
        };
        if shape.relays {
            cluster.relays = (0..shape.controls).map(|index| cluster.start_relay(index)).collect();
        }
        cluster.form_group();
        for index in 0..shape.controls {
            cluster.controls.push(None);
            cluster.start_control(index);
        }
        for index in 0..shape.entries {
            cluster.entries.push(None);
            cluster.start_entry(index);
        }
        for index in 0..shape.engines + shape.bookings + usize::from(shape.platform) {
            cluster.endpoints.push(None);
            cluster.start_endpoint(index);
        }
        cluster
    }

    /// Makes the first control host the first replica of a new group.
    fn form_group(&self) {
        let settings = self.write_settings("control-1", &self.control_settings(0));
        let status = Command::new(self.paths.control)
            .arg("--settings")
            .arg(&settings)
            .arg("--form")
            .args(self.form_address())
            .status();
        assert!(
            status.expect("the program can be run").success(),
            "the group could not be formed"
        );
    }

    /// Admits all control hosts to the group, one after the other, and waits until each votes.
    ///
    /// # Panics
    ///
    /// Panics when that does not succeed.
    pub async fn complete_group(&self) {
        let operator = self.operator();
        for index in 1..self.shape.controls {
            let body = json!({"host": control_name(index), "address": self.member_address(index).to_string()});
            let added = operator.expect(Method::POST, "/v1/members", Some(&body)).await;
            added.expect("the host can be admitted");
            self.wait_voter(index).await;
        }
    }

    /// Starts a control replica (again).
    pub fn start_control(&mut self, index: usize) {
        let settings = self.write_settings(&control_name(index), &self.control_settings(index));
        let program = Program::start(&control_name(index), Path::new(self.paths.control), &settings, &[]);
        program.wait_event("E0101");
        self.controls[index] = Some(program);
    }

    /// Starts an entry (again).
    pub fn start_entry(&mut self, index: usize) {
        let settings = self.write_settings(&format!("entry-{}", index + 1), &self.entry_settings(index));
        let program = Program::start(
            &format!("entry-{}", index + 1),
            Path::new(self.paths.entry),
            &settings,
            &[],
        );
        program.wait_event("E0101");
        self.entries[index] = Some(program);
    }

    /// Starts an endpoint (again).
    pub fn start_endpoint(&mut self, index: usize) {
        let name = self.endpoint_name(index);
        let settings = self.write_settings(&name, &self.endpoint_settings(index));
        let program = Program::start(&name, Path::new(self.paths.standin), &settings, &[]);
        program.wait_event("E0101");
        self.endpoints[index] = Some(program);
    }

    /// Returns a client for the operators' interface of all replicas.
    ///
    /// # Panics
    ///
    /// Panics when the cluster has no replica.
    pub fn operator(&self) -> OperatorClient {
        let all: Vec<usize> = (0..self.shape.controls).collect();
        self.operator.get_or_init(|| self.operator_of_all(&all)).clone()
    }

    /// Returns a client for the operators' interface of one replica.
    ///
    /// # Panics
    ///
    /// Never, as one address is enough for a client.
    pub fn operator_of(&self, index: usize) -> OperatorClient {
        self.operator_of_all(&[index])
    }

    /// Returns a client for the operators' interface of some replicas.
    ///
    /// # Panics
    ///
    /// Panics when none is named.
    pub fn operator_of_all(&self, indices: &[usize]) -> OperatorClient {
        let addresses = indices.iter().map(|index| self.control_address(*index, 1)).collect();
        OperatorClient::new(addresses, OPERATOR_TOKEN).expect("at least one replica is named")
    }

    /// Returns the operators' token.
    pub const fn operator_token(&self) -> &'static str {
        OPERATOR_TOKEN
    }

    /// Returns the operator addresses of all replicas as the `acacia` command takes them.
    pub fn control_option(&self) -> String {
        let addresses = (0..self.shape.controls).map(|index| self.control_address(index, 1).to_string());
        addresses.collect::<Vec<_>>().join(",")
    }

    /// Applies the usual tables, issues a key to `bottega-amati` and waits until everything is in force.
    ///
    /// # Panics
    ///
    /// Panics when that does not succeed.
    pub async fn configure(&self) -> IssuedKey {
        self.complete_group().await;
        self.wait_entries().await;
        self.apply("pools", &default_pools()).await;
        self.apply("routes", &default_routes("bottega-amati")).await;
        let key = self.issue_key("bottega-amati").await;
        self.wait_endpoints().await;
        key
    }

    /// Issues a key and waits until it is in force.
    ///
    /// # Panics
    ///
    /// Panics when that does not succeed.
    pub async fn issue_key(&self, customer: &str) -> IssuedKey {
        let operator = self.operator();
        let key = operator.issue_key(customer).await.expect("a key can be issued");
        operator
            .wait_in_force(key.version, IN_FORCE_TIMEOUT)
            .await
            .expect("the key comes into force");
        key
    }

    /// Replaces a table and waits until that is in force.
    ///
    /// # Panics
    ///
    /// Panics when that does not succeed.
    pub async fn apply(&self, table: &str, rows: &Value) {
        let operator = self.operator();
        let number = operator.read_table(table).await.expect("the table can be read")["number"]
            .as_u64()
            .unwrap_or(0);
        let answer = operator
            .write_table(table, number, rows, false)
            .await
            .expect("the table can be written");
        let version = answer["version"].as_u64().unwrap_or(0);
        operator
            .wait_in_force(version, IN_FORCE_TIMEOUT)
            .await
            .expect("the table comes into force");
    }

    /// Returns a caller at one of the entries.
    pub fn caller(&self, entry: usize, key: &IssuedKey) -> Caller {
        Caller::new(self.entry_address(entry, 0), key.secret.clone())
    }

    /// Returns what an endpoint has done.
    ///
    /// # Panics
    ///
    /// Panics when the endpoint cannot be asked.
    pub async fn record(&self, endpoint: usize) -> StandinRecord {
        let request = FetchRequest::new(&Method::GET, "/standin/record");
        let answer = fetch_json(self.endpoint_address(endpoint), request, ANSWER_TIMEOUT).await;
        serde_json::from_value(answer.expect("the stand-in answers").body).expect("the record is in its form")
    }

    /// Switches faults of an endpoint on.
    ///
    /// # Panics
    ///
    /// Panics when the endpoint does not take them.
    pub async fn set_faults(&self, endpoint: usize, faults: &Value) {
        let request = FetchRequest {
            body: Some(faults),
            ..FetchRequest::new(&Method::PUT, "/standin/faults")
        };
        let answer = fetch_json(self.endpoint_address(endpoint), request, ANSWER_TIMEOUT).await;
        assert!(
            answer.expect("the stand-in answers").status.is_success(),
            "faults were refused"
        );
    }

    /// Returns one of an entry's addresses: 0 for callers, 1 for endpoints, 2 for health and metrics.
    pub fn entry_address(&self, index: usize, which: u16) -> SocketAddr {
        self.address(2_000, index, which)
    }

    /// Returns one of a replica's addresses: 0 for peers, 1 for operators, 2 for health and metrics.
    pub fn control_address(&self, index: usize, which: u16) -> SocketAddr {
        self.address(1_100, index, which)
    }

    /// Returns the address of an endpoint.
    pub fn endpoint_address(&self, index: usize) -> SocketAddr {
        self.address(3_000, index, 0)
    }

    /// Returns the address under which the other replicas know a replica.
    pub(crate) fn member_address(&self, index: usize) -> SocketAddr {
        self.relays
            .get(index)
            .map_or_else(|| self.control_address(index, 0), |relay| relay.address)
    }

    /// Returns the data folder of a replica.
    pub fn control_folder(&self, index: usize) -> PathBuf {
        self.folder.path().join(format!("control-{}-data", index + 1))
    }

    /// Returns the temporary folder of the cluster.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the place of the platform among the endpoints.
    pub const fn platform(&self) -> usize {
        self.shape.engines + self.shape.bookings
    }

    /// Returns the name of an endpoint.
    pub fn endpoint_name(&self, index: usize) -> String {
        if index == self.platform() {
            return "platform".to_owned();
        }
        if index < self.shape.engines {
            format!("engine-{}", index + 1)
        } else {
            format!("booking-{}", index + 1 - self.shape.engines)
        }
    }

    pub(crate) fn address(&self, base: u16, index: usize, which: u16) -> SocketAddr {
        let index = u16::try_from(index).expect("clusters are small");
        SocketAddr::new(IpAddr::V4(self.ip), base + index * 10 + which)
    }

    fn form_address(&self) -> Vec<String> {
        vec!["--peer-address".to_owned(), self.member_address(0).to_string()]
    }

    fn start_relay(&self, index: usize) -> Relay {
        Relay::start(self.address(4_000, index, 0), self.control_address(index, 0))
    }
}

/// The pools that tests use.
fn default_pools() -> Value {
    json!([
        {"name": "engines", "kind": "engine", "endpoints": ["engine-*"]},
        {"name": "booking", "kind": "at_most_once", "endpoints": ["booking-*"]},
    ])
}

/// The routes of one customer to the default pools.
fn default_routes(customer: &str) -> Value {
    json!([
        {"customer": customer, "model": "liuto-7b", "pool": "engines", "deadline_ms": 30_000},
        {"customer": customer, "service": "booking", "pool": "booking", "deadline_ms": 10_000},
    ])
}

pub(crate) fn control_name(index: usize) -> String {
    format!("control-{}", index + 1)
}

/// Draws a loopback address that no other cluster of this or another test process uses.
fn next_address() -> Ipv4Addr {
    static CLUSTERS: AtomicU16 = AtomicU16::new(0);
    let number = CLUSTERS.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let [_, high, middle, low] = process.to_be_bytes();
    let third = middle.wrapping_add(high.wrapping_mul(31));
    Ipv4Addr::new(127, 1 + third % 250, low, u8::try_from(1 + number % 250).unwrap_or(1))
}
