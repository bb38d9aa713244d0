//! What all cases share: the record, the node as a process of its own, and small stand-ins for rooster servers,
//! the origin and discovery, after the users' pages. Standard library only; loopback addresses only.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::channel;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn ioctl(fd: i32, request: u64, ...) -> i32;
}

/// How many written bytes of a connection the other machine has not acknowledged yet (SIOCOUTQ).
pub fn unacknowledged(stream: &TcpStream) -> i32 {
    const SIOCOUTQ: u64 = 0x5411;
    let mut bytes = -1;
    unsafe { ioctl(stream.as_raw_fd(), SIOCOUTQ, &mut bytes as *mut i32) };
    bytes
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Milliseconds since 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// The lines of `record.txt`, each with the time since the start in seconds.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &str) -> Arc<Record> {
        let file = File::create(path).expect("record.txt can be written");
        Arc::new(Record { began: Instant::now(), file: Mutex::new(file) })
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.4} {}", text.as_ref());
    }

    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.note(text);
    }
}

/// A free loopback port.
pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port").port()
}

// ---- The node -------------------------------------------------------------------------------------------------

/// The nodes that run, so that none is left behind when a case is broken off.
static RUNNING: Mutex<Vec<i32>> = Mutex::new(Vec::new());

pub fn end_all_nodes() {
    RUNNING.lock().unwrap().iter().for_each(|pid| _ = unsafe { kill(*pid, SIGKILL) });
}

pub struct Node {
    child: Child,
    pid: i32,
}

/// What the platform tells a node.
pub struct Start<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub management: Option<SocketAddr>,
    pub config: PathBuf,
    pub dir: PathBuf,
    /// For the names of its log files.
    pub log: &'a str,
}

/// The command `run` of the deploy file.
fn run_command(root: &str) -> String {
    let text = fs::read_to_string(format!("{root}/deploy/balancer.toml")).expect("deploy/balancer.toml");
    let line = text.lines().find_map(|l| l.strip_prefix("run = \"")).expect("run in the deploy file");
    line.split('"').next().unwrap_or_default().to_string()
}

impl Node {
    /// Starts `run` from the root of the repository, by `/bin/sh -c`, with the platform's variables.
    pub fn start(root: &str, start: &Start) -> Node {
        let out = File::create(start.dir.join(format!("{}.out", start.log))).expect("log");
        let err = File::create(start.dir.join(format!("{}.err", start.log))).expect("log");
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(run_command(root))
            .current_dir(root)
            .env("EDGE_NAME", start.name)
            .env("EDGE_LISTEN", start.listen.to_string())
            .env("EDGE_DISCOVERY", start.discovery.to_string())
            .env("EDGE_CONFIG", &start.config)
            .env("TMPDIR", &start.dir)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err);
        if let Some(at) = start.management {
            command.env("EDGE_MANAGEMENT", at.to_string());
        }
        let child = command.spawn().expect("the node starts");
        let pid = child.id() as i32;
        RUNNING.lock().unwrap().push(pid);
        Node { child, pid }
    }

    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.pid, signal) };
    }

    /// Whether the process has ended.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    pub fn wait(&mut self) {
        let _ = self.child.wait();
    }

    /// A line of `/proc/PID/status` in kB.
    pub fn status_kb(&self, name: &str) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid)).unwrap_or_default();
        let line = text.lines().find_map(|l| l.strip_prefix(name));
        line.and_then(|l| l.trim_start_matches(':').trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if self.ended().is_none() {
            self.signal(SIGKILL);
            let _ = self.child.wait();
        }
        RUNNING.lock().unwrap().retain(|pid| *pid != self.pid);
    }
}

/// Asks `mn` until the node says yes.
pub fn wait_ready(at: SocketAddr, within: Duration) -> bool {
    let until = Instant::now() + within;
    while Instant::now() < until {
        if let Ok(mut stream) = TcpStream::connect_timeout(&at, ms(200)) {
            let _ = stream.set_read_timeout(Some(ms(500)));
            let mut line = String::new();
            if stream.write_all(b"mn\r\n").is_ok()
                && BufReader::new(&stream).read_line(&mut line).is_ok()
                && line.trim_end() == "MN"
            {
                return true;
            }
        }
        thread::sleep(ms(50));
    }
    false
}

// ---- Rooster servers and the origin ---------------------------------------------------------------------------

