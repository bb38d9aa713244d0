//! What a served read costs a node, against a plain byte relay in the same run.
//!
//! A server that answers each read at once, in this process; before it by turns a relay and nodes that list 2, 50 and
//! 500 members, each a process of its own. A closed loop of reads goes through one after the other, and the process's
//! own time is read from the scheduler before and after.

mod ask;
mod peers;

pub use ask::{AskError, Shape};
pub use peers::relay;

use crate::experiment::{Experiment, ExperimentFile, FileError};
use crate::node::{Nodes, Process, ProcessError, addresses, cpu_us, quoted, scratch};
use crate::stand::{Books, Clock, ControlError, Spec, StandError, World, member};
use ask::Asker;
use serde::Serialize;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Why costs cannot be measured.
#[derive(Debug, thiserror::Error)]
pub enum CostError {
    /// A socket, a folder or a thread.
    #[error("the measurement of costs: {0}")]
    Io(#[from] io::Error),
    /// The reads.
    #[error(transparent)]
    Ask(#[from] AskError),
    /// A node.
    #[error(transparent)]
    Node(#[from] crate::node::NodeError),
    /// The relay.
    #[error("the relay: {0}")]
    Relay(#[from] ProcessError),
    /// Discovery.
    #[error(transparent)]
    Stand(#[from] StandError),
    /// Discovery, later on.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// The world of the nodes.
    #[error(transparent)]
    File(#[from] FileError),
    /// Nobody listens.
    #[error("{what} did not come up within {within_s} s: {said}")]
    NotUp {
        /// Who.
        what: String,
        /// How long was waited.
        within_s: u64,
        /// What it said last.
        said: String,
    },
}

/// What to measure.
#[derive(Clone, Debug)]
pub struct CostOptions {
    /// The command line of a node.
    pub command: String,
    /// The lab's program, which is the relay, too; this program if none is named.
    pub program: Option<PathBuf>,
    /// Numbers of members that nodes list.
    pub members: Vec<usize>,
    /// How requests are sent.
    pub shapes: Vec<Shape>,
    /// How long each is measured in each round.
    pub length: Duration,
    /// Rounds: in each, all shapes through the relay and all nodes by turns.
    pub rounds: usize,
    /// Bytes of a value.
    pub value_bytes: usize,
    /// Keys that are asked for.
    pub keys: u64,
}

impl CostOptions {
    /// As the issue asks: 1, 16 and 64 connections one request at a time and 16 with 16 each in the pipe; 2, 50 and 500
    /// members.
    pub fn usual(command: String) -> Self {
        let shape = |connections, depth| Shape { connections, depth };
        Self {
            command,
            program: None,
            members: vec![2, 50, 500],
            shapes: vec![shape(1, 1), shape(16, 1), shape(64, 1), shape(16, 16)],
            length: Duration::from_millis(700),
            rounds: 3,
            value_bytes: 300,
            keys: 1000,
        }
    }
}

/// One figure of the table.
#[derive(Clone, Debug, Serialize)]
pub struct CostRow {
    /// Connections.
    pub connections: usize,
    /// Requests on each at any time.
    pub depth: usize,
    /// Members that the node lists; none for the relay.
    pub members: Option<usize>,
    /// User and system time of the process for each read (microseconds), over all rounds.
    pub cpu_us: f64,
    /// The least and the most of any round.
    pub rounds_us: (f64, f64),
    /// Times the relay's.
    pub times_relay: f64,
    /// Reads answered a second.
    pub reads_per_s: f64,
}

/// The whole table.
#[derive(Clone, Debug, Serialize)]
pub struct CostTable {
    /// Bytes of a value.
    pub value_bytes: usize,
    /// All figures, relay first for each shape.
    pub rows: Vec<CostRow>,
}

/// What is measured: the relay or a node.
struct Through {
    members: Option<usize>,
    at: SocketAddr,
    pid: u32,
}

/// Sums of one shape through one thing.
#[derive(Default)]
struct Sums {
    reads: u64,
    cpu_us: u64,
    seconds: f64,
    rounds: Vec<f64>,
}

const UP_WITHIN_S: u64 = 15;
/// Connections come up and keys are placed in this time, which is not measured.
const SETTLE: Duration = Duration::from_millis(250);

fn no_address() -> CostError {
    io::Error::from(io::ErrorKind::AddrNotAvailable).into()
}

/// Measures all.
///
/// # Errors
/// Something could not be started, or reads were not served.
pub fn cost(options: &CostOptions) -> Result<CostTable, CostError> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let server = listener.local_addr()?;
    let value_bytes = options.value_bytes;
    // It serves until the process ends; an error of its loop shows as reads that are not answered.
    std::thread::Builder::new().name("server".into()).spawn(move || peers::serve(listener, value_bytes))?;
    let dir = scratch("cost")?;
    let at = addresses(1)?.first().copied().ok_or_else(no_address)?;
    let own = options.program.clone().map_or_else(std::env::current_exe, Ok)?;
    let command = format!("{} relay --listen {at} --to {server}", quoted(&own));
    let mut relay = Process::start(&command, &[], &dir.path().join("relay.log"), None)?;
    wait_up("the relay", at, || relay.ended().map(|status| status.to_string()))?;
    let mut all = vec![Through { members: None, at, pid: relay.pid() }];
    let mut running = Vec::new();
    for &members in &options.members {
        let (world, mut nodes) = node(options, members, server, dir.path())?;
        let at = nodes.listen().first().copied().ok_or_else(no_address)?;
        wait_ready(at, members, &mut nodes)?;
        all.push(Through { members: Some(members), at, pid: nodes.pid(0) });
        running.push((world, nodes));
    }
    let mut sums: BTreeMap<(usize, usize), Sums> = BTreeMap::new();
    for _ in 0..options.rounds {
        for (s, shape) in options.shapes.iter().enumerate() {
            for (t, through) in all.iter().enumerate() {
                let mut asker = Asker::connect(through.at, *shape, options.keys)?;
                asker.ask(SETTLE)?;
                let (begun, before) = (Instant::now(), cpu_us(through.pid)?);
                let reads = asker.ask(options.length)?;
                let spent = cpu_us(through.pid)?.saturating_sub(before);
                let sum = sums.entry((s, t)).or_default();
                sum.reads += reads;
                sum.cpu_us += spent;
                sum.seconds += begun.elapsed().as_secs_f64();
                sum.rounds.push(spent as f64 / reads.max(1) as f64);
            }
        }
    }
    // Before the world that tells the nodes of their members.
    for (world, nodes) in running {
        nodes.finish(1_000_000);
        world.finish()?;
    }
    let each = |sum: &Sums| sum.cpu_us as f64 / sum.reads.max(1) as f64;
    let row = |(&(s, t), sum): (&(usize, usize), &Sums)| {
        let (shape, through) = (options.shapes.get(s)?, all.get(t)?);
        let relay = sums.get(&(s, 0)).map_or(f64::NAN, each);
        let least = sum.rounds.iter().copied().fold(f64::INFINITY, f64::min);
        let most = sum.rounds.iter().copied().fold(0.0, f64::max);
        Some(CostRow {
            connections: shape.connections,
            depth: shape.depth,
            members: through.members,
            cpu_us: each(sum),
            rounds_us: (least, most),
            times_relay: each(sum) / relay,
            reads_per_s: sum.reads as f64 / sum.seconds,
        })
    };
    Ok(CostTable { value_bytes, rows: sums.iter().filter_map(row).collect() })
}

/// A world of discovery alone, whose members are all the one server, and a node in it.
fn node(
    options: &CostOptions,
    members: usize,
    server: SocketAddr,
    dir: &std::path::Path,
) -> Result<(World<Books>, Nodes), CostError> {
    let e = experiment()?;
    let clock = Clock::default();
    let mut spec = Spec { servers: Vec::new(), origin: None, ..Spec::default() };
    let endpoint = server.to_string();
    let entry = |n: usize| member(&format!("m{n}"), &endpoint, "cache", "a");
    spec.discovery.plan.members = (0..members).map(entry).collect();
    let world = World::start(spec, clock, Books::default(), 1)?;
    let discovery: Vec<SocketAddr> = world.addresses().discovery(0).into_iter().collect();
    let logs = dir.join(format!("node-{members}"));
    let mut nodes = Nodes::new(&e, options.command.clone(), &discovery, &logs, clock, 1)?;
    nodes.start(0, None)?;
    world.control().node_started(0)?;
    Ok((world, nodes))
}

/// What nodes are told: one class of reads with time enough, one zone, descriptors for 500 members.
fn experiment() -> Result<Experiment, FileError> {
    let text = "question = \"What does a served read cost?\"\nduration_s = 1\n\
                class = [{ name = \"read\", aim_ms = 2000, deadline_ms = 4000 }]\n\
                [world]\nzones = { names = [\"a\"] }\nnodes = { count = 1, sockets = 8192 }\n\
                [[load]]\nrate = { steady = { per_s = 1 } }\n";
    Ok(ExperimentFile::parse("cost", text)?.experiment)
}

fn wait_up(
    what: &str,
    at: SocketAddr,
    mut ended: impl FnMut() -> Option<String>,
) -> Result<TcpStream, CostError> {
    let begun = Instant::now();
    loop {
        match TcpStream::connect(at) {
            Ok(stream) => return Ok(stream),
            Err(e) => {
                let said = ended();
                if said.is_some() || begun.elapsed() > Duration::from_secs(UP_WITHIN_S) {
                    let said = said.unwrap_or_else(|| e.to_string());
                    return Err(CostError::NotUp { what: what.into(), within_s: UP_WITHIN_S, said });
                }
            }
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Waits until a node answers `MN`.
fn wait_ready(at: SocketAddr, members: usize, nodes: &mut Nodes) -> Result<(), CostError> {
    use std::io::{Read, Write};
    let what = format!("the node with {members} members");
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(UP_WITHIN_S) {
        let ended = || {
            nodes.look();
            (!nodes.runs(0)).then(|| format!("it has ended: {}", nodes.last_words(0)))
        };
        let mut stream = wait_up(&what, at, ended)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        let mut answer = [0; 2];
        let asked = stream.write_all(b"mn\r\n").and_then(|()| stream.read_exact(&mut answer));
        if asked.is_ok() && &answer == b"MN" {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Err(CostError::NotUp { what, within_s: UP_WITHIN_S, said: nodes.last_words(0) })
}

impl CostTable {
    /// As text: a line a shape, a column for the relay and for each node.
    pub fn text(&self) -> String {
        let mut text = format!(
            "CPU time of a served read of {} bytes (us; times the relay's)\n{:>12} {:>6} {:>10}",
            self.value_bytes, "connections", "depth", "relay"
        );
        let first = self.rows.first().map(|r| (r.connections, r.depth));
        let columns = self.rows.iter().filter(|r| first == Some((r.connections, r.depth)));
        for members in columns.filter_map(|r| r.members) {
            text += &format!(" {:>18}", format!("{members} members"));
        }
        let mut shape = None;
        for row in &self.rows {
            if shape != Some((row.connections, row.depth)) {
                shape = Some((row.connections, row.depth));
                text += &format!("\n{:>12} {:>6}", row.connections, row.depth);
            }
            text += &match row.members {
                None => format!(" {:>10.2}", row.cpu_us),
                Some(_) => format!(" {:>18}", format!("{:.2} ({:.2}x)", row.cpu_us, row.times_relay)),
            };
        }
        text + "\n"
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_table_has_a_line_a_shape_and_a_column_a_thing() {
        let row = |connections, depth, members, cpu_us| CostRow {
            connections,
            depth,
            members,
            cpu_us,
            rounds_us: (cpu_us, cpu_us),
            times_relay: cpu_us / 10.0,
            reads_per_s: 1.0,
        };
        let rows = vec![
            row(1, 1, None, 10.0),
            row(1, 1, Some(2), 15.0),
            row(16, 4, None, 10.0),
            row(16, 4, Some(2), 25.0),
        ];
        let text = CostTable { value_bytes: 300, rows }.text();
        let lines: Vec<Vec<&str>> = text.lines().map(|line| line.split_whitespace().collect()).collect();
        assert_eq!(lines[1], ["connections", "depth", "relay", "2", "members"]);
        assert_eq!(lines[2], ["1", "1", "10.00", "15.00", "(1.50x)"]);
        assert_eq!(lines[3], ["16", "4", "10.00", "25.00", "(2.50x)"]);
    }
}
