//! The peer listener: answers entries' requests and tells them of newer configurations.

use std::sync::Arc;
use std::time::Duration;

use acacia_runtime::clock::{boot_now, wall_now};
use acacia_runtime::event;
use acacia_wire::generated::entry::EntryRequest;
use acacia_wire::generated::replica::peer_frame::Frame;
use acacia_wire::{
    ClaimRequest, EntryAnswer, EntryCall, FrameReader, FrameWriter, LeaseRenewal, LeaseRequest, answer_to_wire,
    call_from_wire, split_frames,
};
use acaciabay::core::control_state::{CommandOutcome, ControlCommand};
use acaciabay::core::presence::PresenceRow;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::daemon::Control;
use crate::group::NotLeading;

/// How many answers may wait to be written to one connection. An entry that does not read them is slowed down by not
/// being read from.
const WAITING_ANSWERS: usize = 1_024;

/// How long to wait after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves peers' connections until `stop` is cancelled.
pub(crate) async fn serve_peers(listener: TcpListener, control: Arc<Control>, stop: CancellationToken) {
    let sessions = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                sessions.spawn(serve_connection(stream, Arc::clone(&control), stop.clone()));
            }
            Err(_refused) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
    sessions.close();
    sessions.wait().await;
}

async fn serve_connection(stream: TcpStream, control: Arc<Control>, stop: CancellationToken) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (reader, writer) = split_frames(stream);
    let (answers, waiting) = mpsc::channel(WAITING_ANSWERS);
    let log = control.log.clone();
    let ended = tokio::select! {
        () = stop.cancelled() => Ok(()),
        ended = read_requests(reader, Arc::clone(&control), answers.clone()) => ended,
        ended = write_answers(writer, waiting) => ended,
        () = send_notices(control, answers) => Ok(()),
    };
    if let Err(error) = ended {
        slog::debug!(log, "entry connection failed"; "event" => event::CONNECTION_FAILED, "error" => %error);
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
        let (control, answers) = (Arc::clone(&control), answers.clone());
        tokio::spawn(async move {
            let request = message.request;
            if let Some(answer) = answer_request(&control, message).await {
                let frame = Frame::EntryReply(answer_to_wire(boot_now(), request, &answer));
                // A closed channel means that the connection is gone; the entry asks again on another one.
                let _gone = answers.send(frame).await;
            }
        });
    }
    Ok(())
}

async fn write_answers(mut writer: FrameWriter<TcpStream>, mut waiting: mpsc::Receiver<Frame>) -> std::io::Result<()> {
    while let Some(frame) = waiting.recv().await {
        writer.feed(frame).await?;
        while let Ok(frame) = waiting.try_recv() {
            writer.feed(frame).await?;
        }
        writer.flush().await?;
    }
    Ok(())
}

/// Tells the entry of each newer configuration, upon which it asks for it; the notice itself confirms nothing.
async fn send_notices(control: Arc<Control>, answers: mpsc::Sender<Frame>) {
    let mut versions = control.group.versions();
    while versions.changed().await.is_ok() {
        let version = *versions.borrow_and_update();
        let frame = Frame::EntryReply(answer_to_wire(boot_now(), 0, &EntryAnswer::NewerVersion(version)));
        if answers.send(frame).await.is_err() {
            return;
        }
    }
}

async fn answer_request(control: &Control, message: EntryRequest) -> Option<EntryAnswer> {
    match call_from_wire(boot_now(), message) {
        Ok(call) => Some(answer_call(control, call).await),
        Err(error) => {
            slog::warn!(control.log, "malformed request"; "event" => event::MESSAGE_REFUSED, "error" => %error);
            None
        }
    }
}

async fn answer_call(control: &Control, call: EntryCall) -> EntryAnswer {
    let answered = match call {
        EntryCall::Join { host, domain, nonce } => {
            propose(control, ControlCommand::JoinEntry { host, domain, nonce }).await
        }
        EntryCall::Renew(lease) => renew(control, lease).await,
        EntryCall::TakeClaim(ClaimRequest { key, holder, digest }) => {
            propose(
                control,
                ControlCommand::TakeClaim {
                    now: wall_now(),
                    key,
                    holder,
                    digest,
                },
            )
            .await
        }
        EntryCall::EndClaim { key, holder, end } => {
            propose(control, ControlCommand::EndClaim { key, holder, end }).await
        }
        EntryCall::Usage(report) => propose(control, ControlCommand::CountUsage(report)).await,
    };
    answered.unwrap_or_else(|NotLeading { leader_address }| EntryAnswer::NotLeader { leader_address })
}

async fn propose(control: &Control, command: ControlCommand) -> Result<EntryAnswer, NotLeading> {
    Ok(match control.group.propose(command).await? {
        CommandOutcome::Joined(incarnation) => EntryAnswer::Joined(incarnation),
        CommandOutcome::Claim(outcome) => EntryAnswer::Claim(outcome),
        CommandOutcome::Table { .. }
        | CommandOutcome::Conflict(_)
        | CommandOutcome::Key { .. }
        | CommandOutcome::Order(_)
        | CommandOutcome::Done => EntryAnswer::Done,
    })
}

/// Confirms an entry's lease and brings its configuration and its view of the endpoints up to date.
async fn renew(control: &Control, lease: LeaseRequest) -> Result<EntryAnswer, NotLeading> {
    control.group.confirm().await?;
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
    drop(state);
    let now = boot_now();
    let mut soft = control.soft();
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
    renewal.endpoints = soft
        .endpoints
        .since(lease.endpoint_mark)
        .map(|(name, row)| (name.clone(), row.clone()))
        .collect();
    renewal.endpoint_mark = soft.endpoints.mark();
    Ok(EntryAnswer::Renewed(renewal))
}
