//! One run: all start and know each other, faults come and go, and then all must agree again.

use super::file::{FleetFault, FleetFile, Way, What};
use super::history::{History, Record, Row, Seen, State};
use super::processes::{Member, Place, Start, Told};
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

/// All must know each other this long after the start, on any machine; else there is nothing to try.
const COME_TOGETHER: Duration = Duration::from_secs(60);
/// One turn of the run.
const TURN: Duration = Duration::from_millis(5);
/// Views are compared so often.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Why there was no run.
#[derive(Debug, Error)]
pub enum RunError {
    /// A process.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// No folder to work in, or no program.
    #[error(transparent)]
    Node(#[from] NodeError),
    /// A file cannot be written.
    #[error("cannot write {path}: {source}")]
    Write {
        /// Which.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// A socket cannot be had.
    #[error("cannot open a socket: {0}")]
    Socket(#[from] io::Error),
    /// All started, and do not know each other.
    #[error("the nodes do not come together: {0}")]
    Apart(String),
}

/// Something that is due: a fault begins, or ends.
struct Due {
    at: Micros,
    fault: usize,
    ends: bool,
}

/// One that sends what no member would, and counts what comes back.
struct Stranger {
    socket: UdpSocket,
    to: Vec<usize>,
    per_s: u32,
    from: Micros,
    done: u64,
    until: Micros,
}

struct Run<'a> {
    file: &'a FleetFile,
    command: &'a str,
    dir: &'a Path,
    begun: Instant,
    relay: Relay,
    places: Vec<Place>,
    addresses: Vec<SocketAddr>,
    members: Vec<Member>,
    records: Vec<Record>,
    told: mpsc::Receiver<Told>,
    teller: mpsc::Sender<Told>,
    /// Ways that faults have set between nodes.
    ways: BTreeMap<(usize, usize), Way>,
    strangers: Vec<Stranger>,
    /// By process: bytes sent to it by strangers, and come back.
    strange: BTreeMap<usize, (u64, u64)>,
    rng: ChaCha8Rng,
}

/// Runs an experiment with a command line that starts a node; `logs` is where processes' files go, if they are to stay.
///
/// # Errors
/// There was no run.
pub fn run(file: &FleetFile, seed: u64, command: &str, logs: Option<&Path>) -> Result<History, RunError> {
    let own = scratch("fleet").map_err(|source| RunError::Write { path: "fleet".into(), source })?;
    let dir = logs.unwrap_or(own.path());
    std::fs::create_dir_all(dir)
        .map_err(|source| RunError::Write { path: dir.display().to_string(), source })?;
    let (teller, told) = mpsc::channel();
    let mut run = Run {
        file,
        command,
        dir,
        begun: Instant::now(),
        relay: Relay::start(seed),
        places: Vec::new(),
        addresses: Vec::new(),
        members: Vec::new(),
        records: Vec::new(),
        told,
        teller,
        ways: BTreeMap::new(),
        strangers: Vec::new(),
        strange: BTreeMap::new(),
        rng: ChaCha8Rng::seed_from_u64(seed),
    };
    run.play()?;
    // A record of a process's word may come after one of the lab's of the same moment.
    run.records.sort_by_key(|r| r.at);
    Ok(History { file: file.clone(), records: std::mem::take(&mut run.records) })
}

impl Run<'_> {
    fn now(&self) -> Micros {
        since(self.begun)
    }

    fn note(&mut self, seen: Seen) {
        let at = self.now();
        self.records.push(Record { at, seen });
    }

    fn play(&mut self) -> Result<(), RunError> {
        // All places first: seeds are named before they run.
        for _ in 0..self.file.nodes {
            self.add_place()?;
        }
        (0..self.file.nodes).try_for_each(|node| self.start(node, node))?;
        let begun = Instant::now();
        while !self.agree()? {
            if begun.elapsed() > COME_TOGETHER {
                let views: Vec<usize> =
                    self.members.iter().map(|m| m.view().map_or(0, |v| v.len())).collect();
                return Err(RunError::Apart(format!("members that each knows: {views:?}")));
            }
            self.turn(LOOK_EVERY)?;
        }
        let first = self.now();
        // What was sent so far is the coming together, and not the run.
        self.relay.sent();
        self.relay.late_ms();
        let mut due = self.schedule(first);
        let end = first + seconds(self.file.duration_s);
        let mut last_second = self.now();
        while self.now() < end || !due.is_empty() {
            while due.front().is_some_and(|d| d.at <= self.now()) {
                let Some(Due { fault, ends, .. }) = due.pop_front() else { break };
                let Some(fault) = self.file.faults.get(fault) else { continue };
                self.strike(fault, ends)?;
            }
            self.turn(TURN)?;
            if self.now() - last_second >= 1_000_000 {
                last_second += 1_000_000;
                self.sample();
            }
        }
        self.strangers.clear();
        self.note(Seen::Calm {});
        let calm = Instant::now();
        let most = Duration::from_secs_f64(self.file.converge_within_s);
        while !self.agree()? && calm.elapsed() < most {
            self.turn(LOOK_EVERY)?;
        }
        let views: Vec<(usize, Vec<Row>)> =
            self.running().filter_map(|p| Some((p, self.members.get(p)?.view()?))).collect();
        views.into_iter().for_each(|(process, rows)| self.note(Seen::View { process, rows }));
        self.sample();
        Ok(())
    }

    /// All that begins and ends, in order.
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

    fn add_place(&mut self) -> Result<(), RunError> {
        let place = Place::draw();
        self.addresses.push(self.relay.add(place.datagrams())?);
        self.places.push(place);
        Ok(())
    }

    /// Starts a process of a node. It has the place of the node's first one if that has ended, else a new one.
    fn start(&mut self, node: usize, place: usize) -> Result<(), RunError> {
        let process = self.members.len();
        let seeds: Vec<SocketAddr> =
            self.file.seeds.iter().filter_map(|s| self.addresses.get(*s)).copied().collect();
        let (Some(at), Some(advertise)) = (self.places.get(place), self.addresses.get(place)) else {
            return Ok(());
        };
        let start = Start {
            command: self.command,
            file: self.file,
            dir: self.dir,
            process,
            node,
            place: at,
            advertise: *advertise,
            seeds: &seeds,
        };
        let member = Member::start(&start, self.teller.clone())?;
        let name = member.name.clone();
        self.members.push(member);
        self.note(Seen::Started { process, name });
        // What is cut between nodes is so for their new processes, too.
        let ways: Vec<((usize, usize), Way)> = self.ways.iter().map(|(w, way)| (*w, *way)).collect();
        ways.into_iter()
            .filter(|((a, b), _)| *a == node || *b == node)
            .for_each(|((a, b), way)| self.note_way(a, b, way));
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

    /// All that run hold just those alive that run, by their starts.
    fn agree(&mut self) -> Result<bool, RunError> {
        self.hear();
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
        let sure = views.iter().flatten().all(|r| r.state != State::Suspect);
        let twins = running.len() - names.len();
        let sets: Vec<BTreeSet<(String, u64)>> = views.iter().map(|v| alive(v)).collect();
        let same = sets.iter().filter(|s| Some(*s) == sets.first()).count() >= sets.len() - twins;
        let whole = sets.first().is_none_or(|s| s.iter().map(|(n, _)| n.as_str()).eq(names.iter().copied()));
        Ok(sure && same && whole)
    }

    /// Hears what processes tell, and notes which have ended.
    fn turn(&mut self, length: Duration) -> Result<(), RunError> {
        let begun = Instant::now();
        while begun.elapsed() < length {
            let left = length.saturating_sub(begun.elapsed());
            match self.told.recv_timeout(left) {
                Ok(told) => self.take(told),
                Err(_) => break,
            }
        }
        self.hear();
        self.flood()?;
        let late = begun.elapsed().saturating_sub(length).as_millis() as u64;
        if late > self.file.late_ms {
            self.note(Seen::Late { ms: late });
        }
        Ok(())
    }

    fn hear(&mut self) {
        while let Ok(told) = self.told.try_recv() {
            self.take(told);
        }
        for process in 0..self.members.len() {
            let ended = self.members.get_mut(process).is_some_and(|m| !m.gone && m.has_ended());
            if ended {
                self.members.get_mut(process).into_iter().for_each(|m| m.gone = true);
                self.note(Seen::Ended { process });
            }
        }
    }

    fn take(&mut self, told: Told) {
        self.note(match told {
            Told::Own { process, start } => Seen::Own { process, start },
            Told::Saw { process, row } => Seen::Saw { process, row },
        });
    }

    fn sample(&mut self) {
        let sent = self.relay.sent();
        for (place, bytes) in sent.into_iter().enumerate() {
            // A place is its node's, but for those of twins.
            let process = self.process_of(place);
            process.into_iter().for_each(|process| self.note(Seen::Sent { process, bytes }));
        }
        let strange: Vec<(usize, (u64, u64))> = self.strange.iter().map(|(p, c)| (*p, *c)).collect();
        strange
            .into_iter()
            .for_each(|(process, (sent, back))| self.note(Seen::Stranger { process, sent, back }));
        let ms = self.relay.late_ms();
        if ms > 0 {
            self.note(Seen::Late { ms });
        }
    }

    // ---- Faults -----------------------------------------------------------------------------------------

    fn strike(&mut self, fault: &FleetFault, ends: bool) -> Result<(), RunError> {
        let who = self.file.named(&fault.who);
        match &fault.what {
            What::Kill {} | What::End {} if ends => {
                for node in who {
                    self.end_of(node);
                    self.start(node, node)?;
                }
            }
            What::Kill {} => who.into_iter().for_each(|node| self.kill(node)),
            What::End {} => {
                for process in self.processes_of(&who) {
                    self.note(Seen::Told { process, killed: false });
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
                    self.note(if ends { Seen::Continued { process } } else { Seen::Stopped { process } });
                }
            }
            What::Twin {} if !ends => {
                let place = self.places.len();
                self.add_place()?;
                let node = who.first().copied().unwrap_or_default();
                self.start(node, place)?;
            }
            What::Twin {} => {
                // The second one goes again.
                let node = who.first().copied().unwrap_or_default();
                self.kill(node);
            }
            What::Way { to, both, way } => {
                let (to, way) = (self.file.named(to), if ends { Way::default() } else { *way });
                for from in &who {
                    for to in to.iter().filter(|to| *to != from) {
                        self.set_way(*from, *to, way);
                        if *both {
                            self.set_way(*to, *from, way);
                        }
                    }
                }
            }
            What::Replay {} => self.relay.replay(),
            What::Flood { .. } if ends => self.strangers.retain(|s| s.until > since(self.begun)),
            What::Flood { per_s } => {
                let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
                socket.set_nonblocking(true)?;
                let until = self.now() + seconds(fault.for_s.unwrap_or(self.file.duration_s));
                let from = self.now();
                self.strangers.push(Stranger { socket, to: who, per_s: *per_s, from, done: 0, until });
            }
        }
        Ok(())
    }

    fn kill(&mut self, node: usize) {
        if let Some(process) = self.process_of(node) {
            self.note(Seen::Told { process, killed: true });
            self.end_of(node);
        }
    }

    /// Its process has had its time; it makes room for the next.
    fn end_of(&mut self, node: usize) {
        if let Some(process) = self.process_of(node) {
            self.members.get_mut(process).into_iter().for_each(Member::kill);
            self.hear();
        }
    }

    fn set_way(&mut self, from: usize, to: usize, way: Way) {
        self.relay.set(from, to, way);
        self.ways.insert((from, to), way);
        self.note_way(from, to, way);
    }

    /// A way counts as cut if so much is lost on it, or so late, that nobody need get through.
    fn note_way(&mut self, from: usize, to: usize, way: Way) {
        let cut =
            way.cut || way.hold || way.loss > 0.5 || way.spoil > 0.5 || way.delay_ms + way.jitter_ms > 2000.0;
        let of = |node: usize| -> Vec<usize> {
            (0..self.members.len()).filter(|p| self.members.get(*p).is_some_and(|m| m.node == node)).collect()
        };
        let (from, to) = (of(from), of(to));
        for from in from {
            to.clone().into_iter().for_each(|to| self.note(Seen::Cut { from, to, cut }));
        }
    }

    /// Strangers say what they have to say by now.
    fn flood(&mut self) -> Result<(), RunError> {
        let now = self.now();
        for s in &mut self.strangers {
            let due = (now.min(s.until) - s.from) as f64 / 1e6 * f64::from(s.per_s);
            while (s.done as f64) < due {
                s.done += 1;
                for node in &s.to {
                    let Some(place) = self.places.get(*node) else { continue };
                    let draw = self.rng.random_range(0..1_000_000);
                    let mut bytes = self.relay.an_old_one(draw).unwrap_or_default();
                    match draw % 6 {
                        0 => bytes.truncate(bytes.len() / 2),
                        1 => bytes.iter_mut().skip(draw % 40).take(1).for_each(|b| *b ^= 1),
                        2 => bytes = (0..draw % 1400).map(|_| self.rng.random()).collect(),
                        3 if s.done % 50 == 0 => bytes = vec![7; 65_000],
                        // Of another fleet, and of another version.
                        4 => bytes
                            .iter_mut()
                            .skip(if draw % 2 == 0 { 6 } else { 4 })
                            .take(1)
                            .for_each(|b| *b ^= 255),
                        _ => {}
                    }
                    let sent = s.socket.send_to(&bytes, place.datagrams()).unwrap_or(0);
                    if let Some(process) = process_of(&self.members, *node) {
                        self.strange.entry(process).or_default().0 += sent as u64;
                    }
                }
            }
            let mut buffer = [0; 2048];
            while let Ok((bytes, from)) = s.socket.recv_from(&mut buffer) {
                let node = self.places.iter().position(|p| p.datagrams() == from);
                let process = node.and_then(|n| process_of(&self.members, n));
                process.into_iter().for_each(|p| self.strange.entry(p).or_default().1 += bytes as u64);
            }
        }
        Ok(())
    }
}

/// The process of a node that runs, or stands still; the last of several.
fn process_of(members: &[Member], node: usize) -> Option<usize> {
    members.iter().rposition(|m| m.node == node && !m.gone)
}