/// A request as a rooster server or the origin has read it, up to its last byte.
#[derive(Clone)]
pub struct Asked {
    pub write: bool,
    pub key: String,
    pub id: String,
    pub came: Instant,
}

/// What a stand-in does with a request. It writes the answer; false closes the connection.
pub type Behaviour = Arc<dyn Fn(&Asked, &mut TcpStream) -> bool + Send + Sync>;

/// A rooster server that speaks the meta commands. Each request is handed to `behaviour` in order.
pub fn rooster(behaviour: Behaviour) -> SocketAddr {
    serve(behaviour, read_command)
}

/// The origin, over HTTP/1.1.
pub fn origin(behaviour: Behaviour) -> SocketAddr {
    serve(behaviour, read_http)
}

type Reader = fn(&mut BufReader<TcpStream>) -> io::Result<Option<Asked>>;

fn serve(behaviour: Behaviour, read: Reader) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
    let at = listener.local_addr().expect("address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let behaviour = behaviour.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || {
                let Ok(mut out) = stream.try_clone() else { return };
                let (send, receive) = channel::<Asked>();
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream);
                    while let Ok(Some(asked)) = read(&mut reader) {
                        if send.send(asked).is_err() {
                            return;
                        }
                    }
                });
                for asked in receive {
                    if !behaviour(&asked, &mut out) {
                        break;
                    }
                }
                let _ = out.shutdown(std::net::Shutdown::Both);
            });
        }
    });
    at
}

fn read_command(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Asked>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let words: Vec<&str> = line.trim_end().split(' ').collect();
    let flag = |letter: char| {
        let word = words.iter().skip(2).find(|w| w.starts_with(letter));
        word.map(|w| w[1..].to_string()).unwrap_or_default()
    };
    let write = words.first() == Some(&"ms");
    let (key, id) = (words.get(1).unwrap_or(&"").to_string(), flag('O'));
    if write {
        let length: usize = words.get(2).and_then(|w| w.parse().ok()).unwrap_or(0);
        let mut value = vec![0; length + 2];
        reader.read_exact(&mut value)?;
    }
    Ok(Some(Asked { write, key, id, came: Instant::now() }))
}

fn read_http(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Asked>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let length: usize = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let header = |name: &str| headers.get(name).cloned().unwrap_or_default();
    let id = header("req-id");
    let (write, key) = (method == "PUT", path.trim_start_matches('/').to_string());
    Ok(Some(Asked { write, key, id, came: Instant::now() }))
}

fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<(String, HashMap<String, String>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => _ = headers.insert(name.to_lowercase(), value.trim().to_string()),
            None => return Ok(Some((first.trim_end().to_string(), headers))),
        }
    }
}

/// Writes `VA` with a value.
pub fn answer_value(out: &mut TcpStream, id: &str, value: &[u8]) -> bool {
    let mut bytes = format!("VA {} O{id} h1\r\n", value.len()).into_bytes();
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n");
    out.write_all(&bytes).is_ok()
}

/// Writes `200` with a body.
pub fn answer_http(out: &mut TcpStream, body: &str) -> bool {
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    out.write_all(text.as_bytes()).is_ok()
}

// ---- Discovery ------------------------------------------------------------------------------------------------

#[derive(Clone)]
pub struct Entry {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub model: &'static str,
    pub state: &'static str,
    pub boot_ms: u64,
    /// The version of the list in which it changed last.
    pub changed: u64,
}

pub fn entry(uid: &str, endpoint: SocketAddr, model: &'static str) -> Entry {
    Entry { uid: uid.into(), endpoint, model, state: "up", boot_ms: 0, changed: 1 }
}

pub fn list_json(rev: u64, all: bool, entries: &[Entry]) -> String {
    let one = |e: &Entry| {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"amsterdam","model":"{}","pod_group":0,"state":"{}","capacity_hint":1.0,"boot_ms":{}}}"#,
            e.uid, e.endpoint, e.model, e.state, e.boot_ms
        )
    };
    let targets: Vec<String> = entries.iter().map(one).collect();
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, targets.join(","))
}

/// The list of members.
pub struct Catalog {
    state: Mutex<(u64, Vec<Entry>)>,
    news: Condvar,
}

impl Catalog {
    pub fn new(entries: Vec<Entry>) -> Arc<Catalog> {
        Arc::new(Catalog { state: Mutex::new((1, entries)), news: Condvar::new() })
    }

