//! Structured logs on standard output, one JSON object a line.

use slog::{Drain, Logger, o};

/// How many records may wait to be written; beyond that they are dropped and counted, so that a blocked terminal or
/// pipe never blocks a request.
const WAITING_RECORDS: usize = 8_192;

/// Opens the log of a process.
pub fn open_log(program: &'static str, host: &str) -> Logger {
    let lines = slog_json::Json::default(std::io::stdout()).fuse();
    let queue = slog_async::Async::new(lines).chan_size(WAITING_RECORDS).build().fuse();
    Logger::root(queue, o!("program" => program, "host" => host.to_owned()))
}

/// Returns a log that drops everything, for tests and for measurements.
pub fn silent_log() -> Logger {
    Logger::root(slog::Discard, o!())
}
