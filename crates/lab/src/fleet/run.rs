//! One run: all nodes start and join, faults occur, and after the last one all views must agree again.

use super::file::{FleetFault, FleetFile, Way, What};
use super::history::{FleetEvent, History, Record, Row, State};
use super::processes::{Endpoint, Member, Report, StartOptions};
use super::relay::{Relay, since};
use crate::Micros;
use crate::node::{NodeError, ProcessError, scratch};
use crate::seconds;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::Path;
use std::sync::mpsc;
use std::time::{Duration, Instant};
use thiserror::Error;

/// The timeout for all nodes to know each other after the start, long enough for a slow machine.
const JOIN_TIMEOUT: Duration = Duration::from_secs(60);
/// The interval of the run's loop.
const LOOP_INTERVAL: Duration = Duration::from_millis(5);
/// The interval at which views are compared.
const VIEW_INTERVAL: Duration = Duration::from_millis(100);

/// Why there was no run.
#[derive(Debug, Error)]
pub enum RunError {
    /// A process could not be started or failed.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// There is no working directory or no program.
    #[error(transparent)]
    Node(#[from] NodeError),
    /// A file cannot be written.
    #[error("cannot write {path}: {source}")]
    Write {
        /// The file's path.
        path: String,
        /// The underlying error.
        source: io::Error,
    },
    /// A socket cannot be opened.
    #[error("cannot open a socket: {0}")]
    Socket(#[from] io::Error),
    /// All nodes started, but did not come to know each other in time.
    #[error("the nodes did not join in time: {0}")]
    JoinTimeout(String),
}

/// The scheduled begin or end of a fault.
struct Due {
    at: Micros,
    fault: usize,
    ends: bool,
}

/// A sender outside the fleet, which sends invalid or old datagrams and counts the bytes that come back.
struct Outsider {
    socket: UdpSocket,
    /// The nodes that get the datagrams.
    to: Vec<usize>,
    per_s: u32,
    from: Micros,
    /// The number of rounds sent so far.
    done: u64,
    until: Micros,
}

struct Run<'a> {
    file: &'a FleetFile,
    command: &'a str,
    dir: &'a Path,
    begun: Instant,
    relay: Relay,
    endpoints: Vec<Endpoint>,
    addresses: Vec<SocketAddr>,
    members: Vec<Member>,
    records: Vec<Record>,
    reports: mpsc::Receiver<Report>,
    report_sender: mpsc::Sender<Report>,
    /// The links between nodes that faults have changed, by sender and receiver.
    links: BTreeMap<(usize, usize), Way>,
    outsiders: Vec<Outsider>,
    /// For each process, the bytes that outsiders sent to it and received from it.
    outsider_bytes: BTreeMap<usize, (u64, u64)>,
    rng: ChaCha8Rng,
}

/// Runs an experiment with the command line that starts a node. The processes' files go to `logs` if given,
/// otherwise to a directory that is removed after the run.
///
/// # Errors
/// The run could not be carried out.
pub fn run(file: &FleetFile, seed: u64, command: &str, logs: Option<&Path>) -> Result<History, RunError> {
    let own = scratch("fleet").map_err(|source| RunError::Write { path: "fleet".into(), source })?;
    let dir = logs.unwrap_or(own.path());
    std::fs::create_dir_all(dir)
        .map_err(|source| RunError::Write { path: dir.display().to_string(), source })?;
    let (report_sender, reports) = mpsc::channel();
    let mut run = Run {
        file,
        command,
        dir,
        begun: Instant::now(),
        relay: Relay::start(seed),
        endpoints: Vec::new(),
        addresses: Vec::new(),
        members: Vec::new(),
        records: Vec::new(),
        reports,
        report_sender,
        links: BTreeMap::new(),
        outsiders: Vec::new(),
        outsider_bytes: BTreeMap::new(),
        rng: ChaCha8Rng::seed_from_u64(seed),
    };
    run.play()?;
    // Records of equal time keep their order: a process's report may follow a record of the lab with the same
    // time.
    run.records.sort_by_key(|r| r.at);
    Ok(History { file: file.clone(), records: std::mem::take(&mut run.records) })
}

impl Run<'_> {
    fn now(&self) -> Micros {
        since(self.begun)
    }

    fn record(&mut self, event: FleetEvent) {
        let at = self.now();
        self.records.push(Record { at, event });
    }

