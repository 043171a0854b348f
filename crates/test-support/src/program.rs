//! A running binary.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

const EVENT_PATIENCE: Duration = Duration::from_secs(30);
const EXIT_PATIENCE: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Debug, Default)]
struct LogLines {
    lines: Mutex<Vec<String>>,
    grown: Condvar,
}

/// A binary that a test has started; it is killed when the value is dropped.
#[derive(Debug)]
pub struct Program {
    name: String,
    child: Child,
    log: Arc<LogLines>,
}

impl Program {
    /// Starts a binary with a settings file.
    ///
    /// # Panics
    ///
    /// Panics when the binary cannot be started.
    pub fn start(name: &str, path: &Path, settings: &Path, extra: &[&str]) -> Self {
        let mut command = Command::new(path);
        command.arg("--settings").arg(settings).args(extra);
        Self::run(name, command)
    }

    /// Starts a command.
    ///
    /// # Panics
    ///
    /// Panics when it cannot be started.
    pub fn run(name: &str, mut command: Command) -> Self {
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap_or_else(|error| panic!("failed to start `{name}`: {error}"));
        let stdout = child.stdout.take().expect("standard output is piped");
        let log = Arc::new(LogLines::default());
        let collected = Arc::clone(&log);
        std::thread::spawn(move || collect_lines(stdout, &collected));
        Self {
            name: name.to_owned(),
            child,
            log,
        }
    }

    /// Returns the name by which messages of failed tests call the program.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Waits for an event with this number and returns it.
    ///
    /// # Panics
    ///
    /// Panics, with the log, when it does not come within 30 seconds.
    pub fn wait_event(&self, code: &str) -> Value {
        self.wait_event_where(code, |_| true)
    }

    /// Waits for an event with this number for which `matches` is true.
    ///
    /// # Panics
    ///
    /// Panics when it does not come within 30 seconds; the log is printed when the program is dropped.
    pub fn wait_event_where(&self, code: &str, matches: impl Fn(&Value) -> bool) -> Value {
        let give_up = Instant::now() + EVENT_PATIENCE;
        let mut lines = self.log.lines.lock().expect("the collecting thread does not panic");
        loop {
            let mut events = lines.iter().filter_map(|line| serde_json::from_str::<Value>(line).ok());
            if let Some(found) = events.find(|event| event["event"] == code && matches(event)) {
                return found;
            }
            let left = give_up.saturating_duration_since(Instant::now());
            if left.is_zero() {
                // The log is printed when the value is dropped, which needs the lock.
                drop(lines);
                panic!("`{}` did not log {code}", self.name);
            }
            lines = self
                .log
                .grown
                .wait_timeout(lines, left)
                .expect("the collecting thread does not panic")
                .0;
        }
    }

    /// Counts the events with this number so far.
    ///
    /// # Panics
    ///
    /// Panics when the thread that collects the log has panicked.
    pub fn count_events(&self, code: &str) -> usize {
        self.count_events_where(code, |_| true)
    }

    /// Counts the events with this number so far for which `matches` is true.
    ///
    /// # Panics
    ///
    /// Panics when the thread that collects the log has panicked.
    pub fn count_events_where(&self, code: &str, matches: impl Fn(&Value) -> bool) -> usize {
        let lines = self.log.lines.lock().expect("the collecting thread does not panic");
        let events = lines.iter().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        events.filter(|event| event["event"] == code && matches(event)).count()
    }

    /// Kills the process at once and waits until it is gone.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        let _status = self.child.wait();
    }

    /// Asks the process to stop, without waiting.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Asks the process to stop and waits until it has.
    ///
    /// # Panics
    ///
    /// Panics when it goes on for longer than a minute.
    pub fn stop(&mut self) -> ExitStatus {
        self.terminate();
        self.wait_exit()
    }

    /// Waits until the process has ended by itself.
    ///
    /// # Panics
    ///
    /// Panics when it goes on for longer than a minute.
    pub fn wait_exit(&mut self) -> ExitStatus {
        let give_up = Instant::now() + EXIT_PATIENCE;
        loop {
            if let Some(status) = self.child.try_wait().expect("the child was started by this test") {
                return status;
            }
            assert!(
                Instant::now() < give_up,
                "`{}` does not end; its log:\n{}",
                self.name,
                self.log_text()
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns true while the process has not ended.
    ///
    /// # Panics
    ///
    /// Panics when the process cannot be asked for.
    pub fn is_running(&mut self) -> bool {
        let ended = self.child.try_wait().expect("the child was started by this test");
        ended.is_none()
    }

    /// Freezes the process.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a frozen process go on.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Returns everything that the process has logged.
    ///
    /// # Panics
    ///
    /// Panics when the thread that collects the log has panicked.
    pub fn log_text(&self) -> String {
        self.log
            .lines
            .lock()
            .expect("the collecting thread does not panic")
            .join("\n")
    }

    /// Returns the process's resident memory in bytes and its processor time so far.
    pub fn resources(&self) -> Option<(u64, Duration)> {
        let stat = std::fs::read_to_string(PathBuf::from(format!("/proc/{}/stat", self.child.id()))).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
        let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        let pages: u64 = fields.get(21)?.parse().ok()?;
        let page = rustix::param::page_size() as u64;
        let ticks_per_second = rustix::param::clock_ticks_per_second();
        Some((
            pages * page,
            Duration::from_secs_f64(ticks as f64 / ticks_per_second as f64),
        ))
    }

    /// Returns the number of descriptors that the process has open.
    pub fn descriptors(&self) -> Option<usize> {
        let folder = PathBuf::from(format!("/proc/{}/fd", self.child.id()));
        Some(std::fs::read_dir(folder).ok()?.count())
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // A process that has ended by itself needs no signal.
            let _gone = kill_process(pid, signal);
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("--- log of `{}`\n{}", self.name, self.log_text());
        }
        self.kill();
    }
}

fn collect_lines(stdout: ChildStdout, log: &LogLines) {
    for line in BufReader::new(stdout).lines().map_while(Result::ok) {
        log.lines
            .lock()
            .expect("no test panics while it holds the log")
            .push(line);
        log.grown.notify_all();
    }
}

/// Returns the bytes that the kernel holds for connections to this address because nobody has read them.
pub fn unread_bytes(address: SocketAddr) -> u64 {
    let SocketAddr::V4(address) = address else { return 0 };
    let local = format!(
        "{:08X}:{:04X}",
        u32::from_le_bytes(address.ip().octets()),
        address.port()
    );
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let queues = rows
        .filter(|row| row.get(1) == Some(&local.as_str()))
        .filter_map(|row| {
            let (_unsent, unread) = row.get(4)?.split_once(':')?;
            u64::from_str_radix(unread, 16).ok()
        });
    queues.sum()
}
