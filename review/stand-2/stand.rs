//! Stand-ins for the cases of the second review, after the users' pages: discovery, cache servers, the origin,
//! clients and the platform that starts the node. Standard library only, real clock, loopback addresses.
#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Milliseconds of the Unix clock.
pub fn unix_ms() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64
}

// ---- The record ---------------------------------------------------------------------------------------------

/// `record.txt`: what was sent, answered and run, with milliseconds since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn new() -> Record {
        let path = std::env::var("CASE_RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = File::create(&path).unwrap_or_else(|e| cannot_run(&format!("{path}: {e}")));
        Record(Arc::new((Instant::now(), Mutex::new(file))))
    }

    pub fn ms(&self) -> u64 {
        self.0.0.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.0.1.lock().unwrap();
        let _ = writeln!(file, "{:>7} {}", self.0.0.elapsed().as_millis(), text.as_ref());
    }
}

/// Whether the disruption is played (`TROUBLE=0` leaves it out).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case cannot run: {why}");
    std::process::exit(2)
}

/// A port that nobody listens on now.
pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).map(|a| a.port()).unwrap_or_else(|e| cannot_run(&e.to_string()))
}

// ---- Discovery ----------------------------------------------------------------------------------------------

#[derive(Clone, Debug)]
pub struct Entry {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub az: String,
    pub model: String,
    pub state: String,
    pub boot_ms: u64,
}

impl Entry {
    pub fn new(uid: &str, endpoint: SocketAddr, model: &str) -> Entry {
        Entry { uid: uid.into(), endpoint, az: "a".into(), model: model.into(), state: "up".into(), boot_ms: 0 }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"{}","model":"{}","pod_group":0,"state":"{}","capacity_hint":1.0,"boot_ms":{}}}"#,
            self.uid, self.endpoint, self.az, self.model, self.state, self.boot_ms
        )
    }
}

#[derive(Default)]
pub struct Members {
    pub rev: u64,
    pub list: BTreeMap<String, Entry>,
    /// The version at which each entry last changed.
    changed: BTreeMap<String, u64>,
    removed: BTreeMap<String, (u64, Entry)>,
    /// When each version was first written to the node.
    pub told: BTreeMap<u64, Instant>,
}

