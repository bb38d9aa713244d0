//! A booking sent from two places under one idempotency key: one effect, and a true answer for both.

use crate::harness::*;
use crate::host::{Ask, Caller, Host, Said};
use lapisrudder_lab::stand::{Books, Fault, OriginSpec, World};
use lapisrudder_model::server::{Class, Dist, OriginConfig};
use std::time::Duration;

/// How long the origin drops repeats here, at first and when it is to forget soon.
const LONG: i64 = 600_000_000;

/// A cache server and an origin that carries out writes, which drops repeats for this long.
fn bookings(window_us: i64) -> World<Books> {
    let mut spec = spec(&["a"]);
    let class = Class { work: Dist::Fixed(200.0), keyed_window_us: window_us };
    let mut config = OriginConfig::default();
    config.machine.classes = vec![class; 2];
    spec.origin = Some(OriginSpec { uid: "o".into(), zone: 0, config });
    world(spec, ids(0))
}

/// Writes that the origin carried out, and repeats that it dropped.
fn effects(world: &World<Books>) -> (u64, u64) {
    let books = world.control().look(server_no(world, "o")).unwrap();
    (books.effects, books.repeats)
}

fn receipt(said: Said) -> String {
    match said {
        Said::Receipt(receipt) => receipt,
        other => panic!("{other:?}"),
    }
}

pub fn in_the_window_both_get_the_receipt_of_the_one_effect<A: Host, B: Host>() {
    let world = bookings(LONG);
    let (here, there) = (A::start(&world), B::start(&world));
    let (mut first, mut second) = (here.caller(), there.caller());
    // At the same time, and one after another.
    first.send(&Ask::book("a1", "seat", "x", "key-1"));
    second.send(&Ask::book("a2", "seat", "x", "key-1"));
    let (one, two) = (receipt(first.answer()), receipt(second.answer()));
    assert_eq!((&one, effects(&world)), (&two, (1, 1)));
    assert_eq!(receipt(first.ask(&Ask::book("a3", "seat", "x", "key-1"))), one);
    assert_ne!(receipt(second.ask(&Ask::book("a4", "seat", "x", "key-2"))), one, "another booking");
    assert_eq!(effects(&world), (2, 2));
}

pub fn a_booking_whose_answer_is_lost_is_told_by_the_other_place<A: Host, B: Host>() {
    let world = bookings(LONG);
    let (here, there) = (A::start(&world), B::start(&world));
    let (mut first, mut second) = (here.caller(), there.caller());
    let o = server_no(&world, "o");
    world.control().fault(o, Fault::Swallow(1.0)).unwrap();
    first.send(&Ask { wait_ms: 400, ..Ask::book("a1", "seat", "x", "key-1") });
    wait_until(|| effects(&world).0 == 1);
    assert_eq!(first.answer(), Said::Failed, "it has run, so that 'refused' would not be true");
    world.control().fault(o, Fault::Swallow(0.0)).unwrap();
    let told = receipt(second.ask(&Ask::book("a2", "seat", "x", "key-1")));
    assert_eq!(receipt(first.ask(&Ask::book("a3", "seat", "x", "key-1"))), told);
    assert_eq!(effects(&world).0, 1);
}

pub fn out_of_the_window_each_answer_is_of_an_effect_of_its_own<A: Host, B: Host>() {
    let world = bookings(1);
    let (here, there) = (A::start(&world), B::start(&world));
    let (mut first, mut second) = (here.caller(), there.caller());
    let one = receipt(first.ask(&Ask::book("a1", "seat", "x", "key-1")));
    std::thread::sleep(Duration::from_millis(2));
    let two = receipt(second.ask(&Ask::book("a2", "seat", "x", "key-1")));
    assert_ne!(one, two, "the second does not pass for the first");
    assert_eq!(effects(&world), (2, 0));
}
