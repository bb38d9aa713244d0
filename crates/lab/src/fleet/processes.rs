//! The processes of a fleet, and what each reports about the other nodes.

use super::file::FleetFile;
use super::history::{Row, State};
use super::run::RunError;
use crate::node::{Process, quoted};
use lapisrudder_model::mix::mix;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;
use std::time::Duration;

/// The timeout for a process's answer, which a running process keeps even on a busy machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// The number of addresses drawn so far.
static ADDRESSES_DRAWN: AtomicU64 = AtomicU64::new(0);

/// What a process reported, and which process.
pub(super) enum Report {
    /// The process's own start number.
    OwnStart { process: usize, start: u64 },
    /// An entry of the process's view changed.
    ViewChanged { process: usize, row: Row },
}

/// One process of a node, running or ended.
pub(super) struct Member {
    pub(super) node: usize,
    pub(super) name: String,
    process: Process,
    /// Where it answers queries for its view.
    query_address: SocketAddr,
    /// Tells the watcher thread to end.
    over: Arc<AtomicBool>,
    watcher: Option<JoinHandle<()>>,
    pub(super) stopped: bool,
    pub(super) gone: bool,
}

/// The addresses at which a process listens. Each process has a loopback address of its own, so that its
/// ports collide with no others.
pub(super) struct Endpoint {
    ip: Ipv4Addr,
}

impl Endpoint {
    pub(super) fn draw() -> Endpoint {
        let number = ADDRESSES_DRAWN.fetch_add(1, Ordering::Relaxed);
        let [a, b, c, ..] = mix(u64::from(std::process::id()) << 32 | number).to_le_bytes();
        Endpoint { ip: Ipv4Addr::new(127, 128 + a % 64, b, c.clamp(1, 254)) }
    }

    fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), port)
    }

    /// Where the process receives datagrams.
    pub(super) fn datagrams(&self) -> SocketAddr {
        self.at(7946)
    }
}

/// How a process is started.
pub(super) struct StartOptions<'a> {
    pub(super) command: &'a str,
    pub(super) file: &'a FleetFile,
    pub(super) dir: &'a Path,
    pub(super) process: usize,
    pub(super) node: usize,
    pub(super) endpoint: &'a Endpoint,
    /// The address of the relay at which others send to it.
    pub(super) advertise: SocketAddr,
    pub(super) seeds: &'a [SocketAddr],
}

impl Member {
    /// Starts a process, and a thread that passes on its reports.
    pub(super) fn start(start: &StartOptions<'_>, reports: mpsc::Sender<Report>) -> Result<Member, RunError> {
        let StartOptions { file, dir, process, node, endpoint, .. } = start;
        let name = format!("n{node}");
        let query_address = endpoint.at(7947);
        let platform = json!({
            "name": name, "listen": endpoint.at(11_211).to_string(),
            "discovery": endpoint.at(8500).to_string(),
            "limits": { "memory_mb": 192, "sockets": 256 },
            "settings": {
                "zones": ["z"], "host-types": ["cache", "origin"], "siblings": 1, "discovery": "subscribe",
                "family-info": { "mode": "aside", "origin-kind": 1 },
                "bounds": { "attempts-cap": 3 },
                "request-classes": [{ "name": "read", "effect": "free", "give-up-s": 2.5, "slo-s": 0.75 }],
            },
        });
        let seeds: Vec<String> = start.seeds.iter().map(SocketAddr::to_string).collect();
        let mut operators = format!(
            "[fleet]\nlisten = \"{}\"\nadvertise = \"{}\"\nseeds = {seeds:?}\nexpected = {}\n\
             look = \"{query_address}\"\n\
             [fleet.timing]\n",
            endpoint.datagrams(),
            start.advertise,
            file.nodes
        );
        file.timing.iter().for_each(|(key, value)| operators += &format!("{key} = {value}\n"));
        let path = |kind: &str| dir.join(format!("{name}-{process}.{kind}"));
        let (json, toml, log) = (path("json"), path("toml"), path("log"));
        let written = |path: &Path, text: &str| {
            fs::write(path, text)
                .map_err(|source| RunError::Write { path: path.display().to_string(), source })
        };
        written(&json, &platform.to_string())?;
        written(&toml, &operators)?;
        let command = format!("{} --config {}", start.command, quoted(&toml));
        let env = [("EDGE_CONFIG", json.display().to_string())];
        let running = Process::start(&command, &env, &log, None)?;
        let over = Arc::new(AtomicBool::new(false));
        let watcher = {
            let (over, process) = (over.clone(), *process);
            std::thread::spawn(move || watch(query_address, process, &over, &reports))
        };
        Ok(Member {
            node: *node,
            name,
            process: running,
            query_address,
            over,
            watcher: Some(watcher),
            stopped: false,
            gone: false,
        })
    }

    pub(super) fn signal(&mut self, signal: Signal) {
        self.process.signal(signal);
    }

    pub(super) fn kill(&mut self) {
        self.process.kill();
    }

    /// Whether the process has ended.
    pub(super) fn has_ended(&mut self) -> bool {
        self.process.ended().is_some()
    }

    /// The process's complete current view.
    pub(super) fn view(&self) -> Option<Vec<Row>> {
        let mut stream = TcpStream::connect_timeout(&self.query_address, ANSWER_TIMEOUT).ok()?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
        stream.write_all(b"members\n").ok()?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).ok()?;
        rows(&serde_json::from_str(&line).ok()?)
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.process.kill();
        self.over.store(true, Ordering::Relaxed);
        if let Some(watcher) = self.watcher.take() {
            let _ = watcher.join();
        }
    }
}

fn rows(all: &Value) -> Option<Vec<Row>> {
    all.as_array()?.iter().map(row).collect()
}

fn row(of: &Value) -> Option<Row> {
    let state: State = serde_json::from_value(of.get("state")?.clone()).ok()?;
    Some(Row {
        name: of.get("name")?.as_str()?.to_owned(),
        start: of.get("start")?.as_u64()?,
        incarnation: of.get("incarnation")?.as_u64()?,
        state,
    })
}

/// Connects to a process, retrying until that succeeds, and passes on its reports until it ends.
fn watch(at: SocketAddr, process: usize, over: &AtomicBool, reports: &mpsc::Sender<Report>) {
    let stream = loop {
        if over.load(Ordering::Relaxed) {
            return;
        }
        match TcpStream::connect_timeout(&at, ANSWER_TIMEOUT) {
            Ok(stream) => break stream,
            Err(_) => std::thread::sleep(Duration::from_millis(5)),
        }
    };
    if (&stream).write_all(b"watch\n").is_err() {
        return;
    }
    // Reading needs no timeout: the stream ends with the process.
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        let Ok(value) = serde_json::from_str::<Value>(&line) else { return };
        let all = match &value {
            Value::Array(all) => all.clone(),
            one => vec![one.clone()],
        };
        for one in all {
            let own = one.get("own").is_some();
            let raised = one.get("change").and_then(Value::as_str) == Some("raised");
            let sent = match (row(&one), one.get("start").and_then(Value::as_u64)) {
                (Some(row), _) if own => reports.send(Report::OwnStart { process, start: row.start }),
                (Some(row), _) => reports.send(Report::ViewChanged { process, row }),
                (None, Some(start)) if raised => reports.send(Report::OwnStart { process, start }),
                _ => Ok(()),
            };
            if sent.is_err() {
                return;
            }
        }
    }
}
