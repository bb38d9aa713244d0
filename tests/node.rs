//! What only the daemon has: the memcache listener, client connections, signals and configuration files. The
//! rules that the daemon and the plug-in share are in `tests/suite`.

#[allow(dead_code)]
mod harness;

use harness::*;
use lapisrudder_lab::stand::Scripted;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// Fails if pipelined answers come out of order, or if a bad command gets no error or the wrong one.
#[test]
fn answers_keep_the_order_of_commands_and_bad_commands_get_an_error() {
    let world = world(spec(&["a"]), ids(5));
    let node = Node::start(&world);
    let mut client = node.client();
    client.send(
        "mg k1 v O1 Pc=read,d=2000\r\nget k\r\nmg k2 v O2 Pc=read,d=2000\r\nmg k v O3 Pc=x,d=9\r\nmg k v O3 Pc=read,d=9s\r\nmn\r\n",
    );
    assert_eq!(client.answer(), value_from("a", "1"));
    assert_eq!(client.answer(), "CLIENT_ERROR unknown command\r\n");
    assert_eq!(client.answer(), value_from("a", "2"));
    assert_eq!(client.answer(), "CLIENT_ERROR unknown class\r\n");
    assert_eq!(client.answer(), "CLIENT_ERROR bad time to wait\r\n");
    assert_eq!(client.answer(), "MN\r\n");
    assert_eq!(client.ask("ms k 99999999 O4\r\n"), "CLIENT_ERROR object too large\r\n");
    assert_eq!(client.answer(), "", "framing is lost, so the connection closes");
}

/// Fails if a client that sends nothing, or does not finish its command, keeps its connection.
#[test]
fn a_client_that_does_not_finish_its_command_is_closed() {
    let world = world(spec(&["a"]), ids(2));
    let node = Node::start(&world);
    let value = value_from("a", "1");
    let cases = [
        ("", ""),
        ("mg k v O1 Pc=re", "CLIENT_ERROR command not finished in time\r\n"),
        ("ms k 9 O1 Pc=put,d=9\r\nhi\r\n", "CLIENT_ERROR command not finished in time\r\n"),
        ("mg k1 v O1 Pc=read,d=2000\r\nmg", &value),
    ];
    let mut clients: Vec<Client> = cases.iter().map(|_| node.client()).collect();
    cases.iter().zip(&mut clients).for_each(|((text, _), client)| client.send(text));
    for ((text, answer), client) in cases.iter().zip(&mut clients) {
        assert_eq!(client.answer(), *answer, "{text:?}");
    }
    assert_eq!(clients[3].answer(), "CLIENT_ERROR command not finished in time\r\n");
    clients.iter_mut().for_each(|client| assert_eq!(client.answer(), ""));
}

/// Fails if the error for a bad command is lost while the client still sends, or if reading all that input
/// stops the node.
#[test]
fn an_error_reaches_a_client_that_is_still_sending() {
    let world = world(spec(&["a"]), ids(3));
    let node = Node::start(&world);
    let mut client = node.client();
    client.send_in_background(&format!("ms k 60000000 O1 Pc=put,d=9\r\n{}", "x".repeat(60_000_000)));
    assert_eq!(client.answer(), "CLIENT_ERROR object too large\r\n");
    let mut client = node.client();
    client.send_in_background(&"mg k v O1 Pc=none,d=9\r\n".repeat(100_000));
    (0..16).for_each(|_| assert_eq!(client.answer(), "CLIENT_ERROR unknown class\r\n"));
    assert_eq!(node.client().read("2", 60_000), value_from("a", "2"));
}

/// Fails if the node keeps reading requests from a client that does not read its answers, or loses one of the
/// answers.
#[test]
fn a_client_that_does_not_read_gets_backpressure_and_loses_no_answer() {
    const MANY: usize = 2000;
    let big = "x".repeat(64 * 1024);
    let count = std::sync::Arc::new(AtomicUsize::new(0));
    let counted = count.clone();
    let cache = Scripted::answering(move |asked| {
        counted.fetch_add(1, Ordering::SeqCst);
        Some(format!("VA {} O{} h1\r\n{big}\r\n", big.len(), asked.id))
    })
    .unwrap();
    let spec = spec_with_peers(&[], &[("c", "cache", &cache)]);
    let world = world(spec, ids(0));
    let node = Node::start(&world);
    let mut client = node.client();
    let id = |n: usize| format!("{n:x}");
    let commands: String = (0..MANY).map(|n| format!("mg k v O{} Pc=read,d=60000\r\n", id(n))).collect();
    client.send(&commands);
    let mut other = node.client();
    (0..50).for_each(|n| assert!(other.read(&format!("f{n}"), 60_000).starts_with("VA ")));
    assert!(count.load(Ordering::SeqCst) < MANY / 2, "the other requests wait until the client reads");
    for n in 0..MANY {
        assert!(client.answer().starts_with(&format!("VA 65536 O{}\r\n", id(n))));
    }
}

