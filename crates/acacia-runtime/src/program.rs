//! Starting and stopping a program.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use acacia_settings::{Findings, read_document};
use serde_json::Value;
use slog::Logger;
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::event;

/// The exit code for settings or arguments that cannot be used.
pub const BAD_INPUT: u8 = 2;

/// Returns a token that is cancelled when the process is asked to stop by SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the signals cannot be watched.
pub fn stop_token() -> std::io::Result<CancellationToken> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let token = CancellationToken::new();
    let stop = token.clone();
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        stop.cancel();
    });
    Ok(token)
}

/// Runs a program's future on a runtime of its own and turns an error into a message and an exit code.
pub fn run_program<F: Future<Output = anyhow::Result<()>>>(program: impl FnOnce() -> F) -> ExitCode {
    run_on(&mut Builder::new_multi_thread(), program)
}

/// The same on one thread, for hosts that have a part of one core.
pub fn run_on_one_thread<F: Future<Output = anyhow::Result<()>>>(program: impl FnOnce() -> F) -> ExitCode {
    run_on(&mut Builder::new_current_thread(), program)
}

fn run_on<F: Future<Output = anyhow::Result<()>>>(builder: &mut Builder, program: impl FnOnce() -> F) -> ExitCode {
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return report(&anyhow::Error::new(error).context("failed to start the runtime")),
    };
    match runtime.block_on(program()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report(&error),
    }
}

/// Reads a settings file again at each SIGHUP and follows the seeds in it, which may change while the process runs.
///
/// # Errors
///
/// Fails when the signal cannot be watched.
pub fn follow_seeds<T: 'static>(
    path: PathBuf,
    first: Vec<SocketAddr>,
    check: impl Fn(&Value) -> Result<T, Findings> + Send + 'static,
    seeds_of: impl Fn(T) -> Vec<SocketAddr> + Send + 'static,
    log: Logger,
) -> std::io::Result<watch::Receiver<Vec<SocketAddr>>> {
    let (sender, receiver) = watch::channel(first);
    let mut reloads = signal(SignalKind::hangup())?;
    tokio::spawn(async move {
        while reloads.recv().await.is_some() {
            match read_document(&path, &check) {
                Ok(settings) => {
                    let seeds = seeds_of(settings);
                    slog::info!(log, "settings read again"; "event" => event::SETTINGS_RELOADED, "seeds" => ?seeds);
                    sender.send_replace(seeds);
                }
                Err(error) => {
                    slog::warn!(log, "settings cannot be read; the ones before stay in force";
                        "event" => event::SETTINGS_RELOADED, "error" => format!("{error:#}"));
                }
            }
        }
    });
    Ok(receiver)
}

/// Prints an error with its causes.
pub fn report(error: &anyhow::Error) -> ExitCode {
    eprintln!("error: {error}");
    for cause in error.chain().skip(1) {
        eprintln!("  caused by: {cause}");
    }
    ExitCode::FAILURE
}

/// Reads and checks a settings file; with `only_check`, ends the program after that.
///
/// # Errors
///
/// Returns the exit code with which the program has to end: [`BAD_INPUT`] after printing every finding, or success
/// after a check without findings.
pub fn read_settings<T>(
    path: &Path,
    only_check: bool,
    check: impl FnOnce(&Value) -> Result<T, Findings>,
) -> Result<T, ExitCode> {
    match read_document(path, check) {
        Ok(_) if only_check => {
            println!("{}: ok", path.display());
            Err(ExitCode::SUCCESS)
        }
        Ok(settings) => Ok(settings),
        Err(error) => {
            report(&error);
            Err(ExitCode::from(BAD_INPUT))
        }
    }
}
