//! One arm of a run: world, nodes (or a client library in their place), load and faults, to a ledger.

use super::RunError;
use super::changes::Changes;
use super::fill;
use super::progress::Progress;
use super::sink::{CountingBooks, Counts};
use crate::experiment::{Experiment, SeenMetric, What};
use crate::faults::{Conditions, Hands, Records, SeenNow};
use crate::ledger::{Book, Ledger, Record, ServerEvent};
use crate::load::{Books, Command, LoadSpec, LoadThread, Plan, Seen, Through};
use crate::node::Nodes;
use crate::stand::{Clock, World, spec_of};
use crate::stats::Arm;
use crate::{Micros, millis, seconds};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// What to play.
pub struct ArmSpec<'a> {
    /// The experiment, at its point of a sweep.
    pub e: &'a Experiment,
    /// Its seed.
    pub seed: u64,
    /// Through what.
    pub arm: Arm,
    /// The command line of a node.
    pub command: &'a str,
    /// Where the nodes' output goes.
    pub logs: PathBuf,
    /// What the line on a terminal calls it.
    pub name: String,
    /// The load's thread stands still then for so long, to test that this is noticed: after the start of the load.
    pub stall: Option<(Duration, Duration)>,
}

/// What came of it.
#[derive(Debug)]
pub struct Played {
    /// All books, with 0 at the start of the load.
    pub ledger: Ledger,
    /// What went wrong in the lab itself, which makes the run void.
    pub trouble: Vec<String>,
    /// Nodes that never answered `MN` before the load began, with their last words.
    pub not_ready: Vec<String>,
    /// The digest of the plan of load.
    pub plan: String,
}

/// How often processes are sampled, and conditions and changes looked at.
const SAMPLE: Micros = 250_000;
const LOOK: Micros = 100_000;
/// The load begins this long after all is ready.
const LEAD: Micros = 50_000;
/// How long after a client's time is up the lab listens on, beyond the slacks of the rules.
const LISTEN_ON: Micros = 30_000;
/// Between the reads by which nodes find homes and the load: whatever of them is left comes to its end.
const QUIET: Duration = Duration::from_millis(300);
/// How long nodes that were ready may take to answer `MN` once more.
const READY_AGAIN: Micros = 2_000_000;
/// How long the last process may take to end.
const STOP: Micros = 1_500_000;
/// After the last deadline nothing should be open; a load that still is cannot be waited for.
const PATIENCE: Micros = 10_000_000;
const LONGEST_SLEEP: Duration = Duration::from_millis(10);

