//! Entries that only keep their lease, in large numbers, and count what that costs on the wire.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use acacia_runtime::clock::boot_now;
use acacia_wire::generated::entry::EntryReply;
use acacia_wire::generated::replica::Hello;
use acacia_wire::generated::replica::peer_frame::Frame;
use acacia_wire::{
    EntryAnswer, EntryCall, FrameReader, FrameWriter, LeaseRenewal, LeaseRequest, ReportRow, answer_from_wire,
    call_to_wire, split_frames,
};
use acaciabay::core::endpoint::{EndpointIncarnation, EndpointRow, EndpointState, EndpointWork};
use acaciabay::core::entry_config::ConfigVersion;
use acaciabay::core::member::{EntryIncarnation, JoinNonce};
use acaciabay::core::serving::suspect_view::SuspectReport;
use acaciabay::core::serving_lease::RENEWAL_INTERVAL;
use prost::Message;
use test_support::wait_until;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// The length that goes before each frame.
const FRAME_PREFIX: usize = 4;
const RETRY_PAUSE: Duration = Duration::from_millis(50);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// What all stubs together have sent and received.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FleetBytes {
    pub(crate) sent: u64,
    pub(crate) received: u64,
    pub(crate) renewals: u64,
}

#[derive(Debug, Default)]
struct StubCounters {
    sent: AtomicU64,
    received: AtomicU64,
    renewals: AtomicU64,
}

/// Many stub entries.
#[derive(Debug)]
pub(crate) struct StubFleet {
    counters: Vec<Arc<StubCounters>>,
    tasks: Vec<JoinHandle<()>>,
}

impl StubFleet {
    /// Starts stubs that together pass on reports of so many endpoints, two a second for each, and waits until all serve.
    pub(crate) async fn start(controls: &[SocketAddr], entries: usize, endpoints: usize) -> Self {
        let mut fleet = Self {
            counters: Vec::new(),
            tasks: Vec::new(),
        };
        for number in 0..entries {
            let counters = Arc::new(StubCounters::default());
            let own = (0..endpoints).filter(|endpoint| endpoint % entries == number).collect();
            let stub = StubEntry {
                host: format!("stub-{number}"),
                controls: controls.to_vec(),
                next: number,
                endpoints: own,
                counters: Arc::clone(&counters),
            };
            fleet.counters.push(counters);
            fleet.tasks.push(tokio::spawn(stub.run()));
        }
        wait_until("all stubs serve", || async {
            fleet
                .counters
                .iter()
                .all(|stub| stub.renewals.load(Ordering::Relaxed) > 0)
                .then_some(())
        })
        .await;
        fleet
    }

    pub(crate) fn bytes(&self) -> FleetBytes {
        let sum = |field: fn(&StubCounters) -> &AtomicU64| {
            self.counters
                .iter()
                .map(|stub| field(stub).load(Ordering::Relaxed))
                .sum()
        };
        FleetBytes {
            sent: sum(|stub| &stub.sent),
            received: sum(|stub| &stub.received),
            renewals: sum(|stub| &stub.renewals),
        }
    }

    /// Returns how often each stub has renewed.
    pub(crate) fn renewal_marks(&self) -> Vec<u64> {
        self.counters
            .iter()
            .map(|stub| stub.renewals.load(Ordering::Relaxed))
            .collect()
    }

    /// Waits until every stub has renewed twice since the marks: the first may have been under way before.
    pub(crate) async fn wait_all_renewed_after(&self, marks: &[u64], _started: Instant) {
        wait_until("all stubs have renewed", || async {
            let now = self.renewal_marks();
            now.iter().zip(marks).all(|(now, mark)| *now >= mark + 2).then_some(())
        })
        .await;
    }
}

impl Drop for StubFleet {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// What a whole configuration weighs on the wire.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConfigSizes {
    pub(crate) whole: u64,
}

/// Lets a stub of version 0 ask for everything once.
pub(crate) async fn config_sizes(controls: &[SocketAddr]) -> ConfigSizes {
    let counters = Arc::new(StubCounters::default());
    let stub = StubEntry {
        host: "stub-config".to_owned(),
        controls: controls.to_vec(),
        next: 0,
        endpoints: Vec::new(),
        counters: Arc::clone(&counters),
    };
    let task = tokio::spawn(stub.run());
    wait_until("the stub serves", || async {
        (counters.renewals.load(Ordering::Relaxed) > 0).then_some(())
    })
    .await;
    task.abort();
    ConfigSizes {
        whole: counters.received.load(Ordering::Relaxed),
    }
}

#[derive(Debug)]
struct StubEntry {
    host: String,
    controls: Vec<SocketAddr>,
    next: usize,
    endpoints: Vec<usize>,
    counters: Arc<StubCounters>,
}

