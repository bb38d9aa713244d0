//! Benchmark of connection selection: ns per flow by number of members and connections per member, for the
//! pool and for a linear scan that reads a member's connections several times per flow.
//!
//! `cargo run --release -p lapisrudder-pool --example choose`

use lapisrudder_pool::{ConnId, Deployment, Member, MemberId, Order, Placement, Pool, RetrySafety, Settings};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::time::Instant;

const FLOWS: usize = 1_000_000;
/// Flows in flight as a share of the connections.
const BUSY: f64 = 0.7;
/// Virtual time between flows, µs.
const STEP: i64 = 20;

/// Selection by linear scan: a member's connections in a vector, all connections in a map.
struct Scanning {
    members: Vec<Vec<u64>>,
    connections: FxHashMap<u64, Scanned>,
}

struct Scanned {
    up: bool,
    deadline: Option<(i64, u64)>,
    flows: VecDeque<i64>,
}

impl Scanning {
    fn new(members: usize, each: usize) -> Scanning {
        let ids = |m: usize| (0..each).map(|c| (m * each + c) as u64).collect();
        let connections = (0..(members * each) as u64)
            .map(|id| (id, Scanned { up: true, deadline: Some((0, id)), flows: VecDeque::new() }));
        Scanning { members: (0..members).map(ids).collect(), connections: connections.collect() }
    }

    /// Selects a connection for one flow.
    fn flow(&mut self, now: i64, member: usize, most: usize, pipeline_depth: usize) -> Option<u64> {
        let all = &self.members[member];
        let known = |id: &u64| self.connections.get(id);
        let idle = all.iter().filter(|id| known(id).is_some_and(|c| c.up && c.flows.is_empty()));
        let idle = idle.max_by_key(|id| known(id).and_then(|c| c.deadline)).copied();
        let connecting = all.iter().filter(|id| known(id).is_some_and(|c| !c.up)).count();
        let stalled = now - 250_000;
        let stalls = |c: &Scanned| c.flows.front().is_some_and(|put| *put < stalled);
        let stall = all.iter().filter(|id| known(id).is_some_and(stalls)).count();
        let room = all.len() < most + stall.min(most);
        if idle.is_none() && (connecting > 0 || room) {
            return None;
        }
        let id = idle.or_else(|| {
            let load = |id: &u64| {
                let c = known(id)?;
                let takes = c.up && c.flows.len() < pipeline_depth && !stalls(c);
                takes.then_some((c.flows.len(), c.flows.front().map_or(0, |put| -put), *id))
            };
            all.iter().filter_map(load).min().map(|l| l.2)
        })?;
        let c = self.connections.get_mut(&id)?;
        c.deadline = None;
        c.flows.push_back(now);
        Some(id)
    }

    fn answered(&mut self, now: i64, id: u64) {
        if let Some(c) = self.connections.get_mut(&id) {
            c.flows.pop_front();
            if c.flows.is_empty() {
                c.deadline = Some((now, id));
            }
        }
    }
}

/// ns per flow, including its answer.
fn time(
    mut flow: impl FnMut(i64, usize) -> Option<u64>,
    mut answered: impl FnMut(i64, u64),
    members: usize,
    out: usize,
) -> f64 {
    let mut random = SmallRng::seed_from_u64(1);
    let mut queue = VecDeque::new();
    let mut now = 1_000_000;
    let mut play = |count: usize,
                    flow: &mut dyn FnMut(i64, usize) -> Option<u64>,
                    answered: &mut dyn FnMut(i64, u64)| {
        let began = Instant::now();
        for _ in 0..count {
            now += STEP;
            queue.extend(flow(now, random.random_range(0..members)));
            if queue.len() > out
                && let Some(conn) = queue.pop_front()
            {
                answered(now, conn);
            }
        }
        began.elapsed().as_nanos() as f64 / count as f64
    };
    play(FLOWS / 10, &mut flow, &mut answered);
    play(FLOWS, &mut flow, &mut answered)
}

fn pool(members: usize, each: usize) -> f64 {
    // The target stays constant and nothing stalls: no connection is closed as idle or surplus, and none
    // opened.
    let settings = Settings { hold_ms: 3_600_000, max_age_s: 0, ..Settings::default() };
    let deployment = Deployment { connect_timeout: 3_600_000_000, ..Deployment::default() };
    let mut pool = Pool::new(settings, deployment, 1, 0).unwrap_or_else(|e| panic!("{e}"));
    pool.set_capacity(0, members * each);
    let member = Member { kind: 0, pipeline_depth: 1, draining: false, warm_at: None };
    for m in 0..members {
        pool.update_member(0, MemberId(m as u64), &member);
    }
    // As many concurrent flows as connections are wanted.
    let mut now = 0;
    let mut up = Vec::new();
    for m in 0..members {
        for _ in 0..each {
            now += 1;
            pool.assign_flow(now, MemberId(m as u64), RetrySafety::Unsafe);
        }
    }
    while up.len() < members * each {
        now += 50_000;
        while let Some(order) = pool.poll(now) {
            match order {
                Order::Connect { conn, .. } => pool.connected(now, conn),
                Order::Assign { conn, .. } => up.push(conn),
                _ => {}
            }
        }
    }
    up.iter().for_each(|conn| pool.answered(now, *conn));
    for m in 0..members {
        pool.update_member(now, MemberId(m as u64), &Member { pipeline_depth: 32, ..member });
    }
    let pool = std::cell::RefCell::new(pool);
    let out = (BUSY * (members * each) as f64) as usize;
    let flow = |t: i64, m: usize| {
        let mut pool = pool.borrow_mut();
        let choice = pool.assign_flow(now + t, MemberId(m as u64), RetrySafety::Safe);
        while let Some(order) = pool.poll(now + t) {
            if let Order::Connect { conn, .. } = order {
                pool.connected(now + t, conn);
            }
        }
        match choice {
            Placement::Assigned { conn, .. } => Some(conn.0),
            _ => None,
        }
    };
    time(flow, |t, conn| pool.borrow_mut().answered(now + t, ConnId(conn)), members, out)
}

fn scanning(members: usize, each: usize) -> f64 {
    let pool = std::cell::RefCell::new(Scanning::new(members, each));
    let out = (BUSY * (members * each) as f64) as usize;
    let flow = |t: i64, m: usize| pool.borrow_mut().flow(t, m, each, 32);
    time(flow, |t, conn| pool.borrow_mut().answered(t, conn), members, out)
}

fn main() {
    println!("{:>8} {:>6} {:>14} {:>14}", "members", "each", "pool, ns", "scanning, ns");
    for (members, each) in [(2, 4), (2, 96), (50, 4), (50, 48), (500, 4), (500, 24), (1000, 4), (1000, 12)] {
        println!("{members:>8} {each:>6} {:>14.0} {:>14.0}", pool(members, each), scanning(members, each));
    }
}
