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
use acaciabay::core::serving::endpoint_speed::SpeedSource;
use acaciabay::core::serving::pending_renewals::PendingRenewals;
use acaciabay::util::number::whole_millis;
use prost::Message;

use super::shared::EntryShared;

/// State of one session with a replica: the unanswered renewals and the configuration transfer.
#[derive(Debug, Default)]
pub(super) struct ReplicaSession {
    pub(super) renewals: PendingRenewals<ConfigDocument>,
    receiver: ConfigReceiver,
    /// Number of the connection, by which speeds that its replica has told are known.
    pub(super) speed_source: SpeedSource,
}

impl ReplicaSession {
    /// Returns the state of a connection that has just been opened.
    pub(super) fn new(speed_source: SpeedSource) -> Self {
        Self {
            speed_source,
            ..Self::default()
        }
    }
}

/// Configuration that a replica has sent or confirmed in its answer to a renewal.
#[derive(Debug)]
pub(super) struct ReceivedConfig {
    pub(super) config: ConfigDocument,
    /// Time at which the renewal was requested.
    pub(super) requested_at: BootTime,
    received_at: BootTime,
    /// Size of the document or delta in the answer; 0 if it had neither.
    pub(super) bytes: usize,
}

impl ReplicaSession {
    /// Processes the answer to a renewal. `number` is the number of the newest configuration, if there is one, and `content` is its
    /// document or the difference from an earlier one.
    ///
    /// # Errors
    ///
    /// Fails if the renewal is not pending or the content cannot be applied. The session must then be closed.
    pub(super) fn receive_answer(
        &mut self,
        now: BootTime,
        renewal: u64,
        number: Option<ConfigNumber>,
        content: Option<serving_renewed::Content>,
    ) -> io::Result<ReceivedConfig> {
        let asked = self.renewals.complete(renewal);
        let asked = asked.ok_or_else(|| io::Error::other("answer to a renewal that is not open"))?;
        let bytes = content_bytes(content.as_ref());
        let content = content.map(content_from_wire).transpose();
        let taken = self
            .receiver
            .receive(number, content.map_err(io::Error::other)?, &asked.held);
        Ok(ReceivedConfig {
            config: taken.map_err(io::Error::other)?.clone(),
            requested_at: asked.requested_at,
            received_at: now,
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
    pub(super) fn install_config(&self, received: &ReceivedConfig) -> io::Result<()> {
        let previous = self.state().config.number;
        let Some(number) = received.config.number.filter(|number| Some(*number) > previous) else {
            return Ok(());
        };
        let config = self.codec.read_config(&received.config.document).map_err(|findings| {
            slog::error!(self.log, "configuration is invalid"; "event" => event::CONFIG_UNREADABLE,
                "number" => number.0, "findings" => ?findings);
            io::Error::other("configuration cannot be read")
        })?;
        let index = Arc::new(ConfigIndex::new(config));
        let mut state = self.state();
        if Some(number) <= state.config.number {
            return Ok(());
        }
        let announced_at = state.freshness.behind_since(state.config.number);
        state.config = received.config.clone();
        state.index = Some(index);
        drop(state);
        self.log_installed(received, number, previous, announced_at);
        Ok(())
    }

    fn log_installed(
        &self,
        received: &ReceivedConfig,
        number: ConfigNumber,
        previous: Option<ConfigNumber>,
        announced_at: Option<BootTime>,
    ) {
        let now = boot_now();
        slog::info!(self.log, "configuration applied"; "event" => event::SERVING_CONFIG_APPLIED,
            "number" => number.0, "before" => previous.map(|previous| previous.0), "bytes" => received.bytes,
            "told_ms" => announced_at.map(|announced_at| whole_millis(now.since(announced_at))),
            "asked_ms" => whole_millis(now.since(received.requested_at)),
            "read_ms" => whole_millis(now.since(received.received_at)));
        if let Some(announced_at) = announced_at {
            metrics::histogram!("acacia_config_in_force_seconds").record(now.since(announced_at).as_secs_f64());
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