/// Plays an arm from the start of its world to the end.
///
/// # Errors
/// Something of the lab could not be started, or failed.
pub fn play(spec: &ArmSpec<'_>, progress: &mut Progress) -> Result<Played, RunError> {
    let (e, seed) = (spec.e, spec.seed);
    let plan = Plan::of(e, seed).map_err(crate::load::LoadError::from)?;
    let digest = plan.digest().map_err(crate::load::LoadError::from)?.to_string();
    let clock = Clock::default();
    let mut of_world = spec_of(e, seed);
    if let Some(close) = close_after_move(e) {
        of_world.discovery.plan.close_after_move = close;
    }
    let world = World::start(of_world, clock, CountingBooks::default(), seed)?;
    let origin = world.server("origin");
    world.look(|sink| sink.origin = origin);
    let count = e.world.nodes.count;
    let discovery: Vec<SocketAddr> = (0..count).filter_map(|n| world.addresses().discovery(n)).collect();
    let through = through(spec.arm);
    let nodes = match through {
        Through::Nodes => Some(Nodes::new(e, spec.command.into(), &discovery, &spec.logs, clock, seed)?),
        Through::Servers(_) => None,
    };
    let listen = nodes.as_ref().map_or_else(|| discovery.clone(), Nodes::listen);
    let slacks = millis(e.world.rules.answer_slack_ms + e.world.rules.socket_slack_ms);
    let linger = slacks + LISTEN_ON;
    let net = client_net();
    let of_load = LoadSpec { plan, through, nodes: listen, discovery, linger, net };
    let load = LoadThread::start(of_load.clone(), clock)?;
    let places: Vec<_> = crate::experiment::servers(e).iter().filter_map(|m| world.server(&m.name)).collect();
    if spec.arm != Arm::Nodes {
        fill::fill(e, spec.arm, world.control(), &places)?;
    }
    let parties: Vec<_> = places.iter().copied().chain(origin).collect();
    let mut hands = Hands::new(e, seed, world.control().clone(), nodes, places, origin, clock);
    for node in 0..count {
        hands.start_node(node)?;
    }
    let not_ready = wait_ready(e, &clock, &load, &mut hands);
    if let (Through::Nodes, true, Some(plan)) = (through, not_ready.is_empty(), fill::finding_plan(e, seed)) {
        let length = fill::length(&plan);
        let finding = LoadThread::start(LoadSpec { plan, net: (net.0, net.1 ^ 128), ..of_load }, clock)?;
        let until = clock.now() + READY_AGAIN;
        let all = || finding.seen().ready.iter().filter(|ready| **ready).count() == count;
        while !all() && clock.now() < until && !finding.is_over() {
            std::thread::sleep(LONGEST_SLEEP);
        }
        finding.tell(Command::Begin(clock.now()));
        fill::find_homes(finding, world.control(), &parties, length)?;
        std::thread::sleep(QUIET);
    }
    let zero = clock.now() + LEAD;
    load.tell(Command::Begin(zero));
    hands.begin(zero);
    let mut conditions = Conditions::new(e, seed);
    let mut changes = Changes::new(e, seed);
    let (mut next_sample, mut next_look) = (zero, zero);
    let mut seconds_ago = SecondAgo::default();
    let mut stall = spec.stall;
    let longest = e.classes.iter().map(|c| millis(c.deadline_ms)).max().unwrap_or(0);
    let last_moment = zero + seconds(e.duration_s) + longest + PATIENCE;
    loop {
        let now = clock.now();
        let seen = load.seen();
        if load.is_over() || now > last_moment || (seen.done && now >= zero + seconds(e.duration_s)) {
            break;
        }
        hands.due(&load)?;
        if now >= next_sample {
            next_sample = now + SAMPLE;
            if let Some(nodes) = hands.nodes() {
                nodes.sample();
            }
            let cpu = hands.nodes().map(|nodes| nodes.cpu_us());
            let share = seconds_ago.cpu(now, cpu);
            progress.show(&spec.name, (now - zero) as f64 / 1e6, e.duration_s, &seen, share);
        }
        if now >= next_look {
            next_look = now + LOOK;
            let changed = changes.due(now - zero);
            if !changed.is_empty() {
                world.control().change(changed)?;
            }
            let counts = world.look(|sink| sink.counts).unwrap_or_default();
            let seen = seen_now(&seen, seconds_ago.counts(now, counts));
            for hit in conditions.look(e, now - zero, &seen) {
                hands.add(hit, false);
            }
            if let Some((_, length)) = stall.take_if(|(at, _)| now >= zero + at.as_micros() as Micros) {
                load.tell(Command::Stall(length));
            }
        }
        let wake = hands.next().into_iter().chain([next_sample, next_look]).min().unwrap_or(now);
        std::thread::sleep(clock.until(wake).min(LONGEST_SLEEP));
    }
    // Answers that come too late are listened for, too.
    std::thread::sleep(Duration::from_micros(linger as u64));
    progress.clear();
    if let Some(nodes) = hands.nodes() {
        nodes.sample();
    }
    let books = load.finish()?;
    let records = hands.finish(STOP);
    let finished = world.finish()?;
    let mut ledger = ledger(books, records, finished.sink, zero);
    ledger.names = finished.names;
    ledger.names.loads = e.loads.iter().map(|l| l.name.clone()).collect();
    Ok(Played { ledger, trouble: finished.trouble, not_ready, plan: digest })
}

fn through(arm: Arm) -> Through {
    use crate::experiment::Rival;
    match arm {
        Arm::Nodes => Through::Nodes,
        Arm::Random => Through::Servers(Rival::Random),
        Arm::Ketama => Through::Servers(Rival::Ketama),
        Arm::Bounded => Through::Servers(Rival::Bounded),
    }
}

/// How long an old address of discovery serves on, where a fault moves it.
fn close_after_move(e: &Experiment) -> Option<Micros> {
    e.faults.iter().find_map(|f| match f.what {
        What::Move { close_s } => Some(seconds(close_s)),
        _ => None,
    })
}

/// Bytes of the addresses that clients of this process connect from: other labs at the same time draw others.
fn client_net() -> (u8, u8) {
    let [a, b, ..] = lapisrudder_model::mix::mix(u64::from(std::process::id())).to_le_bytes();
    (130 + a % 100, b)
}