    fn play(&mut self) -> Result<(), RunError> {
        // All endpoints are added first, since each node is started with the addresses of the seeds.
        for _ in 0..self.file.nodes {
            self.add_endpoint()?;
        }
        (0..self.file.nodes).try_for_each(|node| self.start(node, node))?;
        let begun = Instant::now();
        while !self.views_agree()? {
            if begun.elapsed() > JOIN_TIMEOUT {
                let views: Vec<usize> =
                    self.members.iter().map(|m| m.view().map_or(0, |v| v.len())).collect();
                return Err(RunError::JoinTimeout(format!("number of members in each view: {views:?}")));
            }
            self.process_reports(VIEW_INTERVAL)?;
        }
        let first = self.now();
        // Resets the counters: the traffic and delays of joining do not count as part of the run.
        self.relay.sent();
        self.relay.late_ms();
        let mut due = self.schedule(first);
        let end = first + seconds(self.file.duration_s);
        let mut last_second = self.now();
        while self.now() < end || !due.is_empty() {
            while due.front().is_some_and(|d| d.at <= self.now()) {
                let Some(Due { fault, ends, .. }) = due.pop_front() else { break };
                let Some(fault) = self.file.faults.get(fault) else { continue };
                self.apply_fault(fault, ends)?;
            }
            self.process_reports(LOOP_INTERVAL)?;
            if self.now() - last_second >= 1_000_000 {
                last_second += 1_000_000;
                self.sample();
            }
        }
        self.outsiders.clear();
        self.record(FleetEvent::FaultsOver {});
        let calm = Instant::now();
        let timeout = Duration::from_secs_f64(self.file.converge_within_s);
        while !self.views_agree()? && calm.elapsed() < timeout {
            self.process_reports(VIEW_INTERVAL)?;
        }
        let views: Vec<(usize, Vec<Row>)> =
            self.running().filter_map(|p| Some((p, self.members.get(p)?.view()?))).collect();
        views.into_iter().for_each(|(process, rows)| self.record(FleetEvent::View { process, rows }));
        self.sample();
        Ok(())
    }

    /// The begins and ends of all faults, ordered by time.
    fn schedule(&self, first: Micros) -> VecDeque<Due> {
        let mut all = Vec::new();
        for (fault, f) in self.file.faults.iter().enumerate() {
            let mut at_s = f.at_s;
            while at_s <= self.file.duration_s {
                let at = first + seconds(at_s);
                all.push(Due { at, fault, ends: false });
                all.extend(f.for_s.map(|s| Due { at: at + seconds(s), fault, ends: true }));
                let Some(every) = f.every_s else { break };
                at_s += every;
            }
        }
        all.sort_by_key(|d| (d.at, d.ends));
        all.into()
    }

    fn add_endpoint(&mut self) -> Result<(), RunError> {
        let endpoint = Endpoint::draw();
        self.addresses.push(self.relay.add(endpoint.datagrams())?);
        self.endpoints.push(endpoint);
        Ok(())
    }

    /// Starts a process of a node at an endpoint: that of the node's first process if it has ended, otherwise
    /// a new one.
    fn start(&mut self, node: usize, endpoint: usize) -> Result<(), RunError> {
        let process = self.members.len();
        let seeds: Vec<SocketAddr> =
            self.file.seeds.iter().filter_map(|s| self.addresses.get(*s)).copied().collect();
        let (Some(listen), Some(advertise)) = (self.endpoints.get(endpoint), self.addresses.get(endpoint))
        else {
            return Ok(());
        };
        let start = StartOptions {
            command: self.command,
            file: self.file,
            dir: self.dir,
            process,
            node,
            endpoint: listen,
            advertise: *advertise,
            seeds: &seeds,
        };
        let member = Member::start(&start, self.report_sender.clone())?;
        let name = member.name.clone();
        self.members.push(member);
        self.record(FleetEvent::Started { process, name });
        // Cut links between nodes are cut for their new processes as well.
        let ways: Vec<((usize, usize), Way)> = self.links.iter().map(|(w, way)| (*w, *way)).collect();
        ways.into_iter()
            .filter(|((a, b), _)| *a == node || *b == node)
            .for_each(|((a, b), way)| self.record_link(a, b, way));
        Ok(())
    }

    fn running(&self) -> impl Iterator<Item = usize> {
        let runs = |m: &Member| !m.gone && !m.stopped;
        self.members.iter().enumerate().filter(move |(_, m)| runs(m)).map(|(p, _)| p)
    }

    fn process_of(&self, node: usize) -> Option<usize> {
        process_of(&self.members, node)
    }

    fn processes_of(&self, who: &[usize]) -> Vec<usize> {
        who.iter().filter_map(|node| self.process_of(*node)).collect()
    }

