//! The hands that carry steps out: on the stand-ins, the nodes' processes and the load.

use super::active::{Active, Of};
use super::operators::Operators;
use super::steps::{Effect, Far, Step, Target, Wrong, steps};
use crate::Micros;
use crate::experiment::{self, Experiment, Occurrence, Spoil, schedule};
use crate::ledger::{Book, Call, LabEvent, NodeEvent, OperatorEvent, ServerNo, Signal};
use crate::load::{Command, Link, LoadThread, Plan, SlowReaders};
use crate::node::{NodeError, Nodes};
use crate::stand::{
    Clock, Comeback, Control, ControlError, End, Fault, FaultId, Heal, LinkFault, Noise, NoiseSet, Outage,
};
use crate::{millis, seconds};
use lapisrudder_model::clients::ClientsError;
use lapisrudder_model::mix::Spread;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Why a fault could not be made.
#[derive(Debug, thiserror::Error)]
pub enum HandsError {
    /// By the stand-ins.
    #[error("a fault could not be made: {0}")]
    Control(#[from] ControlError),
    /// On a node.
    #[error(transparent)]
    Node(#[from] NodeError),
    /// On the load.
    #[error("a fault on the clients could not be planned: {0}")]
    Plan(#[from] ClientsError),
    /// The list of servers for a node is no JSON.
    #[error("the list of servers for a node cannot be read: {0}")]
    Known(#[from] serde_json::Error),
}

/// What one occurrence has made of the network.
#[derive(Debug)]
struct Net {
    nodes: Vec<usize>,
    far: Far,
    wrong: Wrong,
    on: Vec<FaultId>,
}

/// A node that was told to stop.
#[derive(Debug)]
struct Stopping {
    node: usize,
    /// Killed then, if it still runs.
    kill_at: Micros,
    /// Started so long after its end.
    rest: Micros,
}

/// A step that waits for its time: time, order, occurrence.
type Waiting = Reverse<(Micros, u64, Of)>;

/// All faults of a run, on their way.
pub struct Hands {
    e: Experiment,
    seed: u64,
    clock: Clock,
    /// When the load began, on the clock.
    zero: Micros,
    control: Control,
    /// None where a client library goes straight to the servers.
    nodes: Option<Nodes>,
    /// Servers by their place at the start, under their present numbers.
    places: Vec<ServerNo>,
    origin: Option<ServerNo>,
    queue: BinaryHeap<Waiting>,
    steps: BTreeMap<u64, Step>,
    made: u64,
    active: Active,
    ways: BTreeMap<Target, Vec<Spoil>>,
    nets: BTreeMap<Of, Net>,
    next_resets: Micros,
    stopping: Vec<Stopping>,
    hits: BTreeMap<Of, Occurrence>,
    lab: Book<LabEvent>,
    operators: Operators,
    renamed: u32,
}

/// What was done and seen besides the load and the stand-ins.
pub struct Records {
    /// Faults.
    pub lab: Book<LabEvent>,
    /// Processes of nodes.
    pub nodes: Book<NodeEvent>,
    /// Operators' calls.
    pub operators: Book<OperatorEvent>,
}

/// Resets are made in stretches of this length.
const STRETCH: Micros = 100_000;
/// A process that was told to stop is killed at the earliest moment that the platform allows: after the longest deadline,
/// counted as 3 s where it is longer, and 0.7 s more.
const LONGEST_COUNTED: Micros = 3_000_000;

impl Hands {
    /// Ready; nothing is due before [`Hands::begin`]. `places` are the servers in the order of their names.
    pub fn new(
        e: &Experiment,
        seed: u64,
        control: Control,
        nodes: Option<Nodes>,
        places: Vec<ServerNo>,
        origin: Option<ServerNo>,
        clock: Clock,
    ) -> Self {
        Self {
            e: e.clone(),
            seed,
            clock,
            zero: 0,
            control,
            nodes,
            places,
            origin,
            queue: BinaryHeap::new(),
            steps: BTreeMap::new(),
            made: 0,
            active: Active::default(),
            ways: BTreeMap::new(),
            nets: BTreeMap::new(),
            next_resets: Micros::MAX,
            stopping: Vec::new(),
            hits: BTreeMap::new(),
            lab: Book::default(),
            operators: Operators::new(clock),
            renamed: 0,
        }
    }

    /// The nodes' processes, if there are any.
    pub fn nodes(&mut self) -> Option<&mut Nodes> {
        self.nodes.as_mut()
    }

    /// Starts a node, with the list of servers as discovery has it now.
    ///
    /// # Errors
    /// It cannot be started.
    pub fn start_node(&mut self, node: usize) -> Result<(), HandsError> {
        let Some(nodes) = self.nodes.as_mut() else { return Ok(()) };
        let known = match self.e.world.nodes.known {
            true => Some(serde_json::from_str(&self.control.known(node)?)?),
            false => None,
        };
        nodes.start(node, known)?;
        Ok(self.control.node_started(node)?)
    }

    /// The load begins at this time of the clock: the schedule counts from there.
    pub fn begin(&mut self, zero: Micros) {
        self.zero = zero;
        for hit in schedule(&self.e, self.seed).occurrences {
            self.add(hit, true);
        }
        self.lab.push(zero + seconds(self.e.duration_s), LabEvent::LoadEnded);
    }

    /// One more occurrence, which a condition has set off. Times count from the start of the load.
    pub fn add(&mut self, hit: Occurrence, planned: bool) {
        let of = (hit.fault, hit.number);
        for (at, step) in steps(&self.e, &hit, self.seed, planned) {
            self.push(self.zero + at, of, step);
        }
        self.hits.insert(of, hit);
    }

    fn push(&mut self, at: Micros, of: Of, step: Step) {
        self.queue.push(Reverse((at, self.made, of)));
        self.steps.insert(self.made, step);
        self.made += 1;
    }

    /// When something is due next.
    pub fn next(&self) -> Option<Micros> {
        let first = self.queue.peek().map(|first| first.0.0);
        first.into_iter().chain((self.next_resets < Micros::MAX).then_some(self.next_resets)).min()
    }

    /// Carries out what is due.
    ///
    /// # Errors
    /// The first step that could not be carried out.
    pub fn due(&mut self, load: &LoadThread) -> Result<(), HandsError> {
        let now = self.clock.now();
        while let Some(Reverse((_, number, of))) = self.queue.peek().copied().filter(|w| w.0.0 <= now) {
            self.queue.pop();
            if let Some(step) = self.steps.remove(&number) {
                self.carry_out(of, step, load)?;
            }
        }
        self.resets(now)?;
        self.see_to_stopping(now, load)
    }

    /// Ends what could outlast the run, and takes the records of faults and of processes.
    pub fn finish(self, patience: Micros) -> Records {
        let operators = self.operators.finish();
        let nodes = self.nodes.map(|nodes| nodes.finish(patience)).unwrap_or_default();
        Records { lab: self.lab, nodes, operators }
    }

    fn server(&self, target: Target) -> Option<ServerNo> {
        match target {
            Target::Server(place) => self.places.get(place).copied(),
            Target::Origin => self.origin,
            Target::Discovery => None,
        }
    }

    fn carry_out(&mut self, of: Of, step: Step, load: &LoadThread) -> Result<(), HandsError> {
        match step {
            Step::Began(fault) => self.lab.push(self.clock.now(), LabEvent::FaultBegan { fault }),
            Step::Ended(fault) => self.lab.push(self.clock.now(), LabEvent::FaultEnded { fault }),
            Step::On(target, effect, strength) => {
                let strength = self.active.on(target, effect, of, strength);
                self.affect(target, effect, strength)?;
            }
            Step::Off(target, effect) => {
                let strength = self.active.off(target, effect, of);
                self.affect(target, effect, strength)?;
            }
            Step::Ways(target, ways) => {
                self.ways.insert(target, ways);
            }
            Step::Pause(target, length) => {
                if let Some(server) = self.server(target) {
                    self.control.pause(server, length)?;
                }
            }
            Step::Drain(place) => {
                if let Some(server) = self.server(Target::Server(place)) {
                    self.control.drain(server)?;
                }
            }
            Step::Vanish(place) => {
                if let Some(server) = self.server(Target::Server(place)) {
                    self.control.vanish(server)?;
                }
            }
            Step::Kill(Target::Discovery) => self.control.discovery_down(Some(Outage::Reset))?,
            Step::Kill(target) => {
                if let Some(server) = self.server(target) {
                    self.control.kill(server)?;
                }
            }
            Step::Back(Target::Discovery, _) => self.control.discovery_down(None)?,
            Step::Back(target, new_id) => self.bring_back(target, new_id)?,
            Step::Flush(place, share, salt) => {
                if let Some(server) = self.server(Target::Server(place)) {
                    self.control.fault(server, Fault::Flush { share, salt })?;
                }
            }
            Step::Move => self.move_discovery(load)?,
            Step::NetOn(nodes, far, wrong) => self.net_on(of, nodes, far, wrong, load)?,
            Step::NetOff => self.net_off(of, load)?,
            Step::More => {
                if let Some(hit) = self.hits.get(&of) {
                    // Requests of their own, apart from those that were planned ahead.
                    let seed = lapisrudder_model::mix::mix(self.seed ^ (of.0 as u64) << 32 ^ u64::from(of.1));
                    if let Some(plan) = Plan::of_fault(&self.e, hit, seed)? {
                        load.tell(Command::Add(Box::new(plan), self.zero + hit.from));
                    }
                }
            }
            Step::SlowOn(only, bytes_per_s, share) => {
                let place = only.and_then(|name| self.e.loads.iter().position(|l| l.name == name));
                let slow =
                    SlowReaders { fault: of.0 as u16, load: place.map(|p| p as u8), share, bytes_per_s };
                load.tell(Command::Slow(of.0 as u16, Some(slow)));
            }
            Step::SlowOff => load.tell(Command::Slow(of.0 as u16, None)),
            Step::Term(node, rest) => self.stop(node, rest, load),
            Step::Standby(node, drains) => self.drain_node(node, drains, load),
            Step::KillNode(node) => self.signal(node, Signal::Kill),
            Step::HoldUp(node) => self.signal(node, Signal::Stop),
            Step::GoOn(node) => self.signal(node, Signal::Continue),
            Step::StartNode(node) => self.start_again(node, load)?,
            Step::Hup(node, set) => {
                if let Some(nodes) = &mut self.nodes {
                    nodes.reload(node, None, &set)?;
                    self.control.node_reloaded(node)?;
                }
            }
        }
        Ok(())
    }

    fn signal(&mut self, node: usize, signal: Signal) {
        if let Some(nodes) = &mut self.nodes {
            nodes.signal(node, signal);
        }
    }

    /// A party is affected so strongly by all faults together.
    fn affect(&mut self, target: Target, effect: Effect, strength: f64) -> Result<(), HandsError> {
        let on = strength > 0.0;
        if target == Target::Discovery {
            match effect {
                Effect::Outage => self.control.discovery_down(outage(strength))?,
                Effect::Stale => self.control.discovery_stale(on)?,
                Effect::Lag => self.control.discovery_lag(on.then(|| seconds(strength)))?,
                // A slow discovery is played as one that is far away.
                Effect::Speed => {
                    let extra = self.e.world.discovery.call_ms * (1.0 / strength.max(1e-6) - 1.0);
                    self.slow_discovery(extra)?;
                }
                Effect::Errors | Effect::Spoilt | Effect::Swallowed | Effect::FullTable => {}
            }
            return Ok(());
        }
        let Some(server) = self.server(target) else { return Ok(()) };
        match effect {
            Effect::Speed => self.control.fault(server, Fault::Slow(strength))?,
            Effect::Errors => self.control.fault(server, Fault::Fail(strength))?,
            Effect::Spoilt => {
                let ways = self.ways.get(&target).map_or(&[][..], Vec::as_slice);
                self.control.fault(server, Fault::Spoil { share: strength, kinds: kinds(ways) })?;
            }
            Effect::Swallowed => self.control.fault(server, Fault::Swallow(strength))?,
            Effect::FullTable => self.control.fault(server, Fault::FullTable(on))?,
            Effect::Outage | Effect::Stale | Effect::Lag => {}
        }
        Ok(())
    }

    fn slow_discovery(&mut self, extra_ms: f64) -> Result<(), HandsError> {
        // Of no occurrence: there is one such delay at a time.
        let of = (usize::MAX, 0);
        if let Some(net) = self.nets.remove(&of) {
            net.on.into_iter().try_for_each(|id| self.control.mend(id))?;
        }
        if extra_ms > 0.0 {
            let slow = LinkFault::Slow(Spread::Fixed(millis(extra_ms)));
            let on = vec![self.control.cut(End::Discovery, End::Any, false, slow)?];
            let wrong = Wrong::Delay(extra_ms, 0.0);
            self.nets.insert(of, Net { nodes: Vec::new(), far: Far::Parties(Vec::new()), wrong, on });
        }
        Ok(())
    }

    fn bring_back(&mut self, target: Target, new_id: bool) -> Result<(), HandsError> {
        let Some(server) = self.server(target) else { return Ok(()) };
        let mut back = Comeback::default();
        if let (true, Target::Server(place)) = (new_id, target) {
            self.renamed += 1;
            back.uid = Some(format!("s{place}-{}", self.renamed));
        }
        let number = self.control.restart(server, back)?;
        match target {
            Target::Server(place) => {
                if let Some(at) = self.places.get_mut(place) {
                    *at = number;
                }
            }
            _ => self.origin = Some(number),
        }
        // A new process has none of the faults of the old one; those that last are put on it again.
        for effect in [Effect::Speed, Effect::Errors, Effect::Spoilt, Effect::Swallowed, Effect::FullTable] {
            let strength = self.active.now(target, effect);
            let none = if effect == Effect::Speed { 1.0 } else { 0.0 };
            if strength != none {
                self.affect(target, effect, strength)?;
            }
        }
        Ok(())
    }

    fn move_discovery(&mut self, load: &LoadThread) -> Result<(), HandsError> {
        let addresses = self.control.discovery_move()?;
        if let Some(nodes) = &mut self.nodes {
            for (node, address) in addresses.iter().enumerate() {
                nodes.reload(node, Some(*address), &Default::default())?;
                self.control.node_reloaded(node)?;
            }
        }
        load.tell(Command::Discovery(addresses));
        Ok(())
    }

    /// Pairs of ends between the nodes and the other side.
    fn pairs(&self, nodes: &[usize], parties: &[Target]) -> Vec<(End, End)> {
        let far = |target: &Target| match target {
            Target::Discovery => Some(End::Discovery),
            other => self.server(*other).map(End::Server),
        };
        let ends: Vec<End> = parties.iter().filter_map(far).collect();
        nodes.iter().flat_map(|node| ends.iter().map(|end| (End::Node(*node), *end))).collect()
    }

    fn net_on(
        &mut self,
        of: Of,
        nodes: Vec<usize>,
        far: Far,
        wrong: Wrong,
        load: &LoadThread,
    ) -> Result<(), HandsError> {
        let mut on = Vec::new();
        if let Far::Parties(parties) = &far {
            let fault = match wrong {
                Wrong::Delay(ms, cv) => Some(LinkFault::Slow(delay(ms, cv))),
                Wrong::Cut(heal) => Some(LinkFault::Cut(match heal {
                    experiment::Heal::Resend => Heal::Resume,
                    experiment::Heal::Silent => Heal::Stay,
                    experiment::Heal::Reset => Heal::Reset,
                })),
                Wrong::RefuseNew => Some(LinkFault::Refuse),
                Wrong::ResetNew => Some(LinkFault::ResetNew),
                Wrong::LoseNew(share) if share >= 1.0 => Some(LinkFault::NeverOpens),
                Wrong::LoseNew(share) => Some(LinkFault::LoseNew(share)),
                Wrong::Resets(_) | Wrong::Pieces(_) => None,
            };
            if let Some(fault) = fault {
                for (a, b) in self.pairs(&nodes, parties) {
                    on.push(self.control.cut(a, b, true, fault)?);
                }
            }
            if let Wrong::Pieces(bytes) = wrong {
                self.pieces(parties, Some(bytes))?;
            }
        }
        if matches!(wrong, Wrong::Resets(_)) {
            self.next_resets = self.next_resets.min(self.clock.now() + STRETCH);
        }
        self.nets.insert(of, Net { nodes: nodes.clone(), far, wrong, on });
        self.set_links(&nodes, load);
        Ok(())
    }

    fn net_off(&mut self, of: Of, load: &LoadThread) -> Result<(), HandsError> {
        let Some(net) = self.nets.remove(&of) else { return Ok(()) };
        net.on.into_iter().try_for_each(|id| self.control.mend(id))?;
        if let (Far::Parties(parties), Wrong::Pieces(_)) = (&net.far, net.wrong) {
            self.pieces(parties, None)?;
        }
        if !self.nets.values().any(|net| matches!(net.wrong, Wrong::Resets(_))) {
            self.next_resets = Micros::MAX;
        }
        self.set_links(&net.nodes, load);
        Ok(())
    }

    /// Servers read and write in pieces, towards every node.
    fn pieces(&self, parties: &[Target], bytes: Option<usize>) -> Result<(), HandsError> {
        let servers = parties.iter().filter_map(|target| self.server(*target));
        Ok(servers.into_iter().try_for_each(|server| self.control.limp(server, bytes, None))?)
    }

    /// What all faults together make of the links between clients and these nodes.
    fn set_links(&self, nodes: &[usize], load: &LoadThread) {
        for &node in nodes {
            let mut link = Link::default();
            for net in self.nets.values().filter(|net| net.far == Far::Clients && net.nodes.contains(&node)) {
                match net.wrong {
                    Wrong::Delay(ms, jitter) => (link.delay_ms, link.jitter) = (link.delay_ms + ms, jitter),
                    Wrong::Cut(heal) => {
                        (link.cut, link.resets_on_heal) = (true, heal == experiment::Heal::Reset)
                    }
                    Wrong::RefuseNew => link.refuses = true,
                    Wrong::ResetNew => link.resets_new = true,
                    Wrong::LoseNew(share) => link.loses_new = link.loses_new.max(share),
                    Wrong::Resets(per_s) => link.resets_per_s += per_s,
                    Wrong::Pieces(bytes) => {
                        link.piece = if link.piece == 0 { bytes } else { link.piece.min(bytes) };
                    }
                }
            }
            load.tell(Command::Link(node as u16, link));
        }
    }

    /// Resets of connections between nodes and the stand-ins; those of clients are the load's.
    fn resets(&mut self, now: Micros) -> Result<(), HandsError> {
        if now < self.next_resets {
            return Ok(());
        }
        self.next_resets = now + STRETCH;
        for net in self.nets.values() {
            if let (Wrong::Resets(per_s), Far::Parties(parties)) = (net.wrong, &net.far) {
                let share = -libm::expm1(-per_s * STRETCH as f64 / 1e6);
                for (a, b) in self.pairs(&net.nodes, parties) {
                    self.control.reset_between(a, b, share)?;
                }
            }
        }
        Ok(())
    }

    fn stop(&mut self, node: usize, rest: Micros, load: &LoadThread) {
        let Some(nodes) = &mut self.nodes else { return };
        nodes.signal(node, Signal::Term);
        load.tell(Command::Stopping(node as u16));
        let longest = self.e.classes.iter().map(|c| millis(c.deadline_ms)).max().unwrap_or(0);
        let kill_at = self.clock.now() + longest.min(LONGEST_COUNTED) + 700_000;
        self.stopping.push(Stopping { node, kill_at, rest });
    }

    /// Operators tell a node to drain, or to serve again; the front hears of it from the node.
    fn drain_node(&mut self, node: usize, drains: bool, load: &LoadThread) {
        let Some(at) = self.nodes.as_ref().filter(|nodes| nodes.runs(node)).and_then(|n| n.management(node))
        else {
            return;
        };
        let (asks, line) = if drains { (Call::Standby, "standby\n") } else { (Call::Active, "active\n") };
        self.operators.call(node, at, asks, line);
        load.tell(if drains { Command::Stopping(node as u16) } else { Command::Started(node as u16) });
    }

    fn see_to_stopping(&mut self, now: Micros, load: &LoadThread) -> Result<(), HandsError> {
        let Some(nodes) = &mut self.nodes else { return Ok(()) };
        nodes.look();
        let mut again = Vec::new();
        self.stopping.retain(|s| {
            if nodes.runs(s.node) && now >= s.kill_at {
                nodes.signal(s.node, Signal::Kill);
            }
            if !nodes.runs(s.node) {
                again.push((s.node, now + s.rest));
            }
            nodes.runs(s.node)
        });
        for (node, at) in again {
            if at > now {
                self.push(at, (usize::MAX, node as u32), Step::StartNode(node));
            } else {
                self.start_again(node, load)?;
            }
        }
        Ok(())
    }

    fn start_again(&mut self, node: usize, load: &LoadThread) -> Result<(), HandsError> {
        self.start_node(node)?;
        load.tell(Command::Started(node as u16));
        Ok(())
    }
}

/// A delay with that mean (ms) and coefficient of variation: log-normal, so that it is never below 0.
fn delay(ms: f64, cv: f64) -> Spread {
    if cv <= 0.0 {
        return Spread::Fixed(millis(ms));
    }
    let variance = libm::log1p(cv * cv);
    let median = ms * 1e3 / libm::exp(variance / 2.0);
    Spread::LogNormal { median, sigma: libm::sqrt(variance), max: Micros::MAX / 2 }
}

/// How discovery is down where its outage is that strong: the last of [`experiment::OutageHow`] goes before the others.
fn outage(strength: f64) -> Option<Outage> {
    match strength {
        s if s > 2.5 => Some(Outage::Silent),
        s if s > 1.5 => Some(Outage::Reset),
        s if s > 0.5 => Some(Outage::Unavailable),
        _ => None,
    }
}

/// The model's ways to spoil an answer that stand for those of the file; all if none is named.
fn kinds(ways: &[Spoil]) -> NoiseSet {
    if ways.is_empty() {
        return NoiseSet::all();
    }
    let kind = |way: &Spoil| match way {
        Spoil::Garbage => Noise::Garbage,
        Spoil::BadLine => Noise::BadLine,
        Spoil::EndlessLine => Noise::EndlessLine,
        Spoil::WrongLength => Noise::WrongLength,
        Spoil::Huge => Noise::Huge,
        Spoil::OtherId => Noise::OtherId,
        Spoil::OtherValue => Noise::OtherValue,
        Spoil::Cut => Noise::Cut,
        Spoil::Interim => Noise::Interim,
        Spoil::BadReport => Noise::BadReport,
        Spoil::SecondCopy => Noise::SecondCopy,
        Spoil::NoiseBehind => Noise::NoiseBehind,
    };
    ways.iter().map(kind).collect()
}
