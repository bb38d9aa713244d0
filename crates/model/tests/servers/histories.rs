//! Random histories: no request is lost, answers keep their order, the counters add up, no slot is free while
//! a request waits, and neither a second run nor a caller that polls late changes the result.

use std::collections::{BTreeMap, VecDeque};

use lapisrudder_model::origin::Origin;
use lapisrudder_model::server::*;
use lapisrudder_model::value::{IdempotencyKey, Key, Uid};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::harness::*;

/// The clients' view: for each open connection the unanswered requests, and whether no further answer can
/// come.
#[derive(Default)]
struct Sent {
    open: BTreeMap<u64, (VecDeque<u64>, bool)>,
    orders: Vec<Order>,
}

impl Sent {
    /// Checks an order against what was sent.
    fn check(&mut self, now: i64, order: Order) {
        assert!(
            order.at <= now && self.orders.last().is_none_or(|last| last.at <= order.at),
            "{order:?} at {now}"
        );
        match order.act {
            Act::Answer(answered) => {
                let (waiting, stuck) = self.open.get_mut(&answered.conn.0).expect("an open connection");
                assert!(!*stuck, "{order:?} after a missing or corrupt answer on its connection");
                assert_eq!(waiting.pop_front(), Some(answered.request.0), "out of order, or twice");
                *stuck = answered.answer == Answer::Nothing || answered.noise.is_some_and(Noise::spoils);
            }
            Act::Close(ConnId(conn), _) => {
                assert!(self.open.remove(&conn).is_some(), "{order:?}: closed twice, or never open");
            }
            Act::Accepted(ConnId(conn)) => {
                assert!(self.open.insert(conn, Default::default()).is_none(), "{order:?}");
            }
            _ => {}
        }
        self.orders.push(order);
    }
}

#[derive(Debug, Clone)]
enum Step {
    Wait(i64),
    Connect,
    Hangup(usize),
    Ask { conn: usize, key: u64, work: f64, left_us: Option<i64>, keyed: Option<u64> },
    Notify(Event),
    Pause(i64),
    Fault(Fault),
}

/// Runs the steps, then lets the server finish. `lazy`: orders are polled only when an event happens.
fn run_steps<K: Storage>(
    server: Server<K>,
    machine: &Machine,
    steps: &[Step],
    lazy: bool,
) -> (Vec<Order>, ServerStats) {
    let mut rig = Rig { server, now: 0 };
    let (mut sent, mut now) = (Sent::default(), 0);
    for (id, step) in steps.iter().enumerate() {
        let id = id as u64;
        if lazy && !matches!(step, Step::Wait(_)) {
            rig.now = now;
            rig.drain().into_iter().for_each(|order| sent.check(now, order));
        }
        let conns: Vec<u64> = sent.open.keys().copied().collect();
        let pick = |at: usize| conns.get(at % conns.len().max(1)).copied();
        let event = match step.clone() {
            Step::Wait(gap) => {
                now += gap;
                if !lazy {
                    rig.run_to(now).into_iter().for_each(|order| sent.check(now, order));
                }
                continue;
            }
            Step::Connect => Event::Connect(ConnId(id)),
            Step::Hangup(at) => match pick(at) {
                Some(conn) => Event::Hangup(ConnId(conn)),
                None => continue,
            },
            Step::Ask { conn, key, work, left_us, keyed } => {
                let Some(conn) = pick(conn) else { continue };
                let kind = if keyed.is_some() { Kind::Write } else { Kind::Read };
                let keyed = keyed.map(IdempotencyKey);
                Event::Request(Request { kind, keyed, left_us, size: 100, ..read(conn, id, key, work) })
            }
            Step::Notify(event) => event,
            Step::Pause(length) => Event::Fault(Fault::Pause { until: now + length }),
            Step::Fault(fault) => Event::Fault(fault),
        };
        match event {
            Event::Hangup(ConnId(conn)) => _ = sent.open.remove(&conn),
            Event::Request(request) => match sent.open.get_mut(&request.conn.0) {
                Some((waiting, _)) => waiting.push_back(request.id.0),
                None => continue,
            },
            Event::Fault(Fault::Kill { silent: true }) => sent.open.clear(),
            _ => {}
        }
        rig.server.handle(now, event);
        rig.now = now;
        rig.drain().into_iter().for_each(|order| sent.check(now, order));
        let stats = rig.server.stats(now);
        assert!(stats.in_work <= machine.slots && stats.waiting <= machine.waiting_room);
        assert!(stats.connections <= machine.connections.cap);
        let paused = rig.server.paused_until().is_some();
        assert!(
            paused || stats.waiting == 0 || stats.in_work == machine.slots,
            "a slot is free while a request waits"
        );
        let ended = stats.answered + stats.client_gone + stats.dropped + stats.lost;
        assert_eq!(stats.requests, ended + u64::from(stats.held), "{stats:?}");
    }
    rig.server.handle(now, Event::Fault(Fault::Slow(1.0)));
    rig.run_to(now + 3_000_000).into_iter().for_each(|order| sent.check(i64::MAX, order));
    for (conn, (waiting, stuck)) in &sent.open {
        assert!(*stuck || waiting.is_empty(), "{waiting:?} on {conn} without an answer");
    }
    (sent.orders, rig.server.stats(rig.now))
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let left = prop::option::weighted(0.3, 0..300i64);
    let keyed = prop::option::weighted(0.2, 0..4u64);
    let ask = (0..9usize, 0..6u64, 0.0..150.0, left, keyed);
    let ask = ask.prop_map(|(conn, key, work, left_us, keyed)| Step::Ask { conn, key, work, left_us, keyed });
    let fill = (0..6u64, 0..3u64).prop_map(|(k, version)| Event::Fill { key: Key(k), version, size: 100 });
    let notify = prop_oneof![
        4 => fill,
        1 => (0..6u64, 0..3u64).prop_map(|(k, version)| Event::Invalidate { key: Key(k), version }),
        1 => (0..6u64).prop_map(|k| Event::Change(Key(k))),
    ];
    let kinds = || (0..Noise::ALL.len()).prop_map(|n| [Noise::ALL[n]].into_iter().collect::<NoiseSet>());
    let fault = prop_oneof![
        2 => (0.0..2.0).prop_map(Fault::Slow),
        1 => (0.0..0.5).prop_map(Fault::Fail),
        1 => (0.0..0.2).prop_map(Fault::Swallow),
        1 => (0.0..0.3, kinds()).prop_map(|(share, kinds)| Fault::Spoil { share, kinds }),
        1 => any::<bool>().prop_map(Fault::FullTable),
        1 => Just(Fault::Drain),
        1 => any::<bool>().prop_map(|silent| Fault::Kill { silent }),
        3 => prop::option::of(0..9u64).prop_map(|uid| Fault::Restart { uid: uid.map(Uid) }),
        1 => (0.0..1.0).prop_map(|share| Fault::Flush { share, salt: 1 }),
    ];
    let step = prop_oneof![
        20 => (0..200i64).prop_map(Step::Wait),
        1 => (0..5000i64).prop_map(Step::Wait),
        8 => Just(Step::Connect),
        2 => (0..9usize).prop_map(Step::Hangup),
        30 => ask,
        3 => notify.prop_map(Step::Notify),
        1 => (0..400i64).prop_map(Step::Pause),
        1 => fault.prop_map(Step::Fault),
    ];
    prop::collection::vec(step, 0..250)
}

