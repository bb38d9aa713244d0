//! The order of things within one turn.

use lapisrudder_codec::memcache::{OwnedRequest, RequestParts};
use lapisrudder_decisions::{Class, Key, Listed, Mode, RequestId, Scope, ServerId, Settings};
use lapisrudder_engine::{Answer, Config, Engine, Final, Limits, Member, Order, Request, TakeError};

fn engine() -> Engine {
    let class = Class { aim: 750_000, worth: 1.0, ..Class::default() };
    let settings = Settings {
        classes: vec![class],
        mode: Mode::Aside,
        max_attempts: 3,
        siblings: 1,
        second_copies: true,
        ..Settings::default()
    };
    let mut engine = Engine::new(Config { settings, ..Config::default() }, 0);
    let listed = Listed { server: ServerId(7), weight: 1.0, ..Listed::default() };
    engine.listed(Scope::Full, vec![Member { listed, endpoint: ([127, 0, 0, 1], 1).into() }]);
    engine
}

fn request(id: &str, write: bool) -> Request {
    let value = write.then_some(&b"v"[..]);
    let parts = RequestParts {
        key: b"k",
        id: id.as_bytes(),
        class: b"r",
        wait_ms: 900,
        value,
        ..RequestParts::default()
    };
    let command = OwnedRequest::compose(&parts).unwrap();
    Request::new(command, Key(1), 0, 900_000)
}

#[test]
fn nothing_is_written_before_all_that_came_was_decided_on() {
    let mut engine = engine();
    engine.take(0, RequestId(1), request("a", false)).unwrap();
    let Some(Order::Connect { conn, .. }) = engine.poll_order(0) else { panic!() };
    engine.connected(0, conn);
    // There is no origin: the second is refused at once.
    engine.take(0, RequestId(2), request("b", true)).unwrap();
    let refused = Order::Answer { transaction: RequestId(2), answer: Final::Refused { retry_in: None } };
    assert_eq!(engine.poll_order(0), Some(refused));
    assert_eq!(engine.poll_order(0), Some(Order::Write { conn, look: true }));
}

#[test]
fn what_cannot_be_a_transaction_is_told_apart_and_owes_nothing() {
    let mut engine = engine();
    engine.take(0, RequestId(1), request("a", false)).unwrap();
    let other_class = Request { class: 1, ..request("b", false) };
    assert_eq!(engine.take(0, RequestId(2), request("a", false)), Err(TakeError::IdInUse));
    assert_eq!(engine.take(0, RequestId(2), other_class), Err(TakeError::UnknownClass));
    assert_eq!(engine.take(0, RequestId(1), request("b", false)), Err(TakeError::NumberInUse));
    assert_eq!(engine.open(), 1);
    assert!(engine.left(0, RequestId(1)) && !engine.left(0, RequestId(1)) && !engine.left(0, RequestId(9)));
    while engine.poll_order(0).is_some() {}
    assert!(!engine.is_named(b"a") && engine.open() == 0);
}

#[test]
fn what_is_told_of_a_connection_that_there_is_not_is_passed_over() {
    let mut engine = engine();
    let mut none = |_: RequestId, _: &Request, _: Answer| panic!("an answer");
    let conn = lapisrudder_engine::Conn(9);
    engine.connected(0, conn);
    engine.writable(conn);
    engine.transmitted(conn, 9);
    assert!(!engine.received(0, conn, b"EN\r\n", &mut none));
    engine.ended(0, conn, &mut none);
    engine.broken(0, conn);
    // Nor can anything come on one that is not up.
    engine.take(0, RequestId(1), request("a", false)).unwrap();
    let Some(Order::Connect { conn, .. }) = engine.poll_order(0) else { panic!() };
    assert!(!engine.received(0, conn, b"VA 1 Oa\r\nv\r\n", &mut none));
    assert_eq!((engine.poll_order(0), engine.open(), engine.connections()), (None, 1, 1));
}

/// Danger: the second copy of an answer, some milliseconds late, cost who asked next its connection, and counted as a break.
#[test]
fn the_second_copy_of_an_answer_that_names_its_request_costs_the_next_one_nothing() {
    let mut engine = engine();
    let mut served = Vec::new();
    let mut answers = |id: RequestId, _: &Request, answer: Answer| served.push((id.0, format!("{answer:?}")));
    let mut conn = None;
    for (n, id) in [(1, "a"), (2, "b")] {
        engine.take(0, RequestId(n), request(id, false)).unwrap();
        while let Some(order) = engine.poll_order(0) {
            match order {
                Order::Connect { conn: new, .. } => {
                    engine.connected(0, new);
                    assert_eq!(conn.replace(new), None, "one connection does for both");
                }
                Order::Write { conn, .. } => {
                    let bytes = engine.transmit(conn).map(<[u8]>::len).sum();
                    engine.transmitted(conn, bytes);
                }
                other => panic!("{other:?}"),
            }
        }
        let conn = conn.unwrap();
        // Twice, the second in two pieces behind the next request.
        let pieces: &[&[u8]] = if n == 1 {
            &[b"VA 1 Oa h1\r\nx\r\n"]
        } else {
            &[b"VA 1 Oa h1\r\n", b"x\r\nVA 1 Ob h1\r\ny\r\n"]
        };
        pieces.iter().for_each(|piece| assert!(engine.received(0, conn, piece, &mut answers), "{n}"));
    }
    let value = |value: &[u8]| format!("{:?}", Answer::Value(value));
    assert_eq!(served, [(1, value(b"x")), (2, value(b"y"))]);
}

