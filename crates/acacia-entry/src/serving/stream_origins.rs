//! Which software versions have begun streams: what this entry tells the replicas, and what it asks them when a caller takes
//! up a stream.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use acacia_runtime::clock::boot_now;
use acacia_wire::generated::replica::peer_frame::Frame;
use acacia_wire::generated::serving::serving_frame::Body;
use acacia_wire::generated::serving::{KnownOrigin, OriginAnswer, OriginQuery, ServingFrame};
use acacia_wire::{finding_from_wire, origin_to_wire};
use acaciabay::core::clock::BootTime;
use acaciabay::core::name::EndpointName;
use acaciabay::core::serving::endpoint_registry::REPORT_TIMEOUT;
use acaciabay::core::serving::origin_search::{FoundOrigin, OriginRule, OriginSearch, OriginSource, join_findings};
use acaciabay::core::serving::software_version::SoftwareVersion;
use acaciabay::core::serving::stream_origin::{
    ORIGIN_COPIES, ORIGIN_RETENTION, OriginFinding, OriginKey, OriginKeys, choose_keepers,
};
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};

/// Maximum number of streams that an entry remembers to have begun. A minute of thirty streams a second, in about 300 KB.
const MAX_OWN_STREAMS: usize = 2_048;
/// Maximum number of searches at a time. Callers that take up what nobody has begun would otherwise load the replicas.
const MAX_SEARCHES: usize = 256;
/// Maximum number of frames that wait to be written to one replica: all that it is told when its session opens, and as many more.
pub(super) const MAX_QUEUED_FRAMES: usize = 2 * MAX_OWN_STREAMS;
/// Time for which the answers of the replicas are waited for: many times the way to them.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(150);
/// Delay before the replicas are asked a second time. A record may still be on its way when its stream is taken up.
const SECOND_SEARCH_DELAY: Duration = Duration::from_millis(40);
/// The same while so few sessions are open that all replicas which know the stream may be missing. Lost sessions are opened
/// again within this time.
const RECONNECT_SEARCH_DELAY: Duration = Duration::from_millis(250);

/// A stream that this entry has begun.
#[derive(Clone, Debug)]
pub(super) struct ToldStream {
    pub(super) keys: OriginKeys,
    /// Endpoint that has begun it.
    pub(super) endpoint: EndpointName,
    /// `None` if it is not certain.
    pub(super) version: Option<SoftwareVersion>,
    pub(super) begun_at: BootTime,
}

/// A question to the replicas that is not settled, and who waits for the result.
#[derive(Debug)]
struct OpenSearch {
    search: OriginSearch,
    found: oneshot::Sender<FoundOrigin>,
}

/// Session with a replica. Dropping it ends what is expected of the replica.
#[derive(Debug)]
pub(super) struct SessionGuard<'exchange> {
    exchange: &'exchange OriginExchange,
    replica: SocketAddr,
}

impl Drop for SessionGuard<'_> {
    fn drop(&mut self) {
        self.exchange.detach(self.replica);
    }
}

#[derive(Debug)]
struct OriginState {
    /// Streams that this entry has begun, the oldest first.
    told: VecDeque<ToldStream>,
    /// Queues of the sessions with replicas that understand these messages.
    replicas: BTreeMap<SocketAddr, mpsc::Sender<Frame>>,
    searches: HashMap<u64, OpenSearch>,
    last_search: u64,
    /// Number of replicas that vote, as far as any of them has told.
    voters: usize,
}

/// Streams that this entry has begun, and its questions about others.
#[derive(Debug)]
pub(super) struct OriginExchange {
    state: Mutex<OriginState>,
}

impl OriginExchange {
    pub(super) fn new() -> Self {
        Self {
            state: Mutex::new(OriginState {
                told: VecDeque::new(),
                replicas: BTreeMap::new(),
                searches: HashMap::new(),
                last_search: 0,
                voters: 0,
            }),
        }
    }

    /// Opens the way to a replica, and tells it of all recent streams: it may have started just now, or have missed some.
    pub(super) fn attach(&self, now: BootTime, replica: SocketAddr, queue: mpsc::Sender<Frame>) {
        let mut state = self.state.lock();
        state.forget_old(now);
        for told in &state.told {
            enqueue(&queue, origin_frame(told));
        }
        state.replicas.insert(replica, queue);
    }

