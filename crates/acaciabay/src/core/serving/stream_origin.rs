//! Which software version has begun a stream, known beyond the entry that has begun it.
//!
//! A caller may take a stream up at another entry, most often because the first one is gone. The version is recorded once,
//! with the first event, and may only be taken back. So every copy of a record is right, a lost one means that the version is
//! unknown, and copies need neither order nor quorum. `docs/design/stream-versions.md` gives the reasons.

use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use sha2::{Digest, Sha256};

use super::call_fingerprint::CallContent;
use super::software_version::SoftwareVersion;
use crate::core::clock::BootTime;
use crate::core::name::{CustomerName, ServiceName};
use crate::util::digest::update_separated;
use crate::util::rendezvous;

/// Time for which a record is kept. Callers take a stream up within the time that they wait for its answer.
pub const ORIGIN_RETENTION: Duration = Duration::from_secs(60);

/// Number of replicas that are told of each stream.
pub const ORIGIN_COPIES: usize = 3;

/// Identifies a stream: a hash of its customer, its service, and either the identifier of the attempt that brought its first
/// event or the content of the call.
///
/// The customer is a part of it so that nobody can learn of another customer's streams or contradict their records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OriginKey(pub u64);

impl OriginKey {
    /// Returns the key of a stream by the attempt that brought its first event.
    pub fn of_attempt(customer: Option<&CustomerName>, service: &ServiceName, request: &str) -> Self {
        let customer = customer.map_or("", CustomerName::as_str);
        Self::hash("attempt", service, [customer, request].map(str::as_bytes))
    }

    /// Returns the key of a stream by the content of its call, for callers that name no attempt. All calls of the same content
    /// have the same key.
    pub fn of_content(service: &ServiceName, content: &CallContent<'_>) -> Self {
        let customer = content.customer.map_or("", CustomerName::as_str);
        let head = [customer, content.method, content.host, content.target].map(str::as_bytes);
        Self::hash("content", service, head.into_iter().chain([content.body]))
    }

    fn hash<'field>(
        kind: &'field str,
        service: &'field ServiceName,
        fields: impl IntoIterator<Item = &'field [u8]>,
    ) -> Self {
        let mut hasher = Sha256::new();
        let first = [kind, service.as_str()].map(str::as_bytes);
        update_separated(&mut hasher, first.into_iter().chain(fields));
        let digest: [u8; 32] = hasher.finalize().into();
        let mut first = [0; 8];
        first.copy_from_slice(&digest[..8]);
        Self(u64::from_be_bytes(first))
    }
}

/// Keys of one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OriginKeys {
    /// Key by the attempt that brought the first event.
    pub attempt: OriginKey,
    /// Key by the content of the call.
    pub content: OriginKey,
}

impl OriginKeys {
    /// Returns true if the stream has this key.
    pub fn contains(&self, key: OriginKey) -> bool {
        self.attempt == key || self.content == key
    }
}

/// What is known of the version that has begun a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginFinding {
    /// No record of the stream.
    Unknown,
    /// Records name several versions, as the identifier was used more than once, or the version is not certain.
    Conflicting,
    /// This version has begun the stream.
    Known(SoftwareVersion),
}

/// Effect of a record on a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginEffect {
    /// The stream was not known.
    New,
    /// The table holds the same already.
    Same,
    /// The table held another version, and holds none from now on.
    Conflict,
}

#[derive(Clone, Debug)]
struct OriginRow {
    /// `None` if records name several versions, or one says that it is not certain.
    version: Option<SoftwareVersion>,
    recorded_at: BootTime,
}

/// Records of streams, limited in number and in age. The oldest are removed first.
#[derive(Clone, Debug)]
pub struct OriginTable {
    rows: HashMap<OriginKey, OriginRow>,
    /// Keys of all rows in the order in which they were recorded.
    order: VecDeque<OriginKey>,
    capacity: usize,
    evicted: u64,
}

impl OriginTable {
    /// Creates a table for at most `capacity` records.
    pub fn new(capacity: usize) -> Self {
        Self {
            rows: HashMap::new(),
            order: VecDeque::new(),
            capacity,
            evicted: 0,
        }
    }

    /// Records which version has begun a stream; `None` if that is not certain.
    pub fn record(&mut self, now: BootTime, key: OriginKey, version: Option<&SoftwareVersion>) -> OriginEffect {
        self.remove_expired(now);
        if let Some(row) = self.rows.get_mut(&key) {
            if row.version.as_ref() == version {
                return OriginEffect::Same;
            }
            row.version = None;
            return OriginEffect::Conflict;
        }
        if self.rows.len() >= self.capacity {
            self.remove_oldest();
            self.evicted += 1;
        }
        let row = OriginRow {
            version: version.cloned(),
            recorded_at: now,
        };
        self.rows.insert(key, row);
        self.order.push_back(key);
        OriginEffect::New
    }

    /// Returns what is known of a stream, and how long ago it was recorded.
    pub fn find(&self, now: BootTime, key: OriginKey) -> (OriginFinding, Duration) {
        let row = self.rows.get(&key);
        let Some(row) = row.filter(|row| now.since(row.recorded_at) < ORIGIN_RETENTION) else {
            return (OriginFinding::Unknown, Duration::ZERO);
        };
        let finding = row.version.clone();
        let finding = finding.map_or(OriginFinding::Conflicting, OriginFinding::Known);
        (finding, now.since(row.recorded_at))
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns true if there are no records.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns how many records were removed before their time because there were too many.
    pub const fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Removes the records that are too old.
    pub fn remove_expired(&mut self, now: BootTime) {
        while let Some(row) = self.order.front().and_then(|key| self.rows.get(key))
            && now.since(row.recorded_at) >= ORIGIN_RETENTION
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some(key) = self.order.pop_front() {
            self.rows.remove(&key);
        }
    }
}

/// Returns the replicas that are told of a stream. All entries that have sessions with the same replicas choose the same ones.
pub fn choose_keepers<R>(key: OriginKey, replicas: &[R], name: impl Fn(&R) -> String) -> Vec<&R> {
    let hash = rendezvous::hash(&key.0.to_be_bytes());
    let score = |replica: &R| rendezvous::combine_hashes(hash, rendezvous::hash(name(replica).as_bytes()));
    let mut ranked: Vec<_> = replicas.iter().map(|replica| (score(replica), replica)).collect();
    ranked.sort_unstable_by_key(|(score, _)| Reverse(*score));
    ranked
        .into_iter()
        .take(ORIGIN_COPIES)
        .map(|(_, replica)| replica)
        .collect()
}