/// Danger: a large value that its host does not want was read past, and counted as ended: another attempt went out beside it.
#[test]
fn what_is_not_wanted_is_not_out_any_more_when_the_next_attempt_goes() {
    let class = Class { aim: 750_000, worth: 1.0, ..Class::default() };
    let settings = Settings { classes: vec![class], max_attempts: 3, siblings: 1, ..Settings::default() };
    let limits = Limits { per_member: 1, multiplex: 4, in_all: 9, ..Limits::default() };
    let mut engine = Engine::new(Config { settings, limits, ..Config::default() }, 0);
    let member = |id: u64| {
        let listed = Listed { server: ServerId(id), weight: 1.0, ..Listed::default() };
        Member { listed, endpoint: ([127, 0, 0, 1], id as u16).into() }
    };
    engine.listed(Scope::Full, vec![member(1), member(2)]);
    // Two share a connection, which the second would keep open.
    (1..).zip(["a", "b"]).for_each(|(n, id)| engine.take(0, RequestId(n), request(id, false)).unwrap());
    let mut orders = Vec::new();
    while let Some(order) = engine.poll_order(0) {
        match order {
            Order::Connect { conn, .. } => engine.connected(0, conn),
            Order::Write { conn, .. } => {
                let bytes = engine.transmit(conn).map(<[u8]>::len).sum();
                engine.transmitted(conn, bytes);
            }
            _ => {}
        }
        orders.push(order);
    }
    let [Order::Connect { conn, .. }, Order::Write { .. }] = orders[..] else { panic!("{orders:?}") };
    let mut unwanted = |_: RequestId, _: &Request, answer: Answer| panic!("{answer:?}");
    assert!(!engine.received(1, conn, b"VA 100000 Oa h1\r\n", &mut unwanted));
    assert_eq!(engine.poll_order(1), Some(Order::Close { conn }));
}

/// Engines may be moved between threads.
#[test]
fn an_engine_is_send() {
    fn send<T: Send>(_: &T) {}
    send(&engine());
}

/// Guards against: an attempt began for a request that the host had ended without telling the engine, since the permit to begin
/// asked the engine's own record alone.
#[test]
fn no_attempt_begins_for_which_the_host_has_no_open_request() {
    let mut engine = engine();
    engine.take(0, RequestId(1), request("a", false)).unwrap();
    engine.take(0, RequestId(2), request("b", false)).unwrap();
    let mut written = String::new();
    let mut told = Vec::new();
    while let Some(order) = engine.poll_order(0) {
        match order {
            Order::Connect { conn, .. } => engine.connected(0, conn),
            Order::Write { conn, .. } => {
                engine.check_write(0, conn, |id| id != RequestId(1));
                let bytes: Vec<u8> = engine.transmit(conn).flatten().copied().collect();
                engine.transmitted(conn, bytes.len());
                written += &String::from_utf8_lossy(&bytes);
            }
            other => told.push(other),
        }
    }
    assert!(written.contains("Ob ") && !written.contains("Oa "), "{written}");
    assert!(engine.denied() > 0);
    assert!(engine.is_open(RequestId(1)) || !told.is_empty(), "the engine's own record is its own matter");
    assert_eq!(engine.violations().total(), 0);
}

/// Guards against: an attempt that was half written when its request ended was written to its end, where another waited on the
/// same connection or the settings allow no cancel, and ran.
#[test]
fn what_is_half_written_when_its_request_ends_is_broken_off() {
    let class = Class { aim: 750_000, worth: 1.0, ..Class::default() };
    let settings = Settings { classes: vec![class], max_attempts: 1, siblings: 1, ..Settings::default() };
    let limits = Limits { per_member: 1, multiplex: 4, in_all: 9, ..Limits::default() };
    let mut engine = Engine::new(Config { settings, limits, ..Config::default() }, 0);
    let listed = Listed { server: ServerId(7), weight: 1.0, ..Listed::default() };
    engine.listed(Scope::Full, vec![Member { listed, endpoint: ([127, 0, 0, 1], 1).into() }]);
    (1..).zip(["a", "b"]).for_each(|(n, id)| engine.take(0, RequestId(n), request(id, false)).unwrap());
    let mut on = None;
    while let Some(order) = engine.poll_order(0) {
        match order {
            Order::Connect { conn, .. } => engine.connected(0, conn),
            // The socket takes a part of the first.
            Order::Write { conn, .. } if on.replace(conn).is_none() => engine.transmitted(conn, 5),
            other => panic!("{other:?}"),
        }
    }
    let conn = on.unwrap();
    let bytes: Vec<u8> = engine.transmit(conn).flatten().copied().collect();
    let first = if String::from_utf8_lossy(&bytes).contains("Oa ") { RequestId(1) } else { RequestId(2) };
    assert!(engine.left(1, first));
    assert_eq!(engine.poll_order(1), Some(Order::Close { conn }), "the rest of it never goes out");
    assert!(engine.poll_order(1).is_some(), "the other goes on elsewhere");
}
