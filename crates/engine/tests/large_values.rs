//! A large value that is being passed on is not given up because of other events of its transaction.

use lapisrudder_codec::memcache::{OwnedRequest, RequestParts};
use lapisrudder_decisions::{Class, Key, Listed, Micros, RequestId, Scope, ServerId, Settings};
use lapisrudder_engine::{Answer, Answers, Config, Conn, Engine, Member, Order, Request};

/// How much of a value was passed on, and whether it is complete.
#[derive(Default)]
struct Passed {
    bytes: usize,
    ended: bool,
}

impl Answers for Passed {
    fn served(&mut self, _: RequestId, _: &Request, answer: Answer<'_>) {
        panic!("{answer:?}");
    }

    fn begins(&mut self, _: RequestId, _: &Request, _: usize) -> bool {
        true
    }

    fn piece(&mut self, _: RequestId, bytes: &[u8]) -> bool {
        self.bytes += bytes.len();
        true
    }

    fn ends(&mut self, _: RequestId) {
        self.ended = true;
    }
}

/// Carries out all orders, and returns the connections that were written to.
fn iterate(engine: &mut Engine, now: Micros) -> Vec<Conn> {
    engine.wake(now);
    let mut written = Vec::new();
    while let Some(order) = engine.poll_order(now) {
        match order {
            Order::Connect { conn, .. } => engine.connected(now, conn),
            Order::Write { conn, .. } => {
                let bytes = engine.transmit(conn).map(<[u8]>::len).sum();
                engine.transmitted(conn, bytes);
                written.push(conn);
            }
            Order::Watch => {}
            Order::Break { .. } | Order::Close { .. } | Order::Answer { .. } => panic!("{order:?}"),
        }
    }
    written
}

#[test]
fn the_end_of_another_attempt_does_not_cancel_the_value_being_passed_on() {
    let class = Class { latency_target: 400_000, worth: 1.0, ..Class::default() };
    let settings = Settings {
        classes: vec![class],
        max_attempts: 3,
        siblings: 1,
        second_copies: true,
        may_cancel: true,
        ..Settings::default()
    };
    let mut engine = Engine::new(Config { settings, ..Config::default() }, 0);
    let member = |id: u64| {
        let listed = Listed { server: ServerId(id), weight: 1.0, ..Listed::default() };
        Member { listed, endpoint: ([127, 0, 0, 1], id as u16).into() }
    };
    engine.listed(Scope::Full, vec![member(1), member(2)]);
    let parts =
        RequestParts { key: b"k", id: b"a1", class: b"read", wait_ms: 9000, ..RequestParts::default() };
    let command = OwnedRequest::compose(&parts).unwrap();
    let request = Request::new(command, Key(1), 0, 9_000_000);
    engine.take(10, RequestId(1), request).unwrap();
    let first = iterate(&mut engine, 10)[0];
    // The first server stays silent, so that a copy goes to the other one, which has the value.
    let second = (1..100).find_map(|n| iterate(&mut engine, n * 10_000).first().copied()).expect("a copy");
    assert_ne!(first, second);
    let mut passed = Passed::default();
    assert!(engine.received(1_000_000, second, b"VA 100000 Oa1 h1\r\nab", &mut passed));
    iterate(&mut engine, 1_000_000);
    engine.received(1_100_000, first, b"EN Oa1 h0\r\n", &mut passed);
    iterate(&mut engine, 1_100_000);
    // After the deadline of the request, too.
    iterate(&mut engine, 9_500_000);
    assert!(engine.received(9_500_000, second, &[b'x'; 99_998], &mut passed));
    assert!(engine.received(9_500_000, second, b"\r\n", &mut passed));
    iterate(&mut engine, 9_500_000);
    assert!((passed.bytes, passed.ended) == (100_000, true), "{}", passed.bytes);
    assert_eq!((engine.open_count(), engine.flows()), (0, 0));
}
