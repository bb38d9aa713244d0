//! A write sent through two nodes under one idempotency key: it has one effect, and both get a correct
//! answer.

use crate::harness::*;
use crate::host::{FinalAnswer, Host, TestCall, TestClient};
use lapisrudder_lab::stand::{Books, Fault, OriginSpec, World};
use lapisrudder_model::server::{Class, Dist, OriginConfig};
use std::time::Duration;

/// A repeat window of the origin that does not end during a test.
const LONG_WINDOW: i64 = 600_000_000;

/// A cache server, and an origin that executes writes and drops repeats during this window.
fn world_with_origin(window_us: i64) -> World<Books> {
    let mut spec = spec(&["a"]);
    let class = Class { work: Dist::Fixed(200.0), keyed_window_us: window_us };
    let mut config = OriginConfig::default();
    config.machine.classes = vec![class; 2];
    spec.origin = Some(OriginSpec { uid: "o".into(), zone: 0, config });
    world(spec, ids(0))
}

/// Writes that the origin executed, and repeats that it dropped.
fn effects(world: &World<Books>) -> (u64, u64) {
    let books = world.control().look(server_no(world, "o")).unwrap();
    (books.effects, books.repeats)
}

fn receipt(answer: FinalAnswer) -> String {
    match answer {
        FinalAnswer::Receipt(receipt) => receipt,
        other => panic!("{other:?}"),
    }
}

pub fn inside_the_window_both_get_the_receipt_of_one_effect<A: Host, B: Host>() {
    let world = world_with_origin(LONG_WINDOW);
    let (here, there) = (A::start(&world), B::start(&world));
    let (mut first, mut second) = (here.client(), there.client());
    // First at the same time, then one after another.
    first.send(&TestCall::write("a1", "seat", "x", "key-1"));
    second.send(&TestCall::write("a2", "seat", "x", "key-1"));
    let (one, two) = (receipt(first.answer()), receipt(second.answer()));
    assert_eq!((&one, effects(&world)), (&two, (1, 1)));
    assert_eq!(receipt(first.call(&TestCall::write("a3", "seat", "x", "key-1"))), one);
    assert_ne!(receipt(second.call(&TestCall::write("a4", "seat", "x", "key-2"))), one, "another write");
    assert_eq!(effects(&world), (2, 2));
}

pub fn a_write_whose_answer_is_lost_gets_its_receipt_at_the_other_node<A: Host, B: Host>() {
    let world = world_with_origin(LONG_WINDOW);
    let (here, there) = (A::start(&world), B::start(&world));
    let (mut first, mut second) = (here.client(), there.client());
    let o = server_no(&world, "o");
    world.control().fault(o, Fault::Swallow(1.0)).unwrap();
    first.send(&TestCall { wait_ms: 400, ..TestCall::write("a1", "seat", "x", "key-1") });
    wait_until(|| effects(&world).0 == 1);
    assert_eq!(first.answer(), FinalAnswer::Failed, "it has run, so that it must not be refused");
    world.control().fault(o, Fault::Swallow(0.0)).unwrap();
    let receipt_there = receipt(second.call(&TestCall::write("a2", "seat", "x", "key-1")));
    assert_eq!(receipt(first.call(&TestCall::write("a3", "seat", "x", "key-1"))), receipt_there);
    assert_eq!(effects(&world).0, 1);
}

pub fn outside_the_window_each_write_has_an_effect_of_its_own<A: Host, B: Host>() {
    let world = world_with_origin(1);
    let (here, there) = (A::start(&world), B::start(&world));
    let (mut first, mut second) = (here.client(), there.client());
    let one = receipt(first.call(&TestCall::write("a1", "seat", "x", "key-1")));
    std::thread::sleep(Duration::from_millis(2));
    let two = receipt(second.call(&TestCall::write("a2", "seat", "x", "key-1")));
    assert_ne!(one, two, "the second write is not taken for the first");
    assert_eq!(effects(&world), (2, 0));
}