#[derive(Clone)]
pub struct Discovery {
    pub at: SocketAddr,
    pub state: Arc<(Mutex<Members>, Condvar)>,
    /// The open connections of callers.
    open: Arc<Mutex<Vec<TcpStream>>>,
    /// It is down: new connections are refused.
    down: Flag,
    record: Record,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>, record: &Record) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let at = listener.local_addr().unwrap();
        let mut members = Members { rev: 1, ..Members::default() };
        for e in entries {
            members.changed.insert(e.uid.clone(), 1);
            members.list.insert(e.uid.clone(), e);
        }
        let state = Arc::new((Mutex::new(members), Condvar::new()));
        let it = Discovery { at, state, open: Arc::default(), down: flag(), record: record.clone() };
        let this = it.clone();
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                if is_set(&this.down) {
                    listener = None;
                    thread::sleep(ms(5));
                    continue;
                }
                let Some(listening) = &listener else {
                    listener = TcpListener::bind(at).ok();
                    continue;
                };
                let _ = listening.set_nonblocking(true);
                let Ok((stream, _)) = listening.accept() else {
                    thread::sleep(ms(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let this = this.clone();
                this.open.lock().unwrap().extend(stream.try_clone());
                thread::spawn(move || _ = this.serve(stream));
            }
        });
        it
    }

    /// Discovery goes down: watches end, and new connections are refused.
    pub fn go_down(&self) {
        set(&self.down);
        thread::sleep(ms(20));
        self.reset_watches();
        self.record.line("discovery: is down");
    }

    pub fn come_back(&self) {
        self.down.store(false, Ordering::SeqCst);
        self.record.line("discovery: is back");
    }

    /// Ends all open watches; new calls are answered as ever.
    pub fn reset_watches(&self) {
        self.record.line("discovery: all open watches are reset");
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// The whole list in discovery's form.
    pub fn known(&self) -> String {
        let m = self.state.0.lock().unwrap();
        whole(&m)
    }

    /// Changes the state of an entry; a new version. Returns it.
    pub fn set(&self, uid: &str, change: impl FnOnce(&mut Entry)) -> u64 {
        let mut m = self.state.0.lock().unwrap();
        m.rev += 1;
        let rev = m.rev;
        if let Some(e) = m.list.get_mut(uid) {
            change(e);
            self.record.line(format!("discovery: version {rev}: {}", e.json()));
        }
        m.changed.insert(uid.into(), rev);
        self.state.1.notify_all();
        rev
    }

    pub fn remove(&self, uid: &str) -> u64 {
        let mut m = self.state.0.lock().unwrap();
        m.rev += 1;
        let rev = m.rev;
        if let Some(mut e) = m.list.remove(uid) {
            e.state = "removed".into();
            m.removed.insert(uid.into(), (rev, e));
        }
        self.state.1.notify_all();
        rev
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut input = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if input.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let path = line.split(' ').nth(1).unwrap_or("").to_string();
            loop {
                let mut h = String::new();
                if input.read_line(&mut h)? == 0 || h == "\r\n" {
                    break;
                }
            }
            let value = |name: &str| {
                let at = path.find(&format!("{name}="))? + name.len() + 1;
                path[at..].split('&').next()?.parse::<u64>().ok()
            };
            let (body, rev) = match value("from") {
                None => {
                    let m = self.state.0.lock().unwrap();
                    (whole(&m), m.rev)
                }
                Some(from) => {
                    let until = Instant::now() + ms(value("hold_ms").unwrap_or(0).min(60_000));
                    let mut m = self.state.0.lock().unwrap();
                    while m.rev <= from && Instant::now() < until {
                        m = self.state.1.wait_timeout(m, until.saturating_duration_since(Instant::now())).unwrap().0;
                    }
                    let mut parts: Vec<String> =
                        m.list.values().filter(|e| m.changed[&e.uid] > from).map(Entry::json).collect();
                    parts.extend(m.removed.values().filter(|(rev, _)| *rev > from).map(|(_, e)| e.json()));
                    (format!(r#"{{"rev":{},"all":false,"targets":[{}]}}"#, m.rev, parts.join(",")), m.rev)
                }
            };
            out.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).as_bytes())?;
            self.state.0.lock().unwrap().told.entry(rev).or_insert_with(Instant::now);
        }
    }
}

fn whole(m: &Members) -> String {
    let parts: Vec<String> = m.list.values().map(Entry::json).collect();
    format!(r#"{{"rev":{},"all":true,"targets":[{}]}}"#, m.rev, parts.join(","))
}

// ---- Servers ------------------------------------------------------------------------------------------------

/// A command as a server gets it.
#[derive(Clone, Debug)]
pub struct Got {
    pub write: bool,
    pub key: String,
    pub id: String,
    /// The list of names and values.
    pub extra: String,
    pub value: Vec<u8>,
    pub at: Instant,
}

impl Got {
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.extra.split(',').find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
    }
}

/// Answers a command on its connection. An error closes the connection.
pub type Handler = Arc<dyn Fn(&Got, &mut TcpStream) -> io::Result<()> + Send + Sync>;

/// A cache server at an address. Each connection's commands are answered in order.
pub fn cache_server(handler: Handler) -> SocketAddr {
    cache_server_at("127.0.0.1:0".parse().unwrap(), handler)
}

pub fn cache_server_at(at: SocketAddr, handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind(at).unwrap_or_else(|e| cannot_run(&e.to_string()));
    let at = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut out) = stream.try_clone() else { return };
                // Commands are read as they come, whatever the answers before them take.
                let (sender, commands) = std::sync::mpsc::channel();
                thread::spawn(move || {
                    let mut input = BufReader::new(stream);
                    while let Ok(Some(got)) = read_command(&mut input) {
                        if sender.send(got).is_err() {
                            break;
                        }
                    }
                });
                for got in commands {
                    if handler(&got, &mut out).is_err() {
                        break;
                    }
                }
                let _ = out.shutdown(Shutdown::Both);
            });
        }
    });
    at
}

