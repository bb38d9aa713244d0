//! The order of events within one event-loop iteration.

use lapisrudder_codec::memcache::{OwnedRequest, RequestParts};
use lapisrudder_decisions::{Class, Effect, Key, Listed, Mode, RequestId, Scope, ServerId, Settings};
use lapisrudder_engine::{Answer, Config, Engine, Final, Limits, Member, Order, Request, TakeError};

fn engine() -> Engine {
    engine_of(Class { latency_target: 750_000, worth: 1.0, ..Class::default() }, false)
}

fn engine_of(class: Class, may_cancel: bool) -> Engine {
    let settings = Settings {
        classes: vec![class],
        mode: Mode::Aside,
        max_attempts: 3,
        siblings: 1,
        second_copies: true,
        may_cancel,
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
fn nothing_is_written_before_all_events_are_decided() {
    let mut engine = engine();
    engine.take(0, RequestId(1), request("a", false)).unwrap();
    let Some(Order::Connect { conn, .. }) = engine.poll_order(0) else { panic!() };
    engine.connected(0, conn);
    // There is no origin: the second request is refused at once.
    engine.take(0, RequestId(2), request("b", true)).unwrap();
    let refused = Order::Answer { transaction: RequestId(2), answer: Final::Refused { retry_in: None } };
    assert_eq!(engine.poll_order(0), Some(refused));
    assert_eq!(engine.poll_order(0), Some(Order::Write { conn, probe: true }));
}

#[test]
fn a_request_that_cannot_be_taken_gets_an_error_and_no_answer() {
    let mut engine = engine();
    engine.take(0, RequestId(1), request("a", false)).unwrap();
    let other_class = Request { class: 1, ..request("b", false) };
    assert_eq!(engine.take(0, RequestId(2), request("a", false)), Err(TakeError::IdInUse));
    assert_eq!(engine.take(0, RequestId(2), other_class), Err(TakeError::UnknownClass));
    assert_eq!(engine.take(0, RequestId(1), request("b", false)), Err(TakeError::NumberInUse));
    assert_eq!(engine.open_count(), 1);
    assert!(
        engine.client_left(0, RequestId(1))
            && !engine.client_left(0, RequestId(1))
            && !engine.client_left(0, RequestId(9))
    );
    while engine.poll_order(0).is_some() {}
    assert!(!engine.is_id_in_use(b"a") && engine.open_count() == 0);
}

#[test]
fn reports_on_unknown_connections_are_ignored() {
    let mut engine = engine();
    let mut none = |_: RequestId, _: &Request, _: Answer| panic!("an answer");
    let conn = lapisrudder_engine::Conn(9);
    engine.connected(0, conn);
    engine.writable(conn);
    engine.transmitted(conn, 9);
    assert!(!engine.received(0, conn, b"EN\r\n", &mut none));
    engine.ended(0, conn, &mut none);
    engine.broken(0, conn);
    // Nor can anything arrive on a connection that is not established.
    engine.take(0, RequestId(1), request("a", false)).unwrap();
    let Some(Order::Connect { conn, .. }) = engine.poll_order(0) else { panic!() };
    assert!(!engine.received(0, conn, b"VA 1 Oa\r\nv\r\n", &mut none));
    assert_eq!((engine.poll_order(0), engine.open_count(), engine.connections()), (None, 1, 1));
}

/// The second copy of an answer arrived some milliseconds late; it closed the connection under the next
/// request, which counted as broken.
#[test]
fn a_second_copy_of_an_answer_does_not_harm_the_next_request() {
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
                    assert_eq!(conn.replace(new), None, "one connection serves both");
                }
                Order::Write { conn, .. } => {
                    let bytes = engine.transmit(conn).map(<[u8]>::len).sum();
                    engine.transmitted(conn, bytes);
                }
                other => panic!("{other:?}"),
            }
        }
        let conn = conn.unwrap();
        // Twice; the second copy in two pieces, after the next request was sent.
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

