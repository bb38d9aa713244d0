//! Which server a simple policy sends a key to.

use super::Server;
use crate::experiment::Rival;
use lapisrudder_model::value::{digest, mix};
use rustc_hash::FxHashMap;

/// Points of each server on the ring, as libketama has them for servers of one weight.
const POINTS: u64 = 160;
/// A server takes at most this many times the mean load (the paper's 1 + epsilon).
const BOUND: f64 = 1.25;

/// One policy and what it knows.
///
/// - random: each request to a server drawn evenly;
/// - ketama: consistent hashing with 160 points a server on a ring (libketama; Karger et al. 1997), with a hash of our
///   own in place of MD5;
/// - bounded: the same ring, and a key moves on to the next server while one has more than 1.25 times the mean of the
///   requests in flight (Mirrokni, Thorup, Zadimoghaddam: Consistent Hashing with Bounded Loads, SODA 2018).
#[derive(Clone, Debug)]
pub struct Chooser {
    policy: Rival,
    servers: Vec<Server>,
    /// Points in order, each with its server's place.
    ring: Vec<(u64, usize)>,
    in_flight: FxHashMap<String, u32>,
    total: u32,
}

impl Chooser {
    /// Knows no server yet.
    pub fn new(policy: Rival) -> Self {
        Self { policy, servers: Vec::new(), ring: Vec::new(), in_flight: FxHashMap::default(), total: 0 }
    }

    /// These are the servers from now on.
    pub fn set(&mut self, servers: Vec<Server>) {
        if servers == self.servers {
            return;
        }
        self.ring = Vec::new();
        if self.policy != Rival::Random {
            for (place, server) in servers.iter().enumerate() {
                let own = digest(server.uid.as_bytes());
                self.ring.extend((0..POINTS).map(|n| (mix(own.wrapping_add(n)), place)));
            }
            self.ring.sort_unstable();
        }
        self.servers = servers;
    }

    /// The server for a key; `draw` decides where the policy leaves it to chance. None if there are no servers.
    pub fn choose(&self, key: u64, draw: u64) -> Option<&Server> {
        let count = self.servers.len();
        if count == 0 {
            return None;
        }
        let place = match self.policy {
            Rival::Random => ((u128::from(draw) * count as u128) >> 64) as usize,
            Rival::Ketama => self.walk(key).next()?,
            Rival::Bounded => {
                let most = (BOUND * f64::from(self.total + 1) / count as f64).ceil() as u32;
                let fits = |place: &usize| self.servers.get(*place).is_some_and(|s| self.load(&s.uid) < most);
                self.walk(key).find(fits)?
            }
        };
        self.servers.get(place)
    }

    /// Places along the ring from a key's point on, once round.
    fn walk(&self, key: u64) -> impl Iterator<Item = usize> {
        let point = mix(key);
        let from = self.ring.partition_point(|p| p.0 < point);
        let (before, after) = self.ring.split_at(from);
        after.iter().chain(before).map(|p| p.1)
    }

    fn load(&self, uid: &str) -> u32 {
        self.in_flight.get(uid).copied().unwrap_or(0)
    }

    /// A request was sent to a server.
    pub fn begun(&mut self, uid: &str) {
        *self.in_flight.entry(uid.to_owned()).or_default() += 1;
        self.total += 1;
    }

    /// A request at a server is over.
    pub fn ended(&mut self, uid: &str) {
        if let Some(load) = self.in_flight.get_mut(uid) {
            *load = load.saturating_sub(1);
            self.total = self.total.saturating_sub(1);
            if *load == 0 {
                self.in_flight.remove(uid);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use lapisrudder_model::mix::keyed_rng;
    use rand::RngCore;
    use std::collections::BTreeMap;

    fn chooser(policy: Rival, count: u16) -> Chooser {
        let mut chooser = Chooser::new(policy);
        let server = |n| Server { uid: format!("s{n}"), endpoint: ([127, 0, 0, 1], n).into() };
        chooser.set((1..=count).map(server).collect());
        chooser
    }

    fn spread(chooser: &Chooser, keys: u64) -> BTreeMap<String, u64> {
        let mut counts = BTreeMap::new();
        for key in 0..keys {
            let draw = keyed_rng(1, "draw", key, 0).next_u64();
            *counts.entry(chooser.choose(key, draw).map_or(String::new(), |s| s.uid.clone())).or_default() +=
                1;
        }
        counts
    }

    #[test]
    fn keys_stay_when_another_server_goes() {
        let (ten, nine) = (chooser(Rival::Ketama, 10), chooser(Rival::Ketama, 9));
        let moved = (0..10_000).filter(|&key| ten.choose(key, 0) != nine.choose(key, 0));
        let (mut from_tenth, mut others) = (0, 0);
        for key in moved {
            let tenth = ten.choose(key, 0).is_some_and(|s| s.uid == "s10");
            *(if tenth { &mut from_tenth } else { &mut others }) += 1;
        }
        assert!(from_tenth > 500 && others == 0, "{from_tenth} moved from it, {others} from others");
        for policy in [Rival::Random, Rival::Ketama] {
            let counts = spread(&chooser(policy, 10), 10_000);
            assert!(
                counts.len() == 10 && counts.values().all(|n| (600..1500).contains(n)),
                "{policy:?}: {counts:?}"
            );
        }
        assert_eq!(Chooser::new(Rival::Bounded).choose(1, 1), None);
    }

    #[test]
    fn a_server_over_its_bound_is_passed_over() {
        let mut chooser = chooser(Rival::Bounded, 4);
        let home = chooser.choose(7, 0).map(|s| s.uid.clone()).unwrap_or_default();
        let mut seen = BTreeMap::new();
        for _ in 0..40 {
            let uid = chooser.choose(7, 0).map(|s| s.uid.clone()).unwrap_or_default();
            chooser.begun(&uid);
            *seen.entry(uid).or_insert(0) += 1;
        }
        // ceil(1.25 * 40 / 4) = 13.
        assert!(seen.values().all(|n| *n <= 13) && seen.len() == 4, "{seen:?}");
        for (uid, n) in seen {
            (0..n).for_each(|_| chooser.ended(&uid));
        }
        assert_eq!(chooser.choose(7, 0).map(|s| s.uid.clone()), Some(home), "back home when it is quiet");
        assert_eq!((chooser.total, chooser.in_flight.len()), (0, 0));
    }
}
