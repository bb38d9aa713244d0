//! Tests of [`Admission`] with random histories and in single hard cases, by a host that carries out every
//! order.

use super::*;
use crate::connection_table::LISTS;
use crate::orders::{Intake, RequestInfo, Ticket, Verdict};
use crate::resources::{Accepting, Shortage};
use proptest::prelude::*;
use std::collections::BTreeMap;

const READ: RequestInfo = RequestInfo { worth: 5.0, left: 480_000, bytes: 60, class: 0, recallable: false };

/// A host: the connections that it holds, and the [`Admission`] that it follows.
struct Host {
    limits: Admission,
    now: Micros,
    /// Open connections, and the requests on each that wait for their answer.
    open: BTreeMap<ConnId, Vec<Ticket>>,
    closed: Vec<(ConnId, Reason)>,
}

impl Host {
    fn new(settings: &str, connections: usize, in_flight: usize) -> Host {
        let mut limits = Admission::new(toml::from_str(settings).unwrap(), 11, 0).unwrap();
        limits.set_resources(0, &Resources { connections, in_flight, ..Resources::default() });
        Host { limits, now: 0, open: BTreeMap::new(), closed: Vec::new() }
    }

    fn close(&mut self, conn: ConnId, why: Reason) {
        assert_eq!(
            self.open.remove(&conn).map(|pending| pending.len()),
            Some(0),
            "{conn:?} has a pending answer: {why}"
        );
        self.closed.push((conn, why));
        self.limits.on_closed(self.now, conn);
    }

    fn connect(&mut self, address: &str, has_input: bool) -> Result<ConnId, Reason> {
        match self.limits.on_accepted(self.now, address.parse().unwrap(), has_input) {
            Verdict::Keep { conn } => {
                self.open.insert(conn, Vec::new());
                Ok(conn)
            }
            Verdict::KeepAndClose { conn, victim } => {
                self.close(victim, Reason::Replaced);
                self.open.insert(conn, Vec::new());
                Ok(conn)
            }
            Verdict::Refuse { why, .. } => Err(why),
        }
    }

    fn send_request(&mut self, conn: ConnId, request: RequestInfo) -> Result<Ticket, Reason> {
        let verdict = self.limits.request(self.now, conn, &request);
        if let Intake::Take { ticket } = verdict {
            self.open.get_mut(&conn).unwrap().push(ticket);
        }
        self.carry_out_orders();
        match verdict {
            Intake::Take { ticket } => Ok(ticket),
            Intake::Refuse { why, .. } => {
                self.set_idle_if_answered(conn);
                Err(why)
            }
        }
    }

    fn answer(&mut self, ticket: Ticket, served: bool) {
        self.limits.ended(self.now, ticket, served);
        let found = self.open.iter_mut().find(|(_, pending)| pending.contains(&ticket));
        let (conn, pending) = found.expect("each request is answered once");
        pending.retain(|t| *t != ticket);
        let conn = *conn;
        self.set_idle_if_answered(conn);
    }

    fn set_idle_if_answered(&mut self, conn: ConnId) {
        if self.open.get(&conn).is_some_and(Vec::is_empty) {
            self.limits.set_activity(self.now, conn, Activity::Idle);
        }
    }

    /// One request, answered after 5 ms.
    fn use_once(&mut self, conn: ConnId) {
        let ticket = self.send_request(conn, READ).unwrap();
        self.now += 5_000;
        self.answer(ticket, true);
    }

    fn carry_out_orders(&mut self) {
        for _ in 0..10_000 {
            match self.limits.poll(self.now) {
                Some(Order::Close { conn, why, .. }) => self.close(conn, why),
                Some(Order::Expire { conn }) => self.close(conn, Reason::Unfinished),
                Some(Order::Recall { ticket, .. }) => self.answer(ticket, false),
                None => return,
            }
        }
        panic!("orders do not come to an end");
    }

    fn advance(&mut self, ms: i64) {
        let until = self.now + ms * 1000;
        while let Some(due) = self.limits.due().filter(|at| *at <= until) {
            self.now = self.now.max(due);
            self.carry_out_orders();
        }
        self.now = until;
    }
}

