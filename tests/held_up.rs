//! A node that the machine holds up for a moment (at most [`HOLD`]): what arrives meanwhile, and what falls due meanwhile,
//! still gets its final answer in time. The process is stopped and continued by signals; time is read by the client.

#[allow(dead_code)]
mod harness;

use harness::*;
use lapisrudder_lab::stand::{Books, World};
use std::thread;
use std::time::{Duration, Instant};

/// What a node has to bear (STANDING: "held up for up to 0.15 s").
const HOLD: Duration = Duration::from_millis(150);
/// For so long it is held up here: the rest is for the signals, which are sent by other processes.
const HELD_FOR: Duration = Duration::from_millis(125);
/// Time limits on sockets are this much longer.
const SLACK: Duration = Duration::from_millis(50);
const WAIT_MS: u64 = 600;
/// Plays that the machine itself held up are played again, so often at the most.
const PLAYS: usize = 20;

/// A node whose one cache server never answers.
fn at_a_silent_server() -> (World<Books>, Node) {
    let world = world(spec(&["a"]), ids(1));
    let node = Node::start(&world);
    world.control().pause(server_no(&world, "a"), 60_000_000).expect("paused");
    (world, node)
}

/// Holds the node up and does something meanwhile. Gives for how long it was held up at the most.
fn hold_up<T>(node: &Node, meanwhile: impl FnOnce() -> T) -> (Duration, T) {
    let begun = Instant::now();
    node.stand_still();
    let done = meanwhile();
    thread::sleep(HELD_FOR.saturating_sub(begun.elapsed()));
    node.signal("-CONT");
    (begun.elapsed(), done)
}

/// How long an answer took, from a play in which the node was held up for no longer than it has to bear.
fn took(mut play: impl FnMut(usize) -> (Duration, Duration)) -> Duration {
    let plays = (0..PLAYS).map(&mut play);
    let sound = plays.into_iter().find(|(held, _)| *held <= HOLD);
    sound.expect("a play that the machine does not hold up").1
}

fn in_time(took: Duration) -> bool {
    took <= Duration::from_millis(WAIT_MS) + SLACK
}

/// Danger: the time of a request counted from when it was read, and its client had left when the answer came.
#[test]
fn a_request_that_arrives_while_the_node_is_held_up_is_answered_in_its_time() {
    let (_world, node) = at_a_silent_server();
    let mut kept = node.client();
    assert_eq!(kept.ask("mn\r\n"), "MN\r\n");
    let on_a_kept_connection = took(|n| {
        let (held, asked) = hold_up(&node, || {
            let asked = Instant::now();
            kept.begin_read(&format!("kept{n}"), WAIT_MS);
            asked
        });
        kept.answer();
        (held, asked.elapsed())
    });
    assert!(in_time(on_a_kept_connection), "kept: {on_a_kept_connection:?}");
    let on_a_new_connection = took(|n| {
        let (held, (asked, mut new)) = hold_up(&node, || {
            let mut new = node.client();
            new.begin_read(&format!("new{n}"), WAIT_MS);
            (Instant::now(), new)
        });
        new.answer();
        (held, asked.elapsed())
    });
    assert!(in_time(on_a_new_connection), "new: {on_a_new_connection:?}");
}

/// Danger: a final answer was given at the very end of its time, and a node held up there gave it too late.
#[test]
fn a_request_that_falls_due_while_the_node_is_held_up_is_answered_in_its_time() {
    let (_world, node) = at_a_silent_server();
    for held_from in [420, 470, 520, 570, 595] {
        let took = took(|n| {
            let mut client = node.client();
            let asked = Instant::now();
            client.begin_read(&format!("{held_from}x{n}"), WAIT_MS);
            // The client reads on while the node is held up: an answer counts when it comes.
            let reads = thread::spawn(move || {
                client.answer();
                asked.elapsed()
            });
            thread::sleep(Duration::from_millis(held_from).saturating_sub(asked.elapsed()));
            let (held, ()) = hold_up(&node, || ());
            (held, reads.join().expect("an answer"))
        });
        assert!(in_time(took), "held up from {held_from} ms on: {took:?}");
    }
}

/// Danger: a node that was told to stop while it was held up counted its last moments from when it heard of it, and was
/// killed before they came.
#[test]
fn a_node_told_to_stop_while_it_is_held_up_ends_in_its_time() {
    /// What is still owed so long after the longest deadline fails: a hold-up more, and the node is killed.
    const LAST_CALL: Duration = Duration::from_millis(450);
    let world = world(spec(&["a"]), ids(1));
    world.control().pause(server_no(&world, "a"), 60_000_000).expect("paused");
    let discovery = world.addresses().discovery(0).expect("discovery");
    let settings = SETTINGS.replace(r#""give-up-s":2.5"#, r#""give-up-s":0.3"#);
    let settings = settings.replace(r#""give-up-s":5.0"#, r#""give-up-s":0.3"#);
    let took = took(|n| {
        let node = Node::set(discovery, &settings);
        node.wait_ready();
        let mut client = node.client();
        client.begin_read(&format!("stop{n}"), 60_000);
        wait_until(|| requests_received(&world, "a") > n);
        let (held, told) = hold_up(&node, || {
            let told = Instant::now();
            node.signal("-TERM");
            told
        });
        assert_eq!(client.answer(), "SERVER_ERROR failed\r\n");
        (held, told.elapsed())
    });
    let longest = Duration::from_millis(300);
    assert!(took <= longest + LAST_CALL + SLACK, "{took:?}");
}
