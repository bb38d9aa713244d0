//! From an experiment and a seed to what clients will do: the plan of the model's client machine.

use super::bad;
use super::line::Line;
use crate::experiment::{Effect, Experiment, Group, Habit, Load, Occurrence, What, Who, schedule};
use crate::ledger::LoadNo;
use crate::{Micros, millis, seconds};
use lapisrudder_model::arrivals::{self, Arrival, Arrivals, Digest, Population};
use lapisrudder_model::clients::{
    BadPlan, ClientsError, ClientsPlan, FrontPlan, Habits, Health, NodeSelection, Reader, Retry, ReusePolicy,
};
use lapisrudder_model::keys::{Drift, Keys};
use lapisrudder_model::mix::Spread;

/// What a population of the plan is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Of {
    /// The load.
    pub load: LoadNo,
    /// The node that its requests are for.
    pub node: u16,
    /// Client addresses that its connections come from in turn.
    pub sources: u32,
}

/// All that clients of a run will do. Two plans of one experiment and one seed are equal, whatever the machine does.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// For the client machine. Classes are those of the experiment once for each load, in the order of loads.
    pub clients: ClientsPlan,
    /// What each population is of.
    pub of: Vec<Of>,
    /// Clients that misbehave.
    pub bad: Vec<BadPlan>,
    /// These arrivals in place of those that the load would draw.
    pub given: Option<Vec<Arrival>>,
    /// The seed that all is drawn from.
    pub seed: u64,
    /// Classes of the experiment.
    pub classes: usize,
}

/// Longest wait before a further try, whatever it has doubled to.
const LONGEST_BACKOFF: Micros = 60_000_000;
/// A connection to a node must be up by then.
const CONNECT_LIMIT: Micros = 1_000_000;
/// No request writes more.
const LONGEST_VALUE: i64 = 64 * 1024;
/// Key spaces from here on are those of hot callers.
const HOT_SPACES: usize = 8000;

impl Plan {
    /// The plan of a run.
    ///
    /// # Errors
    /// What the model cannot play.
    pub fn of(e: &Experiment, seed: u64) -> Result<Self, ClientsError> {
        let occurrences = schedule(e, seed).occurrences;
        let mut plan = Self::empty(e, seed);
        for (number, load) in e.loads.iter().enumerate() {
            let mut rate = rate(e, load, number, seed);
            for fault in on_clients(e, &occurrences, &load.name) {
                if let What::Surge { times } = fault.0 {
                    rate = rate.times(&Line::window(fault.1, fault.2, 1.0, *times));
                }
            }
            plan.add(e, number, &rate, keys_of(load));
            for (at, fault) in on_clients(e, &occurrences, &load.name).enumerate() {
                if let What::HotCaller { share, keys, ramp_s } = fault.0 {
                    let hill = Line::hill(fault.1, fault.2, *ramp_s, *share);
                    plan.add(e, number, &rate.times(&hill), hot(number * 64 + at, *keys));
                }
            }
        }
        plan.bad = bad::plans(e, &occurrences);
        plan.clients.check()?;
        Ok(plan)
    }