#[derive(Clone, Debug)]
enum Step {
    Connect { client: u8, has_input: bool },
    Request { nth: usize, bytes: usize, recallable: bool },
    Answer { nth: usize },
    SetActivity { nth: usize, what: u8 },
    Disconnect { nth: usize },
    MarkKnown { nth: usize },
    Advance { ms: i64 },
    Resize { connections: usize, in_flight: usize },
    MemoryUsed { percent: u64 },
    DescriptorShortage,
    Stop,
}

fn step() -> impl Strategy<Value = Step> {
    let nth = 0usize..64;
    prop_oneof![
        8 => (0u8..12, any::<bool>()).prop_map(|(client, has_input)| Step::Connect { client, has_input }),
        8 => (nth.clone(), 1usize..200, any::<bool>())
            .prop_map(|(nth, bytes, recallable)| Step::Request { nth, bytes, recallable }),
        6 => nth.clone().prop_map(|nth| Step::Answer { nth }),
        3 => (nth.clone(), 0u8..4).prop_map(|(nth, what)| Step::SetActivity { nth, what }),
        2 => nth.clone().prop_map(|nth| Step::Disconnect { nth }),
        1 => nth.prop_map(|nth| Step::MarkKnown { nth }),
        4 => (0i64..600).prop_map(|ms| Step::Advance { ms }),
        1 => (4usize..14, 2usize..10)
            .prop_map(|(connections, in_flight)| Step::Resize { connections, in_flight }),
        1 => (50u64..100).prop_map(|percent| Step::MemoryUsed { percent }),
        1 => Just(Step::DescriptorShortage),
        1 => prop_oneof![20 => Just(Step::DescriptorShortage), 1 => Just(Step::Stop)],
    ]
}

const RANDOM: &str = "
    [sources]
    weights = [{ prefix = '10.0.0.3/32', weight = 4 }]
    [caps]
    connections_per_source = 4
    in_flight_per_source = 5
    buffer_bytes = 900
    [known]
    prefixes = ['10.0.0.8/29']
    connections = 3
    in_flight = 2
    buffer_bytes = 300
    [keep]
    probe_one_in = 3";