/// Waits until every node has answered `MN`, for as long as they may take. Those that have not, with their last words.
fn wait_ready(e: &Experiment, clock: &Clock, load: &LoadThread, hands: &mut Hands) -> Vec<String> {
    let until = clock.now() + seconds(e.world.nodes.ready_within_s) + LOOK;
    loop {
        let ready = load.seen().ready;
        let all = ready.len() == e.world.nodes.count && ready.iter().all(|r| *r);
        if all || clock.now() > until || load.is_over() {
            let nodes = hands.nodes();
            let missing = (0..e.world.nodes.count).filter(|n| ready.get(*n) != Some(&true));
            let told = |n: usize| {
                let words = nodes.as_ref().map(|nodes| nodes.last_words(n)).unwrap_or_default();
                if words.is_empty() { format!("n{n}") } else { format!("n{n}: {words}") }
            };
            return missing.map(told).collect();
        }
        if let Some(nodes) = hands.nodes() {
            nodes.look();
        }
        std::thread::sleep(LONGEST_SLEEP);
    }
}

/// Sums of a second ago, so that differences are of the last second.
#[derive(Default)]
struct SecondAgo {
    counts: std::collections::VecDeque<(Micros, Counts)>,
    cpu: Option<(Micros, u64)>,
}

impl SecondAgo {
    /// What was counted over about the last second, with its length.
    fn counts(&mut self, now: Micros, counts: Counts) -> (Counts, f64) {
        while self.counts.len() > 1 && self.counts.front().is_some_and(|c| now - c.0 > 1_000_000) {
            self.counts.pop_front();
        }
        self.counts.push_back((now, counts));
        let (at, old) = self.counts.front().copied().unwrap_or((now, counts));
        let since = Counts {
            origin: counts.origin - old.origin,
            hits: counts.hits - old.hits,
            misses: counts.misses - old.misses,
        };
        (since, (now - at) as f64 / 1e6)
    }

    /// Cores that the nodes used since the last look.
    fn cpu(&mut self, now: Micros, cpu_us: Option<u64>) -> Option<f64> {
        let old = std::mem::replace(&mut self.cpu, cpu_us.map(|us| (now, us)));
        let ((at, old), new) = (old?, cpu_us?);
        (now > at).then(|| new.saturating_sub(old) as f64 / (now - at) as f64)
    }
}

fn seen_now(seen: &Seen, (counts, length): (Counts, f64)) -> SeenNow {
    let mut now = SeenNow::new();
    let mut put = |metric, value: Option<f64>| _ = value.map(|value| now.insert(metric, value));
    put(SeenMetric::Goodput, seen.goodput);
    put(SeenMetric::P99Ms, seen.p99_ms);
    put(SeenMetric::RefusedShare, seen.refused_share);
    put(SeenMetric::InFlight, Some(seen.in_flight as f64));
    put(SeenMetric::OriginPerS, (length > 0.5).then(|| counts.origin as f64 / length));
    let reads = counts.hits + counts.misses;
    put(SeenMetric::HitShare, (reads > 0).then(|| counts.hits as f64 / reads as f64));
    now
}

/// All books in one, with the start of the load as 0.
fn ledger(books: Books, records: Records, sink: CountingBooks, zero: Micros) -> Ledger {
    fn moved<E: Copy>(from: &[Book<E>], zero: Micros) -> Book<E> {
        let mut to = Book::default();
        from.iter().flat_map(Book::records).for_each(|r| to.push(r.at - zero, r.event));
        to
    }
    let mut stand = sink.books.rebased(zero);
    // Requests from before the load let nodes find homes: no client of the run has sent them.
    let of_run = |r: &&Record<ServerEvent>| r.at >= 0 || r.event.req().is_none();
    let mut servers = Book::default();
    stand.servers.records().iter().filter(of_run).for_each(|r| servers.push(r.at, r.event));
    stand.servers = servers;
    let mut tries = books.tries;
    for t in &mut tries {
        (t.due, t.first_due) = (t.due - zero, t.first_due - zero);
    }
    let Records { lab: faults, nodes: processes, operators } = records;
    let mut lab = moved(&[books.lab, faults], zero);
    lab.absorb(stand.lab);
    Ledger {
        tries,
        clients: moved(&[books.clients], zero),
        servers: stand.servers,
        discovery: stand.discovery,
        nodes: moved(&[processes, books.ready], zero),
        operators: moved(&[operators], zero),
        lab,
        ..Ledger::default()
    }
}
