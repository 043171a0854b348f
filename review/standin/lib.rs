//! Stand-ins and helpers of the cases: the project's programs as separate processes on loopback addresses, and small
//! callers, endpoints, an operator and a platform that speak the published protocol. Standard library only.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const CONTROL_PORT: u16 = 23_990;
pub const FRONT_PORT: u16 = 23_991;
pub const READY_PORT: u16 = 23_992;
pub const PLATFORM_PORT: u16 = 23_993;
pub const ENDPOINT_PORT: u16 = 23_994;
pub const METRICS_PORT: u16 = 9_464;
pub const PORT_RANGE: (u16, u16) = (24_000, 24_015);

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Bounds of the deployment: those of the site that the cases name.
pub const REVOKE_MS: u64 = 5_000;
pub const CONFIG_APPLY_MS: u64 = 2_000;
pub const HEARTBEAT_MS: u64 = 1_200;
pub const SEED_LAG_MS: u64 = 3_000;

/// The longest that a script may run.
const LIMIT: Duration = Duration::from_secs(110);

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_millis() as u64
}

/// What was sent, answered and run, with the time since the start of the script.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} s  {}", self.began.elapsed().as_secs_f64(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, file: &Path) {
        let mut text = String::new();
        for line in self.lines.lock().unwrap().iter() {
            let _ = writeln!(text, "{line}");
        }
        let _ = fs::write(file, text);
    }
}

/// A case: where its record goes, and whether the disruption takes place.
pub struct Case {
    pub record: Record,
    pub trouble: bool,
    file: PathBuf,
}

impl Case {
    /// Reads the folder of the case from the first argument, and `TROUBLE` from the environment.
    pub fn begin() -> Self {
        let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let record = Record::new();
        record.note(format!("begins; trouble: {trouble}"));
        let case = Self {
            record,
            trouble,
            file: folder.join("record.txt"),
        };
        let (record, file) = (case.record.clone(), case.file.clone());
        // Whatever hangs, nothing outlives the script: the processes end with the control group of pids below.
        thread::spawn(move || {
            thread::sleep(LIMIT);
            record.note("could not run: the time is over");
            record.write(&file);
            kill_all();
            std::process::exit(NOT_RUN);
        });
        case
    }

    /// Writes the record, ends all processes and exits.
    pub fn end(&self, code: i32, verdict: &str) -> ! {
        self.record.note(format!("{verdict}; exit {code}"));
        self.record.write(&self.file);
        println!("{verdict}");
        kill_all();
        std::process::exit(code)
    }

    pub fn need<T>(&self, what: &str, value: Option<T>) -> T {
        match value {
            Some(value) => value,
            None => self.end(NOT_RUN, &format!("could not run: {what}")),
        }
    }
}

static CHILDREN: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

fn kill_all() {
    for (_, child) in CHILDREN.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    for folder in FOLDERS.lock().unwrap().drain(..) {
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(folder);
        }
    }
}

/// Core and edge machines on addresses of a loopback network that nobody else uses.
pub struct Fleet {
    root: PathBuf,
    folder: PathBuf,
    network: (u8, u8),
    record: Record,
    cores: u8,
    sheet: &'static Sheet,
}

/// What the settings of a deployment take from its sheet.
pub struct Sheet {
    zones: &'static [&'static str],
    contracts: &'static str,
    memory_mb: &'static str,
    pub drain_ms: u64,
    bounds: &'static [(&'static str, &'static str)],
}