fn nth<T: Copy>(all: impl Iterator<Item = T>, nth: usize) -> Option<T> {
    let all: Vec<T> = all.collect();
    (!all.is_empty()).then(|| all[nth % all.len()])
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, ..ProptestConfig::default() })]

    /// In any history: caps are exceeded only by what was held when they shrank, the reserve can be
    /// reclaimed, the accounting is consistent, no connection with a pending answer is closed, and orders
    /// come to an end.
    #[test]
    fn caps_reserve_and_accounting_hold_in_any_history(steps in proptest::collection::vec(step(), 1..60)) {
        let mut host = Host::new(RANDOM, 10, 6);
        let mut resources = Resources { connections: 10, in_flight: 6, ..Resources::default() };
        for step in steps {
            let before = (host.limits.held().0 as u64, host.limits.in_flight().0 as u64);
            let bytes_before = host.limits.bytes.held();
            let working_before = host.limits.table.totals[0].working;
            match step {
                Step::Connect { client, has_input } => {
                    let known = client >= 8;
                    let pool = host.limits.connection_pool();
                    let own = host.limits.table.find_account(
                        host.limits.directory.look_up(format!("10.0.0.{client}").parse().unwrap()).source,
                        known,
                    ).map_or(0, |h| h.held);
                    let within = known && pool.known < pool.reserve && own < 4;
                    // Connections with unread input cannot be evicted: one of an unknown client without must
                    // be there.
                    let table = &host.limits.table;
                    let closable =
                        (0..LISTS).any(|list| table.first_in_list(false, list, 1).next().is_some());
                    let can = pool.held() < host.limits.max_connections()
                        || closable && !host.limits.stopping;
                    let stage = host.limits.stages.stage();
                    let got = host.connect(&format!("10.0.0.{client}"), has_input);
                    if within && can && stage < 3 {
                        prop_assert!(got.is_ok(), "{got:?}: refused a known client within its reserve");
                    }
                }
                Step::Request { nth: n, bytes, recallable } => {
                    let Some(conn) = nth(host.open.keys().copied(), n) else { continue };
                    let known = host.limits.table.is_known(conn) == Some(true);
                    let (slots, buffer) = (host.limits.slots, host.limits.bytes);
                    let got = host.send_request(conn, RequestInfo { bytes, recallable, ..READ });
                    // After a limit shrank, too little may be lent to be reclaimed; otherwise the reserve
                    // holds.
                    let sound = slots.committed <= slots.capacity.saturating_sub(slots.reserve)
                        && buffer.committed <= buffer.capacity.saturating_sub(buffer.reserve);
                    let within = slots.known < slots.reserve && buffer.known + bytes as u64 <= buffer.reserve;
                    if known && sound && within && slots.reserve <= slots.capacity {
                        let refused =
                            matches!(got, Err(Reason::InFlight | Reason::Buffer | Reason::Reserved));
                        prop_assert!(!refused, "{got:?}: {slots:?} {buffer:?}");
                    }
                }
                Step::Answer { nth: n } => {
                    let all: Vec<Ticket> = host.open.values().flatten().copied().collect();
                    if let Some(ticket) = nth(all.into_iter(), n) {
                        host.answer(ticket, n % 3 > 0);
                    }
                }
                Step::SetActivity { nth: n, what } => {
                    let free = host.open.iter().filter(|(_, pending)| pending.is_empty()).map(|(c, _)| *c);
                    if let Some(conn) = nth(free, n) {
                        let all =
                            [Activity::Idle, Activity::Unfinished, Activity::Pending, Activity::Closing];
                        host.limits.set_activity(host.now, conn, all[what as usize]);
                    }
                }
                Step::Disconnect { nth: n } => {
                    if let Some(conn) = nth(host.open.keys().copied(), n) {
                        for ticket in host.open.remove(&conn).unwrap_or_default() {
                            host.limits.ended(host.now, ticket, false);
                        }
                        host.limits.on_closed(host.now, conn);
                    }
                }
                Step::MarkKnown { nth: n } => {
                    if let Some(conn) = nth(host.open.keys().copied(), n) {
                        host.limits.mark_known(conn);
                    }
                }
                Step::Advance { ms } => host.advance(ms),
                Step::Resize { connections, in_flight } => {
                    (resources.connections, resources.in_flight) = (connections, in_flight);
                    host.limits.set_resources(host.now, &resources);
                }
                Step::MemoryUsed { percent } => {
                    resources.memory = Usage { used: percent, limit: 100 };
                    host.limits.set_resources(host.now, &resources);
                }
                Step::DescriptorShortage => {
                    host.limits.on_descriptor_shortage(host.now, true);
                }
                Step::Stop => host.limits.set_stopping(),
            }
            let limits = &mut host.limits;
            prop_assert_eq!(limits.table.audit(), Ok(()));
            prop_assert_eq!(limits.held().0, host.open.len());
            let pending: usize = host.open.values().map(Vec::len).sum();
            prop_assert_eq!(limits.in_flight().0, pending);
            let limit = limits.max_connections();
            prop_assert!(
                limits.held().0 as u64 <= limit.max(before.0),
                "{} held of {limit}",
                limits.held().0
            );
            prop_assert!(pending as u64 <= limits.slots.capacity.max(before.1));
            prop_assert!(limits.bytes.held() <= limits.bytes.capacity.max(bytes_before));
            prop_assert!(limits.slots.committed <= limits.slots.committed_limit().max(before.1));
            let working = limits.table.totals[0].working;
            // Where the limit fell below what is held, the excess drains first.
            prop_assert!(
                before.0 > limit
                    || working <= limits.connection_pool().committed_limit().max(working_before),
                "too many committed: {:?}",
                limits.connection_pool()
            );
        }
        // At the end nothing is left in the accounting.
        for (conn, pending) in std::mem::take(&mut host.open) {
            host.limits.on_closed(host.now, conn);
            pending.into_iter().for_each(|ticket| host.limits.ended(host.now, ticket, true));
        }
        prop_assert_eq!((host.limits.held(), host.limits.in_flight()), ((0, 0), (0, 0)));
        prop_assert_eq!(host.limits.table.audit(), Ok(()));
        prop_assert_eq!(host.limits.slots.held() + host.limits.bytes.held(), 0);
    }
}