fn machine() -> impl Strategy<Value = Machine> {
    let abandoned = prop::sample::select(vec![Abandoned::GoesOn, Abandoned::DropWaiting, Abandoned::Drop]);
    let close = prop::sample::select(vec![CloseKind::Fin, CloseKind::Rst]);
    let some = |most: f64| prop_oneof![Just(0.0), 0.0..most];
    let connections = (1..6u32, any::<bool>(), some(0.9), some(50.0), 0..40i64, 1..4u32)
        .prop_flat_map(move |set| (Just(set), prop::option::of(1..900i64), close.clone()))
        .prop_map(|((cap, ignore_beyond, full_loss, handshake, wait, at_once), idle_us, idle_close)| {
            let (handshake_work_us, handshake_wait_us) = (handshake, wait);
            Connections {
                cap,
                ignore_beyond,
                full_loss,
                handshake_work_us,
                handshake_wait_us,
                at_once,
                idle_us,
                idle_close,
            }
        });
    let pauses = Pauses { every: Dist::Exp(2000.0), length: Dist::Exp(200.0), grow: 0.5 };
    let switches = (any::<bool>(), any::<bool>(), prop::option::weighted(0.2, Just(pauses)), some(0.5));
    (1..4u32, 1..5u32, 0..5u32, some(40.0), abandoned, connections, switches).prop_map(
        |(cores, slots, waiting_room, busy_work_us, abandoned, connections, switches)| {
            let (drops_expired, drain_closes_idle, pauses, loss) = switches;
            let choke = ConcurrencyPenalty { at: 1.0, loss };
            Machine {
                cores,
                slots,
                waiting_room,
                choke,
                busy_work_us,
                abandoned,
                drops_expired,
                pauses,
                connections,
                attempt_cv: loss,
                drain_closes_idle,
                ..Machine::default()
            }
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(8),
        ..ProptestConfig::default()
    })]

    #[test]
    fn cache_servers_lose_no_request(machine in machine(), steps in steps(), carry_out: bool, cold: bool) {
        let tip = Some(OverloadThreshold { multiple: 3.0, window_us: 500 });
        let warm_up = WarmUp { start: 0.2, full_after_us: 5000, full_after_work_us: Some(2000.0), tip };
        let writes = if carry_out { Writes::CarryOut } else { Writes::Miss };
        let config = CacheConfig { machine, warm_up, memory: 500, writes, ..CacheConfig::default() };
        let server = CacheServer::new(&config, Uid(1), 7, !cold, 0).unwrap();
        let first = run_steps(server.clone(), &config.machine, &steps, false);
        prop_assert_eq!(&first, &run_steps(server.clone(), &config.machine, &steps, false), "a second run");
        prop_assert_eq!(&first.0, &run_steps(server, &config.machine, &steps, true).0, "a late caller");
    }

    #[test]
    fn origins_lose_no_request(machine in machine(), steps in steps(), resets: bool) {
        let tip = OverloadThreshold { multiple: 2.0, window_us: 500 };
        let overdriven = Some(OverloadOutage { tip, down: Dist::Exp(300.0), resets, most: 3 });
        let config = OriginConfig { machine, overdriven, ..OriginConfig::default() };
        let server = Origin::new(&config, Uid(1), 7, 0).unwrap();
        let first = run_steps(server.clone(), &config.machine, &steps, false);
        prop_assert_eq!(&first.0, &run_steps(server, &config.machine, &steps, true).0, "a late caller");
    }
}