    /// Whether all running processes have exactly the running ones alive in their views, by start number.
    fn views_agree(&mut self) -> Result<bool, RunError> {
        self.drain_reports();
        let running: Vec<usize> = self.running().collect();
        let views: Vec<Vec<Row>> = running.iter().filter_map(|p| self.members.get(*p)?.view()).collect();
        if views.len() != running.len() {
            return Ok(false);
        }
        let names: BTreeSet<&str> =
            running.iter().filter_map(|p| self.members.get(*p)).map(|m| m.name.as_str()).collect();
        let alive = |view: &[Row]| -> BTreeSet<(String, u64)> {
            view.iter().filter(|r| r.state == State::Alive).map(|r| (r.name.clone(), r.start)).collect()
        };
        let no_suspects = views.iter().flatten().all(|r| r.state != State::Suspect);
        let twins = running.len() - names.len();
        let sets: Vec<BTreeSet<(String, u64)>> = views.iter().map(|v| alive(v)).collect();
        let same = sets.iter().filter(|s| Some(*s) == sets.first()).count() >= sets.len() - twins;
        let complete =
            sets.first().is_none_or(|s| s.iter().map(|(n, _)| n.as_str()).eq(names.iter().copied()));
        Ok(no_suspects && same && complete)
    }

    /// Records reports of processes and their ends for the given time.
    fn process_reports(&mut self, length: Duration) -> Result<(), RunError> {
        let begun = Instant::now();
        while begun.elapsed() < length {
            let left = length.saturating_sub(begun.elapsed());
            match self.reports.recv_timeout(left) {
                Ok(report) => self.record_report(report),
                Err(_) => break,
            }
        }
        self.drain_reports();
        self.send_from_outsiders()?;
        let late = begun.elapsed().saturating_sub(length).as_millis() as u64;
        if late > self.file.late_ms {
            self.record(FleetEvent::Late { ms: late });
        }
        Ok(())
    }

    /// Records all waiting reports, and the processes that have ended.
    fn drain_reports(&mut self) {
        while let Ok(report) = self.reports.try_recv() {
            self.record_report(report);
        }
        for process in 0..self.members.len() {
            let ended = self.members.get_mut(process).is_some_and(|m| !m.gone && m.has_ended());
            if ended {
                self.members.get_mut(process).into_iter().for_each(|m| m.gone = true);
                self.record(FleetEvent::Ended { process });
            }
        }
    }

    fn record_report(&mut self, report: Report) {
        self.record(match report {
            Report::OwnStart { process, start } => FleetEvent::OwnStart { process, start },
            Report::ViewChanged { process, row } => FleetEvent::ViewChanged { process, row },
        });
    }

    /// Records the bytes sent since the last sample, and the relay's delay.
    fn sample(&mut self) {
        let sent = self.relay.sent();
        for (endpoint, bytes) in sent.into_iter().enumerate() {
            // The endpoint's index is that of its node, except for endpoints of second processes with the
            // same name.
            let process = self.process_of(endpoint);
            process.into_iter().for_each(|process| self.record(FleetEvent::Sent { process, bytes }));
        }
        let outsider_bytes: Vec<(usize, (u64, u64))> =
            self.outsider_bytes.iter().map(|(p, c)| (*p, *c)).collect();
        outsider_bytes.into_iter().for_each(|(process, (sent, back))| {
            self.record(FleetEvent::OutsiderTraffic { process, sent, back })
        });
        let ms = self.relay.late_ms();
        if ms > 0 {
            self.record(FleetEvent::Late { ms });
        }
    }

    // ---- Faults -----------------------------------------------------------------------------------------

    /// Begins or ends a fault.
    fn apply_fault(&mut self, fault: &FleetFault, ends: bool) -> Result<(), RunError> {
        let who = self.file.named(&fault.who);
        match &fault.what {
            What::Kill {} | What::End {} if ends => {
                for node in who {
                    self.kill_process(node);
                    self.start(node, node)?;
                }
            }
            What::Kill {} => who.into_iter().for_each(|node| self.kill(node)),
            What::End {} => {
                for process in self.processes_of(&who) {
                    self.record(FleetEvent::Signalled { process, killed: false });
                    self.members.get_mut(process).into_iter().for_each(|m| m.signal(Signal::TERM));
                }
            }
            What::Restart {} => {
                for node in who {
                    self.kill(node);
                    self.start(node, node)?;
                }
            }
            What::Stop {} => {
                for process in self.processes_of(&who) {
                    let Some(member) = self.members.get_mut(process).filter(|m| m.stopped == ends) else {
                        continue;
                    };
                    member.stopped = !ends;
                    member.signal(if ends { Signal::CONT } else { Signal::STOP });
                    self.record(if ends {
                        FleetEvent::Continued { process }
                    } else {
                        FleetEvent::Stopped { process }
                    });
                }
            }
            What::Twin {} if !ends => {
                let endpoint = self.endpoints.len();
                self.add_endpoint()?;
                let node = who.first().copied().unwrap_or_default();
                self.start(node, endpoint)?;
            }
            What::Twin {} => {
                // Ends the second process.
                let node = who.first().copied().unwrap_or_default();
                self.kill(node);
            }
            What::Way { to, both, way } => {
                let (to, way) = (self.file.named(to), if ends { Way::default() } else { *way });
                for from in &who {
                    for to in to.iter().filter(|to| *to != from) {
                        self.set_link(*from, *to, way);
                        if *both {
                            self.set_link(*to, *from, way);
                        }
                    }
                }
            }
            What::Replay {} => self.relay.replay(),
            What::Flood { .. } if ends => self.outsiders.retain(|s| s.until > since(self.begun)),
            What::Flood { per_s } => {
                let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
                socket.set_nonblocking(true)?;
                let until = self.now() + seconds(fault.for_s.unwrap_or(self.file.duration_s));
                let from = self.now();
                self.outsiders.push(Outsider { socket, to: who, per_s: *per_s, from, done: 0, until });
            }
        }
        Ok(())
    }