#[test]
fn a_connect_flood_from_a_shared_address_closes_no_active_connection_of_that_address() {
    let school = "10.1.0.1";
    let mut host = Host::new("sources.weights = [{ prefix = '10.1.0.1/32', weight = 900 }]", 1000, 5000);
    let pupils: Vec<ConnId> = (0..899).map(|_| host.connect(school, true).unwrap()).collect();
    for _ in 0..2 {
        for conn in &pupils {
            let ticket = host.send_request(*conn, READ).unwrap();
            host.answer(ticket, true);
        }
        host.advance(200);
    }
    // The broken app: 600 connects/s for 10 s that send nothing. Each pupil sends a request every 0.5 s.
    let (mut refused, mut others) = (0, 0);
    for i in 0..6000 {
        refused += usize::from(host.connect(school, false).is_err());
        if i % 100 == 0 {
            others += usize::from(host.connect("192.0.2.1", true).is_ok());
        }
        for conn in pupils.iter().skip(i % 300).step_by(300) {
            let ticket = host.send_request(*conn, READ).unwrap();
            host.answer(ticket, true);
        }
        host.advance(1);
        host.now += 667;
    }
    let left = pupils.iter().filter(|c| host.open.contains_key(c)).count();
    assert_eq!(left, 899, "no pupil's connection is closed");
    assert!(others >= 55, "connections from another source are accepted: {others} of 60");
    assert!(refused < 6000, "the app gets what is left of the school's share");
}

#[test]
fn a_new_source_address_for_each_connection_gains_nothing() {
    let mut host = Host::new("", 60, 1000);
    let regular: Vec<ConnId> =
        (0..30).map(|i| host.connect(&format!("192.0.2.{i}"), true).unwrap()).collect();
    for _ in 0..3 {
        host.advance(1000);
        regular.iter().for_each(|conn| host.use_once(*conn));
    }
    for i in 0..4000u32 {
        let hop = format!("2001:db8:{:x}:{:x}::1", i >> 8, i & 0xff);
        let _ = host.connect(&hop, false);
        if i % 20 == 0 {
            let conn = regular[(i / 20) as usize % 30];
            if host.open.contains_key(&conn) {
                host.use_once(conn);
            }
        }
        host.advance(2);
    }
    let open_count = regular.iter().filter(|c| host.open.contains_key(c)).count();
    assert_eq!(open_count, 30, "connections with requests stay");
    assert!(host.connect("198.51.100.1", true).is_ok(), "and another client with input is accepted");
    assert!(host.limits.table.bytes() < ConnectionTable::max_bytes(60, 60, 1));
}

#[test]
fn a_connect_flood_is_held_to_its_rate_and_logged_once() {
    let mut host = Host::new("caps.connects_per_s_per_source = 10.0", 1000, 1000);
    let (mut kept, mut other) = (0, 0);
    for i in 0..5000 {
        kept += usize::from(host.connect("192.0.2.9", true).is_ok());
        if i % 500 == 0 {
            other += usize::from(host.connect("192.0.2.10", true).is_ok());
        }
        host.advance(1);
    }
    assert!((55..=60).contains(&kept), "10/s for 5 s, and a burst of 10: {kept}");
    assert_eq!(other, 10, "another source is not limited");
    let logged = host.limits.events(host.now);
    let refused = logged.iter().filter(|e| matches!(e.kind, EventKind::Refused(Reason::SourceConnectRate)));
    assert_eq!(refused.count(), 1, "{logged:?}");
}

