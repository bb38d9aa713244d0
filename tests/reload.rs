//! What a new configuration changes for requests under way, and for those that still name what it has dropped.

#[allow(dead_code)]
mod harness;

use harness::*;
use lapisrudder_lab::stand::{Books, Scripted, Spec, World};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long clients wait for their answers, in ms.
const WAIT_MS: u64 = 2000;
/// Clients name a dropped class for this long after the new configuration.
const OLD_NAME_TIME: Duration = Duration::from_millis(1200);

/// The JSON text of a class.
fn class(name: &str, effect: &str, give_up_s: f64) -> String {
    format!(
        r#"{{"effect":"{effect}","give-up-s":{give_up_s},"group":"all","name":"{name}","slo-s":0.75,"window-s":5.0,"worth":5.0}}"#
    )
}

/// The platform's settings with these classes.
fn settings(classes: &[String]) -> String {
    let begin = SETTINGS.find(r#""request-classes":["#).expect("classes");
    let end = begin + SETTINGS[begin..].find(']').expect("their end");
    format!(r#"{}"request-classes":[{}{}"#, &SETTINGS[..begin], classes.join(","), &SETTINGS[end..])
}

/// Sends a node these classes, and waits until it knows the one named `awaited`.
fn reload(node: &Node, classes: &[String], awaited: &str) {
    node.reload(|text| {
        let begin = text.find(r#""settings":"#).expect("settings");
        format!(r#"{}"settings":{}}}"#, &text[..begin], settings(classes))
    });
    let unknown = "CLIENT_ERROR unknown class\r\n";
    let mut asked = 0;
    wait_until(|| {
        asked += 1;
        node.client().ask(&format!("mg k v Oq{awaited}{asked} Pc={awaited},d=100\r\n")) != unknown
    });
}

/// A ready node with these classes in a world.
fn node_in(spec: Spec, classes: &[String]) -> (Node, World<Books>) {
    let world = world(spec, ids(0));
    let node = Node::with_settings(world.addresses().discovery(0).expect("discovery"), &settings(classes));
    node.wait_ready();
    (node, world)
}

/// How often the origin has run each write, by its id.
type Runs = Arc<Mutex<HashMap<String, usize>>>;

/// A node with these classes before an origin that closes the connection under each write, some time after it
/// came.
fn node_and_closing_origin(
    classes: &[String],
    close_after: Duration,
) -> (Node, World<Books>, Scripted, Runs) {
    let runs = Runs::default();
    let counted = runs.clone();
    let origin = Scripted::start(move |asked, reply| {
        *counted.lock().expect("a lock").entry(asked.id).or_default() += 1;
        thread::spawn(move || {
            thread::sleep(close_after);
            reply.close();
        });
    });
    let origin = origin.expect("an origin");
    let spec = spec_with_peers(&["a"], &[("o", "origin", &origin)]);
    let (node, world) = node_in(spec, classes);
    (node, world, origin, runs)
}

/// Sends a write under a class, on a connection of its own.
fn begin_write(node: &Node, class: &str, id: &str) -> Client {
    let mut client = node.client();
    client.send(format!("ms w{id} 1 O{id} Pc={class},d={WAIT_MS},k={id}\r\nv\r\n"));
    client
}

/// Fails if a write that names a dropped `single_shot` class, as clients do for a while, is taken under the
/// class that came in its place, and runs twice.
#[test]
fn a_write_that_names_a_dropped_class_keeps_its_effect() {
    let read = class("read", "free", 2.5);
    let first = [read.clone(), class("book", "single_shot", 2.5), class("order", "single_shot", 2.0)];
    let (node, _world, _origin, runs) = node_and_closing_origin(&first, Duration::ZERO);
    // One class takes the place of another, then a third that of the next, and one changes without its name.
    reload(&node, &[read.clone(), class("trial", "free", 2.5), first[2].clone()], "trial");
    let changed_at = Instant::now();
    reload(&node, &[read.clone(), class("trial", "free", 1.5), class("probe", "free", 2.0)], "probe");
    let mut writes = Vec::new();
    while changed_at.elapsed() < OLD_NAME_TIME {
        for name in ["book", "order"] {
            let id = format!("{name}{}", writes.len());
            begin_write(&node, name, &id).answer();
            writes.push(id);
        }
        thread::sleep(Duration::from_millis(50));
    }
    let runs = runs.lock().expect("a lock");
    let count = |id: &String| runs.get(id).copied().unwrap_or(0);
    let twice: Vec<&String> = writes.iter().filter(|id| count(id) > 1).collect();
    assert!(twice.is_empty(), "ran more than once: {twice:?} of {writes:?}");
    for name in ["book", "order"] {
        assert!(writes.iter().any(|id| id.starts_with(name) && count(id) == 1), "none of {name} ran");
    }
}

/// Fails if a write that was taken as `single_shot` runs twice, because its class has another effect, or is
/// gone, by the time its connection ends.
#[test]
fn a_write_under_way_keeps_the_effect_under_which_it_was_taken() {
    const OPEN_FOR: Duration = Duration::from_millis(700);
    let read = class("read", "free", 2.5);
    let first = [read.clone(), class("book", "single_shot", 2.5), class("order", "single_shot", 2.0)];
    let (node, _world, _origin, runs) = node_and_closing_origin(&first, OPEN_FOR);
    let begin = |name: &str| (0..8).map(|n| begin_write(&node, name, &format!("{name}{n}"))).collect();
    let mut clients: Vec<Client> = begin("book");
    clients.extend::<Vec<Client>>(begin("order"));
    wait_until(|| runs.lock().expect("a lock").len() == clients.len());
    reload(&node, &[read, class("book", "free", 2.5), class("trial", "free", 2.0)], "trial");
    clients.iter_mut().for_each(|client| _ = client.answer());
    let runs = runs.lock().expect("a lock");
    let written = runs.iter().filter(|(id, _)| id.starts_with("book") || id.starts_with("order"));
    let twice: Vec<_> = written.filter(|(_, times)| **times > 1).collect();
    assert!(twice.is_empty(), "{twice:?}");
}

/// The platform kills a stopping process this long after the longest deadline of its classes.
const KILL_AFTER: Duration = Duration::from_millis(700);

/// Sends a node SIGTERM while clients hold requests that no server answers and send further ones, and fails if
/// one of them has no final answer, or the process has not ended, when the platform kills it.
fn stop_in_time(node: &mut Node, classes: &[&str], longest_s: f64) {
    let killed_at = Instant::now() + Duration::from_secs_f64(longest_s) + KILL_AFTER;
    node.signal("-TERM");
    let mut waiting = Vec::new();
    for n in 0.. {
        // The last of them has time for its answer.
        if Instant::now() + Duration::from_millis(50) >= killed_at - KILL_AFTER {
            break;
        }
        let name = classes[n % classes.len()];
        let mut client = node.client();
        client.send(format!("mg k{n} v Os{n} Pc={name},d=2500\r\n"));
        waiting.push((name, client));
        thread::sleep(Duration::from_millis(20));
    }
    for (n, (name, client)) in waiting.iter_mut().enumerate() {
        let answer = client.answer_by(killed_at).unwrap_or_else(|e| panic!("request {n}, {name}: {e}"));
        assert!(answer.starts_with("SERVER_ERROR"), "request {n}, {name}: {answer:?}");
    }
    while node.child.try_wait().expect("its state").is_none() {
        assert!(Instant::now() < killed_at, "the process is killed");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A node with these classes whose only server answers nothing.
fn node_and_silent_server(classes: &[String]) -> (Node, Scripted, World<Books>) {
    let server = Scripted::start(|_, _| {}).expect("a server");
    let spec = spec_with_peers(&[], &[("s", "cache", &server)]);
    let (node, world) = node_in(spec, classes);
    (node, server, world)
}

/// Fails if a node that stops after its longest deadline was dropped, or became shorter, plans for the old
/// one and is killed with requests unanswered.
#[test]
fn a_stop_after_the_longest_deadline_has_fallen_answers_in_time() {
    let (read, long) = (class("read", "free", 0.5), class("long", "guarded", 2.5));
    for second in [vec![read.clone()], vec![read.clone(), class("long", "guarded", 0.4)]] {
        let (mut node, _server, _world) = node_and_silent_server(&[read.clone(), long.clone()]);
        let mut early = node.client();
        early.send("mg k v Oearly Pc=long,d=2500\r\n");
        let trial = class("trial", "free", 0.3);
        reload(&node, &[second, vec![trial]].concat(), "trial");
        stop_in_time(&mut node, &["read", "long", "trial"], 0.5);
        assert!(early.answer().starts_with("SERVER_ERROR"));
    }
}

/// Fails if a node that stops after a longer deadline has come gives up requests before that deadline.
#[test]
fn a_stop_after_a_longer_deadline_has_come_waits_for_it() {
    const OPEN_FOR: Duration = Duration::from_millis(1500);
    let server = Scripted::start(|asked, reply| {
        thread::spawn(move || {
            thread::sleep(OPEN_FOR);
            reply.send(format!("VA 1 O{}\r\nv\r\n", asked.id));
        });
    });
    let server = server.expect("a server");
    let spec = spec_with_peers(&[], &[("s", "cache", &server)]);
    let first = class("read", "free", 0.5);
    let (node, _world) = node_in(spec, std::slice::from_ref(&first));
    reload(&node, &[first, class("long", "free", 2.5)], "long");
    let mut client = node.client();
    client.send("mg k v Olate Pc=long,d=2400\r\n");
    thread::sleep(Duration::from_millis(20));
    node.signal("-TERM");
    assert!(client.answer().starts_with("VA 1"));
}