    fn full(&self) -> String {
        let list = self.state.lock().unwrap();
        let live: Vec<Entry> = list.1.iter().filter(|e| e.state != "removed").cloned().collect();
        list_json(list.0, true, &live)
    }

    /// Waits for something newer than `from`.
    fn watch(&self, from: u64, hold: Duration) -> String {
        let list = self.state.lock().unwrap();
        let (list, _) = self.news.wait_timeout_while(list, hold, |list| list.0 <= from).unwrap();
        let changed: Vec<Entry> = list.1.iter().filter(|e| e.changed > from).cloned().collect();
        list_json(list.0, false, &changed)
    }
}

/// Starts discovery, and gives its address.
fn discovery(catalog: Arc<Catalog>, record: Arc<Record>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
    let at = listener.local_addr().expect("address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (catalog, record) = (catalog.clone(), record.clone());
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut out) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some((first, _))) = read_head(&mut reader) {
                    let path = first.split(' ').nth(1).unwrap_or_default().to_string();
                    let number = |name: &str| {
                        let at = path.find(name)? + name.len();
                        let digits: String = path[at..].chars().take_while(char::is_ascii_digit).collect();
                        digits.parse::<u64>().ok()
                    };
                    let body = match (number("from="), number("hold_ms=")) {
                        (Some(from), Some(hold)) => catalog.watch(from, ms(hold)),
                        _ => catalog.full(),
                    };
                    if !body.ends_with("[]}") {
                        record.note(format!("discovery tells {body}"));
                    }
                    if !answer_http(&mut out, &body) {
                        return;
                    }
                }
            });
        }
    });
    at
}

// ---- Clients --------------------------------------------------------------------------------------------------

/// How a request ended for its client.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// The first line of the answer, and the value.
    Line(String, Vec<u8>),
    /// The connection ended, or broke, with this many bytes of an answer.
    Closed(usize),
    /// There was no answer in time, or only this many bytes of it.
    Silent(usize),
}

/// Reads one answer. `until` is when the client gives up.
pub fn read_answer(stream: &mut TcpStream, until: Instant) -> End {
    let mut bytes = Vec::new();
    let mut buffer = [0; 65536];
    loop {
        if let Some(end) = bytes.iter().position(|b| *b == b'\n') {
            let line = String::from_utf8_lossy(&bytes[..end]).trim_end().to_string();
            let words: Vec<&str> = line.split(' ').collect();
            let length = if words[0] == "VA" { words[1].parse::<usize>().unwrap_or(0) + 2 } else { 0 };
            if bytes.len() >= end + 1 + length {
                let value = bytes[end + 1..end + 1 + length.saturating_sub(2)].to_vec();
                return End::Line(line, value);
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return End::Silent(bytes.len());
        }
        let _ = stream.set_read_timeout(Some(left.max(ms(1))));
        match stream.read(&mut buffer) {
            Ok(0) => return End::Closed(bytes.len()),
            Ok(n) => bytes.extend_from_slice(&buffer[..n]),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                return End::Silent(bytes.len());
            }
            Err(_) => return End::Closed(bytes.len()),
        }
    }
}

// ---- The platform's configuration -----------------------------------------------------------------------------

pub struct Config<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub memory_mb: u64,
    pub sockets: u64,
    /// The request classes, as JSON objects.
    pub classes: Vec<String>,
    pub siblings: u32,
}

pub fn class(name: &str, effect: &str, give_up_s: f64, slo_s: f64, worth: f64) -> String {
    format!(
        r#"{{"name":"{name}","effect":"{effect}","group":"all","give-up-s":{give_up_s},"slo-s":{slo_s},"window-s":10.0,"worth":{worth},"late-worth":0.0,"streamed":false}}"#
    )
}