#[test]
fn silent_connections_and_partial_commands_are_evicted_for_a_connection_with_input() {
    let mut host = Host::new("", 20, 100);
    let silent: Vec<ConnId> = (0..10).map(|_| host.connect("192.0.2.1", false).unwrap()).collect();
    let partial: Vec<ConnId> = (0..10).map(|_| host.connect("192.0.2.2", true).unwrap()).collect();
    partial.iter().for_each(|c| host.limits.set_activity(host.now, *c, Activity::Unfinished));
    host.advance(90);
    assert!(
        matches!(host.limits.accepting(host.now), Accepting::Pause { .. }),
        "they may not be evicted yet"
    );
    host.advance(11);
    for i in 0..10 {
        assert_eq!(host.limits.accepting(host.now), Accepting::Take(1));
        let conn = host.connect(&format!("198.51.100.{i}"), true).unwrap();
        host.send_request(conn, READ).unwrap();
    }
    assert!(silent.iter().all(|c| !host.open.contains_key(c)));
    host.advance(850);
    assert!(host.connect("198.51.100.77", true).is_err(), "all have a request or may not be evicted yet");
    host.advance(100);
    host.connect("198.51.100.77", true).unwrap();
    assert_eq!(
        partial.iter().filter(|c| host.open.contains_key(c)).count(),
        9,
        "a partial command is kept for 1 s while slots are scarce"
    );
    host.advance(1200);
    assert!(partial.iter().all(|c| !host.open.contains_key(c)), "and for 2.2 s at most");
    assert!(host.closed.iter().any(|(_, why)| *why == Reason::Unfinished));
}

#[test]
fn a_command_in_small_pieces_gets_no_more_time() {
    let mut host = Host::new("", 20, 100);
    let conn = host.connect("192.0.2.1", false).unwrap();
    for _ in 0..30 {
        host.advance(100);
        host.limits.set_activity(host.now, conn, Activity::Pending);
        host.limits.set_activity(host.now, conn, Activity::Unfinished);
    }
    assert_eq!(host.closed, [(conn, Reason::Unfinished)]);
}

#[test]
fn known_clients_get_their_reserve_during_a_flood() {
    let settings =
        "[known]\nprefixes = ['10.9.0.0/16']\nconnections = 10\nin_flight = 5\n[overload]\nknee = 1.0";
    let mut host = Host::new(settings, 40, 20);
    // All connection slots are held by unknown clients, as many of them with requests as are allowed.
    let others: Vec<ConnId> = (0..40).map(|i| host.connect(&format!("192.0.2.{i}"), true).unwrap()).collect();
    let lendable = RequestInfo { recallable: true, ..READ };
    let taken: Vec<_> = others.iter().map(|c| host.send_request(*c, lendable)).collect();
    let busy = taken.iter().filter(|t| t.is_ok()).count();
    assert_eq!(busy, 20, "15 slots and 5 that are lent");
    assert!(matches!(taken[39], Err(Reason::InFlight)));
    assert_eq!(host.send_request(others[39], READ), Err(Reason::InFlight));
    // Known clients connect, while no other connection has been idle for long.
    let known: Vec<ConnId> = (0..10).map(|i| host.connect(&format!("10.9.0.{i}"), false).unwrap()).collect();
    let got = known.iter().filter(|c| host.send_request(**c, READ).is_ok()).count();
    assert_eq!(got, 5, "their slots are reclaimed");
    assert_eq!(host.limits.in_flight(), (20, 5));
    assert!(host.connect("10.9.1.1", true).is_err(), "beyond the reserve a known client has no preference");
    assert!(host.connect("192.0.2.99", true).is_err());
    let still = others.iter().filter(|c| host.open.get(c).is_some_and(|pending| !pending.is_empty())).count();
    assert_eq!(still, 15, "no request without a lent slot was closed or refused");
}

#[test]
fn known_clients_within_the_reserve_are_not_evicted_for_others() {
    let settings = "[known]\nprefixes = ['10.9.0.0/16']\nconnections = 3";
    let mut host = Host::new(settings, 10, 20);
    let known: Vec<ConnId> = (0..4).map(|i| host.connect(&format!("10.9.0.{i}"), false).unwrap()).collect();
    let open_count = |host: &Host| known.iter().filter(|c| host.open.contains_key(c)).count();
    for i in 0..200 {
        host.advance(5);
        let _ = host.connect(&format!("192.0.2.{i}"), true);
    }
    assert_eq!(open_count(&host), 3, "the fourth is beyond the reserve");
}