pub fn read_command(input: &mut impl BufRead) -> io::Result<Option<Got>> {
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let words: Vec<&str> = line.split_whitespace().collect();
    let flag = |letter: char| {
        words.iter().skip(2).find_map(|w| w.strip_prefix(letter)).unwrap_or_default().to_string()
    };
    let write = words.first() == Some(&"ms");
    let mut value = Vec::new();
    if write {
        let length: usize = words.get(2).and_then(|w| w.parse().ok()).unwrap_or(0);
        value = vec![0; length + 2];
        input.read_exact(&mut value)?;
        value.truncate(length);
    }
    Ok(Some(Got {
        write,
        key: words.get(1).unwrap_or(&"").to_string(),
        id: flag('O'),
        extra: flag('P'),
        value,
        at: Instant::now(),
    }))
}

/// The origin, over HTTP/1.1.
pub fn origin(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    let at = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut out) = stream.try_clone() else { return };
                let mut input = BufReader::new(stream);
                while let Ok(Some(got)) = read_http(&mut input) {
                    if handler(&got, &mut out).is_err() {
                        break;
                    }
                }
                let _ = out.shutdown(Shutdown::Both);
            });
        }
    });
    at
}

fn read_http(input: &mut impl BufRead) -> io::Result<Option<Got>> {
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split(' ');
    let write = words.next() == Some("PUT");
    let key = words.next().unwrap_or("/").trim_start_matches('/').to_string();
    let (mut id, mut extra, mut length) = (String::new(), String::new(), 0);
    loop {
        let mut h = String::new();
        if input.read_line(&mut h)? == 0 || h == "\r\n" {
            break;
        }
        if let Some((name, value)) = h.trim_end().split_once(": ") {
            match name.to_ascii_lowercase().as_str() {
                "req-id" => id = value.into(),
                "req-extra" => extra = value.into(),
                "content-length" => length = value.parse().unwrap_or(0),
                _ => {}
            }
        }
    }
    let mut value = vec![0; length];
    input.read_exact(&mut value)?;
    Ok(Some(Got { write, key, id, extra, value, at: Instant::now() }))
}

pub fn http_200(out: &mut TcpStream, body: &[u8]) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    out.write_all(&bytes)
}

pub fn va(out: &mut TcpStream, id: &str, value: &[u8]) -> io::Result<()> {
    let mut bytes = format!("VA {} O{id} h1\r\n", value.len()).into_bytes();
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n");
    out.write_all(&bytes)
}

/// A value made for a request: it names the key and the id.
pub fn made_for(key: &str, id: &str, length: usize) -> Vec<u8> {
    let mut value = format!("{key}/{id}/").into_bytes();
    while value.len() < length {
        value.push(b'a' + (value.len() % 23) as u8);
    }
    value
}

// ---- The node -----------------------------------------------------------------------------------------------

pub struct Settings {
    pub memory_mb: u64,
    pub sockets: usize,
    pub siblings: usize,
    pub mode: &'static str,
    /// Name, effect, give-up-s, slo-s, window-s.
    pub classes: Vec<(&'static str, &'static str, f64, f64, f64)>,
    pub attempts: usize,
    pub second_copies: bool,
    /// The name of the folder for `$TMPDIR`.
    pub tmp: String,
    /// The platform holds the process to its number of descriptors (`ulimit -n`).
    pub enforce_sockets: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            memory_mb: 192,
            sockets: 1024,
            siblings: 3,
            mode: "aside",
            classes: vec![("read", "free", 2.5, 0.75, 5.0), ("put", "guarded", 5.0, 1.5, 10.0)],
            attempts: 3,
            second_copies: true,
            tmp: "tmp".into(),
            enforce_sockets: false,
        }
    }
}