impl Config<'_> {
    /// Replaces the file in one step, as a platform would.
    pub fn write(&self, to: &PathBuf, known: &[Entry]) {
        let known = list_json(1, true, known);
        let text = format!(
            r#"{{"name":"{}","listen":"{}","discovery":"{}","seed":"{:016x}",
 "limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},
 "known":{known},
 "settings":{{"az":0,"zones":["amsterdam","utrecht","eindhoven"],"host-types":["snel","gewoon","oud","origin"],
  "me":0,"siblings":{},"discovery":"subscribe","customers":[],"over-share-worth":0.1,
  "family-info":{{"mode":"aside","origin-kind":3,"origin-fall-multiple":0.0,"origin-fall-s":3.0}},
  "bounds":{{"attempts-cap":3,"cancel":true,"conn-idle-s":60.0,"connect-timeout-s":0.25,"max-retry-after-s":2.0,
   "most-held":20000,"multiplex":32,"peers":false,"probes":false,"retry-after":true,"second-copies":true}},
  "request-classes":[{}],
  "rules":{{"answer-slack-s":0.02,"ask-within-s":10.0,"cold-s":24.0,"drain-grace-s":0.5,"fall-s":2.0,
   "start-capacity":0.13,"tip-multiple":3.0}}}}}}"#,
            self.name,
            self.listen,
            self.discovery,
            unix_ms(),
            self.memory_mb,
            self.sockets,
            self.siblings,
            self.classes.join(",\n   ")
        );
        let next = to.with_extension("next");
        fs::write(&next, text).expect("configuration");
        fs::rename(&next, to).expect("configuration");
    }
}

/// A temporary folder, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let base = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&base).expect("a temporary folder");
        Folder(base)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

// ---- A small deployment ---------------------------------------------------------------------------------------

/// One node with its discovery, and what is needed to start it again or to change its configuration.
pub struct World {
    pub root: String,
    pub folder: Folder,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub entries: Vec<Entry>,
    pub memory_mb: u64,
    pub sockets: u64,
}

impl World {
    pub fn new(root: &str, record: &Arc<Record>, entries: Vec<Entry>, memory_mb: u64, sockets: u64) -> World {
        let discovery = discovery(Catalog::new(entries.clone()), record.clone());
        let listen = SocketAddr::from(([127, 0, 0, 1], free_port()));
        World { root: root.into(), folder: Folder::new(), listen, discovery, entries, memory_mb, sockets }
    }

    fn file(&self) -> PathBuf {
        self.folder.0.join("config.json")
    }

    /// Writes the node's configuration with these classes.
    pub fn configure(&self, classes: Vec<String>) {
        let config = Config {
            name: "n0",
            listen: self.listen,
            discovery: self.discovery,
            memory_mb: self.memory_mb,
            sockets: self.sockets,
            classes,
            siblings: 1,
        };
        config.write(&self.file(), &self.entries);
    }

    /// Starts the node, and waits until it is ready.
    pub fn start(&self, record: &Record) -> Option<Node> {
        let start = Start {
            name: "n0",
            listen: self.listen,
            discovery: self.discovery,
            management: None,
            config: self.file(),
            dir: self.folder.0.clone(),
            log: "node",
        };
        let node = Node::start(&self.root, &start);
        if wait_ready(self.listen, ms(20_000)) {
            record.note("the node is ready");
            return Some(node);
        }
        record.say("the node is not ready");
        None
    }

    /// Copies the lines of the node's log with this text to the record.
    pub fn note_log(&self, record: &Record, text: &str) {
        let log = fs::read_to_string(self.folder.0.join("node.err")).unwrap_or_default();
        log.lines()
            .filter(|line| line.contains(text))
            .for_each(|line| record.note(format!("node's log: {line}")));
    }
}

/// A rooster server that has every key and takes `work` for a read, counted from the request's last byte: requests on
/// one connection run side by side and are answered in order.
pub fn keeper(
    name: &'static str,
    record: &Arc<Record>,
    length: usize,
    work: fn(&str) -> Duration,
) -> SocketAddr {
    let record = record.clone();
    rooster(Arc::new(move |asked, out| {
        record.note(format!("{name} runs {}", asked.id));
        thread::sleep((asked.came + work(&asked.id)).saturating_duration_since(Instant::now()));
        answer_value(out, &asked.id, &value(&asked.key, length))
    }))
}

/// The value of a key.
pub fn value(key: &str, length: usize) -> Vec<u8> {
    let seed = key.bytes().fold(7u32, |a, b| a.wrapping_mul(31).wrapping_add(b.into()));
    (0..length).map(|i| ((i as u32).wrapping_mul(2_654_435_761).wrapping_add(seed) >> 24) as u8).collect()
}

/// A number for an id, to spread work with.
pub fn hash(id: &str) -> u64 {
    id.bytes().fold(7, |a, b| a.wrapping_mul(0x100_0000_01b3) ^ u64::from(b))
}
