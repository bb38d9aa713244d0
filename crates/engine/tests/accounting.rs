//! The counts of the engine and of the decisions agree when nothing is left to do.

use lapisrudder_codec::memcache::{OwnedRequest, RequestParts};
use lapisrudder_decisions::{Class, Key, Listed, Mode, RequestId, Scope, ServerId, Settings};
use lapisrudder_engine::{Answer, Config, Engine, Member, Order, Request};

fn settings(origin_kind: u32) -> Settings {
    let class = Class { latency_target: 750_000, worth: 1.0, ..Class::default() };
    Settings {
        classes: vec![class],
        max_attempts: 3,
        siblings: 1,
        mode: Mode::Aside,
        origin_kind: Some(origin_kind),
        may_cancel: true,
        ..Settings::default()
    }
}

fn member(server: u64, kind: u32) -> Member {
    let listed = Listed { server: ServerId(server), kind, weight: 1.0, ..Listed::default() };
    Member { listed, endpoint: ([127, 0, 0, 1], 11200 + server as u16).into() }
}

fn engine() -> Engine {
    let mut engine = Engine::new(Config { settings: settings(1), ..Config::default() }, 0);
    engine.listed(Scope::Full, vec![member(7, 0), member(8, 1)]);
    engine
}

fn drain(engine: &mut Engine, now: i64) -> Vec<Order> {
    std::iter::from_fn(|| engine.poll_order(now)).collect()
}

fn read(engine: &mut Engine, now: i64, number: u64, key: u64) -> Vec<Order> {
    let id = format!("a{number}");
    let parts = RequestParts {
        key: b"k",
        id: id.as_bytes(),
        class: b"read",
        wait_ms: 900,
        ..RequestParts::default()
    };
    let command = OwnedRequest::compose(&parts).unwrap();
    let due = now + 900_000;
    let request = Request::new(command, Key(key), 0, due);
    engine.take(now, RequestId(number), request).unwrap();
    drain(engine, now)
}

/// After a miss the decisions sent the read to the origin. The engine had already dropped the transaction and
/// did not report the end of this attempt: it counted as in flight at the origin forever, and took a slot
/// there.
#[test]
fn a_client_that_leaves_in_the_iteration_of_a_miss_leaves_nothing_behind() {
    for left_first in [false, true] {
        let mut engine = engine();
        drain(&mut engine, 0);
        let orders = read(&mut engine, 10, 1, 12);
        let Some(Order::Connect { conn, .. }) = orders.first().cloned() else { panic!("{orders:?}") };
        engine.connected(300, conn);
        drain(&mut engine, 300);
        let bytes = engine.transmit(conn).map(<[u8]>::len).sum();
        engine.transmitted(conn, bytes);
        let mut no_answers = |_: RequestId, _: &Request, answer: Answer<'_>| panic!("{answer:?}");
        // In one iteration: the miss, and the client that leaves, in either order.
        if left_first {
            engine.client_left(800, RequestId(1));
        }
        engine.received(800, conn, b"EN Oa1 h0\r\n", &mut no_answers);
        engine.client_left(800, RequestId(1));
        drain(&mut engine, 800);
        let audit = engine.audit();
        assert_eq!(
            (audit.transactions, audit.client_ids, audit.flows, audit.open),
            (0, 0, 0, 0),
            "{audit:?}"
        );
        let decisions = audit.decisions;
        assert_eq!((decisions.requests, decisions.in_flight, decisions.load), (0, 0, 0.0), "{audit:?}");
        assert_eq!(decisions.origin_in_flight, 0.0, "{audit:?}");
    }
}

/// Connects that found no descriptor on this machine counted as failures of their member, and its keys were
/// sent elsewhere.
#[test]
fn a_member_is_not_suspect_for_a_shortage_at_the_host() {
    for own_shortage in [true, false] {
        let mut engine = engine();
        drain(&mut engine, 0);
        engine.listed(Scope::Changes, vec![member(9, 0)]);
        let Some(Order::Connect { conn, to: home }) = read(&mut engine, 10, 1, 12).first().cloned() else {
            panic!("no connect")
        };
        let fails = |engine: &mut Engine, now, conn| {
            if own_shortage { engine.not_opened(now, conn) } else { engine.broken(now, conn) }
        };
        fails(&mut engine, 20, conn);
        // It is tried at other members, where the connect fails too.
        for order in drain(&mut engine, 20) {
            if let Order::Connect { conn, .. } = order {
                fails(&mut engine, 20, conn);
            }
        }
        drain(&mut engine, 20);
        for number in 2..5 {
            let orders = read(&mut engine, 30, number, 12);
            let connects = orders.iter().filter_map(|o| match o {
                Order::Connect { conn, to } => Some((*conn, *to)),
                _ => None,
            });
            for (conn, to) in connects.collect::<Vec<_>>() {
                assert!(
                    !own_shortage || to == home,
                    "the key's own member is asked again, though not opened before"
                );
                fails(&mut engine, 30, conn);
            }
            drain(&mut engine, 30);
        }
        let asked = read(&mut engine, 40, 9, 12);
        let to = asked.iter().find_map(|o| match o {
            Order::Connect { to, .. } => Some(*to),
            _ => None,
        });
        assert_eq!(to == Some(home), own_shortage, "after as many failures of its own it is suspect");
        assert_eq!(engine.audit().decisions.load, engine.audit().decisions.in_flight as f64);
    }
}

/// After a reload the settings may number the kinds of members differently.
#[test]
fn the_origin_kind_is_that_of_the_current_settings() {
    let mut engine = engine();
    drain(&mut engine, 0);
    engine.reconfigure(settings(0), lapisrudder_engine::Limits::default(), &[]);
    engine.listed(Scope::Full, vec![member(7, 1), member(8, 0)]);
    drain(&mut engine, 5);
    for key in 0..20 {
        let orders = read(&mut engine, 10, key, key);
        assert!(
            orders.iter().all(|o| !matches!(o, Order::Connect { to, .. } if to.port() == 11208)),
            "a read goes to a cache server first, not to the origin: {orders:?}"
        );
    }
    let ban = lapisrudder_decisions::maintenance::Ban { name: "o".into(), since: 0 };
    assert!(engine.take_out(ServerId(8), ban.clone()).is_err(), "no other server can replace it");
    assert!(engine.take_out(ServerId(7), ban).is_ok());
}