impl Settings {
    pub fn json(&self) -> String {
        let classes: Vec<String> = self
            .classes
            .iter()
            .map(|(name, effect, give_up, slo, window)| {
                format!(
                    r#"{{"effect":"{effect}","give-up-s":{give_up},"group":"all","late-worth":0.0,"name":"{name}","slo-s":{slo},"streamed":false,"window-s":{window},"worth":5.0}}"#
                )
            })
            .collect();
        format!(
            r#"{{"az":0,"bounds":{{"attempts-cap":{},"cancel":true,"conn-idle-s":60.0,"connect-timeout-s":0.25,"cpu-us-per-request":0.0,"cpu-us-per-s":500000,"max-retry-after-s":2.0,"most-held":20000,"multiplex":32,"peers":false,"probes":false,"retry-after":true,"second-copies":{}}},"clients":{{"marks-retry":true}},"customers":[],"discovery":"subscribe","family-info":{{"mode":"{}","notes":"1 hit, 2 miss","origin-fall-multiple":0.0,"origin-fall-s":3.0,"origin-kind":1,"report-x0":"","report-x1":""}},"host-types":["gewoon","origin"],"layer":0,"me":0,"objective-mix":{{"whole":0.7,"worst-class":0.2,"worst-tenant":0.0,"worst-window":0.1}},"over-share-worth":0.1,"report":{{"how":"none","names":[]}},"request-classes":[{}],"resolution-s":0.005,"rules":{{"answer-slack-s":0.02,"ask-within-s":10.0,"cold-s":24.0,"drain-grace-s":0.5,"fall-s":2.0,"start-capacity":0.13,"tip-multiple":3.0}},"service-type":"cache","siblings":{},"tariffs":{{"connection":0.0,"cross-zone":0.01,"discovery":0.0,"handshake":0.0,"late-fail":0.03,"moves":0.0,"origin":0.15,"peer":0.0,"probe":0.0,"waste":0.05}},"tiers":["rooster-cache"],"weights":"none","worth-by":"request","zones":["a"]}}"#,
            self.attempts, self.second_copies, self.mode, classes.join(","), self.siblings
        )
    }
}

/// The platform's side of one node.
pub struct Platform {
    pub listen: SocketAddr,
    pub folder: PathBuf,
    run: String,
    tmp: PathBuf,
    config: PathBuf,
    record: Record,
}

pub struct Process {
    pub child: Child,
    pub management: SocketAddr,
    ended: bool,
}

impl Platform {
    pub fn new(settings: &Settings, discovery: &Discovery, record: &Record) -> Platform {
        let folder = PathBuf::from(std::env::var("CASE_TMP").unwrap_or_else(|_| cannot_run("CASE_TMP is not set")));
        let listen = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let deploy = fs::read_to_string("deploy/balancer.toml").unwrap_or_else(|e| cannot_run(&format!("deploy/balancer.toml: {e}")));
        let run = deploy
            .lines()
            .find_map(|l| l.strip_prefix("run = \"")?.split('"').next())
            .unwrap_or_else(|| cannot_run("no run command"))
            .to_string();
        let run = if settings.enforce_sockets { format!("ulimit -n {} && {run}", settings.sockets) } else { run };
        let it = Platform { listen, config: folder.join("config.json"), tmp: folder.join(&settings.tmp), folder, run, record: record.clone() };
        it.write_config(settings, discovery);
        it
    }

    pub fn write_config(&self, settings: &Settings, discovery: &Discovery) {
        let text = format!(
            r#"{{"name":"n0","listen":"{}","discovery":"{}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"known":{},"settings":{}}}"#,
            self.listen, discovery.at, settings.memory_mb, settings.sockets, discovery.known(), settings.json()
        );
        let new = self.folder.join("config.new");
        fs::write(&new, text).and_then(|()| fs::rename(&new, &self.config)).unwrap_or_else(|e| cannot_run(&e.to_string()));
    }

    /// Starts `run`, and waits until it answers `status` with ok.
    pub fn start(&self, log: &str) -> Process {
        let management = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let tmp = &self.tmp;
        let _ = fs::create_dir_all(tmp);
        let log = File::create(self.folder.join(log)).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let child = Command::new("/bin/sh")
            .args(["-c", &self.run])
            .env("EDGE_NAME", "n0")
            .env("EDGE_LISTEN", self.listen.to_string())
            .env("EDGE_CONFIG", &self.config)
            .env("EDGE_MANAGEMENT", management.to_string())
            .env("TMPDIR", tmp)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        let mut process = Process { child, management, ended: false };
        let until = Instant::now() + ms(8000);
        while !process.call("status").is_some_and(|a| a.starts_with("ok")) {
            if Instant::now() > until || process.child.try_wait().ok().flatten().is_some() {
                process.kill();
                cannot_run("the node is not ready");
            }
            thread::sleep(ms(20));
        }
        self.record.line(format!("platform: process {} is ready at {}", process.child.id(), self.listen));
        process
    }
}

