//! The daemon's own side: its memcache front, its clients' connections, its signals and configuration. The rules that
//! it shares with the plug-in are in `tests/suite`.

#[allow(dead_code)]
mod harness;

use harness::*;
use lapisrudder_lab::stand::{Scripted, member};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

#[test]
fn answers_keep_the_order_of_commands_and_bad_ones_are_told() {
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

#[test]
fn clients_that_do_not_get_on_are_told_or_closed() {
    let world = world(spec(&["a"]), ids(2));
    let node = Node::start(&world);
    let whole = value_from("a", "1");
    let cases = [
        ("", ""),
        ("mg k v O1 Pc=re", "CLIENT_ERROR command not finished in time\r\n"),
        ("ms k 9 O1 Pc=put,d=9\r\nhi\r\n", "CLIENT_ERROR command not finished in time\r\n"),
        ("mg k1 v O1 Pc=read,d=2000\r\nmg", &whole),
    ];
    let mut clients: Vec<Client> = cases.iter().map(|_| node.client()).collect();
    cases.iter().zip(&mut clients).for_each(|((text, _), client)| client.send(text));
    for ((text, told), client) in cases.iter().zip(&mut clients) {
        assert_eq!(client.answer(), *told, "{text:?}");
    }
    assert_eq!(clients[3].answer(), "CLIENT_ERROR command not finished in time\r\n");
    clients.iter_mut().for_each(|client| assert_eq!(client.answer(), ""));
}

#[test]
fn an_error_arrives_before_what_its_client_still_sends() {
    let world = world(spec(&["a"]), ids(3));
    let node = Node::start(&world);
    let mut client = node.client();
    client.flood(&format!("ms k 60000000 O1 Pc=put,d=9\r\n{}", "x".repeat(60_000_000)));
    assert_eq!(client.answer(), "CLIENT_ERROR object too large\r\n");
    let mut client = node.client();
    client.flood(&"mg k v O1 Pc=none,d=9\r\n".repeat(100_000));
    (0..16).for_each(|_| assert_eq!(client.answer(), "CLIENT_ERROR unknown class\r\n"));
    assert_eq!(node.client().read("2", 60_000), value_from("a", "2"));
}

#[test]
fn a_client_that_does_not_read_is_not_read_from_and_loses_nothing() {
    const MANY: usize = 2000;
    let big = "x".repeat(64 * 1024);
    let count = std::sync::Arc::new(AtomicUsize::new(0));
    let counted = count.clone();
    let cache = Scripted::answering(move |asked| {
        counted.fetch_add(1, Ordering::SeqCst);
        Some(format!("VA {} O{} h1\r\n{big}\r\n", big.len(), asked.id))
    })
    .unwrap();
    let mut spec = spec(&[]);
    spec.discovery.plan.members = vec![member("c", &cache.address().to_string(), "cache", "z")];
    let world = world(spec, ids(0));
    let node = Node::start(&world);
    let mut client = node.client();
    let id = |n: usize| format!("{n:x}");
    let asked: String = (0..MANY).map(|n| format!("mg k v O{} Pc=read,d=60000\r\n", id(n))).collect();
    client.send(&asked);
    let mut other = node.client();
    (0..50).for_each(|n| assert!(other.read(&format!("f{n}"), 60_000).starts_with("VA ")));
    assert!(count.load(Ordering::SeqCst) < MANY / 2, "the rest waits for the client");
    for n in 0..MANY {
        assert!(client.answer().starts_with(&format!("VA 65536 O{}\r\n", id(n))));
    }
}

#[test]
fn idle_clients_make_room_when_descriptors_are_short() {
    let world = world(spec(&["a"]), ids(2));
    let node = Node::with_descriptor_limit(&world, 64);
    let mut clients: Vec<Client> = (0..100).map(|_| node.client()).collect();
    let last = clients.last_mut().unwrap();
    assert_eq!(last.read("1", 60_000), value_from("a", "1"));
    assert_eq!(clients[0].answer(), "", "the one idle for longest was closed");
}

#[test]
fn a_node_told_to_stop_answers_what_it_took_and_ends() {
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
    assert_eq!(client.read("2", 60_000), value_from("a", "2"), "it serves on until it must end");
    assert_eq!(client.answer(), "", "connections close between requests");
    assert!(node.child.wait().unwrap().success());
}

#[test]
fn a_reload_moves_to_the_discovery_that_the_file_names_and_a_bad_file_changes_nothing() {
    let (here, there) = (world(spec(&["a"]), ids(2000)), world(spec(&["b"]), ids(2000)));
    let node = Node::start(&here);
    let mut client = node.client();
    let old = std::cell::RefCell::new(String::new());
    node.reload(|text| old.replace(text.into()) + "{");
    assert_eq!(client.read("1", 2000), value_from("a", "1"));
    let discovery = there.addresses().discovery(0).unwrap();
    node.reload(|_| {
        old.borrow().replace("\"discovery\":\"127", &format!("\"discovery\":\"{discovery}\",\"was\":\"127"))
    });
    let served = (2..2000).map(|id| id.to_string()).find(|id| {
        let answer = client.read(id, 2000);
        thread::sleep(Duration::from_millis(5));
        answer == value_from("b", id)
    });
    served.expect("the new list is told, though EDGE_DISCOVERY names the old address");
}

#[test]
fn a_bad_configuration_ends_the_program_with_one_line() {
    let whole = format!(r#"{{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{SETTINGS}}}"#);
    let cases = [
        ("{", "bad JSON"),
        (r#"{"settings":{}}"#, "no request classes"),
        (&whole.replace("127.0.0.1:0", "nowhere"), "is no address and port"),
        (&whole.replace("\"settings\"", r#""limits":{"sockets":3},"settings""#), "sockets must be at least"),
        (&whole.replace("\"multiplex\":32", "\"multiplex\":0"), "must be above 0"),
    ];
    for (config, expected) in cases {
        let output = program(config, &[]).output().unwrap();
        let said = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success() && said.lines().count() == 1 && said.contains(expected), "{said}");
    }
}
