//! A simulated fleet on a virtual clock: the real protocol core, a network with faults between each pair of
//! nodes, and rules that are checked on every change that a member reports.

use lapisrudder_membership::{
    Ablation, Change, Config, Membership, Micros, Name, Output, Settings, State, View,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

pub const S: Micros = 1_000_000;
pub const MS: Micros = 1_000;
/// Capacity of a node's socket buffer, in datagrams.
const INBOX: usize = 150;

/// Behaviour of the network path from one node to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    pub loss: f64,
    pub duplication: f64,
    pub delay: Micros,
    /// Random addition to the delay, which also reorders datagrams.
    pub jitter: Micros,
    pub cut: bool,
}

#[derive(Debug)]
pub struct Node {
    pub core: Option<Membership>,
    pub at: SocketAddr,
    pub start: u64,
    /// The node's process is paused until then.
    pub paused_until: Micros,
    /// When the node is due to wake, as last scheduled.
    next_wake_at: Micros,
    inbox: VecDeque<(SocketAddr, Vec<u8>)>,
    /// The node or its links are faulty by design: its view of others, and theirs of it, is not checked.
    pub faulty: bool,
    /// The last view of each member that it reported.
    seen: BTreeMap<Name, View>,
    pub changes: Vec<(Micros, Change)>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Wake(usize),
    Deliver(usize, SocketAddr, Vec<u8>),
}

pub struct World {
    pub now: Micros,
    pub nodes: Vec<Node>,
    pub settings: Settings,
    pub link: Link,
    pub links: BTreeMap<(usize, usize), Link>,
    pub rng: SmallRng,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    next: u64,
    /// All datagrams sent, while recording is on.
    pub recorded: Option<Vec<(usize, SocketAddr, Vec<u8>)>>,
    /// Members declared dead while alive: time, declaring node, member.
    pub false_dead: Vec<(Micros, usize, Name)>,
    /// Changes that went back to an older incarnation, or revived a member without a newer one.
    pub violations: Vec<String>,
    /// The mechanism that all nodes run without.
    pub ablation: Ablation,
    pub bytes: u64,
    /// When the next pauses begin, in measurements with pauses.
    pub next_pause_at: Micros,
}

pub fn name(n: usize) -> Name {
    format!("n{n}").parse().unwrap()
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 10_000 + n as u16)
}

impl World {
    /// A world in which no node runs yet.
    pub fn new(count: usize, seed: u64) -> World {
        let node = |n| Node {
            core: None,
            at: address(n),
            start: 0,
            paused_until: 0,
            next_wake_at: Micros::MAX,
            inbox: VecDeque::new(),
            faulty: false,
            seen: BTreeMap::new(),
            changes: Vec::new(),
        };
        World {
            now: S,
            nodes: (0..count).map(node).collect(),
            settings: Settings::default(),
            link: Link { delay: 200, jitter: 300, ..Link::default() },
            links: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            next: 0,
            recorded: None,
            false_dead: Vec::new(),
            violations: Vec::new(),
            ablation: Ablation::None,
            bytes: 0,
            next_pause_at: 0,
        }
    }

    /// A world in which all nodes run and know each other.
    pub fn together(count: usize, seed: u64) -> World {
        World::together_with_ablation(count, seed, Ablation::None)
    }

    /// The same, with one mechanism disabled.
    pub fn together_with_ablation(count: usize, seed: u64, ablation: Ablation) -> World {
        let mut world = World::new(count, seed);
        world.ablation = ablation;
        (0..count).for_each(|n| world.start(n, &[0, 1]));
        world.run(12 * S);
        assert!(world.agree(count), "a fleet without faults converges");
        world
    }

    pub fn start(&mut self, n: usize, seeds: &[usize]) {
        let start = self.now as u64;
        self.start_as(n, n, start, seeds);
    }