impl Fleet {
    pub fn new(case: &Case, cores: u8, sheet: &'static Sheet) -> Self {
        let root = std::env::current_dir().expect("the repository is the working folder");
        let folder = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&folder).expect("a temporary folder can be made");
        FOLDERS.lock().unwrap().push(folder.clone());
        let start = (std::process::id() % 50) as u8;
        let network = (0..100_u8).find_map(|step| {
            let network = (100 + (start + step) % 100, 1 + step % 200);
            let probe =
                |machine: u8, port| TcpListener::bind((Ipv4Addr::new(127, network.0, network.1, machine), port));
            let machines = [1, 2, 31, 201];
            machines
                .iter()
                .all(|machine| probe(*machine, CONTROL_PORT).is_ok())
                .then_some(network)
        });
        let network = case.need("no free loopback addresses", network);
        Self {
            root,
            folder,
            network,
            record: case.record.clone(),
            cores,
            sheet,
        }
    }

    pub fn address(&self, machine: u8, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.network.0, self.network.1, machine), port))
    }

    pub fn core(&self, number: u8) -> SocketAddr {
        self.address(number, CONTROL_PORT)
    }

    pub fn edge(&self, number: u8) -> SocketAddr {
        self.address(30 + number, FRONT_PORT)
    }

    pub fn endpoint(&self, number: u8) -> SocketAddr {
        self.address(100 + number, ENDPOINT_PORT)
    }

    pub fn platform(&self) -> SocketAddr {
        self.address(250, PLATFORM_PORT)
    }

    /// Core machines of the first start, as the operator's and the endpoints' list names them.
    pub fn control_list(&self) -> Vec<SocketAddr> {
        (1..=self.cores).map(|core| self.core(core)).collect()
    }

    /// Starts all core machines for the first time, and so many edge machines.
    pub fn start(&self, edges: u8) {
        for core in 1..=self.cores {
            self.start_core(core, true);
        }
        for edge in 1..=edges {
            self.start_edge(edge);
        }
    }

    pub fn start_core(&self, number: u8, bootstrap: bool) {
        self.start_machine("core", number, number, bootstrap);
    }

    pub fn start_edge(&self, number: u8) {
        self.start_machine("edge", 30 + number, number, true);
    }

    fn start_machine(&self, role: &str, machine: u8, number: u8, bootstrap: bool) {
        let name = format!("{role}-{number}");
        let template =
            fs::read_to_string(self.root.join(format!("deploy/{role}.json"))).expect("the template is there");
        let data = self.folder.join(format!("{name}-data"));
        let seeds: Vec<String> = (1..=3).map(|seed| format!("\"{}\"", self.core(seed))).collect();
        let mut fields: BTreeMap<&str, String> = BTreeMap::new();
        let mut set = |name, value: &str| {
            fields.insert(name, value.to_owned());
        };
        set("node_name", &name);
        set("zone", self.sheet.zones[usize::from(number) % self.sheet.zones.len()]);
        set("listen.front", &self.address(machine, FRONT_PORT).to_string());
        set("listen.ready", &self.address(machine, READY_PORT).to_string());
        set("listen.control", &self.address(machine, CONTROL_PORT).to_string());
        set("ip", &self.address(machine, 0).ip().to_string());
        set("port_range.0", &PORT_RANGE.0.to_string());
        set("port_range.1", &PORT_RANGE.1.to_string());
        set("seeds|json", &format!("[{}]", seeds.join(",")));
        set("data_dir", &data.display().to_string());
        set("bootstrap|json", if bootstrap { "true" } else { "false" });
        set("fault_tolerance.machines", "2");
        set("cloud.address", &self.platform().to_string());
        set("limits.memory_mb", self.sheet.memory_mb);
        set("contracts|json", self.sheet.contracts);
        set("bounds.drain_ms", &self.sheet.drain_ms.to_string());
        for (name, value) in self.sheet.bounds {
            set(name, value);
        }
        let settings = self.folder.join(format!("{name}.json"));
        fs::write(&settings, render(&template, &fields)).expect("the settings can be written");
        let log = fs::File::create(self.folder.join(format!("{name}.log"))).expect("a log can be written");
        let mut command = Command::new(format!("target/release/acacia-{role}"));
        command
            .current_dir(&self.root)
            .env_clear()
            .env("ACACIABAY_BOOT", &settings);
        for variable in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(variable) {
                command.env(variable, value);
            }
        }
        let errors = log.try_clone().expect("a log can be written");
        let child = command
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program can be started");
        self.record.note(format!("starts {name}, pid {}", child.id()));
        CHILDREN.lock().unwrap().push((name, child));
    }

    pub fn pid(&self, name: &str) -> Option<u32> {
        let children = CHILDREN.lock().unwrap();
        children
            .iter()
            .rev()
            .find(|(known, _)| known == name)
            .map(|(_, child)| child.id())
    }

    pub fn data_folder(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}-data"))
    }

    /// Kills a process and waits for its end.
    pub fn kill(&self, name: &str) {
        let mut children = CHILDREN.lock().unwrap();
        if let Some((_, child)) = children.iter_mut().rev().find(|(known, _)| known == name) {
            let _ = child.kill();
            let _ = child.wait();
        }
        drop(children);
        self.record.note(format!("kills {name}"));
    }

    /// Sends a signal to a process that this script has started.
    pub fn signal(&self, name: &str, signal: &str) {
        if let Some(pid) = self.pid(name) {
            self.record.note(format!("sends {signal} to {name}"));
            let _ = Command::new("kill")
                .arg(format!("-{signal}"))
                .arg(pid.to_string())
                .status();
        }
    }

    /// Returns true if a process has ended by itself.
    pub fn has_ended(&self, name: &str) -> bool {
        let mut children = CHILDREN.lock().unwrap();
        let child = children.iter_mut().rev().find(|(known, _)| known == name);
        let status = child.and_then(|(_, child)| child.try_wait().ok().flatten());
        if let Some(status) = status {
            self.record.note(format!("{name} has ended by itself: {status}"));
        }
        status.is_some()
    }

    /// Returns the exit statuses of processes that have ended by themselves.
    pub fn ended(&self) -> Vec<String> {
        let mut ended = Vec::new();
        for (name, child) in CHILDREN.lock().unwrap().iter_mut() {
            if let Ok(Some(status)) = child.try_wait() {
                ended.push(format!("{name}: {status}"));
            }
        }
        ended
    }

    /// Waits until an edge machine says that it is ready.
    pub fn wait_ready(&self, case: &Case, edge: u8) {
        let address = self.address(30 + edge, READY_PORT);
        let ready = wait(Duration::from_secs(20), || {
            let answer = call(address, "GET", "/-/readyz", &[], b"", Duration::from_secs(1)).ok()?;
            (answer.status == 200).then_some(())
        });
        case.need(&format!("edge-{edge} is not ready"), ready);
        self.record.note(format!("edge-{edge} is ready"));
    }

    /// Sends a manifest as the operator does until it is acknowledged or refused; returns the status and the time of the ack.
    pub fn put(&self, case: &Case, manifest: &str) -> (u16, Instant) {
        let put = self.try_put(manifest, Duration::from_secs(20));
        case.need("the manifest got no clear answer", put)
    }

    /// The same for so long; nothing without a clear answer.
    pub fn try_put(&self, manifest: &str, limit: Duration) -> Option<(u16, Instant)> {
        let began = Instant::now();
        let list = self.control_list();
        for turn in 0.. {
            if began.elapsed() > limit {
                break;
            }
            let answer = follow(list[turn % list.len()], "POST", "/-/config/put", manifest.as_bytes());
            match answer {
                Some(answer) if answer.status < 500 && answer.status != 429 && answer.status != 408 => {
                    self.record
                        .note(format!("operator: manifest answered {}", answer.status));
                    return Some((answer.status, Instant::now()));
                }
                _ => thread::sleep(Duration::from_millis(200)),
            }
        }
        None
    }

    /// Reads the manifest back.
    pub fn read_manifest(&self) -> Option<String> {
        for address in self.control_list() {
            if let Some(answer) = follow(address, "GET", "/-/config/get", b"").filter(|answer| answer.status == 200) {
                return Some(String::from_utf8_lossy(&answer.body).into_owned());
            }
        }
        None
    }
}