    /// What one occurrence that a condition has set off adds, with its beginning as the plan's time 0. None if it is
    /// not on clients or adds no requests.
    ///
    /// # Errors
    /// What the model cannot play.
    pub fn of_fault(e: &Experiment, hit: &Occurrence, seed: u64) -> Result<Option<Self>, ClientsError> {
        let Some(fault) = e.faults.get(hit.fault) else { return Ok(None) };
        let Who::Clients { load: only } = &fault.who else { return Ok(None) };
        let mut plan = Self::empty(e, seed);
        let end = (hit.until - hit.from) as f64 / 1e6;
        plan.clients.load.span = hit.until - hit.from;
        for (number, load) in
            e.loads.iter().enumerate().filter(|(_, l)| only.as_ref().is_none_or(|o| *o == l.name))
        {
            // The rate as it will be from the fault's beginning on.
            let from = hit.from as f64 / 1e6;
            let shifted = rate(e, load, number, seed).shifted(from);
            match &fault.what {
                What::Surge { times } if *times > 1.0 => {
                    plan.add(e, number, &shifted.scaled(times - 1.0), keys_of(load));
                }
                What::HotCaller { share, keys, ramp_s } => {
                    let hill = Line::hill(0.0, end, *ramp_s, *share);
                    plan.add(e, number, &shifted.times(&hill), hot(number * 64, *keys));
                }
                _ => {}
            }
        }
        let here = Occurrence { from: 0, until: hit.until - hit.from, ..hit.clone() };
        plan.bad = bad::floods(e, std::slice::from_ref(&here));
        if plan.of.is_empty() && plan.bad.is_empty() {
            return Ok(None);
        }
        plan.clients.check()?;
        Ok(Some(plan))
    }

    fn empty(e: &Experiment, seed: u64) -> Self {
        let classes =
            e.loads.iter().flat_map(|_| e.classes.iter().map(|c| class(c, &e.world.origin))).collect();
        let load = arrivals::Load { span: seconds(e.duration_s), classes, populations: Vec::new() };
        let notice = millis(e.world.nodes.notice_ms).max(100_000);
        let every = (notice / 4).clamp(50_000, 500_000);
        let front = FrontPlan {
            // Each node is a zone of its own, so that a population has its node and, where that is out, any other.
            zones: (0..e.world.nodes.count as u16).collect(),
            selection: NodeSelection::Zone,
            health: Some(Health { every, notice }),
            linger: Spread::Even(200_000, 400_000),
        };
        // For requests, clients hold at most a third of a node's descriptors.
        let room = Some((e.world.nodes.sockets / 3).max(1));
        let clients = ClientsPlan { load, habits: Vec::new(), front, max_connections_per_node: room };
        Self { clients, of: Vec::new(), bad: Vec::new(), given: None, seed, classes: e.classes.len() }
    }

    /// A population for each node that a load has a share for.
    fn add(&mut self, e: &Experiment, number: usize, rate: &Line, keys: Keys) {
        let Some(load) = e.loads.get(number) else { return };
        let nodes = e.world.nodes.count;
        let share = |node: usize| load.node_skew.get(node).copied().unwrap_or(1.0);
        let sum: f64 = (0..nodes).map(share).sum();
        for node in 0..nodes {
            let part = if load.node_skew.is_empty() { 1.0 / nodes as f64 } else { share(node) / sum };
            if part <= 0.0 {
                continue;
            }
            self.clients.load.populations.push(Population {
                name: load.name.clone(),
                zone: node as u16,
                sources: 1,
                sources_per_address: 1,
                skew: 0.0,
                rate: rate.scaled(part).profile(),
                on_off: None,
                keys: keys.clone(),
                mix: mix(e, load, number),
            });
            self.clients.habits.push(habits(load));
            let sources = load.sources.max(1);
            self.of.push(Of { load: LoadNo(number as u8), node: node as u16, sources });
        }
    }

    /// The digest of every planned request and bad client: equal plans have equal digests.
    ///
    /// # Errors
    /// What the model cannot draw.
    pub fn digest(&self) -> Result<Digest, ClientsError> {
        let mut digest = Digest::default();
        let mut bytes = Vec::new();
        for arrival in Arrivals::new(&self.clients.load, self.seed)? {
            bytes.clear();
            arrival.encode(&mut bytes);
            digest.update(&bytes);
        }
        digest.update(format!("{:?}", self.bad).as_bytes());
        Ok(digest)
    }
}