/// Fails if a node that is short of descriptors keeps idle clients and does not serve a new one.
#[test]
fn idle_clients_are_closed_when_descriptors_are_short() {
    let world = world(spec(&["a"]), ids(2));
    let node = Node::with_descriptor_limit(&world, 64);
    let mut clients: Vec<Client> = (0..100).map(|_| node.client()).collect();
    let last = clients.last_mut().unwrap();
    assert_eq!(last.read("1", 60_000), value_from("a", "1"));
    assert_eq!(clients[0].answer(), "", "the client that was idle for the longest time is closed");
}

/// Fails if a node ends on SIGTERM without an answer to a request in flight, stops serving too early, or
/// closes a connection within a request.
#[test]
fn a_stopping_node_answers_its_requests_and_ends() {
    let world = world(spec(&["a"]), ids(3));
    let (a, control) = (server_no(&world, "a"), world.control());
    let mut node = Node::start(&world);
    let mut client = node.client();
    control.pause(a, 60_000_000).unwrap();
    client.send("mg k1 v O1 Pc=read,d=60000\r\n");
    wait_until(|| requests_received(&world, "a") == 1);
    node.signal("-TERM");
    control.pause(a, 0).unwrap();
    assert_eq!(client.answer(), value_from("a", "1"));
    thread::sleep(Duration::from_millis(700));
    assert_eq!(client.read("2", 60_000), value_from("a", "2"), "it serves until it has to end");
    assert_eq!(client.answer(), "", "connections close between requests");
    assert!(node.child.wait().unwrap().success());
}

/// Fails if a reload does not connect to the discovery that the file names, or if a file with an error
/// changes anything.
#[test]
fn a_reload_changes_discovery_and_a_bad_file_changes_nothing() {
    let (here, there) = (world(spec(&["a"]), ids(2000)), world(spec(&["b"]), ids(2000)));
    let node = Node::start(&here);
    let mut client = node.client();
    let original = std::cell::RefCell::new(String::new());
    node.reload(|text| original.replace(text.into()) + "{");
    assert_eq!(client.read("1", 2000), value_from("a", "1"));
    let discovery = there.addresses().discovery(0).unwrap();
    node.reload(|_| {
        original
            .borrow()
            .replace("\"discovery\":\"127", &format!("\"discovery\":\"{discovery}\",\"was\":\"127"))
    });
    let served = (2..2000).map(|id| id.to_string()).find(|id| {
        let answer = client.read(id, 2000);
        thread::sleep(Duration::from_millis(5));
        answer == value_from("b", id)
    });
    served.expect("a value from the new list's server, though EDGE_DISCOVERY names the old discovery");
}

/// Fails if a good new configuration is refused, so that old rules stay in force, because it drops the only
/// class with a key that may be absent.
#[test]
fn a_reload_may_drop_the_only_class_with_an_optional_key() {
    const TRIAL: &str = r#"{"aim-stretch":2.0,"effect":"free","give-up-s":2.5,"group":"all","name":"trial","slo-s":0.75,"window-s":5.0,"worth":5.0},"#;
    let world = world(spec(&["a"]), ids(10));
    let discovery = world.addresses().discovery(0).unwrap();
    let with_trial = SETTINGS
        .replace(r#""request-classes":["#, &format!(r#""novel":{{"a":1}},"request-classes":[{TRIAL}"#));
    let node = Node::with_settings(discovery, &with_trial);
    node.wait_ready();
    assert_eq!(node.client().ask("mg k0 v O0 Pc=fresh,d=2000\r\n"), "CLIENT_ERROR unknown class\r\n");
    node.reload(|text| {
        text.replace(r#""novel":{"a":1},"#, "")
            .replace(TRIAL, &TRIAL.replace("trial", "fresh").replace(r#""aim-stretch":2.0,"#, ""))
    });
    wait_until(|| {
        let answer = node.client().ask("mg k1 v O1 Pc=fresh,d=2000\r\n");
        assert!(
            answer.starts_with("CLIENT_ERROR unknown class") || answer == value_from("a", "1"),
            "{answer:?}"
        );
        answer == value_from("a", "1")
    });
}

/// Fails if the program starts with a bad configuration, or does not say in one line what is wrong with it.
#[test]
fn a_bad_configuration_ends_the_program_with_one_line() {
    let complete = format!(r#"{{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{SETTINGS}}}"#);
    let cases = [
        ("{", "bad JSON"),
        (r#"{"settings":{}}"#, "no request classes"),
        (&complete.replace("127.0.0.1:0", "nowhere"), "is no address and port"),
        (
            &complete.replace("\"settings\"", r#""limits":{"sockets":3},"settings""#),
            "sockets must be at least",
        ),
        (&complete.replace("\"multiplex\":32", "\"multiplex\":0"), "must be above 0"),
    ];
    for (config, expected) in cases {
        let output = program(config, &[]).output().unwrap();
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(
            !output.status.success() && errors.lines().count() == 1 && errors.contains(expected),
            "{errors}"
        );
    }
}
