//! From a seed to the plan of faults: which servers there are, who is hit, and when. The same for one seed on every
//! machine; what a condition sets off is drawn from the same seed by its count.

use super::{Experiment, Fault, Pick, What, When, Who};
use crate::{Micros, seconds};
use lapisrudder_model::draw::stream;
use rand::Rng;
use rand::seq::SliceRandom;
use rand_distr::{Distribution, Exp};

/// A server or a node by place.
#[derive(Clone, Debug, PartialEq)]
pub struct Machine {
    /// `s0`, `s1` ... or `n0`, `n1` ...
    pub name: String,
    /// A place in `world.servers` (servers only).
    pub kind: usize,
    /// A place in `world.zones.names`.
    pub zone: usize,
}

/// One occurrence of a fault at a time known ahead.
#[derive(Clone, Debug, PartialEq)]
pub struct Occurrence {
    /// A place in the experiment's faults.
    pub fault: usize,
    /// Which occurrence of it, from 0.
    pub number: u32,
    /// Begins (microseconds from the start of the load).
    pub from: Micros,
    /// Ends; equal to `from` for what happens at one instant.
    pub until: Micros,
    /// Whom it hits among the servers, by place; the drawn ones of the first side that has any for the network.
    pub servers: Vec<usize>,
    /// Whom it hits among the nodes, by place.
    pub nodes: Vec<usize>,
}

/// All that is known ahead of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// In order of their beginning.
    pub occurrences: Vec<Occurrence>,
}

/// The servers that run at the start, in the order of their names. Kinds take turns in the zones that they name.
pub fn servers(e: &Experiment) -> Vec<Machine> {
    let zones = &e.world.zones.names;
    let mut all = Vec::new();
    for (kind, k) in e.world.servers.iter().enumerate() {
        let named = |name: &String| zones.iter().position(|z| z == name);
        let mut places: Vec<_> = k.zones.iter().filter_map(named).collect();
        if places.is_empty() {
            places = (0..zones.len()).collect();
        }
        for at in 0..k.count {
            // All zones are filled evenly over the kinds, not each kind from the first zone on.
            let turn = if k.zones.is_empty() { all.len() } else { at };
            let zone = places.get(turn % places.len().max(1)).copied().unwrap_or(0);
            all.push(Machine { name: format!("s{}", all.len()), kind, zone });
        }
    }
    all
}

fn nodes(e: &Experiment) -> Vec<Machine> {
    let zones = e.world.zones.names.len().max(1);
    (0..e.world.nodes.count).map(|n| Machine { name: format!("n{n}"), kind: 0, zone: n % zones }).collect()
}

/// Every occurrence that does not wait for a condition.
pub fn schedule(e: &Experiment, seed: u64) -> Schedule {
    let mut occurrences = Vec::new();
    for (at, fault) in e.faults.iter().enumerate() {
        for (number, from) in (0..).zip(times(e, fault, seed, at)) {
            occurrences.push(occurrence(e, seed, at, number, from));
        }
    }
    occurrences.sort_by_key(|o| (o.from, o.fault, o.number));
    Schedule { occurrences }
}

/// One occurrence of a fault from `from` on: also for what a condition has set off, with `number` counting up.
pub fn occurrence(e: &Experiment, seed: u64, fault: usize, number: u32, from: Micros) -> Occurrence {
    let mut hit = Occurrence { fault, number, from, until: from, servers: Vec::new(), nodes: Vec::new() };
    let Some(f) = e.faults.get(fault) else { return hit };
    hit.until = from + seconds(f.for_s);
    let draw = |what: &str, pick: &Pick, all: &[Machine]| {
        choose(e, pick, all, &mut stream(seed, &format!("fault {fault} {what}"), u64::from(number)))
    };
    match &f.who {
        Who::Servers(pick) => hit.servers = draw("servers", pick, &servers(e)),
        Who::Nodes(pick) => hit.nodes = draw("nodes", pick, &nodes(e)),
        Who::Network { from, to } => {
            for side in [from, to] {
                match side {
                    super::Side::Servers(pick) => hit.servers = draw("servers", pick, &servers(e)),
                    super::Side::Nodes(pick) => hit.nodes = draw("nodes", pick, &nodes(e)),
                    _ => {}
                }
            }
        }
        Who::Discovery if matches!(f.what, What::Move { .. }) => {
            hit.nodes = (0..e.world.nodes.count).collect()
        }
        Who::Origin | Who::Discovery | Who::Clients { .. } => {}
    }
    hit
}

fn times(e: &Experiment, fault: &Fault, seed: u64, at: usize) -> Vec<Micros> {
    match &fault.when {
        When::At(times) => {
            let mut times: Vec<_> = times.iter().map(|t| seconds(*t)).collect();
            times.sort_unstable();
            times
        }
        When::Random(r) => {
            let mut draws = stream(seed, "fault times", at as u64);
            let until = r.until_s.unwrap_or(e.duration_s);
            let Ok(gap) = Exp::new(r.per_min / 60.0) else { return Vec::new() };
            let mut t = r.from_s;
            let next = || {
                t += gap.sample(&mut draws);
                (t < until).then(|| seconds(t))
            };
            std::iter::from_fn(next).collect()
        }
        When::Once { .. } => Vec::new(),
    }
}

/// Places of those that fit, drawn where only some are wanted; in order.
fn choose(e: &Experiment, pick: &Pick, all: &[Machine], draws: &mut impl Rng) -> Vec<usize> {
    let kind = |m: &Machine| e.world.servers.get(m.kind).map(|k| k.name.as_str());
    let zone = |m: &Machine| e.world.zones.names.get(m.zone).map(String::as_str);
    let fits = |m: &Machine| {
        (pick.names.is_empty() || pick.names.contains(&m.name))
            && pick.kind.as_deref().is_none_or(|k| kind(m) == Some(k))
            && pick.zone.as_deref().is_none_or(|z| zone(m) == Some(z))
    };
    let mut places: Vec<_> = all.iter().enumerate().filter(|(_, m)| fits(m)).map(|(at, _)| at).collect();
    let wanted = match (pick.share, pick.count) {
        (Some(share), _) => ((places.len() as f64 * share).round() as usize).max(1),
        (None, Some(count)) => count,
        (None, None) => return places,
    };
    places.shuffle(draws);
    places.truncate(wanted);
    places.sort_unstable();
    places
}
