//! The node run day by day: calls on the operators' address, members taken out by hand, drains.

#[allow(dead_code)]
mod harness;

use harness::*;
use std::thread;
use std::time::Duration;

#[test]
fn each_call_gets_one_line() {
    let world = world(spec(&["a"]), ids(2));
    let node = Node::managed(&world, 1024);
    let endless = "x".repeat(1 << 20);
    for (said, told) in [
        ("status\n", "ok ready\n"),
        ("status\r\nstandby\r\n", "ok ready\n"),
        ("maint-on nobody\n", "fail no such server was ever listed\n"),
        ("maint-off nobody\n", "fail no such server was ever listed\n"),
        ("maint-on\n", "fail the id is missing\n"),
        ("status now\n", "fail surplus words\n"),
        ("maint-off a\n", "ok may serve\n"),
        ("active\n", "ok serving\n"),
    ] {
        let mut caller = node.caller(said);
        assert_eq!(caller.answer(), told, "{said:?}");
        assert_eq!(caller.answer(), "", "one line, and the connection closes");
    }
    assert!(node.call("restart\n").starts_with("fail unknown call"));
    let caller = node.caller("");
    caller.flood(&endless);
    let mut caller = caller;
    assert_eq!(caller.answer(), "fail line too long\n");
    let mut caller = node.caller("");
    "status\n".chars().for_each(|c| caller.send(&c.to_string()));
    assert_eq!(caller.answer(), "ok ready\n");
}

#[test]
fn callers_without_a_word_and_a_flood_of_clients_hold_no_call_up() {
    let world = world(spec(&["a"]), ids(2));
    let node = Node::managed(&world, 128);
    let clients: Vec<Client> = (0..200).map(|_| node.client()).collect();
    let callers: Vec<Client> = (0..200).map(|n| node.caller(["", "stat", "maint-on a"][n % 3])).collect();
    assert_eq!(node.call("status\n"), "ok ready\n");
    drop((clients, callers));
    assert_eq!(node.call("status\n"), "ok ready\n");
}

#[test]
fn a_member_taken_out_gets_nothing_until_it_is_put_back() {
    let world = world(spec(&["a", "b"]), ids(4000));
    let node = Node::managed(&world, 1024);
    let mut client = node.client();
    let mut ids = ids(4000);
    let mut read = || {
        let id = ids.next().expect("an id");
        let answer = client.read(&id, 60_000);
        (answer == by("a", &id), answer == by("b", &id))
    };
    until(|| read().0);
    assert_eq!(node.call("maint-on a\n"), "ok out\n");
    assert_eq!(node.call("maint-on a\n"), "ok out\n");
    let before = asked(&world, "a");
    (0..200).for_each(|_| assert_eq!(read(), (false, true)));
    assert_eq!(asked(&world, "a"), before);
    assert_eq!(node.call("maint-off a\n"), "ok may serve\n");
    until(|| {
        thread::sleep(Duration::from_millis(2));
        read().0
    });
}

#[test]
fn a_drained_node_lets_its_clients_go_between_requests_and_comes_back() {
    let world = world(spec(&["a"]), ids(4000));
    let (a, control) = (no(&world, "a"), world.control());
    let node = Node::managed(&world, 1024);
    let (mut idle, mut busy) = (node.client(), node.client());
    assert_eq!(idle.ask("mn\r\n"), "MN\r\n");
    control.pause(a, 60_000_000).unwrap();
    busy.send("mg k1 v O1 Pc=read,d=60000\r\n");
    until(|| asked(&world, "a") == 1);
    assert_eq!(node.call("standby\n"), "ok draining\n");
    assert_eq!(node.call("standby\n"), "ok draining\n");
    assert_eq!(node.call("status\n"), "fail draining\n");
    assert_eq!(node.client().ask("mn\r\n"), "SERVER_ERROR draining\r\n");
    assert_eq!(idle.answer(), "", "it is closed between requests");
    control.pause(a, 0).unwrap();
    assert_eq!(busy.answer(), by("a", "1"), "what was asked is answered");
    assert_eq!(busy.answer(), "", "and then it is closed, too");
    assert_eq!(node.call("active\n"), "ok serving\n");
    assert_eq!(node.call("status\n"), "ok ready\n");
    let mut client = node.client();
    assert_eq!(client.ask("mn\r\n"), "MN\r\n");
    // The server's silence may make the node turn some away for a while.
    let mut ids = ids(4000).skip(2);
    until(|| ids.next().is_some_and(|id| client.read(&id, 60_000) == by("a", &id)));
}