impl Process {
    /// A management call.
    pub fn call(&self, line: &str) -> Option<String> {
        let mut stream = TcpStream::connect_timeout(&self.management, ms(500)).ok()?;
        stream.set_read_timeout(Some(ms(2000))).ok()?;
        stream.write_all(format!("{line}\n").as_bytes()).ok()?;
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer).ok()?;
        Some(answer)
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
    }

    /// A figure of `/proc/PID/status` in kB.
    pub fn memory_kb(&self, name: &str) -> Option<u64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(':')?.trim().split(' ').next()?.parse().ok())
    }

    pub fn descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_some()
    }

    pub fn kill(&mut self) {
        if !std::mem::replace(&mut self.ended, true) {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---- Clients ------------------------------------------------------------------------------------------------

pub struct Client {
    pub stream: TcpStream,
    input: BufReader<TcpStream>,
}

/// An answer as a client reads it.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Value { id: String, value: Vec<u8> },
    Receipt { id: String, receipt: String },
    Busy,
    Failed(String),
    /// The connection ended or broke before the line was whole, or nothing came in time.
    Nothing(String),
    /// The value ended short of its length: this many bytes came.
    Cut(usize),
}

impl Answer {
    pub fn short(&self) -> String {
        match self {
            Answer::Value { id, value } => format!("VA {} O{id}", value.len()),
            Answer::Receipt { id, receipt } => format!("HD O{id} c{receipt}"),
            other => format!("{other:?}"),
        }
    }
}

impl Client {
    pub fn connect(at: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&at, ms(1000))?;
        stream.set_nodelay(true)?;
        let input = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, input })
    }

    pub fn send(&mut self, text: &[u8]) -> io::Result<()> {
        self.stream.write_all(text)
    }

    pub fn answer(&mut self, within: Duration) -> Answer {
        let _ = self.stream.set_read_timeout(Some(within.max(ms(1))));
        let mut line = String::new();
        match self.input.read_line(&mut line) {
            Ok(0) => return Answer::Nothing("the connection was closed".into()),
            Ok(_) if !line.ends_with('\n') => return Answer::Nothing("the connection was closed in a line".into()),
            Err(e) => return Answer::Nothing(e.kind().to_string()),
            Ok(_) => {}
        }
        let line = line.trim_end().to_string();
        let words: Vec<&str> = line.split(' ').collect();
        let flag = |l: char| words.iter().skip(1).find_map(|w| w.strip_prefix(l)).unwrap_or("").to_string();
        match words[0] {
            "VA" => {
                let length: usize = words.get(1).and_then(|w| w.parse().ok()).unwrap_or(0);
                let mut value = vec![0; length + 2];
                let mut got = 0;
                while got < value.len() {
                    match self.input.read(&mut value[got..]) {
                        Ok(0) | Err(_) => return Answer::Cut(got),
                        Ok(n) => got += n,
                    }
                }
                value.truncate(length);
                Answer::Value { id: flag('O'), value }
            }
            "HD" => Answer::Receipt { id: flag('O'), receipt: flag('c') },
            "SERVER_ERROR" if words.get(1) == Some(&"busy") => Answer::Busy,
            _ => Answer::Failed(line),
        }
    }
}

pub fn mg(key: &str, id: &str, class: &str, wait_ms: u64) -> String {
    format!("mg {key} v O{id} Pc={class},d={wait_ms}\r\n")
}

pub fn ms_line(key: &str, length: usize, id: &str, class: &str, wait_ms: u64, k: &str) -> String {
    format!("ms {key} {length} O{id} Pc={class},d={wait_ms},k={k}\r\n")
}

/// A flag that threads share.
pub type Flag = Arc<AtomicBool>;

pub fn flag() -> Flag {
    Arc::new(AtomicBool::new(false))
}

pub fn is_set(flag: &Flag) -> bool {
    flag.load(Ordering::SeqCst)
}

pub fn set(flag: &Flag) {
    flag.store(true, Ordering::SeqCst);
}

/// A log of what servers got, in order.
pub type Log = Arc<Mutex<VecDeque<(String, Got)>>>;

/// Ends the case: 1 if the rule was broken, 0 if it held.
pub fn verdict(record: &Record, broken: &[String]) -> i32 {
    for line in broken {
        record.line(format!("BROKEN: {line}"));
        println!("broken: {line}");
    }
    if broken.is_empty() {
        record.line("the rule held");
        println!("the rule held");
    }
    i32::from(!broken.is_empty())
}