#[test]
fn a_reload_with_smaller_limits_drops_no_request_in_flight() {
    let mut host = Host::new("", 30, 30);
    let conns: Vec<ConnId> = (0..30).map(|i| host.connect(&format!("192.0.2.{i}"), true).unwrap()).collect();
    let tickets: Vec<Ticket> = conns.iter().take(20).map(|c| host.send_request(*c, READ).unwrap()).collect();
    let smaller: Settings = toml::from_str("[caps]\nconnections = 10\nin_flight = 8").unwrap();
    host.limits.reload(host.now, smaller).unwrap();
    host.advance(300);
    assert_eq!(
        (host.limits.held().0, host.limits.in_flight().0),
        (20, 20),
        "only idle connections were closed"
    );
    assert!(matches!(host.send_request(conns[0], READ), Err(Reason::InFlight)));
    for (i, ticket) in tickets.into_iter().enumerate() {
        host.answer(ticket, true);
        host.advance(5);
        assert_eq!(host.limits.in_flight().0, 19 - i);
    }
    host.advance(200);
    assert_eq!(host.limits.held().0, 10, "the number shrinks as requests end");
    let bad: Settings = toml::from_str("[keep]\nsilent_close_ms = 0").unwrap();
    assert!(host.limits.reload(host.now, bad).is_err());
    assert_eq!(host.limits.settings.caps.connections, 10, "invalid settings change nothing");
}

#[test]
fn a_stopping_node_closes_no_used_connection_for_being_idle() {
    let mut host = Host::new("", 20, 20);
    let conns: Vec<ConnId> = (0..19).map(|i| host.connect(&format!("192.0.2.{i}"), true).unwrap()).collect();
    conns.iter().for_each(|c| host.use_once(*c));
    host.limits.set_stopping();
    let silent = host.connect("198.51.100.1", false).unwrap();
    host.advance(5000);
    assert_eq!(host.closed, [(silent, Reason::Silent)]);
    assert_eq!(host.limits.held().0, 19);
}

#[test]
fn descriptor_shortage_uses_the_spare_and_leaves_descriptors_for_members() {
    let mut host = Host::new("", 100, 100);
    let conns: Vec<ConnId> = (0..50).map(|i| host.connect(&format!("192.0.2.{i}"), true).unwrap()).collect();
    conns.iter().take(20).for_each(|c| host.send_request(*c, READ).map(|_| ()).unwrap());
    assert!(
        matches!(host.limits.on_descriptor_shortage(host.now, true), Shortage::Pause { .. }),
        "there is no spare"
    );
    host.limits.set_spare_descriptor(true);
    assert!(matches!(host.limits.on_descriptor_shortage(host.now, true), Shortage::UseSpare { .. }));
    assert!(
        matches!(host.limits.on_descriptor_shortage(host.now, false), Shortage::Pause { .. }),
        "ENFILE: the spare is kept"
    );
    host.advance(150);
    assert_eq!(host.limits.held().0, 46, "idle connections are closed, so that members get descriptors");
    host.advance(1);
    assert!(host.connect("198.51.100.1", true).is_ok(), "a connection with input evicts an idle one");
    assert_eq!(host.limits.held().0, 46);
    for _ in 0..60 {
        host.advance(500);
        host.limits.set_resources(host.now, &host.limits.resources.clone());
    }
    assert_eq!(host.limits.max_connections(), 100, "the limit is back at the configured one");
}

/// A connection that waits in the accept queue must be refused by the shortest latency target at the latest:
/// a later refusal finds its client gone.
#[test]
fn connections_that_wait_for_a_slot_are_refused_in_time() {
    for (latency_target, refused_at) in [(0, 500_000), (750_000, 500_000), (150_000, 150_000)] {
        let mut host = Host::new("", 2, 10);
        let resources = Resources { latency_target, ..host.limits.resources };
        host.limits.set_resources(host.now, &resources);
        for i in 0..2 {
            let conn = host.connect(&format!("192.0.2.{i}"), true).unwrap();
            host.send_request(conn, READ).unwrap();
        }
        let mut waited = 0;
        while let Accepting::Pause { until } = host.limits.accepting(host.now) {
            assert!(until > host.now && until <= host.now + ACCEPT_RETRY);
            host.now = until;
            waited += 1;
            assert!(waited < 100);
        }
        assert_eq!(host.now, refused_at);
        let verdict = host.limits.on_accepted(host.now, "192.0.2.7".parse().unwrap(), true);
        assert!(
            matches!(verdict, Verdict::Refuse { why: Reason::Full, retry_ms: Some(50..) }),
            "{verdict:?}"
        );
    }
}

