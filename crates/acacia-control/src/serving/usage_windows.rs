//! Delivery of usage windows to the platform. A window is sealed in the replicated log before it is first sent, so that
//! every repetition has the same counts.

use std::time::Duration;

use acacia_runtime::clock::{boot_now, wall_nanos};
use acacia_runtime::event;
use acaciabay::core::clock::BootTime;
use acaciabay::core::control_state::ControlCommand;
use acaciabay::core::serving::serving_state::ServingCommand;
use acaciabay::core::serving::start_counts::{CustomerCounts, WindowNumber};
use acaciabay::ops::plan_windows::{WindowClock, plan_windows};
use acaciabay::util::number::whole_millis;
use hyper::StatusCode;
use tokio::sync::oneshot;

use super::duties::{DutyContext, OwnedDutyContext};
use super::shared::ControlShared;
use super::soft_state::ENTRY_TIMEOUT;

/// Minimum time from the start of one attempt to send a window to the next attempt.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(500);

/// Usage windows as delivered by one duty holder.
#[derive(Debug)]
pub(super) struct UsageWindows {
    began_at: BootTime,
    attempt: Option<oneshot::Receiver<()>>,
    next_send: BootTime,
}

impl UsageWindows {
    /// Begins as the holder of the duties.
    pub(super) fn begin(now: BootTime) -> Self {
        Self {
            began_at: now,
            attempt: None,
            next_send: BootTime::default(),
        }
    }

    /// Commits new counts, seals the windows that are due, and sends the oldest one that the platform has not accepted.
    pub(super) async fn tick(&mut self, context: &DutyContext<'_>) {
        // The windows are chosen before the counts are committed. While a commit takes long, entries report more counts, and
        // would count as heard although these are not committed.
        let due = due_windows(context.shared, self.began_at);
        if commit_counts(context.shared).await {
            seal_windows(context.shared, due).await;
        }
        self.send_oldest(context);
    }

    fn send_oldest(&mut self, context: &DutyContext<'_>) {
        if let Some(attempt) = &mut self.attempt {
            if attempt.try_recv() == Err(oneshot::error::TryRecvError::Empty) {
                return;
            }
            self.attempt = None;
        }
        if context.now < self.next_send {
            return;
        }
        let oldest = context
            .shared
            .group
            .read()
            .serving
            .sealed
            .first_key_value()
            .map(|(window, counts)| (*window, counts.clone()));
        let Some((window, counts)) = oldest else { return };
        let (done, attempt) = oneshot::channel();
        self.attempt = Some(attempt);
        self.next_send = context.now + MIN_SEND_INTERVAL;
        let context = context.to_owned_context();
        tokio::spawn(async move {
            deliver(&context, window, &counts).await;
            // If the sender is dropped instead, the next tick also treats the attempt as ended.
            let _ended = done.send(());
        });
    }
}

fn window_length_millis(shared: &ControlShared) -> u64 {
    whole_millis(shared.settings.usage_window).max(1)
}

fn sealed_call_count(shared: &ControlShared, window: WindowNumber) -> Option<u64> {
    let state = shared.group.read();
    state.serving.sealed.get(&window).map(|counts| counts.values().sum())
}

/// Commits the counts that entries have reported since the previous tick. If they were only in memory until the window
/// ends, killing all processes at once would lose up to a whole window, and its calls would never be billed. Returns false
/// if they could not be committed.
async fn commit_counts(shared: &ControlShared) -> bool {
    let rows = std::mem::take(&mut shared.soft_state().uncommitted_counts);
    if rows.is_empty() {
        return true;
    }
    let command = ServingCommand::GatherStarts { rows };
    // If this replica no longer leads, entries report their counts again to the next leader.
    shared.group.propose(ControlCommand::Serving(command)).await.is_ok()
}

/// Returns the windows to seal.
fn due_windows(shared: &ControlShared, began_at: BootTime) -> Vec<WindowNumber> {
    let now = boot_now();
    let clock = WindowClock {
        wall_millis: wall_nanos() / 1_000_000,
        length_millis: window_length_millis(shared),
        due: shared.settings.usage_due,
    };
    let (last_sealed, reporters) = {
        let state = shared.group.read();
        let gathered = &state.serving.gathered;
        (state.serving.last_sealed, gathered.entries().collect::<Vec<_>>())
    };
    let mut soft = shared.soft_state();
    let silence = soft.longest_silence(now);
    // Entries that have reported to the last holder may have counts that this one has not heard. They count as silent until
    // they are heard, or as long as any entry without a renewal does.
    let is_heard = now.since(began_at) >= ENTRY_TIMEOUT || soft.has_heard(reporters.into_iter());
    let silence = if is_heard { silence } else { Duration::MAX };
    plan_windows(&clock, last_sealed, silence).collect()
}

async fn seal_windows(shared: &ControlShared, windows: Vec<WindowNumber>) {
    for window in windows {
        let command = ServingCommand::SealStarts { window };
        if shared.group.propose(ControlCommand::Serving(command)).await.is_err() {
            return;
        }
        slog::info!(shared.log, "usage window sealed"; "event" => event::STARTS_SEALED,
            "window" => window.0, "calls" => sealed_call_count(shared, window));
    }
}

async fn deliver(context: &OwnedDutyContext, window: WindowNumber, counts: &CustomerCounts) {
    let OwnedDutyContext { shared, client, stamp } = context;
    let Some(address) = shared.settings.platform_address else {
        return;
    };
    let call = shared.platform.usage_call(stamp, window, counts);
    match client.send(address, call).await {
        Ok((status, _)) if status.is_success() => {
            slog::info!(shared.log, "usage window accepted"; "event" => event::WINDOW_BILLED,
                "window" => window.0, "fence" => stamp.fence.0);
            let command = ServingCommand::SettleStarts { window };
            // If this replica no longer leads, the next leader sends the same counts again.
            let _not_leading = shared.group.propose(ControlCommand::Serving(command)).await;
        }
        Ok((StatusCode::CONFLICT, _)) => {
            slog::warn!(shared.log, "usage window refused: the platform has seen a higher fencing number";
                "event" => event::WINDOW_DELAYED, "window" => window.0, "fence" => stamp.fence.0);
        }
        other => {
            let reason = other.map_or_else(|error| format!("{error:#}"), |(status, _)| status.to_string());
            slog::warn!(shared.log, "usage window could not be delivered"; "event" => event::WINDOW_DELAYED,
                "window" => window.0, "fence" => stamp.fence.0, "reason" => reason, "now" => %boot_now());
        }
    }
}