    /// Returns a guard of the session with a replica. Once it is dropped, nothing is expected of the replica any more.
    pub(super) const fn guard_session(&self, replica: SocketAddr) -> SessionGuard<'_> {
        SessionGuard {
            exchange: self,
            replica,
        }
    }

    fn detach(&self, replica: SocketAddr) {
        let mut state = self.state.lock();
        state.replicas.remove(&replica);
        let open: Vec<u64> = state.searches.keys().copied().collect();
        for search in open {
            state.settle(search, |open| open.record_lost(replica));
        }
    }

    /// Records how many replicas vote.
    pub(super) fn record_voters(&self, voters: usize) {
        self.state.lock().voters = voters;
    }

    /// Records that this entry has passed on the first event of a stream, and tells the replicas without waiting.
    ///
    /// A version of `None` says that it is not certain: it contradicts what was told before.
    pub(super) fn record_begun(&self, now: BootTime, told: ToldStream) {
        let mut state = self.state.lock();
        state.forget_old(now);
        state.tell(&told);
        state.told.push_back(told);
        metrics::gauge!("acacia_stream_origins_held").set(state.told.len() as f64);
    }

    /// Takes back which version has begun the recent streams of an endpoint that has started again at another version: the
    /// new incarnation may have begun them before this entry heard of it.
    pub(super) fn doubt_endpoint(&self, now: BootTime, endpoint: &EndpointName) -> usize {
        let mut state = self.state.lock();
        state.forget_old(now);
        let mut doubted = Vec::new();
        for told in &mut state.told {
            let is_recent = now.since(told.begun_at) < REPORT_TIMEOUT;
            if is_recent && told.endpoint == *endpoint && told.version.take().is_some() {
                doubted.push(told.clone());
            }
        }
        for told in &doubted {
            state.tell(told);
        }
        doubted.len()
    }

    /// Searches the version that has begun one of these streams: the caller knows its request or its content, and the service
    /// follows from the route, which may name several.
    pub(super) async fn search(&self, keys: &[OriginKey], rule: OriginRule) -> FoundOrigin {
        if keys.is_empty() {
            return FoundOrigin::nowhere(0, true);
        }
        let own = self.find_own(boot_now(), keys);
        let told = self.ask(keys, rule).await;
        if let Some(found) = join_findings(rule, own.as_ref(), &told) {
            return found;
        }
        tokio::time::sleep(self.second_search_delay()).await;
        let told = self.ask(keys, rule).await;
        join_findings(rule, own.as_ref(), &told).unwrap_or(told)
    }

    fn second_search_delay(&self) -> Duration {
        if self.state.lock().replicas.len() < ORIGIN_COPIES {
            RECONNECT_SEARCH_DELAY
        } else {
            SECOND_SEARCH_DELAY
        }
    }

    fn find_own(&self, now: BootTime, keys: &[OriginKey]) -> Option<FoundOrigin> {
        let mut state = self.state.lock();
        state.forget_old(now);
        let found = keys.iter().filter_map(|key| state.find_told(now, *key));
        single(found)
    }

    /// Asks all replicas, and returns what their answers settle.
    async fn ask(&self, keys: &[OriginKey], rule: OriginRule) -> FoundOrigin {
        let Some((search, found)) = self.begin_search(keys, rule) else {
            return FoundOrigin::nowhere(0, false);
        };
        let answer = tokio::time::timeout(SEARCH_TIMEOUT, found).await;
        let open = self.state.lock().searches.remove(&search);
        let so_far = open.map_or(FoundOrigin::nowhere(0, false), |open| open.search.result());
        answer.map_or(so_far, |answer| answer.unwrap_or(FoundOrigin::nowhere(0, false)))
    }

    fn begin_search(&self, keys: &[OriginKey], rule: OriginRule) -> Option<(u64, oneshot::Receiver<FoundOrigin>)> {
        let mut state = self.state.lock();
        if state.searches.len() >= MAX_SEARCHES {
            metrics::counter!("acacia_stream_origin_searches_total", "outcome" => "too_many").increment(1);
            return None;
        }
        state.last_search += 1;
        let number = state.last_search;
        let query = query_frame(number, keys);
        let asked = state.replicas.iter().filter(|(_, queue)| enqueue(queue, query.clone()));
        let asked: BTreeSet<_> = asked.map(|(address, _)| *address).collect();
        if asked.is_empty() {
            return None;
        }
        let (found, receiver) = oneshot::channel();
        let search = OriginSearch::begin(rule, asked, state.voters);
        state.searches.insert(number, OpenSearch { search, found });
        Some((number, receiver))
    }

    /// Takes the answer of a replica.
    pub(super) fn receive(&self, replica: SocketAddr, answer: &OriginAnswer) {
        let found = single(answer.rows.iter().map(|row| found_at(replica, row)));
        self.state
            .lock()
            .settle(answer.query, |open| open.record_answer(replica, found));
    }
}