#[derive(Debug)]
struct StubConnection {
    reader: FrameReader<TcpStream>,
    writer: FrameWriter<TcpStream>,
    counters: Arc<StubCounters>,
    last: u64,
}

impl StubEntry {
    async fn run(mut self) {
        let nonce = JoinNonce(rand_number(&self.host));
        let mut sequence = 0;
        loop {
            // A connection that fails or leads to another replica than the leader is replaced.
            let _failed = self.use_connection(nonce, &mut sequence).await;
            self.next += 1;
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn use_connection(&self, nonce: JoinNonce, sequence: &mut u64) -> std::io::Result<()> {
        let stream = TcpStream::connect(self.controls[self.next % self.controls.len()]).await?;
        stream.set_nodelay(true)?;
        let (reader, writer) = split_frames(stream);
        let counters = Arc::clone(&self.counters);
        let mut connection = StubConnection {
            reader,
            writer,
            counters,
            last: 0,
        };
        connection
            .writer
            .send(Frame::Hello(Hello {
                host: self.host.clone(),
                ..Hello::default()
            }))
            .await?;
        let join = EntryCall::Join {
            host: self.host.as_str().into(),
            domain: "d".into(),
            nonce,
        };
        let EntryAnswer::Joined(incarnation) = connection.call(&join).await? else {
            return Err(std::io::ErrorKind::InvalidData.into());
        };
        let (mut version, mut mark) = (ConfigVersion(0), 0);
        loop {
            *sequence += 1;
            let request = self.lease_request(incarnation, version, mark, *sequence);
            let EntryAnswer::Renewed(renewal) = connection.call(&EntryCall::Renew(request)).await? else {
                return Err(std::io::ErrorKind::InvalidData.into());
            };
            mark = renewal.endpoint_mark;
            version = version_after(version, &renewal);
            self.counters.renewals.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(RENEWAL_INTERVAL).await;
        }
    }

    fn lease_request(
        &self,
        incarnation: EntryIncarnation,
        version: ConfigVersion,
        endpoint_mark: u64,
        sequence: u64,
    ) -> LeaseRequest {
        LeaseRequest {
            incarnation,
            host: self.host.as_str().into(),
            version,
            reports: self
                .endpoints
                .iter()
                .map(|endpoint| report_of(*endpoint, sequence))
                .collect(),
            endpoint_mark,
            demands: Vec::new(),
            suspects: SuspectReport::default(),
        }
    }
}

impl StubConnection {
    async fn call(&mut self, call: &EntryCall) -> std::io::Result<EntryAnswer> {
        self.last += 1;
        let message = call_to_wire(boot_now(), self.last, "", call);
        self.counters
            .sent
            .fetch_add((message.encoded_len() + FRAME_PREFIX) as u64, Ordering::Relaxed);
        self.writer.send(Frame::EntryRequest(message)).await?;
        loop {
            let frame = tokio::time::timeout(ANSWER_TIMEOUT, self.reader.next()).await??;
            let Some(Frame::EntryReply(reply)) = frame else {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            };
            self.counters
                .received
                .fetch_add((reply.encoded_len() + FRAME_PREFIX) as u64, Ordering::Relaxed);
            if reply.request == self.last {
                return answer_of(reply);
            }
        }
    }
}

fn answer_of(reply: EntryReply) -> std::io::Result<EntryAnswer> {
    answer_from_wire(boot_now(), reply).map_err(std::io::Error::other)
}

fn version_after(version: ConfigVersion, renewal: &LeaseRenewal) -> ConfigVersion {
    let whole = renewal.whole.as_ref().map(|whole| whole.version);
    whole.unwrap_or(ConfigVersion(version.0 + renewal.changes.len() as u64))
}

fn report_of(endpoint: usize, sequence: u64) -> ReportRow {
    let row = EndpointRow {
        incarnation: EndpointIncarnation(1_764_720_000_000_000),
        sequence,
        address: SocketAddr::from(([10, 0, 0, 1], 9_000)),
        domain: "domain-3".into(),
        work: EndpointWork::Models(vec!["model-3".into()]),
        state: EndpointState::Ready,
        running: 11,
        slots: 64,
        pieces_used: 40,
        pieces: 64,
        version: None,
        heard_at: boot_now(),
    };
    (format!("runner-{endpoint}").as_str().into(), row)
}

/// Draws a nonce that differs between stubs.
fn rand_number(host: &str) -> u64 {
    host.bytes()
        .fold(boot_now().since_boot().subsec_nanos().into(), |number: u64, byte| {
            number.wrapping_mul(31).wrapping_add(byte.into())
        })
}
