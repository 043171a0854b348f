//! Queue of the prompts that wait at this entry until engines can prefill them.
//!
//! [`PromptRoom`] decides; this module asks it for a pass before each prefill, and gives the pass back when the prefill has
//! ended on whatever path. `docs/design/admission-queue.md` describes the whole.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acacia_settings::WaitingRoomSettings;
use acaciabay::core::clock::BootTime;
use acaciabay::core::name::{CustomerName, EndpointName, ServiceName};
use acaciabay::core::serving::endpoint_registry::EngineStage;
use acaciabay::core::serving::prompt::PromptShape;
use acaciabay::core::serving::prompt_room::{
    PassNumber, PromptRoom, QueuedPrompt, RoomBounds, RoomChanges, RoomReason, RoomRefusal,
};
use acaciabay::util::number::whole_millis;
use parking_lot::{Mutex, MutexGuard};
use tokio::sync::{Notify, oneshot};
use tokio_util::sync::CancellationToken;

use super::call::AcceptedCall;
use super::prefill::record_unread_demand;
use super::refusal::{CallRefusal, SHORT_RETRY_DELAY, not_run};
use super::shared::EntryShared;

/// Interval at which the queue is advanced while prompts wait: engines become free by the work of other entries as well.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(40);
/// Wait from which on a call is logged.
const LOGGED_WAIT: Duration = Duration::from_millis(100);
/// Interval at which the engine of one waiting prompt is chosen again. A placement among some hundred engines is the most
/// expensive step of the queue.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(100);
/// Time after a prompt was let go to an idle engine in which that engine does not count as idle, because its work is
/// counted only once the call is sent.
const SENDING_TIME: Duration = Duration::from_millis(20);

/// Engines of one stage of a service. Those that decode prefill the prompts that no other engine prefills.
type RoomKey = (ServiceName, EngineStage);

/// Queues of all services.
#[derive(Debug, Default)]
pub(super) struct PromptQueue {
    rooms: Mutex<HashMap<RoomKey, ServiceQueue>>,
    /// Notifies the task that advances the queues.
    grown: Notify,
}

/// Queue of one service and stage.
#[derive(Debug, Default)]
struct ServiceQueue {
    room: PromptRoom,
    waiters: HashMap<PassNumber, Waiter>,
    /// Idle engines to which prompts were let go, and when.
    given: HashMap<EndpointName, BootTime>,
    /// Time at which an engine was last chosen again.
    placed_at: BootTime,
}

#[derive(Debug)]
struct Waiter {
    call: Arc<AcceptedCall>,
    /// Engine that placement has chosen, and when.
    engine: Option<EndpointName>,
    placed_at: BootTime,
    answer: oneshot::Sender<Result<(), RoomRefusal>>,
}

/// What the queue has decided for a prompt that asked.
enum PassDecision {
    Goes,
    Waits(oneshot::Receiver<Result<(), RoomRefusal>>),
    Refused(RoomRefusal),
}

/// Pass of a prompt: its place in the queue, and then the prefill time that it has outstanding. Both end on drop.
#[derive(Debug)]
pub(super) struct PromptPass {
    shared: Arc<EntryShared>,
    key: RoomKey,
    number: PassNumber,
}

impl Drop for PromptPass {
    fn drop(&mut self) {
        let is_waiting = {
            let mut rooms = self.shared.prompt_queue.rooms.lock();
            let Some(queue) = rooms.get_mut(&self.key) else {
                return;
            };
            queue.waiters.remove(&self.number);
            queue.room.end(boot_now(), self.number);
            let is_waiting = queue.room.waiting() > 0;
            record_sizes(&rooms);
            is_waiting
        };
        if is_waiting {
            advance(&self.shared, &self.key);
        }
    }
}

impl ServiceQueue {
    /// Tells waiting calls what was decided.
    fn answer(&mut self, changes: RoomChanges) {
        let going = changes.going.into_iter().map(|number| (number, Ok(())));
        let refused = changes
            .refused
            .into_iter()
            .map(|(number, refusal)| (number, Err(refusal)));
        for (number, decision) in going.chain(refused) {
            if let Some(waiter) = self.waiters.remove(&number) {
                // The caller may have left at this moment; its pass then ends by itself.
                let _left = waiter.answer.send(decision);
            }
        }
    }

