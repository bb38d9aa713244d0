//! Nodes under test as processes: started with the platform's configuration, signalled, killed, started anew under
//! their names, and watched.
//!
//! Only processes that were started here are ever signalled.

mod address;
mod build;
mod config;
mod process;
mod sample;
mod scratch;

pub use address::addresses;
pub use build::built;
pub use config::{Place, changed, config};
pub use process::{Process, ProcessError, become_under};
pub use sample::{Usage, cpu_us, usage};
pub use scratch::{Scratch, scratch};

use crate::Micros;
use crate::experiment::{Experiment, SignalSet, What};
use crate::ledger::{Book, NodeEvent, NodeNo, Signal};
use crate::stand::Clock;
use lapisrudder_model::draw::stream;
use rand::RngCore;
use rustix::process::Signal as Unix;
use serde_json::Value;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Why nodes cannot be run.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// A process.
    #[error("node {name}: {source}")]
    Process {
        /// The node.
        name: String,
        /// What.
        source: ProcessError,
    },
    /// Its configuration or its output cannot be written.
    #[error("cannot write {path}: {source}")]
    Write {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// No address to listen on.
    #[error("no address on loopback for {count} nodes: {source}")]
    Address {
        /// How many.
        count: usize,
        /// Why the last one tried does not do.
        source: io::Error,
    },
    /// There is no program to run.
    #[error("{0} is not there: build it with `cargo build --release`, or name a command with --node")]
    NoProgram(String),
    /// The node's program cannot be built.
    #[error("the node cannot be built by `cargo build --release`: {0}")]
    Build(String),
}

/// Operators call a node at a port that is so much higher than that of its clients: below those that the system deals out.
const MANAGEMENT: u16 = 10_000;

/// One node.
#[derive(Debug)]
struct Node {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    file: PathBuf,
    log: PathBuf,
    /// The configuration as last written.
    config: Value,
    process: Option<Process>,
    starts: u64,
    /// CPU time of its earlier processes (microseconds).
    past_cpu_us: u64,
    last: Usage,
}

/// All nodes of a run.
#[derive(Debug)]
pub struct Nodes {
    experiment: Experiment,
    command: String,
    clock: Clock,
    seed: u64,
    nodes: Vec<Node>,
    book: Book<NodeEvent>,
    /// Configurations; gone with the nodes.
    _dir: Scratch,
}

/// A path as one word for the shell.
pub fn quoted(path: &Path) -> String {
    format!("'{}'", path.display().to_string().replace('\'', "'\\''"))
}

impl Nodes {
    /// Ready to start. `discovery` is where each node finds discovery; output goes to files in `logs`, one a node.
    ///
    /// # Errors
    /// No addresses, or no folder for configurations.
    pub fn new(
        e: &Experiment,
        command: String,
        discovery: &[SocketAddr],
        logs: &Path,
        clock: Clock,
        seed: u64,
    ) -> Result<Self, NodeError> {
        let told = |path: &Path, source| NodeError::Write { path: path.display().to_string(), source };
        let dir = scratch("nodes").map_err(|e| told(&std::env::temp_dir(), e))?;
        fs::create_dir_all(logs).map_err(|e| told(logs, e))?;
        let listen = addresses(discovery.len())?;
        let node = |(n, (listen, discovery)): (usize, (SocketAddr, &SocketAddr))| Node {
            name: format!("n{n}"),
            listen,
            discovery: *discovery,
            file: dir.path().join(format!("n{n}.json")),
            log: logs.join(format!("n{n}.log")),
            config: Value::Null,
            process: None,
            starts: 0,
            past_cpu_us: 0,
            last: Usage::default(),
        };
        let nodes = listen.into_iter().zip(discovery).enumerate().map(node).collect();
        Ok(Self { experiment: e.clone(), command, clock, seed, nodes, book: Book::default(), _dir: dir })
    }

