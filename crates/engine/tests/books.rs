//! The books of the engine and of the decisions agree when nothing is left to be done.

use lapisrudder_codec::memcache::{OwnedRequest, Parts};
use lapisrudder_decisions::{Class, Key, Listed, Mode, RequestId, Scope, ServerId, Settings};
use lapisrudder_engine::{Answer, Config, Engine, Member, Order, Request};

fn engine() -> Engine {
    let class = Class { aim: 750_000, worth: 1.0, ..Class::default() };
    let settings = Settings {
        classes: vec![class],
        max_attempts: 3,
        siblings: 1,
        mode: Mode::Aside,
        origin_kind: Some(1),
        may_cancel: true,
        ..Settings::default()
    };
    let mut engine = Engine::new(Config { settings, ..Config::default() }, 0);
    let member = |server, kind| Member {
        listed: Listed { server: ServerId(server), kind, weight: 1.0, ..Listed::default() },
        endpoint: ([127, 0, 0, 1], 11200 + server as u16).into(),
    };
    engine.listed(Scope::Full, vec![member(7, 0), member(8, 1)]);
    engine
}

fn drain(engine: &mut Engine, now: i64) -> Vec<Order> {
    std::iter::from_fn(|| engine.poll_order(now)).collect()
}

/// Found by the simulator: random day 3, at 16.9 s. The decisions sent the read that had missed on to the origin, and the
/// engine, which had forgotten the transaction by then, never told them that this attempt had ended: one more in flight
/// at the origin, and room for one less there, for good.
#[test]
fn a_client_that_leaves_in_the_turn_of_a_miss_leaves_nothing_behind() {
    for left_first in [false, true] {
        let mut engine = engine();
        drain(&mut engine, 0);
        let command = OwnedRequest::compose(&Parts {
            key: b"k",
            id: b"a1",
            class: b"read",
            wait_ms: 900,
            ..Parts::default()
        });
        let command = command.unwrap();
        let request =
            Request { command, key: Key(12), class: 0, tenant: 0, hint: None, repeated: false, due: 900_000 };
        engine.take(10, RequestId(1), request).unwrap();
        let orders = drain(&mut engine, 10);
        let Some(Order::Connect { conn, .. }) = orders.first().cloned() else { panic!("{orders:?}") };
        engine.connected(300, conn);
        drain(&mut engine, 300);
        let bytes = engine.transmit(conn).map(<[u8]>::len).sum();
        engine.transmitted(conn, bytes);
        let mut nobody = |_: RequestId, _: &Request, answer: Answer<'_>| panic!("{answer:?}");
        // One turn: the miss and the client's leave, in either order.
        if left_first {
            engine.left(800, RequestId(1));
        }
        engine.received(800, conn, b"EN Oa1 h0\r\n", &mut nobody);
        engine.left(800, RequestId(1));
        drain(&mut engine, 800);
        let books = engine.audit();
        assert_eq!((books.transactions, books.names, books.flows, books.open), (0, 0, 0, 0), "{books:?}");
        let decisions = books.decisions;
        assert_eq!((decisions.requests, decisions.out, decisions.load), (0, 0, 0.0), "{books:?}");
        assert_eq!(decisions.origin_out, 0.0, "{books:?}");
    }
}