    fn kill(&mut self, node: usize) {
        if let Some(process) = self.process_of(node) {
            self.record(FleetEvent::Signalled { process, killed: true });
            self.kill_process(node);
        }
    }

    /// Kills the node's process, if it still runs, so that the next one can be started.
    fn kill_process(&mut self, node: usize) {
        if let Some(process) = self.process_of(node) {
            self.members.get_mut(process).into_iter().for_each(Member::kill);
            self.drain_reports();
        }
    }

    fn set_link(&mut self, from: usize, to: usize, way: Way) {
        self.relay.set(from, to, way);
        self.links.insert((from, to), way);
        self.record_link(from, to, way);
    }

    /// Records the state of a link. It counts as cut if so many datagrams are lost or so late that no process
    /// can be expected to get an answer through it.
    fn record_link(&mut self, from: usize, to: usize, way: Way) {
        let cut =
            way.cut || way.hold || way.loss > 0.5 || way.spoil > 0.5 || way.delay_ms + way.jitter_ms > 2000.0;
        let of = |node: usize| -> Vec<usize> {
            (0..self.members.len()).filter(|p| self.members.get(*p).is_some_and(|m| m.node == node)).collect()
        };
        let (from, to) = (of(from), of(to));
        for from in from {
            to.clone().into_iter().for_each(|to| self.record(FleetEvent::Cut { from, to, cut }));
        }
    }

    /// Sends the datagrams of outsiders that are due, and counts the bytes that came back.
    fn send_from_outsiders(&mut self) -> Result<(), RunError> {
        let now = self.now();
        for s in &mut self.outsiders {
            let due = (now.min(s.until) - s.from) as f64 / 1e6 * f64::from(s.per_s);
            while (s.done as f64) < due {
                s.done += 1;
                for node in &s.to {
                    let Some(endpoint) = self.endpoints.get(*node) else { continue };
                    let draw = self.rng.random_range(0..1_000_000);
                    let mut bytes = self.relay.recorded_datagram(draw).unwrap_or_default();
                    match draw % 6 {
                        0 => bytes.truncate(bytes.len() / 2),
                        1 => bytes.iter_mut().skip(draw % 40).take(1).for_each(|b| *b ^= 1),
                        2 => bytes = (0..draw % 1400).map(|_| self.rng.random()).collect(),
                        3 if s.done % 50 == 0 => bytes = vec![7; 65_000],
                        // A datagram of another fleet, or of another version.
                        4 => bytes
                            .iter_mut()
                            .skip(if draw % 2 == 0 { 6 } else { 4 })
                            .take(1)
                            .for_each(|b| *b ^= 255),
                        _ => {}
                    }
                    let sent = s.socket.send_to(&bytes, endpoint.datagrams()).unwrap_or(0);
                    if let Some(process) = process_of(&self.members, *node) {
                        self.outsider_bytes.entry(process).or_default().0 += sent as u64;
                    }
                }
            }
            let mut buffer = [0; 2048];
            while let Ok((bytes, from)) = s.socket.recv_from(&mut buffer) {
                let node = self.endpoints.iter().position(|p| p.datagrams() == from);
                let process = node.and_then(|n| process_of(&self.members, n));
                process.into_iter().for_each(|p| self.outsider_bytes.entry(p).or_default().1 += bytes as u64);
            }
        }
        Ok(())
    }
}

/// The number of a node's process that is running or stopped; the last one of several.
fn process_of(members: &[Member], node: usize) -> Option<usize> {
    members.iter().rposition(|m| m.node == node && !m.gone)
}