impl OriginState {
    /// Tells the replicas that keep a stream of it.
    fn tell(&self, told: &ToldStream) {
        let replicas: Vec<_> = self.replicas.iter().collect();
        for (_, queue) in choose_keepers(told.keys.attempt, &replicas, |(address, _)| address.to_string()) {
            enqueue(queue, origin_frame(told));
        }
        metrics::counter!("acacia_stream_origins_told_total").increment(1);
    }

    /// Returns what this entry has told of the streams with a key.
    fn find_told(&self, now: BootTime, key: OriginKey) -> Option<FoundOrigin> {
        let mut streams = self.told.iter().filter(|told| told.keys.contains(key));
        let first = streams.next()?;
        let version = first.version.as_ref();
        let version = version.filter(|_| streams.all(|told| told.version == first.version));
        Some(FoundOrigin {
            finding: version
                .cloned()
                .map_or(OriginFinding::Conflicting, OriginFinding::Known),
            key: Some(key),
            source: OriginSource::Own,
            age: now.since(first.begun_at),
            is_settled: true,
        })
    }

    /// Removes the streams that are too old or too many.
    fn forget_old(&mut self, now: BootTime) {
        while let Some(oldest) = self.told.front()
            && (self.told.len() >= MAX_OWN_STREAMS || now.since(oldest.begun_at) >= ORIGIN_RETENTION)
        {
            self.told.pop_front();
        }
    }

    /// Takes what a replica has answered, or that it will not, and ends the search if that settles it.
    fn settle(&mut self, number: u64, record: impl FnOnce(&mut OriginSearch) -> Option<FoundOrigin>) {
        let Some(open) = self.searches.get_mut(&number) else {
            return;
        };
        let Some(found) = record(&mut open.search) else {
            return;
        };
        if let Some(open) = self.searches.remove(&number) {
            // The caller may have left.
            let _unheard = open.found.send(found);
        }
    }
}

/// Returns what was found, if anything. Two streams of one request contradict each other: each is of another service.
fn single(found: impl IntoIterator<Item = FoundOrigin>) -> Option<FoundOrigin> {
    let mut found = found.into_iter();
    let first = found.next()?;
    let is_single = found.next().is_none();
    Some(if is_single { first } else { first.conflicting() })
}

fn found_at(replica: SocketAddr, row: &KnownOrigin) -> FoundOrigin {
    let (key, finding, age) = finding_from_wire(row);
    FoundOrigin {
        finding,
        key: Some(key),
        source: OriginSource::Replica(replica),
        age,
        is_settled: true,
    }
}

/// Adds a frame to the queue of a session. Returns false if it is full or the session has ended.
fn enqueue(queue: &mpsc::Sender<Frame>, frame: Frame) -> bool {
    let is_queued = queue.try_send(frame).is_ok();
    if !is_queued {
        metrics::counter!("acacia_stream_origins_dropped_total").increment(1);
    }
    is_queued
}

fn origin_frame(told: &ToldStream) -> Frame {
    serving_frame(Body::Origin(origin_to_wire(told.keys, told.version.as_ref())))
}

fn query_frame(query: u64, keys: &[OriginKey]) -> Frame {
    serving_frame(Body::OriginQuery(OriginQuery {
        query,
        streams: keys.iter().map(|key| key.0).collect(),
    }))
}

fn serving_frame(body: Body) -> Frame {
    Frame::Serving(ServingFrame { body: Some(body) })
}
