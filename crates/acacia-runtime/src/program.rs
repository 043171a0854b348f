//! Startup and shutdown of a program: settings, signals, the Tokio runtime and exit codes.

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

/// Exit code for invalid settings or arguments.
pub const BAD_INPUT: u8 = 2;

/// Returns a token that is cancelled when the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the signal handlers cannot be installed.
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

/// Runs a program's future on a new multi-threaded Tokio runtime. An error is printed to standard error and converted
/// into an exit code.
pub fn run_program<F: Future<Output = anyhow::Result<()>>>(program: impl FnOnce() -> F) -> ExitCode {
    run_on(&mut Builder::new_multi_thread(), program)
}

/// Runs a program like [`run_program`], but on a single-threaded runtime, for hosts that have only a share of one core.
pub fn run_on_one_thread<F: Future<Output = anyhow::Result<()>>>(program: impl FnOnce() -> F) -> ExitCode {
    run_on(&mut Builder::new_current_thread(), program)
}

fn run_on<F: Future<Output = anyhow::Result<()>>>(builder: &mut Builder, program: impl FnOnce() -> F) -> ExitCode {
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return report_error(&anyhow::Error::new(error).context("failed to start the runtime")),
    };
    match runtime.block_on(program()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_error(&error),
    }
}

/// Reloads a settings file on each SIGHUP and publishes its seed addresses, which may change while the process runs.
///
/// The channel holds `initial` until the first reload. A file that is unreadable or invalid leaves the
/// seeds unchanged.
///
/// # Errors
///
/// Fails if the signal handler cannot be installed.
pub fn follow_seeds<T: 'static>(
    path: PathBuf,
    initial: Vec<SocketAddr>,
    check: impl Fn(&Value) -> Result<T, Findings> + Send + 'static,
    seeds_of: impl Fn(T) -> Vec<SocketAddr> + Send + 'static,
    log: Logger,
) -> std::io::Result<watch::Receiver<Vec<SocketAddr>>> {
    let (sender, receiver) = watch::channel(initial);
    let mut reloads = signal(SignalKind::hangup())?;
    tokio::spawn(async move {
        while reloads.recv().await.is_some() {
            match read_document(&path, &check) {
                Ok(settings) => {
                    let seeds = seeds_of(settings);
                    slog::info!(log, "settings reloaded"; "event" => event::SETTINGS_RELOADED, "seeds" => ?seeds);
                    sender.send_replace(seeds);
                }
                Err(error) => {
                    slog::warn!(log, "failed to reload settings; the previous ones remain in force";
                        "event" => event::SETTINGS_RELOADED, "error" => format!("{error:#}"));
                }
            }
        }
    });
    Ok(receiver)
}

/// Prints an error and its causes to standard error, and returns the exit code for a failure.
pub fn report_error(error: &anyhow::Error) -> ExitCode {
    eprintln!("error: {error}");
    for cause in error.chain().skip(1) {
        eprintln!("  caused by: {cause}");
    }
    ExitCode::FAILURE
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Returns the exit code with which the caller must end the program: [`BAD_INPUT`] after the findings have been
/// printed, or success if the settings are valid and `only_check` is set.
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
            report_error(&error);
            Err(ExitCode::from(BAD_INPUT))
        }
    }
}