/// The sheet of padana-liuteria.
pub static SMALL: Sheet = Sheet {
    zones: &["cremona", "milano", "bologna"],
    contracts: r#"["base","drain","config","cost","retry","recover","split","stream","engine","tenants","leader"]"#,
    memory_mb: "260",
    drain_ms: 2_000,
    bounds: &[
        ("bounds.grace_s", "8"),
        ("bounds.config_apply_ms", "2000"),
        ("bounds.revoke_ms", "5000"),
        ("bounds.retry_budget_ratio", "0.2"),
        ("bounds.budget_window_s", "10"),
        ("bounds.budget_slack", "52"),
        ("bounds.lease_ms", "3000"),
        ("bounds.usage_window_s", "5"),
        ("bounds.usage_late_s", "10"),
    ],
};

/// The sheet of padana-liuteria-fleet.
pub static LARGE: Sheet = Sheet {
    zones: &["cremona", "milano", "bologna", "verona", "torino"],
    contracts: r#"["base","drain","config","cost","retry","recover","health","pool","split","stream","engine","tenants","leader"]"#,
    memory_mb: "160",
    drain_ms: 4_000,
    bounds: &[
        ("bounds.grace_s", "8"),
        ("bounds.config_apply_ms", "4000"),
        ("bounds.revoke_ms", "5000"),
        ("bounds.retry_budget_ratio", "0.2"),
        ("bounds.budget_window_s", "10"),
        ("bounds.budget_slack", "1040"),
        ("bounds.lease_ms", "3000"),
        ("bounds.usage_window_s", "5"),
        ("bounds.usage_late_s", "10"),
    ],
};