#[test]
fn a_victim_with_late_input_stays_and_another_is_evicted() {
    let mut host = Host::new("", 2, 10);
    let (first, second) =
        (host.connect("192.0.2.1", false).unwrap(), host.connect("192.0.2.2", false).unwrap());
    host.advance(200);
    let verdict = host.limits.on_accepted(host.now, "192.0.2.3".parse().unwrap(), true);
    assert_eq!(verdict, Verdict::KeepAndClose { conn: ConnId(2), victim: first });
    assert_eq!(host.limits.replace_victim(host.now, ConnId(2), first), Some(second));
    assert_eq!(
        host.limits.replace_victim(host.now, ConnId(2), second),
        None,
        "both have input: the new connection is removed"
    );
    assert_eq!(host.limits.held().0, 2);
    assert_eq!(host.limits.table.audit(), Ok(()));
}

/// A restarted node's connection limit is taken at once by all clients that had waited for it, each of which
/// sends one request and keeps its connection. Without learnt times no other client got a connection for 0.3
/// s.
#[test]
fn a_fresh_node_closes_connections_early_before_it_has_learnt_anything() {
    // `taken` clients send a request at once, and are answered one after another. Gives the number of
    // connections closed by 0.2 s.
    let closed_of = |taken: usize| {
        let mut host = Host::new("", 400, 400);
        let resources = Resources { clients_room: 128, ..host.limits.resources };
        host.limits.set_resources(0, &resources);
        let send = |i| {
            let conn = host.connect(&format!("192.0.2.{i}"), true).unwrap();
            host.send_request(conn, READ).unwrap()
        };
        let tickets: Vec<Ticket> = (0..taken).map(send).collect();
        for some in tickets.chunks(8) {
            some.iter().for_each(|ticket| host.answer(*ticket, true));
            host.advance(12);
        }
        host.advance((200 - host.now / 1000).max(0));
        host.closed.len()
    };
    let closed = closed_of(128);
    assert!((10..=60).contains(&closed), "some, and not all: {closed}");
    assert_eq!(closed_of(64), 0, "below the limit the time in the settings applies");
}

/// Sends twice the load that the node can serve: ten requests at a time take 0.1 s each, in order. Gives the
/// share of the node's capacity that was answered within 0.5 s.
fn overloaded_goodput(settings: &str) -> f64 {
    let mut host = Host::new(settings, 100_000, 20_000);
    let (mut waiting, mut worked) = (std::collections::VecDeque::new(), Vec::new());
    let mut served = 0;
    for step in 0..6_000_i64 {
        host.now = step * 5_000;
        for (ticket, began, _) in
            worked.extract_if(.., |(_, _, until)| *until <= host.now).collect::<Vec<_>>()
        {
            let in_time = host.now - began <= 500_000;
            served += usize::from(in_time);
            host.answer(ticket, in_time);
        }
        let conn = host.connect("192.0.2.1", true).unwrap();
        match host.send_request(conn, READ) {
            Ok(ticket) => waiting.push_back((ticket, host.now)),
            Err(_) => host.close(conn, Reason::InFlight),
        }
        while worked.len() < 10
            && let Some((ticket, began)) = waiting.pop_front()
        {
            worked.push((ticket, began, host.now + 100_000));
        }
    }
    served as f64 / 3_000.0
}

#[test]
fn the_adaptive_limit_keeps_answers_in_time_under_overload() {
    let (fixed, adaptive) = (overloaded_goodput(""), overloaded_goodput("[overload]\nfollow = true"));
    assert!(adaptive > 0.8 && fixed < 0.2, "{adaptive} of capacity, {fixed} with the fixed limit");
}
