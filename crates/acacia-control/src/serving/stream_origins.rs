//! Which software versions have begun streams, as entries have told this replica. Each replica keeps its own copies, which
//! are neither replicated nor written to disk.

use acacia_runtime::event;
use acacia_wire::generated::serving::{OriginAnswer, OriginQuery, StreamOrigin};
use acacia_wire::{finding_to_wire, origin_from_wire};
use acaciabay::core::clock::BootTime;
use acaciabay::core::serving::software_version::SoftwareVersion;
use acaciabay::core::serving::stream_origin::{OriginEffect, OriginKey, OriginTable};
use parking_lot::Mutex;
use slog::Logger;

/// Maximum number of records, two for each stream: a minute of a thousand streams a second, in about 13 MB.
const MAX_ORIGINS: usize = 131_072;
/// Maximum number of streams in one question.
const MAX_QUERIED: usize = 64;

/// Records of streams that entries have told.
#[derive(Debug)]
pub(super) struct ToldOrigins {
    table: Mutex<OriginTable>,
    log: Logger,
}

impl ToldOrigins {
    pub(super) fn new(log: Logger) -> Self {
        Self {
            table: Mutex::new(OriginTable::new(MAX_ORIGINS)),
            log,
        }
    }

    /// Records a stream that an entry has begun.
    pub(super) fn record_told(&self, now: BootTime, entry: &str, origin: &StreamOrigin) {
        let (keys, version) = origin_from_wire(origin);
        let mut table = self.table.lock();
        let evicted = table.evicted();
        table.record(now, keys.content, version.as_ref());
        if table.record(now, keys.attempt, version.as_ref()) == OriginEffect::Conflict {
            slog::info!(self.log, "several versions have begun a stream"; "event" => event::ORIGIN_CONFLICT,
                "stream" => keys.attempt.0, "version" => version.as_ref().map(SoftwareVersion::as_str),
                "entry" => entry);
        }
        metrics::gauge!("acacia_stream_origins_held").set(table.len() as f64);
        metrics::counter!("acacia_stream_origins_evicted_total").increment(table.evicted() - evicted);
    }

    /// Returns what is known of the streams that an entry asks for.
    pub(super) fn answer(&self, now: BootTime, query: &OriginQuery) -> OriginAnswer {
        let table = self.table.lock();
        let keys = query.streams.iter().take(MAX_QUERIED).copied().map(OriginKey);
        let rows = keys.filter_map(|key| {
            let (finding, age) = table.find(now, key);
            finding_to_wire(key, &finding, age)
        });
        OriginAnswer {
            query: query.query,
            rows: rows.collect(),
        }
    }

    /// Removes the records that are too old.
    pub(super) fn forget_old(&self, now: BootTime) {
        let mut table = self.table.lock();
        table.remove_expired(now);
        metrics::gauge!("acacia_stream_origins_held").set(table.len() as f64);
    }
}