/// Fills in a template of the deploy folder: values, and sections that are there or not.
fn render(template: &str, fields: &BTreeMap<&str, String>) -> String {
    let mut text = template.to_owned();
    while let Some(begin) = text.find("{{#") {
        let name_end = text[begin..].find("}}").expect("a section has a name") + begin;
        let name = text[begin + 3..name_end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let end = text.find(&close).expect("a section ends");
        let inner = if fields.contains_key(name.as_str()) {
            text[name_end + 2..end].to_owned()
        } else {
            String::new()
        };
        text.replace_range(begin..end + close.len(), &inner);
    }
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(
        !text.contains("{{"),
        "the template has a field that this harness does not know: {text}"
    );
    text
}

/// Repeats a question until it has an answer or the time is over.
pub fn wait<T>(limit: Duration, mut question: impl FnMut() -> Option<T>) -> Option<T> {
    let began = Instant::now();
    loop {
        if let Some(answer) = question() {
            return Some(answer);
        }
        if began.elapsed() > limit {
            return None;
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// A message of HTTP/1.1 that has come whole.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method and target, or the status line.
    pub first: String,
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }
}

/// A connection that is read message by message.
pub struct Connection {
    pub stream: TcpStream,
    pending: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            pending: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, Duration::from_secs(1))?))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 64 * 1024];
        let count = self.stream.read(&mut buffer)?;
        self.pending.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    /// Reads a head, and leaves what follows it.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let end = loop {
            if let Some(at) = find(&self.pending, b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let head: Vec<u8> = self.pending.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&head[..end]).into_owned();
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let status = first
            .strip_prefix("HTTP/1.1 ")
            .and_then(|rest| rest.get(..3)?.parse().ok())
            .unwrap_or(0);
        let headers = lines.filter_map(|line| {
            let (name, value) = line.split_once(':')?;
            Some((name.to_owned(), value.trim().to_owned()))
        });
        Ok(Message {
            first,
            status,
            headers: headers.collect(),
            body: Vec::new(),
        })
    }

    /// Reads so many bytes of what follows.
    pub fn read_bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.pending.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.pending.drain(..count).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = find(&self.pending, b"\r\n") {
                let line: Vec<u8> = self.pending.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads one chunk of a body; nothing at its end.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.read_line()?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
        let size = size.map_err(|_bad| io::Error::from(io::ErrorKind::InvalidData))?;
        let data = self.read_bytes(size)?;
        self.read_line()?;
        Ok((size > 0).then_some(data))
    }

    /// Reads the body that belongs to a head. `is_answer` says that one without a length ends with the connection.
    pub fn read_body(&mut self, message: &mut Message, is_answer: bool) -> io::Result<()> {
        if message
            .header("transfer-encoding")
            .is_some_and(|coding| coding.contains("chunked"))
        {
            while let Some(chunk) = self.read_chunk()? {
                message.body.extend(chunk);
            }
        } else if let Some(length) = message.header("content-length") {
            let length = length
                .parse()
                .map_err(|_bad| io::Error::from(io::ErrorKind::InvalidData))?;
            message.body = self.read_bytes(length)?;
        } else if is_answer {
            while self.fill()? > 0 {}
            message.body = std::mem::take(&mut self.pending);
        }
        Ok(())
    }

    pub fn read_message(&mut self, is_answer: bool) -> io::Result<Message> {
        let mut message = self.read_head()?;
        self.read_body(&mut message, is_answer)?;
        Ok(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

pub fn request_bytes(method: &str, path: &str, host: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    if !body.is_empty() || method == "POST" {
        let _ = write!(text, "Content-Length: {}\r\n", body.len());
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn answer_bytes(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    let _ = write!(text, "Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a connection of its own and waits for the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let host = headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("host"))
        .map(|(_, value)| *value);
    let others: Vec<_> = headers
        .iter()
        .copied()
        .filter(|(name, _)| !name.eq_ignore_ascii_case("host"))
        .collect();
    let mut connection = Connection::open(address)?;
    connection.stream.set_read_timeout(Some(limit))?;
    connection.stream.set_write_timeout(Some(limit))?;
    let host = host.map_or_else(|| address.to_string(), ToOwned::to_owned);
    connection.write(&request_bytes(method, path, &host, &others, body))?;
    connection.read_message(true)
}

/// Calls the control interface and follows a redirection twice, as every caller of it does.
fn follow(address: SocketAddr, method: &str, path: &str, body: &[u8]) -> Option<Message> {
    let mut address = address;
    for _ in 0..3 {
        let json = [("Content-Type", "application/json")];
        let answer = call(address, method, path, &json, body, Duration::from_secs(2)).ok()?;
        if answer.status != 307 {
            return Some(answer);
        }
        let location = answer.header("location")?.strip_prefix("http://")?.to_owned();
        address = location.split('/').next()?.parse().ok()?;
    }
    None
}

/// Headers of a proper request.
pub fn proper<'head>(
    host: &'head str,
    id: &'head str,
    key: &'head str,
    deadline: &'head str,
) -> Vec<(&'head str, &'head str)> {
    vec![
        ("Host", host),
        ("Acaciabay-Request-Id", id),
        ("Acaciabay-Deadline-Ms", deadline),
        ("Acaciabay-Credential", key),
    ]
}

/// Serves connections, each on a thread of its own, until the flag is set.
pub fn serve(
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    handle: impl Fn(Connection) + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            if let Ok(stream) = stream {
                let handle = Arc::clone(&handle);
                thread::spawn(move || handle(Connection::new(stream)));
            }
        }
    });
    Ok(())
}

/// The platform: takes usage and orders, checks nothing.
pub fn start_platform(case: &Case, fleet: &Fleet) {
    let record = case.record.clone();
    let started = serve(fleet.platform(), Arc::default(), move |mut connection| {
        while let Ok(message) = connection.read_message(false) {
            record.note(format!(
                "platform: {} fence {} by {}: {}",
                message.path(),
                message.header("acaciabay-fence-token").unwrap_or("-"),
                message.header("acaciabay-lease-holder").unwrap_or("-"),
                String::from_utf8_lossy(&message.body)
            ));
            if connection.write(&answer_bytes("200 OK", &[], b"")).is_err() {
                return;
            }
        }
    });
    case.need("the platform cannot listen", started.ok());
}

/// How an endpoint reports itself.
pub struct Heart {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub stage: Option<String>,
    pub born: u64,
    sequence: AtomicU64,
    state: Mutex<&'static str>,
    /// Calls the endpoint knows for its reports; it stays with one that acknowledges, and else goes on to the next.
    nodes: Mutex<Vec<SocketAddr>>,
    pub stopped: AtomicBool,
    paused: AtomicBool,
}

impl Heart {
    pub fn new(
        id: &str,
        service: &str,
        address: SocketAddr,
        zone: &str,
        slots: u32,
        stage: Option<&str>,
        nodes: Vec<SocketAddr>,
    ) -> Arc<Self> {
        Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            zone: zone.to_owned(),
            slots,
            stage: stage.map(ToOwned::to_owned),
            born: unix_ms(),
            sequence: AtomicU64::new(1),
            state: Mutex::new("ready"),
            nodes: Mutex::new(nodes),
            stopped: AtomicBool::new(false),
            paused: AtomicBool::new(false),
        })
    }

    pub fn use_nodes(&self, nodes: Vec<SocketAddr>) {
        *self.nodes.lock().unwrap() = nodes;
    }

    /// Sends no reports of its own until it goes on.
    pub fn pause(&self) {
        self.paused.store(true, Ordering::Relaxed);
    }

    pub fn go_on(&self) {
        self.paused.store(false, Ordering::Relaxed);
    }

    pub fn drain(&self) {
        *self.state.lock().unwrap() = "draining";
    }

    /// Sends one report; returns the node that has acknowledged it.
    pub fn beat(&self) -> Option<SocketAddr> {
        let body = self.report();
        self.send("heartbeat", &body)
    }

    /// Sends one report that arrives late at its node. Its sender hears nothing of it.
    pub fn beat_late(&self, node: SocketAddr, delay: Duration) {
        let (body, path) = (self.report(), format!("/-/instances/{}/heartbeat", self.id));
        thread::spawn(move || {
            thread::sleep(delay);
            let json = [("Content-Type", "application/json")];
            let _unheard = call(node, "POST", &path, &json, body.as_bytes(), Duration::from_secs(1));
        });
    }

    fn report(&self) -> String {
        let stage = self.stage.as_ref().map_or(String::new(), |stage| {
            format!(r#","stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}]"#)
        });
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"{}","cold_left_ms":0{stage},"seq":{},"born":{}}}"#,
            self.service,
            self.address,
            self.zone,
            self.slots,
            *self.state.lock().unwrap(),
            self.sequence.fetch_add(1, Ordering::Relaxed),
            self.born
        )
    }

    pub fn deregister(&self) -> Option<SocketAddr> {
        self.send("deregister", &format!(r#"{{"born":{}}}"#, self.born))
    }

    fn send(&self, verb: &str, body: &str) -> Option<SocketAddr> {
        let path = format!("/-/instances/{}/{verb}", self.id);
        let nodes = self.nodes.lock().unwrap().clone();
        let json = [("Content-Type", "application/json")];
        for node in &nodes {
            let sent = call(*node, "POST", &path, &json, body.as_bytes(), Duration::from_secs(1));
            if sent.is_ok_and(|answer| (200..300).contains(&answer.status)) {
                // The next report goes to the same node.
                let mut known = self.nodes.lock().unwrap();
                if let Some(at) = known.iter().position(|known| known == node) {
                    known.rotate_left(at);
                }
                return Some(*node);
            }
        }
        None
    }

    /// Reports about every `heartbeat_ms`.
    pub fn keep_beating(self: &Arc<Self>) {
        let heart = Arc::clone(self);
        thread::spawn(move || {
            while !heart.stopped.load(Ordering::Relaxed) {
                if !heart.paused.load(Ordering::Relaxed) {
                    heart.beat();
                }
                thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
    }
}

/// What an endpoint has been sent, by request.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub at: Instant,
    pub tenant: Option<String>,
    pub path: String,
    pub endpoint: String,
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

pub fn arrival(message: &Message, endpoint: &str) -> Arrival {
    Arrival {
        id: message.header("acaciabay-request-id").unwrap_or("").to_owned(),
        at: Instant::now(),
        tenant: message.header("acaciabay-tenant").map(ToOwned::to_owned),
        path: message.path().to_owned(),
        endpoint: endpoint.to_owned(),
    }
}

/// A sound endpoint that answers plain requests after `work`.
pub fn start_plain(case: &Case, heart: &Arc<Heart>, work: Duration, arrivals: Arrivals) {
    let (record, name) = (case.record.clone(), Arc::clone(heart));
    let started = serve(heart.address, Arc::default(), move |mut connection| {
        while let Ok(message) = connection.read_message(false) {
            if name.stopped.load(Ordering::Relaxed) {
                return connection.close();
            }
            let id = message.header("acaciabay-request-id").unwrap_or("").to_owned();
            if id.is_empty() {
                let headers = [("Acaciabay-Instance-Id", name.id.as_str())];
                if connection.write(&answer_bytes("200 OK", &headers, b"{}")).is_err() {
                    return;
                }
                continue;
            }
            if message
                .header("acaciabay-expect-instance")
                .is_some_and(|expected| expected != name.id)
            {
                let headers = [("Acaciabay-Request-Id", id.as_str()), ("Acaciabay-Not-Executed", "1")];
                if connection
                    .write(&answer_bytes("421 Misdirected Request", &headers, b""))
                    .is_err()
                {
                    return;
                }
                continue;
            }
            let arrived = arrival(&message, &name.id);
            record.note(format!(
                "{} runs {} {} for tenant {:?}",
                name.id, message.first, id, arrived.tenant
            ));
            arrivals.lock().unwrap().push(arrived);
            thread::sleep(work);
            let stamp = format!("stamp.{}.{id}", name.id);
            let headers = [
                ("Acaciabay-Request-Id", id.as_str()),
                ("Acaciabay-Server-Stamp", stamp.as_str()),
                ("Content-Type", "application/octet-stream"),
            ];
            if connection
                .write(&answer_bytes("200 OK", &headers, format!("done {id}").as_bytes()))
                .is_err()
            {
                return;
            }
        }
    });
    case.need("an endpoint cannot listen", started.ok());
}

/// A route of a manifest.
pub fn route(
    name: &str,
    prefix: &str,
    kind: &str,
    service: &str,
    timeout_ms: u64,
    attempts: u32,
    more: &str,
) -> String {
    format!(
        r#"{{"name":"{name}","hostname":"shop.example","path_prefix":"{prefix}","kind":"{kind}","timeout_ms":{timeout_ms},"target_latency_ms":100,"priority":1,"service":"{service}","max_attempts":{attempts},"public":false{more}}}"#
    )
}

/// A manifest with the limits of the pages.
pub fn manifest(version: u64, routes: &[String], services: &str, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{services}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{tenants}]}}"#,
        routes.join(",")
    )
}

pub const PLAIN_SERVICE: &str =
    r#"{"name":"app","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false}"#;

/// Counts of the statuses that callers got.
pub fn tally(statuses: &[u16]) -> String {
    let mut counts: HashMap<u16, usize> = HashMap::new();
    for status in statuses {
        *counts.entry(*status).or_default() += 1;
    }
    let mut rows: Vec<_> = counts.into_iter().collect();
    rows.sort_unstable();
    rows.iter()
        .map(|(status, count)| format!("{status} x {count}"))
        .collect::<Vec<_>>()
        .join(", ")
}