    fn was_given(&mut self, now: BootTime, engine: &EndpointName) -> bool {
        self.given.retain(|_, given_at| now.since(*given_at) < SENDING_TIME);
        self.given.contains_key(engine)
    }

    /// Returns the engines that placement has chosen, each with the first prompt that waits for it.
    fn chosen_engines(&self) -> Vec<(PassNumber, EndpointName)> {
        let mut seen = HashSet::new();
        let waiting = self.room.waiting_prompts().into_iter();
        let chosen = waiting.filter_map(|number| Some((number, self.waiters.get(&number)?.engine.clone()?)));
        chosen.filter(|(_, engine)| seen.insert(engine.clone())).collect()
    }

    /// Returns the call whose engine was chosen longest ago, if one is due to be chosen again.
    fn call_to_place(&mut self, now: BootTime) -> Option<(PassNumber, Arc<AcceptedCall>)> {
        if now.since(self.placed_at) < PLACEMENT_INTERVAL {
            return None;
        }
        self.placed_at = now;
        let oldest = self
            .waiters
            .iter()
            .min_by_key(|(number, waiter)| (waiter.placed_at, **number));
        oldest.map(|(number, waiter)| (*number, Arc::clone(&waiter.call)))
    }
}

/// Waits until the prompt of a call may be prefilled by engines of this stage. Returns no pass if nothing is queued at this
/// entry. `goes_first` is true for a call that has had a pass before, which does not wait again.
///
/// # Errors
///
/// Refuses the call, which has not been sent, if it cannot be served in time, the queue is full or the process stops.
pub(super) async fn acquire_pass(
    call: &Arc<AcceptedCall>,
    stage: EngineStage,
    goes_first: bool,
) -> Result<Option<PromptPass>, CallRefusal> {
    let shared = &call.shared;
    let (Some(settings), Some(prompt)) = (shared.settings.waiting_room, &call.head.prompt) else {
        return Ok(None);
    };
    let asked_at = boot_now();
    let Some(capacity) = shared.prefill_capacity(asked_at, &call.service, stage) else {
        return Ok(None);
    };
    let key = (call.service.clone(), stage);
    let queued = queued_prompt(call, prompt, stage);
    let tokens = queued.tokens;
    if goes_first {
        return Ok(Some(go_first(shared, key, asked_at, &queued)));
    }
    let has_room = lock_room(&mut shared.prompt_queue.rooms.lock(), &key, capacity.credit)
        .room
        .has_room();
    let engine = (!has_room)
        .then(|| shared.choose_prefiller(asked_at, call, prompt, stage))
        .flatten();
    let (pass, decision) = ask(call, key, (capacity.credit, engine), queued, settings);
    let refusal = match decision {
        PassDecision::Goes => None,
        PassDecision::Refused(refusal) => Some(refusal),
        PassDecision::Waits(answer) => {
            shared.prompt_queue.grown.notify_one();
            tokio::select! {
                biased;
                () = shared.stopping.cancelled() => {
                    return Err(refuse(call, "entry is stopping", asked_at, SHORT_RETRY_DELAY));
                }
                answer = tokio::time::timeout(call.time_left(asked_at), answer) => match answer {
                    Ok(Ok(Ok(()))) => None,
                    Ok(Ok(Err(refusal))) => Some(refusal),
                    Ok(Err(_)) | Err(_) => Some(RoomRefusal {
                        reason: RoomReason::TooLate,
                        retry_after: SHORT_RETRY_DELAY,
                    }),
                },
            }
        }
    };
    if let Some(RoomRefusal { reason, retry_after }) = refusal {
        // Counted although it is refused: its caller returns, and the service has to grow for it.
        record_unread_demand(call, tokens, retry_after);
        let reason = match reason {
            RoomReason::TooLate => "prompt cannot be read in time",
            RoomReason::Full => "admission queue is full",
        };
        return Err(refuse(call, reason, asked_at, retry_after));
    }
    record_wait(call, asked_at);
    Ok(Some(pass))
}

