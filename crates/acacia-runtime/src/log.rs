//! Structured logs on standard output, one JSON object per line.

use slog::{Drain, Logger, o};

/// Capacity of the queue of log records. While it is full, new records are dropped and counted, so that a blocked
/// terminal or pipe never blocks a request.
const LOG_QUEUE_CAPACITY: usize = 8_192;

/// Creates the logger of a process. Each line carries the names of the program and the host.
pub fn open_log(program: &'static str, host: &str) -> Logger {
    let lines = slog_json::Json::default(std::io::stdout()).fuse();
    let queue = slog_async::Async::new(lines)
        .chan_size(LOG_QUEUE_CAPACITY)
        .build()
        .fuse();
    Logger::root(queue, o!("program" => program, "host" => host.to_owned()))
}

/// Returns a logger that discards every record, for tests and benchmarks.
pub fn discard_log() -> Logger {
    Logger::root(slog::Discard, o!())
}