    /// Where each listens.
    pub fn listen(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.listen).collect()
    }

    /// Where operators call a node, in an experiment in which they do.
    pub fn management(&self, number: usize) -> Option<SocketAddr> {
        let listen = self.nodes.get(number)?.listen;
        let calls = self.experiment.faults.iter().any(|fault| matches!(fault.what, What::Standby));
        calls.then(|| SocketAddr::new(listen.ip(), listen.port() + MANAGEMENT))
    }

    /// Starts a node, with the list of servers that it is to know. Nothing if it runs.
    ///
    /// # Errors
    /// It cannot be started.
    pub fn start(&mut self, number: usize, known: Option<Value>) -> Result<(), NodeError> {
        let management = self.management(number).map(|at| at.to_string());
        let Some(node) = self.nodes.get_mut(number) else { return Ok(()) };
        if node.process.is_some() {
            return Ok(());
        }
        let seed = stream(self.seed, "node starts", (number as u64) << 32 | node.starts).next_u64();
        node.starts += 1;
        let place = Place {
            name: node.name.clone(),
            number,
            listen: node.listen,
            discovery: node.discovery,
            seed,
            known,
        };
        node.config = config(&self.experiment, &place);
        write(&node.file, &node.config.to_string())?;
        let mut env = vec![
            ("EDGE_NAME", node.name.clone()),
            ("EDGE_LISTEN", node.listen.to_string()),
            ("EDGE_DISCOVERY", node.discovery.to_string()),
            ("EDGE_CONFIG", node.file.display().to_string()),
        ];
        env.extend(management.map(|at| ("EDGE_MANAGEMENT", at)));
        let sockets = Some(self.experiment.world.nodes.sockets);
        let process = Process::start(&self.command, &env, &node.log, sockets)
            .map_err(|source| NodeError::Process { name: node.name.clone(), source })?;
        let event = NodeEvent::Started { node: NodeNo(number as u16), pid: process.pid() };
        self.book.push(self.clock.now(), event);
        node.last = Usage::default();
        node.process = Some(process);
        Ok(())
    }

    /// Changes a node's configuration file and sends SIGHUP. `discovery` is a new address of it.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn reload(
        &mut self,
        number: usize,
        discovery: Option<SocketAddr>,
        set: &SignalSet,
    ) -> Result<(), NodeError> {
        let Some(node) = self.nodes.get_mut(number) else { return Ok(()) };
        if let (Some(discovery), Some(config)) = (discovery, node.config.as_object_mut()) {
            node.discovery = discovery;
            config.insert("discovery".into(), Value::String(discovery.to_string()));
        }
        write(&node.file, &changed(&node.config, set))?;
        self.signal(number, Signal::Hup);
        Ok(())
    }

    /// Sends a signal; a killed process is waited for.
    pub fn signal(&mut self, number: usize, signal: Signal) {
        self.sample_one(number);
        let Some(process) = self.nodes.get_mut(number).and_then(|node| node.process.as_mut()) else { return };
        if process.ended().is_some() {
            return self.look();
        }
        let event = NodeEvent::Signalled { node: NodeNo(number as u16), signal };
        self.book.push(self.clock.now(), event);
        match signal {
            Signal::Term => process.signal(Unix::TERM),
            Signal::Hup => process.signal(Unix::HUP),
            Signal::Stop => process.signal(Unix::STOP),
            Signal::Continue => process.signal(Unix::CONT),
            Signal::Kill => {
                process.kill();
                self.look();
            }
        }
    }

    /// A node's process id; 0 if none runs.
    pub fn pid(&self, number: usize) -> u32 {
        let process = self.nodes.get(number).and_then(|node| node.process.as_ref());
        process.map_or(0, Process::pid)
    }

    /// A node's process runs.
    pub fn runs(&self, number: usize) -> bool {
        self.nodes.get(number).is_some_and(|node| node.process.is_some())
    }

    /// Notes which processes have ended.
    pub fn look(&mut self) {
        let now = self.clock.now();
        for (number, node) in self.nodes.iter_mut().enumerate() {
            let Some(status) = node.process.as_mut().and_then(Process::ended) else { continue };
            node.process = None;
            node.past_cpu_us += node.last.cpu_us;
            node.last = Usage::default();
            self.book.push(now, NodeEvent::Ended { node: NodeNo(number as u16), status: status.code() });
        }
    }

    /// Writes down what each uses.
    pub fn sample(&mut self) {
        self.look();
        (0..self.nodes.len()).for_each(|number| self.sample_one(number));
    }

    fn sample_one(&mut self, number: usize) {
        let Some(node) = self.nodes.get_mut(number) else { return };
        let Some(seen) = node.process.as_ref().and_then(|process| usage(process.pid()).ok()) else { return };
        // A process that has just ended has no memory.
        if seen.rss_kib == 0 {
            return;
        }
        node.last = seen;
        let Usage { cpu_us, rss_kib, fds } = seen;
        let event = NodeEvent::Sampled { node: NodeNo(number as u16), cpu_us, rss_kib, fds };
        self.book.push(self.clock.now(), event);
    }

    /// User and system time of all processes of all nodes (microseconds), as last sampled.
    pub fn cpu_us(&self) -> u64 {
        self.nodes.iter().map(|node| node.past_cpu_us + node.last.cpu_us).sum()
    }

    /// Ends all that run: told to stop, and killed when that takes longer than `patience`. The records until then: the
    /// run is over, and how processes end after it is no part of it.
    pub fn finish(mut self, patience: Micros) -> Book<NodeEvent> {
        self.sample();
        let book = std::mem::take(&mut self.book);
        for number in 0..self.nodes.len() {
            self.signal(number, Signal::Term);
        }
        let until = self.clock.now() + patience;
        while self.clock.now() < until && self.nodes.iter().any(|node| node.process.is_some()) {
            std::thread::sleep(Duration::from_millis(5));
            self.look();
        }
        for number in 0..self.nodes.len() {
            self.signal(number, Signal::Kill);
        }
        book
    }

    /// The last lines of a node's output, for an error message.
    pub fn last_words(&self, number: usize) -> String {
        let log = self.nodes.get(number).and_then(|node| fs::read_to_string(&node.log).ok());
        let log = log.unwrap_or_default();
        let lines: Vec<&str> = log.lines().rev().take(3).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join(" | ")
    }
}

fn write(path: &Path, text: &str) -> Result<(), NodeError> {
    // A reader must never see half a file.
    let next = path.with_extension("next");
    let told = |source| NodeError::Write { path: path.display().to_string(), source };
    fs::write(&next, text).and_then(|()| fs::rename(&next, path)).map_err(told)
}