/// A large value that the host did not want was read and dropped, but its flow counted as ended: the next
/// attempt was a second copy.
#[test]
fn an_unwanted_value_is_cancelled_before_the_next_attempt() {
    let class = Class { latency_target: 750_000, worth: 1.0, ..Class::default() };
    let settings = Settings { classes: vec![class], max_attempts: 3, siblings: 1, ..Settings::default() };
    let limits = Limits { per_member: 1, multiplex: 4, in_all: 9, ..Limits::default() };
    let mut engine = Engine::new(Config { settings, limits, ..Config::default() }, 0);
    let member = |id: u64| {
        let listed = Listed { server: ServerId(id), weight: 1.0, ..Listed::default() };
        Member { listed, endpoint: ([127, 0, 0, 1], id as u16).into() }
    };
    engine.listed(Scope::Full, vec![member(1), member(2)]);
    // Two flows share a connection, which the second one would keep open.
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

/// An attempt began for a request that the host had ended without reporting it to the engine, since only the
/// engine's own record was checked.
#[test]
fn no_attempt_begins_without_an_open_request_at_the_host() {
    let mut engine = engine();
    engine.take(0, RequestId(1), request("a", false)).unwrap();
    engine.take(0, RequestId(2), request("b", false)).unwrap();
    let mut written = String::new();
    let mut others = Vec::new();
    while let Some(order) = engine.poll_order(0) {
        match order {
            Order::Connect { conn, .. } => engine.connected(0, conn),
            Order::Write { conn, .. } => {
                engine.check_write(0, conn, |id| id != RequestId(1));
                let bytes: Vec<u8> = engine.transmit(conn).flatten().copied().collect();
                engine.transmitted(conn, bytes.len());
                written += &String::from_utf8_lossy(&bytes);
            }
            other => others.push(other),
        }
    }
    assert!(written.contains("Ob ") && !written.contains("Oa "), "{written}");
    assert!(engine.denied() > 0);
    assert!(engine.is_open(RequestId(1)) || !others.is_empty(), "the engine keeps its own record");
    assert_eq!(engine.violations().total(), 0);
}

/// An attempt that was half written when its request ended was written completely and ran, if another flow
/// waited on the same connection or the settings did not allow to cancel.
#[test]
fn a_half_written_attempt_is_cut_off_when_its_request_ends() {
    let class = Class { latency_target: 750_000, worth: 1.0, ..Class::default() };
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
            // The socket takes a part of the first flow.
            Order::Write { conn, .. } if on.replace(conn).is_none() => engine.transmitted(conn, 5),
            other => panic!("{other:?}"),
        }
    }
    let conn = on.unwrap();
    let bytes: Vec<u8> = engine.transmit(conn).flatten().copied().collect();
    let first = if String::from_utf8_lossy(&bytes).contains("Oa ") { RequestId(1) } else { RequestId(2) };
    assert!(engine.client_left(1, first));
    assert_eq!(engine.poll_order(1), Some(Order::Close { conn }), "the rest of it never goes out");
    assert!(engine.poll_order(1).is_some(), "the other goes on elsewhere");
}

/// Fails if the id of a request with an effect is free while a request that may have run could be taken again, or
/// if it is never free.
#[test]
fn the_id_of_a_request_that_may_have_run_is_kept_in_use_for_its_window() {
    const WINDOW: i64 = 2_000_000;
    for (effect, written, kept) in [
        (Effect::Unsafe, true, true),
        (Effect::Keyed, true, true),
        (Effect::Unsafe, false, false),
        (Effect::Safe, true, false),
    ] {
        let class =
            Class { effect, repeat_window: WINDOW, latency_target: 750_000, worth: 1.0, ..Class::default() };
        let mut engine = engine_of(class, true);
        engine.take(0, RequestId(1), request("a", false)).unwrap();
        let Some(Order::Connect { conn, .. }) = engine.poll_order(0) else { panic!() };
        engine.connected(0, conn);
        assert_eq!(engine.poll_order(0), Some(Order::Write { conn, probe: true }));
        if written {
            let bytes = engine.transmit(conn).map(<[u8]>::len).sum();
            engine.transmitted(conn, bytes);
        }
        assert!(engine.client_left(10, RequestId(1)));
        for (now, in_use) in [(10, kept), (9 + WINDOW, kept), (10 + WINDOW, false)] {
            engine.wake(now);
            while engine.poll_order(now).is_some() {}
            assert_eq!(engine.is_id_in_use(b"a"), in_use, "{effect:?}, written: {written}, at {now}");
        }
    }
}
