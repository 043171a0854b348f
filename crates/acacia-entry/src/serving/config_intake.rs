//! Receipt and installation of configurations sent by replicas.

use std::io;
use std::sync::Arc;

use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acacia_wire::content_from_wire;
use acacia_wire::generated::serving::serving_renewed;
use acaciabay::core::clock::BootTime;
use acaciabay::core::serving::config::ConfigNumber;
use acaciabay::core::serving::config_index::ConfigIndex;
use acaciabay::core::serving::config_transfer::{ConfigDocument, ConfigReceiver};
use acaciabay::core::serving::pending_renewals::PendingRenewals;
use acaciabay::util::number::whole_millis;
use prost::Message;

use super::shared::EntryShared;

/// State of one session with a replica: the unanswered renewals and the configuration transfer.
#[derive(Debug, Default)]
pub(super) struct ReplicaSession {
    pub(super) renewals: PendingRenewals<ConfigDocument>,
    taken: ConfigReceiver,
}

/// Configuration that a replica has sent or confirmed in its answer to a renewal.
#[derive(Debug)]
pub(super) struct ConfigArrival {
    pub(super) config: ConfigDocument,
    /// Time at which the renewal was requested.
    pub(super) asked_at: BootTime,
    arrived_at: BootTime,
    /// Size of the document or delta in the answer; 0 if it had neither.
    pub(super) bytes: usize,
}

impl ReplicaSession {
    /// Processes the answer to a renewal. `number` is the number of the newest configuration, and `content` is its document
    /// or the difference from an earlier one.
    ///
    /// # Errors
    ///
    /// Fails if the renewal is not pending or the content cannot be applied. The session must then be closed.
    pub(super) fn take(
        &mut self,
        now: BootTime,
        renewal: u64,
        number: ConfigNumber,
        content: Option<serving_renewed::Content>,
    ) -> io::Result<ConfigArrival> {
        let asked = self.renewals.complete(renewal);
        let asked = asked.ok_or_else(|| io::Error::other("answer to a renewal that is not open"))?;
        let bytes = content_bytes(content.as_ref());
        let content = content.map(content_from_wire).transpose();
        let taken = self
            .taken
            .receive(number, content.map_err(io::Error::other)?, &asked.held);
        Ok(ConfigArrival {
            config: taken.map_err(io::Error::other)?.clone(),
            asked_at: asked.requested_at,
            arrived_at: now,
            bytes,
        })
    }
}

impl EntryShared {
    /// Installs a configuration, unless the entry holds it already or holds a newer one.
    ///
    /// # Errors
    ///
    /// Fails if the document cannot be parsed.
    pub(super) fn install_config(&self, arrival: &ConfigArrival) -> io::Result<()> {
        let number = arrival.config.number;
        let before = self.state().config.number;
        if number <= before {
            return Ok(());
        }
        let config = self.codec.read_config(&arrival.config.document).map_err(|findings| {
            slog::error!(self.log, "configuration is invalid"; "event" => event::CONFIG_UNREADABLE,
                "number" => number.0, "findings" => ?findings);
            io::Error::other("configuration cannot be read")
        })?;
        let index = Arc::new(ConfigIndex::new(config));
        let mut state = self.state();
        if number <= state.config.number {
            return Ok(());
        }
        let told_at = state.freshness.behind_since(state.config.number);
        state.config = arrival.config.clone();
        state.index = Some(index);
        drop(state);
        self.log_installed(arrival, before, told_at);
        Ok(())
    }

    fn log_installed(&self, arrival: &ConfigArrival, before: ConfigNumber, told_at: Option<BootTime>) {
        let now = boot_now();
        slog::info!(self.log, "configuration applied"; "event" => event::SERVING_CONFIG_APPLIED,
            "number" => arrival.config.number.0, "before" => before.0, "bytes" => arrival.bytes,
            "told_ms" => told_at.map(|told_at| whole_millis(now.since(told_at))),
            "asked_ms" => whole_millis(now.since(arrival.asked_at)),
            "read_ms" => whole_millis(now.since(arrival.arrived_at)));
        if let Some(told_at) = told_at {
            metrics::histogram!("acacia_config_in_force_seconds").record(now.since(told_at).as_secs_f64());
        }
    }
}

fn content_bytes(content: Option<&serving_renewed::Content>) -> usize {
    match content {
        Some(serving_renewed::Content::Document(document)) => document.len(),
        Some(serving_renewed::Content::Delta(delta)) => delta.encoded_len(),
        None => 0,
    }
}