/// Advances the queues at intervals while prompts wait.
pub(super) async fn advance_queues(shared: Arc<EntryShared>, stop: CancellationToken) {
    loop {
        let waiting: Vec<_> = {
            let rooms = shared.prompt_queue.rooms.lock();
            let waiting = rooms.iter().filter(|(_, queue)| queue.room.waiting() > 0);
            waiting.map(|(key, _)| key.clone()).collect()
        };
        for key in &waiting {
            advance(&shared, key);
        }
        let next = async {
            if waiting.is_empty() {
                shared.prompt_queue.grown.notified().await;
            } else {
                tokio::time::sleep(ADVANCE_INTERVAL).await;
            }
        };
        tokio::select! {
            () = stop.cancelled() => return,
            () = next => {}
        }
    }
}

/// Lets prompts go for which there is credit or an idle engine, and refuses those that can no longer be served in time.
fn advance(shared: &Arc<EntryShared>, key: &RoomKey) {
    let now = boot_now();
    let (service, stage) = key;
    let capacity = shared.prefill_capacity(now, service, *stage);
    let (chosen, to_place) = {
        let mut rooms = shared.prompt_queue.rooms.lock();
        let Some(queue) = rooms.get_mut(key) else {
            return;
        };
        // A new leader may give no slices yet. The prompts that wait would then all go at once.
        if let Some(capacity) = capacity {
            queue.room.set_credit(Some(capacity.credit));
        }
        let changes = queue.room.advance(now);
        queue.answer(changes);
        let has_idle = capacity.is_some_and(|capacity| capacity.has_idle);
        let chosen = if has_idle { queue.chosen_engines() } else { Vec::new() };
        let to_place = if has_idle { queue.call_to_place(now) } else { None };
        record_sizes(&rooms);
        (chosen, to_place)
    };
    send_to_idle(shared, key, now, chosen);
    if let Some((number, call)) = to_place
        && let Some(prompt) = &call.head.prompt
    {
        let engine = shared.choose_prefiller(now, &call, prompt, *stage);
        let mut rooms = shared.prompt_queue.rooms.lock();
        let queue = rooms.get_mut(key);
        if let Some(waiter) = queue.and_then(|queue| queue.waiters.get_mut(&number)) {
            waiter.engine = engine;
            waiter.placed_at = now;
        }
    }
}

/// Lets prompts go whose engines are idle.
fn send_to_idle(shared: &Arc<EntryShared>, key: &RoomKey, now: BootTime, mut chosen: Vec<(PassNumber, EndpointName)>) {
    chosen.retain(|(_, engine)| shared.is_idle(engine));
    if chosen.is_empty() {
        return;
    }
    let mut rooms = shared.prompt_queue.rooms.lock();
    let Some(queue) = rooms.get_mut(key) else {
        return;
    };
    for (number, engine) in chosen {
        if !queue.was_given(now, &engine) && queue.room.go_idle(now, number) {
            queue.given.insert(engine, now);
            let going = vec![number];
            let refused = Vec::new();
            queue.answer(RoomChanges { going, refused });
        }
    }
    record_sizes(&rooms);
}

fn go_first(shared: &Arc<EntryShared>, key: RoomKey, now: BootTime, queued: &QueuedPrompt) -> PromptPass {
    let number = {
        let mut rooms = shared.prompt_queue.rooms.lock();
        rooms.entry(key.clone()).or_default().room.go_first(now, queued)
    };
    PromptPass {
        shared: Arc::clone(shared),
        key,
        number,
    }
}

/// Asks the room for a pass. `engine` is the one that would prefill the prompt, if that was looked for.
fn ask(
    call: &Arc<AcceptedCall>,
    key: RoomKey,
    (credit, engine): (Duration, Option<EndpointName>),
    queued: QueuedPrompt,
    settings: WaitingRoomSettings,
) -> (PromptPass, PassDecision) {
    let shared = &call.shared;
    let now = boot_now();
    let idle = engine.clone().filter(|engine| shared.is_idle(engine));
    let mut rooms = shared.prompt_queue.rooms.lock();
    let bounds = free_bounds(&rooms, &key, settings);
    let queue = lock_room(&mut rooms, &key, credit);
    let idle = idle.filter(|engine| !queue.was_given(now, engine));
    let (number, changes) = queue.room.ask(now, queued, idle.is_some(), bounds);
    let refusal = changes.refused.iter().find(|(refused, _)| *refused == number);
    let decision = match refusal {
        Some((_, refusal)) => PassDecision::Refused(*refusal),
        None if changes.going.contains(&number) => PassDecision::Goes,
        None => {
            let (answer, receiver) = oneshot::channel();
            let waiter = Waiter {
                call: Arc::clone(call),
                engine,
                placed_at: now,
                answer,
            };
            queue.waiters.insert(number, waiter);
            PassDecision::Waits(receiver)
        }
    };
    if let Some(engine) = idle {
        queue.given.insert(engine, now);
    }
    queue.answer(changes);
    record_sizes(&rooms);
    drop(rooms);
    let pass = PromptPass {
        shared: Arc::clone(shared),
        key,
        number,
    };
    (pass, decision)
}

