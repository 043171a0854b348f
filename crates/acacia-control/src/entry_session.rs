//! The session of one entry connection: replies to the entry's requests and notices of new configuration versions.

use std::sync::Arc;

use acacia_runtime::clock::{boot_now, wall_now};
use acacia_runtime::event;
use acacia_runtime::trace::TraceContext;
use acacia_wire::generated::replica::peer_frame::Frame;
use acacia_wire::{
    ClaimRequest, EntryAnswer, EntryCall, FrameReader, FrameWriter, LeaseRenewal, LeaseRequest, answer_to_wire,
    call_from_wire,
};
use acaciabay::core::control_state::{CommandOutcome, ControlCommand};
use acaciabay::core::presence::PresenceRow;
use acaciabay::core::serving::start_counts::EntryStart;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::daemon::Control;
use crate::group::{NotLeading, PendingOutcome};

/// How many answers may wait to be written to one connection. An entry that does not read them is slowed down by not
/// being read from.
const WAITING_ANSWERS: usize = 1_024;

/// Answers an entry's requests until its connection ends.
pub(crate) async fn serve_entry(
    reader: FrameReader<TcpStream>,
    writer: FrameWriter<TcpStream>,
    control: Arc<Control>,
) -> std::io::Result<()> {
    let (answers, queue) = mpsc::channel(WAITING_ANSWERS);
    tokio::select! {
        result = read_requests(reader, Arc::clone(&control), answers.clone()) => result,
        result = write_answers(writer, queue) => result,
        () = send_notices(control, answers) => Ok(()),
    }
}

async fn read_requests(
    mut reader: FrameReader<TcpStream>,
    control: Arc<Control>,
    answers: mpsc::Sender<Frame>,
) -> std::io::Result<()> {
    while let Some(frame) = reader.next().await? {
        let Frame::EntryRequest(message) = frame else {
            slog::warn!(control.log, "unexpected frame from an entry"; "event" => event::MESSAGE_REFUSED);
            continue;
        };
        let request = message.request;
        let trace = TraceContext::parse(&message.traceparent);
        let span = trace.map(|trace| control.spans.start("control commit", trace));
        let call = match call_from_wire(boot_now(), message) {
            Ok(call) => call,
            Err(error) => {
                slog::warn!(control.log, "malformed request"; "event" => event::MESSAGE_REFUSED, "error" => %error);
                continue;
            }
        };
        // Commands are submitted here rather than in the spawned task, so that they are proposed in the order in which
        // the entry sent them. Otherwise, the release of a claim could be proposed before the claim itself.
        let pending_call = start_call(&control, call).await;
        let (control, answers) = (Arc::clone(&control), answers.clone());
        tokio::spawn(async move {
            let answer = finish_call(&control, pending_call).await;
            drop(span);
            let frame = Frame::EntryReply(answer_to_wire(boot_now(), request, &answer));
            // The channel is closed if the connection has ended. The entry then repeats its request on a new one.
            let _gone = answers.send(frame).await;
        });
    }
    Ok(())
}

/// A request whose answer is not known yet.
#[derive(Debug)]
enum PendingCall {
    Command(PendingOutcome),
    Renew(Box<LeaseRequest>),
}

async fn start_call(control: &Control, call: EntryCall) -> PendingCall {
    let command = match call {
        EntryCall::Renew(lease) => return PendingCall::Renew(Box::new(lease)),
        EntryCall::Join { host, domain, nonce } => ControlCommand::JoinEntry { host, domain, nonce },
        EntryCall::TakeClaim(ClaimRequest { key, holder, digest }) => ControlCommand::TakeClaim {
            now: wall_now(),
            key,
            holder,
            digest,
        },
        EntryCall::EndClaim { key, holder, end } => ControlCommand::EndClaim { key, holder, end },
        EntryCall::Usage(report) => ControlCommand::CountUsage(report),
    };
    PendingCall::Command(control.group.submit(command).await)
}

async fn finish_call(control: &Control, pending_call: PendingCall) -> EntryAnswer {
    let answer_result = match pending_call {
        PendingCall::Command(pending) => pending.outcome().await.map(outcome_to_answer),
        PendingCall::Renew(lease) => renew(control, *lease).await,
    };
    answer_result.unwrap_or_else(|NotLeading { leader_address }| EntryAnswer::NotLeader { leader_address })
}

fn outcome_to_answer(outcome: CommandOutcome) -> EntryAnswer {
    match outcome {
        CommandOutcome::Joined(incarnation) => EntryAnswer::Joined(incarnation),
        CommandOutcome::Claim(outcome) => EntryAnswer::Claim(outcome),
        CommandOutcome::Table { .. }
        | CommandOutcome::Conflict(_)
        | CommandOutcome::Key { .. }
        | CommandOutcome::Order(_)
        | CommandOutcome::Serving(_)
        | CommandOutcome::Done => EntryAnswer::Done,
    }
}

async fn write_answers(mut writer: FrameWriter<TcpStream>, mut queue: mpsc::Receiver<Frame>) -> std::io::Result<()> {
    while let Some(frame) = queue.recv().await {
        writer.feed(frame).await?;
        while let Ok(frame) = queue.try_recv() {
            writer.feed(frame).await?;
        }
        writer.flush().await?;
    }
    Ok(())
}

/// Notifies the entry of each new configuration version.
///
/// The entry then requests the configuration with a lease renewal. The notice alone does not confirm its lease.
async fn send_notices(control: Arc<Control>, answers: mpsc::Sender<Frame>) {
    let mut versions = control.group.config_versions();
    while versions.changed().await.is_ok() {
        let version = *versions.borrow_and_update();
        let frame = Frame::EntryReply(answer_to_wire(boot_now(), 0, &EntryAnswer::NewerVersion(version)));
        if answers.send(frame).await.is_err() {
            return;
        }
    }
}

/// Confirms an entry's lease and returns the changes of the configuration and of the endpoints that the entry does not
/// have yet, together with its shares of the pools.
async fn renew(control: &Control, lease: LeaseRequest) -> Result<EntryAnswer, NotLeading> {
    control.group.confirm_leadership().await?;
    let state = control.group.read();
    if !state.entries.is_current(lease.incarnation) {
        return Ok(EntryAnswer::StaleIncarnation);
    }
    let mut renewal = LeaseRenewal {
        from: lease.version,
        ..LeaseRenewal::default()
    };
    match state.history.since(lease.version) {
        Some(changes) => renewal.changes = changes.cloned().collect(),
        None => renewal.whole = Some(state.config.clone()),
    }
    let now = boot_now();
    let mut soft = control.soft_state();
    let row = PresenceRow {
        incarnation: lease.incarnation,
        version: lease.version,
        confirmed_at: now,
    };
    soft.presence.confirm(&lease.host, row);
    for (name, row) in lease.reports {
        soft.endpoints.report(&name, row);
    }
    soft.endpoints.forget_silent(now);
    renewal.shares = soft.grant_shares(now, &state, &lease.host, lease.demands);
    renewal.endpoints = soft.endpoint_changes_for(&state.entries, &lease.host, lease.endpoint_mark);
    renewal.endpoint_mark = soft.endpoints.revision();
    drop(soft);
    let start = EntryStart(lease.incarnation.0);
    renewal.suspects = control
        .suspects
        .answer(&state.serving.suspects, &lease.host, start, lease.suspects);
    Ok(EntryAnswer::Renewed(Box::new(renewal)))
}
