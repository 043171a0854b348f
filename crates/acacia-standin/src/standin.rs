//! A running stand-in: its state, its listener and its reports.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use acacia_http::{ServerBounds, listen, serve_http};
use acacia_runtime::event;
use acacia_settings::StandinSettings;
use anyhow::Context;
use parking_lot::{Mutex, MutexGuard};
use slog::Logger;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::fault::FaultPlan;
use crate::record::{RunRecord, RunState, StandinRecord};
use crate::report::report_load;
use crate::routes::answer;

/// How long a request runs before it ends the process.
const ENDING_TIME: Duration = Duration::from_millis(20);

/// The state of a stand-in, shared by its requests.
#[derive(Debug)]
pub(crate) struct Standin {
    pub(crate) settings: StandinSettings,
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: u64,
    pub(crate) running: AtomicU32,
    /// Held by the one prompt that is being worked off, so that prompts share the prefill rate.
    pub(crate) prefill: tokio::sync::Mutex<()>,
    /// The engine's memory; requests wait for it first come, first served.
    pub(crate) memory: Arc<Semaphore>,
    /// Streams that are being generated, which share the batch rate.
    pub(crate) generating: AtomicU32,
    state: Mutex<StandinState>,
}

#[derive(Debug, Default)]
pub(crate) struct StandinState {
    pub(crate) record: StandinRecord,
    pub(crate) faults: FaultPlan,
    pub(crate) draining: bool,
    pub(crate) last_order: u64,
    /// Starts of prompts that are cached, the latest used last.
    pub(crate) cache: VecDeque<Vec<u8>>,
}

impl Standin {
    pub(crate) fn lock(&self) -> MutexGuard<'_, StandinState> {
        self.state.lock()
    }

    /// Takes one of the slots, or tells that none is free.
    pub(crate) fn take_slot(self: &Arc<Self>) -> Option<SlotGuard> {
        let slots = self.settings.slots;
        let taken = self.running.fetch_update(Ordering::AcqRel, Ordering::Acquire, |used| {
            (used < slots).then_some(used + 1)
        });
        taken.is_ok().then(|| SlotGuard(Arc::clone(self)))
    }

    /// Notes the start of a run and returns its place in the record.
    pub(crate) fn begin_run(&self, run: RunRecord) -> usize {
        let mut state = self.lock();
        let fatal = &state.faults.end_under;
        if !fatal.is_empty() && run.body.contains(fatal) {
            tokio::spawn(end_process());
        }
        state.record.runs.push(run);
        state.record.runs.len() - 1
    }

    /// Looks a prompt's start up in the cache and keeps it there; tells whether it was there.
    pub(crate) fn touch_prefix(&self, prefix: &[u8]) -> bool {
        let mut state = self.lock();
        let found = state.cache.iter().position(|known| known == prefix);
        let known = found.and_then(|place| state.cache.remove(place));
        let is_hit = known.is_some();
        state.cache.push_back(known.unwrap_or_else(|| prefix.to_vec()));
        if state.cache.len() > usize::try_from(self.settings.cached_prefixes).unwrap_or(0) {
            state.cache.pop_front();
        }
        is_hit
    }

    pub(crate) fn finish_run(&self, place: usize, tokens: u64) {
        let mut state = self.lock();
        let run = &mut state.record.runs[place];
        run.tokens = tokens;
        run.state = RunState::Finished;
    }
}

/// Ends the process as a crash does, while the request that causes it is being worked on.
async fn end_process() {
    tokio::time::sleep(ENDING_TIME).await;
    std::process::exit(1);
}

/// A slot in use; dropping it frees the slot, also when the caller goes away.
#[derive(Debug)]
pub(crate) struct SlotGuard(Arc<Standin>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A stand-in that has started.
#[derive(Debug)]
pub struct RunningStandin {
    /// Where it takes requests.
    pub address: SocketAddr,
    server: JoinHandle<()>,
}

impl RunningStandin {
    /// Waits until the stand-in has stopped.
    ///
    /// # Errors
    ///
    /// Fails when one of its tasks panicked.
    pub async fn finished(self) -> anyhow::Result<()> {
        self.server.await.context("stand-in failed")
    }
}

/// Starts a stand-in that runs until `stop` is cancelled.
///
/// # Errors
///
/// Fails when its address is taken.
pub async fn start(settings: StandinSettings, stop: CancellationToken, log: Logger) -> anyhow::Result<RunningStandin> {
    let listener = listen(settings.address).await?;
    let address = listener.local_addr()?;
    let incarnation = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_micros());
    let pieces = usize::try_from(settings.pieces).unwrap_or(usize::MAX);
    let standin = Arc::new(Standin {
        settings,
        address,
        incarnation: u64::try_from(incarnation).unwrap_or(u64::MAX),
        running: AtomicU32::new(0),
        prefill: tokio::sync::Mutex::new(()),
        memory: Arc::new(Semaphore::new(pieces)),
        generating: AtomicU32::new(0),
        state: Mutex::new(StandinState::default()),
    });
    slog::info!(log, "stand-in started"; "event" => event::STARTED, "address" => %address);
    tokio::spawn(report_load(Arc::clone(&standin), stop.clone()));
    let server = tokio::spawn(serve_http(listener, ServerBounds::default(), stop, move |request| {
        answer(Arc::clone(&standin), log.clone(), request)
    }));
    Ok(RunningStandin { address, server })
}