/// Faults on the clients of a load that are known ahead, each with its beginning and end in seconds.
fn on_clients<'a>(
    e: &'a Experiment,
    occurrences: &'a [Occurrence],
    load: &'a str,
) -> impl Iterator<Item = (&'a What, f64, f64)> {
    occurrences.iter().filter_map(move |o| {
        let fault = e.faults.get(o.fault)?;
        let Who::Clients { load: only } = &fault.who else { return None };
        let fits = only.as_ref().is_none_or(|only| only == load);
        fits.then_some((&fault.what, o.from as f64 / 1e6, o.until as f64 / 1e6))
    })
}

fn rate(e: &Experiment, load: &Load, number: usize, seed: u64) -> Line {
    let until = load.until_s.unwrap_or(e.duration_s);
    Line::of(&load.rate, e.duration_s, seed, number).times(&Line::window(load.from_s, until, 0.0, 1.0))
}

fn class(c: &crate::experiment::Class, origin: &crate::experiment::Origin) -> arrivals::Class {
    let size = Spread::LogNormal {
        median: f64::from(origin.value_bytes),
        sigma: origin.value_sigma,
        max: LONGEST_VALUE,
    };
    arrivals::Class {
        name: c.name.clone(),
        write: c.write,
        effect: match c.effect {
            Effect::Safe => arrivals::Effect::Free,
            Effect::Keyed => arrivals::Effect::Guarded,
            Effect::Unsafe => arrivals::Effect::SingleShot,
        },
        size: if c.write { size } else { Spread::default() },
        give_up: millis(c.deadline_ms),
        latency_target: millis(c.aim_ms),
        worth: c.worth,
        late_worth: c.late_worth,
        // A class without a window repeats nothing, and any other has one above 0.
        window: seconds(c.window_s).max(1),
        dropped_by_all: c.group == Group::All,
    }
}

fn mix(e: &Experiment, load: &Load, number: usize) -> Vec<(usize, f64)> {
    let share = |c: &crate::experiment::Class| match load.mix.is_empty() {
        true => c.share,
        false => load.mix.get(&c.name).copied().unwrap_or(0.0),
    };
    e.classes.iter().enumerate().map(|(at, c)| (number * e.classes.len() + at, share(c))).collect()
}

/// The keys of a load.
pub(crate) fn keys_of(load: &Load) -> Keys {
    let k = &load.keys;
    Keys {
        space: k.space,
        population: k.count,
        exponent: k.zipf,
        offset: 0.0,
        drift: match k.drift_per_s {
            d if d > 0.0 => Drift::Renew { every: seconds(1.0 / d).max(1) },
            _ => Drift::Still,
        },
        hot: Vec::new(),
        fresh: k.fresh,
    }
}

fn hot(number: usize, keys: u64) -> Keys {
    let population = u32::try_from(keys).unwrap_or(u32::MAX);
    Keys { space: (HOT_SPACES + number % HOT_SPACES) as u16, population, exponent: 0.0, ..Keys::default() }
}

fn habits(load: &Load) -> Habits {
    let (c, r) = (&load.connections, &load.retries);
    Habits {
        reuse: match c.habit {
            Habit::Keep => ReusePolicy::Reuse,
            Habit::Close => ReusePolicy::OnePerRequest,
            Habit::AskOnce => ReusePolicy::NeverReuse,
        },
        max_connections: c.most,
        pipeline: c.pipeline,
        idle_timeout: Some(seconds(c.idle_s)),
        connect_timeout: CONNECT_LIMIT,
        try_timeout_share: r.try_share,
        abandon_share: r.impatient,
        retry: Retry {
            tries: u8::try_from(r.most + 1).unwrap_or(u8::MAX),
            wait: Spread::Even(millis(r.backoff_ms.0), millis(r.backoff_ms.1)),
            growth: 2.0,
            max_wait: LONGEST_BACKOFF,
            honours_busy_share: r.honour,
            ..Retry::default()
        },
        marks_retry: r.mark,
        reader: if c.read_bytes_per_s > 0 { Reader::Slow(c.read_bytes_per_s) } else { Reader::Full },
        ..Habits::default()
    }
}
