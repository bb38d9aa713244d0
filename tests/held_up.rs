//! A node that the machine does not schedule for up to [`MAX_STALL`]: requests that arrive or fall due during
//! the stall still get their final answer in time. The process is stopped and continued by signals; the
//! client measures the time.

#[allow(dead_code)]
mod harness;

use harness::*;
use lapisrudder_lab::stand::{Books, World};
use std::thread;
use std::time::{Duration, Instant};

/// The longest stall that a node has to tolerate.
const MAX_STALL: Duration = Duration::from_millis(150);
/// For how long the tests stall the node; the rest of the time is for the signals, which other processes
/// send.
const STALL: Duration = Duration::from_millis(125);
/// Added to each time limit that is measured at a client's socket.
const SLACK: Duration = Duration::from_millis(50);
const WAIT_MS: u64 = 600;
/// Limit on the runs of a case; one in which the machine stalled the node for longer than [`MAX_STALL`] is
/// repeated.
const MAX_RUNS: usize = 20;

/// A node whose one cache server never answers.
fn node_with_silent_server() -> (World<Books>, Node) {
    let world = world(spec(&["a"]), ids(1));
    let node = Node::start(&world);
    world.control().pause(server_no(&world, "a"), 60_000_000).expect("paused");
    (world, node)
}

/// Stalls the node and calls `meanwhile`. Gives an upper bound of the stall's length.
fn stall<T>(node: &Node, meanwhile: impl FnOnce() -> T) -> (Duration, T) {
    let begun = Instant::now();
    node.pause_process();
    let done = meanwhile();
    thread::sleep(STALL.saturating_sub(begun.elapsed()));
    node.signal("-CONT");
    (begun.elapsed(), done)
}

/// How long an answer took, from the first run in which the node's stall was within [`MAX_STALL`].
fn answer_time(mut run: impl FnMut(usize) -> (Duration, Duration)) -> Duration {
    let runs = (0..MAX_RUNS).map(&mut run);
    let valid = runs.into_iter().find(|(stalled, _)| *stalled <= MAX_STALL);
    valid.expect("a run in which the stall was not too long").1
}

fn in_time(took: Duration) -> bool {
    took <= Duration::from_millis(WAIT_MS) + SLACK
}

/// Fails if a request's deadline counts from when the node read it, so that its client has left when the
/// answer comes.
#[test]
fn a_request_that_arrives_during_a_stall_is_answered_by_its_deadline() {
    let (_world, node) = node_with_silent_server();
    let mut kept = node.client();
    assert_eq!(kept.ask("mn\r\n"), "MN\r\n");
    let on_a_kept_connection = answer_time(|n| {
        let (stalled, asked) = stall(&node, || {
            let asked = Instant::now();
            kept.send_read(&format!("kept{n}"), WAIT_MS);
            asked
        });
        kept.answer();
        (stalled, asked.elapsed())
    });
    assert!(in_time(on_a_kept_connection), "kept: {on_a_kept_connection:?}");
    let on_a_new_connection = answer_time(|n| {
        let (stalled, (asked, mut new)) = stall(&node, || {
            let mut new = node.client();
            new.send_read(&format!("new{n}"), WAIT_MS);
            (Instant::now(), new)
        });
        new.answer();
        (stalled, asked.elapsed())
    });
    assert!(in_time(on_a_new_connection), "new: {on_a_new_connection:?}");
}

/// Fails if the final answer is given only at the deadline, so that a node that is stalled then gives it too
/// late.
#[test]
fn a_request_that_falls_due_during_a_stall_is_answered_by_its_deadline() {
    let (_world, node) = node_with_silent_server();
    for stall_from in [420, 470, 520, 570, 595] {
        let took = answer_time(|n| {
            let mut client = node.client();
            let asked = Instant::now();
            client.send_read(&format!("{stall_from}x{n}"), WAIT_MS);
            // The client reads during the stall, so that an answer counts from when it arrives.
            let reads = thread::spawn(move || {
                client.answer();
                asked.elapsed()
            });
            thread::sleep(Duration::from_millis(stall_from).saturating_sub(asked.elapsed()));
            let (stalled, ()) = stall(&node, || ());
            (stalled, reads.join().expect("an answer"))
        });
        assert!(in_time(took), "stalled from {stall_from} ms on: {took:?}");
    }
}

/// Fails if the time to stop counts from when a stalled node handles SIGTERM: it would then be killed before
/// it has answered.
#[test]
fn a_node_that_gets_sigterm_during_a_stall_ends_in_time() {
    /// How long after the longest deadline pending requests are answered with a failure; one more stall later
    /// the node is killed.
    const FINAL_ANSWERS_AFTER: Duration = Duration::from_millis(450);
    let world = world(spec(&["a"]), ids(1));
    world.control().pause(server_no(&world, "a"), 60_000_000).expect("paused");
    let discovery = world.addresses().discovery(0).expect("discovery");
    let settings = SETTINGS.replace(r#""give-up-s":2.5"#, r#""give-up-s":0.3"#);
    let settings = settings.replace(r#""give-up-s":5.0"#, r#""give-up-s":0.3"#);
    let took = answer_time(|n| {
        let node = Node::with_settings(discovery, &settings);
        node.wait_ready();
        let mut client = node.client();
        client.send_read(&format!("stop{n}"), 60_000);
        wait_until(|| requests_received(&world, "a") > n);
        let (stalled, signalled) = stall(&node, || {
            let signalled = Instant::now();
            node.signal("-TERM");
            signalled
        });
        assert_eq!(client.answer(), "SERVER_ERROR failed\r\n");
        (stalled, signalled.elapsed())
    });
    let longest = Duration::from_millis(300);
    assert!(took <= longest + FINAL_ANSWERS_AFTER + SLACK, "{took:?}");
}
