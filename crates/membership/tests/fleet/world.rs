//! A fleet on a virtual clock: the real core, a network with faults between each pair, and the rules, looked at with
//! each change that a member tells.

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
/// What a stopped process's socket holds.
const INBOX: usize = 150;

/// What the link from one member to another does.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    pub loss: f64,
    pub double: f64,
    pub delay: Micros,
    /// Up to so much more, by chance: what is sent later may come first.
    pub jitter: Micros,
    pub cut: bool,
}

#[derive(Debug)]
pub struct Node {
    pub core: Option<Membership>,
    pub at: SocketAddr,
    pub start: u64,
    /// It stands still until then.
    pub paused_until: Micros,
    /// When it is to be woken, as last set.
    next_wake_at: Micros,
    inbox: VecDeque<(SocketAddr, Vec<u8>)>,
    /// It is at fault itself, or its links are: what it holds of others breaks no rule.
    pub faulty: bool,
    /// What it told of others, by name.
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
    /// All that was sent, if it is kept.
    pub recorded: Option<Vec<(usize, SocketAddr, Vec<u8>)>>,
    /// Verdicts of well members on such as live.
    pub false_dead: Vec<(Micros, usize, Name)>,
    /// Words that went back, or brought something old to life.
    pub violations: Vec<String>,
    /// What all lack.
    pub ablation: Ablation,
    pub bytes: u64,
    /// When some stand still again, where a measurement wants that.
    pub next_pause_at: Micros,
}

pub fn name(n: usize) -> Name {
    format!("n{n}").parse().unwrap()
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 10_000 + n as u16)
}

impl World {
    /// Nobody runs yet.
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

    /// All run and know each other.
    pub fn together(count: usize, seed: u64) -> World {
        World::together_with_ablation(count, seed, Ablation::None)
    }

    /// The same, without one mechanism.
    pub fn together_with_ablation(count: usize, seed: u64, ablation: Ablation) -> World {
        let mut world = World::new(count, seed);
        world.ablation = ablation;
        (0..count).for_each(|n| world.start(n, &[0, 1]));
        world.run(12 * S);
        assert!(world.agree(count), "a fleet without faults comes together");
        world
    }

    pub fn start(&mut self, n: usize, seeds: &[usize]) {
        let start = self.now as u64;
        self.start_as(n, n, start, seeds);
    }

    /// A process at place `n` by the name of another, perhaps.
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

    /// It stands still for so long.
    pub fn pause(&mut self, n: usize, length: Micros) {
        self.nodes[n].paused_until = self.nodes[n].paused_until.max(self.now + length);
        self.push(self.nodes[n].paused_until, Event::Wake(n));
    }

    /// Of the first so many, three in ten stand still for 200 to 500 ms.
    pub fn pause_some(&mut self, count: usize) {
        for n in 0..count {
            let length = self.rng.random_range(200..=500) * MS;
            if self.rng.random_bool(0.3) {
                self.pause(n, length);
            }
        }
    }

    /// Cuts the link from one to another.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.links.insert((from, to), Link { cut: true, ..self.link });
    }

    /// Between two parts, both links.
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

    /// Plays on for so long.
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

    /// Until something holds; how long that took, or nothing within `most`.
    pub fn run_until(&mut self, most: Micros, holds: impl Fn(&World) -> bool) -> Option<Micros> {
        let begun = self.now;
        // To look at all views of a large fleet takes longer than to play on.
        let step = if self.nodes.len() > 100 { S } else { 20 * MS };
        while self.now - begun < most {
            if holds(self) {
                return Some(self.now - begun);
            }
            self.run(step);
        }
        None
    }

    /// One turn of the host's loop: what has come, then what is due.
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
            // One is enough: a second for the same time would bring forth two more, and so on.
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
        let copies = 1 + usize::from(self.rng.random_bool(link.double));
        for _ in 0..copies {
            if !link.cut && !self.rng.random_bool(link.loss) {
                let at = self.now + link.delay + self.rng.random_range(0..=link.jitter);
                self.push(at, Event::Deliver(other, self.nodes[n].at, body.clone()));
            }
        }
    }

    /// The rules on what one member says of others.
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
                    self.violations.push(format!("n{n}: an incarnation goes back: {before:?}, {view:?}"));
                }
                let away = matches!(before.state, State::Dead | State::Left);
                let back = matches!(view.state, State::Alive | State::Suspect);
                if away && back && old == new {
                    self.violations.push(format!("n{n}: something old comes back: {before:?}, {view:?}"));
                }
            }
        }
        self.nodes[n].changes.push((self.now, change));
    }

    /// What a member holds another one for.
    pub fn view_of(&self, n: usize, of: usize) -> Option<State> {
        let core = self.nodes[n].core.as_ref()?;
        core.members(self.now).find(|m| m.name == name(of)).map(|m| m.state)
    }

    /// All that run hold that of it.
    pub fn all_see(&self, of: usize, state: State) -> bool {
        self.running().all(|n| n == of || self.view_of(n, of) == Some(state))
    }

    pub fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(|n| self.nodes[*n].core.is_some())
    }

    /// Views are the same at all that run: so many are alive, and just those that run.
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

/// One more place to run at.
pub fn node_at(n: usize) -> Node {
    World::new(n + 1, 0).nodes.pop().unwrap()
}