fn lock_room<'rooms>(
    rooms: &'rooms mut MutexGuard<'_, HashMap<RoomKey, ServiceQueue>>,
    key: &RoomKey,
    credit: Duration,
) -> &'rooms mut ServiceQueue {
    let queue = rooms.entry(key.clone()).or_default();
    queue.room.set_credit(Some(credit));
    queue
}

/// Returns what the other services leave of the entry's bounds.
fn free_bounds(rooms: &HashMap<RoomKey, ServiceQueue>, key: &RoomKey, settings: WaitingRoomSettings) -> RoomBounds {
    let others = rooms.iter().filter(|(other, _)| *other != key);
    let (calls, bytes) = others.fold((0, 0), |(calls, bytes), (_, queue)| {
        (calls + queue.room.waiting(), bytes + queue.room.waiting_bytes())
    });
    RoomBounds {
        calls: settings.calls.saturating_sub(calls),
        bytes: settings.memory.saturating_sub(bytes),
    }
}

fn queued_prompt(call: &AcceptedCall, prompt: &PromptShape, stage: EngineStage) -> QueuedPrompt {
    let now = boot_now();
    let work = call.shared.expected_prefill(now, &call.service, stage, prompt);
    QueuedPrompt {
        priority: call.admitted.priority(),
        // Calls without a customer are treated as those of one.
        customer: call.customer().cloned().unwrap_or_else(|| CustomerName::new("")),
        tokens: work.tokens,
        prefill: work.time,
        target: call.received_at + call.route().target_latency,
        deadline: now + call.time_left(now),
        bytes: call.body.len(),
        request_hash: call.request_hash,
    }
}

fn record_wait(call: &AcceptedCall, asked_at: BootTime) {
    let waited = boot_now().since(asked_at);
    let priority = call.admitted.priority();
    metrics::histogram!("acacia_prompt_queue_seconds", "priority" => priority.to_string()).record(waited.as_secs_f64());
    if waited >= LOGGED_WAIT {
        slog::info!(call.shared.log, "call has waited for engines"; "event" => event::PROMPT_QUEUED,
            "request" => &call.head.request, "service" => call.service.as_str(), "priority" => priority,
            "waited_ms" => whole_millis(waited), "left_ms" => whole_millis(call.time_left(boot_now())));
    }
}

fn refuse(call: &AcceptedCall, reason: &'static str, asked_at: BootTime, retry_after: Duration) -> CallRefusal {
    let priority = call.admitted.priority();
    slog::info!(call.shared.log, "call refused while engines are short"; "event" => event::PROMPT_REFUSED,
        "request" => &call.head.request, "service" => call.service.as_str(), "priority" => priority,
        "reason" => reason, "waited_ms" => whole_millis(boot_now().since(asked_at)),
        "retry_ms" => whole_millis(retry_after));
    metrics::counter!("acacia_prompt_queue_refused_total", "reason" => reason).increment(1);
    not_run(reason, retry_after)
}

fn record_sizes(rooms: &HashMap<RoomKey, ServiceQueue>) {
    let calls: usize = rooms.values().map(|queue| queue.room.waiting()).sum();
    let bytes: usize = rooms.values().map(|queue| queue.room.waiting_bytes()).sum();
    metrics::gauge!("acacia_prompts_waiting").set(calls as f64);
    metrics::gauge!("acacia_prompts_waiting_bytes").set(bytes as f64);
}
