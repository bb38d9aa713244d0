//! A storm of connections without input, ahead of normal clients in the accept queue, on a virtual clock.

use lapisrudder_limits::{
    Accepting, Activity, Admission, ConnId, Intake, Micros, Order, RequestInfo, Resources, Settings, Ticket,
    Verdict,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const SLOTS: usize = 258;
const BACKLOG: usize = 1024;
/// A normal client's first bytes arrive this long after its connect; its request takes `SERVICE`; it stays
/// connected for `STAYS` after the answer.
const INPUT_AFTER: Micros = 300;
const SERVICE: Micros = 10_000;
const STAYS: Micros = 100_000;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum SimEvent {
    Connects { normal: bool, n: u32 },
    Input(ConnId),
    Answered(ConnId, Ticket),
    Leaves(ConnId),
    Wake,
}

struct Waiting {
    normal: bool,
    n: u32,
    since: Micros,
}

#[derive(Default, Debug)]
struct Counts {
    normal: u32,
    served: u32,
    dropped: u32,
    refused: u32,
    /// Time that each normal client waited in the accept queue.
    waited: Vec<Micros>,
    /// Maximum number of slots held by the storm in the second half.
    storm_held: usize,
}

fn storm(settings: &str, silent_per_s: i64, sources: u32) -> Counts {
    let settings: Settings = toml::from_str(settings).unwrap();
    let mut limits = Admission::new(settings, 5, 0).unwrap();
    let resources = Resources { connections: SLOTS, in_flight: 20_000, ..Resources::default() };
    limits.set_resources(0, &resources);
    let mut queue = BTreeSet::new();
    let mut count = 0u64;
    let mut at = |queue: &mut BTreeSet<(Micros, u64, SimEvent)>, when: Micros, what: SimEvent| {
        count += 1;
        queue.insert((when, count, what));
    };
    let until = 10_000_000;
    for i in 0..until * silent_per_s / 1_000_000 {
        at(
            &mut queue,
            i * 1_000_000 / silent_per_s,
            SimEvent::Connects { normal: false, n: i as u32 % sources },
        );
    }
    for i in 0..until / 10_000 {
        at(&mut queue, i * 10_000 + 37, SimEvent::Connects { normal: true, n: i as u32 });
    }
    let mut backlog: VecDeque<Waiting> = VecDeque::new();
    let mut silent: BTreeSet<ConnId> = BTreeSet::new();
    let mut pending: BTreeMap<ConnId, Option<Ticket>> = BTreeMap::new();
    let mut counts = Counts::default();
    let mut paused_until = 0;
    let request = RequestInfo { worth: 5.0, left: 480_000, bytes: 60, ..RequestInfo::default() };
    while let Some((now, _, what)) = queue.pop_first().filter(|(now, ..)| *now < until) {
        match what {
            SimEvent::Connects { normal, n } => {
                counts.normal += u32::from(normal);
                match backlog.len() < BACKLOG {
                    true => backlog.push_back(Waiting { normal, n, since: now }),
                    false => counts.dropped += u32::from(normal),
                }
            }
            SimEvent::Input(conn) => {
                if let Some(ticket) = pending.get_mut(&conn)
                    && let Intake::Take { ticket: taken } = limits.request(now, conn, &request)
                {
                    *ticket = Some(taken);
                    at(&mut queue, now + SERVICE, SimEvent::Answered(conn, taken));
                }
            }
            SimEvent::Answered(conn, ticket) => {
                limits.ended(now, ticket, true);
                limits.set_activity(now, conn, Activity::Idle);
                counts.served += 1;
                at(&mut queue, now + STAYS, SimEvent::Leaves(conn));
            }
            SimEvent::Leaves(conn) => {
                pending.remove(&conn);
                limits.on_closed(now, conn);
            }
            SimEvent::Wake => {}
        }
        while now >= paused_until && !backlog.is_empty() {
            let limit = match limits.accepting(now) {
                Accepting::Take(n) => n,
                Accepting::Pause { until } => {
                    paused_until = until;
                    at(&mut queue, until, SimEvent::Wake);
                    break;
                }
            };
            for next in backlog.drain(..limit.min(backlog.len())) {
                let has_input = next.normal && now >= next.since + INPUT_AFTER;
                let address = if next.normal {
                    format!("10.{}.{}.1", next.n >> 8, next.n & 255)
                } else {
                    format!("2001:db8:{:x}:{:x}::1", next.n >> 16, next.n & 0xffff)
                };
                let conn = match limits.on_accepted(now, address.parse().unwrap(), has_input) {
                    Verdict::Keep { conn } => conn,
                    Verdict::KeepAndClose { conn, victim } => {
                        silent.remove(&victim);
                        pending.remove(&victim);
                        limits.on_closed(now, victim);
                        conn
                    }
                    Verdict::Refuse { .. } => {
                        counts.refused += u32::from(next.normal);
                        continue;
                    }
                };
                if next.normal {
                    counts.waited.push(now - next.since);
                    pending.insert(conn, None);
                    at(&mut queue, now.max(next.since + INPUT_AFTER), SimEvent::Input(conn));
                } else {
                    silent.insert(conn);
                    if now > until / 2 {
                        counts.storm_held = counts.storm_held.max(silent.len());
                    }
                }
            }
        }
        while let Some(order) = limits.poll(now) {
            if let Order::Close { conn, .. } | Order::Expire { conn } = order {
                silent.remove(&conn);
                pending.remove(&conn);
                limits.on_closed(now, conn);
            }
        }
        assert!(limits.held().0 <= SLOTS);
    }
    counts.waited.sort_unstable();
    counts
}

#[test]
fn a_connect_storm_does_not_starve_normal_clients_in_the_accept_queue() {
    // From one source, and from a new source for each connect.
    for sources in [1, 1_000_000] {
        let counts = storm("", 5_000, sources);
        let (median, p99) =
            (counts.waited[counts.waited.len() / 2], counts.waited[counts.waited.len() * 99 / 100]);
        println!(
            "{sources} sources: {} normal, {} served, {} refused, {} dropped, waited {median} us, 99% {p99} us, {}",
            counts.normal, counts.served, counts.refused, counts.dropped, counts.storm_held
        );
        assert!(counts.served * 100 >= counts.normal * 97, "{} of {}", counts.served, counts.normal);
        assert!(p99 <= 60_000, "{p99} us in the queue");
        assert!(counts.storm_held > 50, "the storm gets the remaining slots: {}", counts.storm_held);
    }
    // With a fixed 0.1 s for each connection without input, 258 slots accept at most 2,580 connections/s.
    let fixed = storm("[keep]\nsilent_earliest_ms = 100", 5_000, 1_000_000);
    let p99 = fixed.waited[fixed.waited.len() * 99 / 100];
    println!(
        "fixed: {} normal, {} served, {} dropped, 99% {p99} us",
        fixed.normal, fixed.served, fixed.dropped
    );
    assert!(fixed.dropped * 4 > fixed.normal || p99 > 200_000, "{p99} us, {} dropped", fixed.dropped);
}