    /// Starts a process at node `n`, possibly under the name of another node.
    pub fn start_as(&mut self, n: usize, as_name: usize, start: u64, seeds: &[usize]) {
        let config = Config {
            name: name(as_name),
            at: self.nodes[n].at,
            zone: "z".into(),
            start,
            seeds: seeds.iter().map(|s| address(*s)).collect(),
            seed: self.rng.random(),
            settings: self.settings.clone(),
        };
        let mut core = Membership::new(config, self.now);
        core.ablate(self.ablation);
        let node = &mut self.nodes[n];
        (node.core, node.start) = (Some(core), start);
        node.seen.clear();
        node.inbox.clear();
        self.drain_outputs(n);
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n].core = None;
    }

    pub fn leave(&mut self, n: usize) {
        let now = self.now;
        self.nodes[n].core.iter_mut().for_each(|core| core.leave(now));
        self.drain_outputs(n);
    }

    /// Pauses a node's process.
    pub fn pause(&mut self, n: usize, length: Micros) {
        self.nodes[n].paused_until = self.nodes[n].paused_until.max(self.now + length);
        self.push(self.nodes[n].paused_until, Event::Wake(n));
    }

    /// Pauses about three in ten of the first `count` nodes for 200 to 500 ms.
    pub fn pause_some(&mut self, count: usize) {
        for n in 0..count {
            let length = self.rng.random_range(200..=500) * MS;
            if self.rng.random_bool(0.3) {
                self.pause(n, length);
            }
        }
    }

    /// Drops all datagrams from one node to another.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.links.insert((from, to), Link { cut: true, ..self.link });
    }

    /// Partitions the fleet in two sides, in both directions.
    pub fn partition(&mut self, side: impl Fn(usize) -> bool) {
        let count = self.nodes.len();
        for a in 0..count {
            (0..count).filter(|b| side(a) != side(*b)).for_each(|b| self.cut(a, b));
        }
    }

    fn push(&mut self, at: Micros, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next, event)));
    }

    /// Advances the virtual time.
    pub fn run(&mut self, length: Micros) {
        let end = self.now + length;
        while let Some(Reverse((at, ..))) = self.queue.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, event))) = self.queue.pop() else { break };
            self.now = at;
            match event {
                Event::Wake(n) => {
                    if self.nodes[n].next_wake_at <= at {
                        self.nodes[n].next_wake_at = Micros::MAX;
                    }
                    self.run_iteration(n);
                }
                Event::Deliver(n, from, body) => {
                    let node = &mut self.nodes[n];
                    if node.core.is_some() && node.inbox.len() < INBOX {
                        node.inbox.push_back((from, body));
                        self.run_iteration(n);
                    }
                }
            }
        }
        self.now = end;
    }

    /// Runs until a condition holds. Returns the time taken, or `None` if it does not hold within `limit`.
    pub fn run_until(&mut self, limit: Micros, holds: impl Fn(&World) -> bool) -> Option<Micros> {
        let begun = self.now;
        // Checking all views of a large fleet takes longer than simulating it.
        let step = if self.nodes.len() > 100 { S } else { 20 * MS };
        while self.now - begun < limit {
            if holds(self) {
                return Some(self.now - begun);
            }
            self.run(step);
        }
        None
    }

    /// One iteration of a host's event loop: first the datagrams that arrived, then the timers that are due.
    fn run_iteration(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        if node.paused_until > self.now {
            return;
        }
        let Some(core) = &mut node.core else { return };
        for (from, body) in node.inbox.drain(..) {
            core.receive(self.now, from, &body);
        }
        if core.next_wake() <= self.now {
            core.wake(self.now);
        }
        self.drain_outputs(n);
    }

    fn drain_outputs(&mut self, n: usize) {
        while let Some(output) = self.nodes[n].core.as_mut().and_then(Membership::poll) {
            match output {
                Output::Send { to, body } => self.send(n, to, body),
                Output::Changed(change) => self.on_change(n, change),
            }
        }
        if let Some(at) = self.nodes[n].core.as_ref().map(Membership::next_wake) {
            // Only one wake event is queued: a second one for the same time would schedule two more, and so
            // on.
            let at = at.max(self.now);
            if at < self.nodes[n].next_wake_at {
                self.nodes[n].next_wake_at = at;
                self.push(at, Event::Wake(n));
            }
        }
    }

    pub fn send(&mut self, n: usize, to: SocketAddr, body: Vec<u8>) {
        assert!(body.len() <= 1380, "a datagram of {} bytes", body.len());
        self.bytes += body.len() as u64;
        if let Some(kept) = &mut self.recorded {
            kept.push((n, to, body.clone()));
        }
        let Some(other) = to.port().checked_sub(10_000).map(usize::from).filter(|o| *o < self.nodes.len())
        else {
            return;
        };
        let link = self.links.get(&(n, other)).copied().unwrap_or(self.link);
        let copies = 1 + usize::from(self.rng.random_bool(link.duplication));
        for _ in 0..copies {
            if !link.cut && !self.rng.random_bool(link.loss) {
                let at = self.now + link.delay + self.rng.random_range(0..=link.jitter);
                self.push(at, Event::Deliver(other, self.nodes[n].at, body.clone()));
            }
        }
    }

    /// Checks a change that a member reports against the rules.
    fn on_change(&mut self, n: usize, change: Change) {
        if let Change::Member(view) = &change {
            let lives = self.nodes.iter().any(|o| {
                o.core.as_ref().is_some_and(|core| {
                    let own = core.own_view();
                    own.name == view.name && own.start == view.start && own.state != State::Left
                }) && o.paused_until <= self.now
                    && !o.faulty
            });
            if view.state == State::Dead
                && lives
                && !self.nodes[n].faulty
                && self.nodes[n].paused_until <= self.now
            {
                self.false_dead.push((self.now, n, view.name.clone()));
            }
            let node = &mut self.nodes[n];
            if let Some(before) = node.seen.insert(view.name.clone(), view.clone()) {
                let (old, new) = ((before.start, before.incarnation), (view.start, view.incarnation));
                if old > new {
                    self.violations
                        .push(format!("n{n}: an older incarnation is reported: {before:?}, {view:?}"));
                }
                let away = matches!(before.state, State::Dead | State::Left);
                let back = matches!(view.state, State::Alive | State::Suspect);
                if away && back && old == new {
                    self.violations
                        .push(format!("n{n}: an old incarnation is revived: {before:?}, {view:?}"));
                }
            }
        }
        self.nodes[n].changes.push((self.now, change));
    }

    /// The state in which node `n` sees node `of`.
    pub fn view_of(&self, n: usize, of: usize) -> Option<State> {
        let core = self.nodes[n].core.as_ref()?;
        core.members(self.now).find(|m| m.name == name(of)).map(|m| m.state)
    }

    /// Whether all running nodes see it in that state.
    pub fn all_see(&self, of: usize, state: State) -> bool {
        self.running().all(|n| n == of || self.view_of(n, of) == Some(state))
    }

    pub fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(|n| self.nodes[*n].core.is_some())
    }

    /// Whether all running nodes see exactly the running nodes as alive, `alive` in number, and none as
    /// suspect.
    pub fn agree(&self, alive: usize) -> bool {
        let running: Vec<Name> = self.running().map(name).collect();
        self.running().all(|n| {
            let core = self.nodes[n].core.as_ref();
            let members = core.into_iter().flat_map(|core| core.members(self.now));
            let (live, other): (Vec<View>, Vec<View>) = members.partition(|m| m.state == State::Alive);
            live.len() == alive
                && live.iter().all(|m| running.contains(&m.name))
                && other.iter().all(|m| m.state != State::Suspect)
        })
    }
}

/// One further node, to add to a world.
pub fn node_at(n: usize) -> Node {
    World::new(n + 1, 0).nodes.pop().unwrap()
}
