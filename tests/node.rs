//! The node's rules on real sockets, one test each.

#[allow(dead_code)]
mod harness;

use harness::*;
use lapisrudder_lab::stand::{Fault, Noise, Scripted, member};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

#[test]
fn a_miss_and_a_write_go_to_the_origin_with_id_list_and_value() {
    let (tell, heard) = mpsc::channel();
    let origin = Scripted::answering(move |request| {
        tell.send(request.text.clone()).unwrap();
        Some(http(if request.text.starts_with("PUT") { "77" } else { "from afar" }))
    })
    .unwrap();
    let mut spec = spec(&["a"]);
    spec.discovery.plan.members = vec![member("o", &origin.address().to_string(), "origin", "z")];
    let world = world(spec, ids(0));
    let node = Node::start(&world);
    let mut client = node.client();
    assert_eq!(client.read("a1", 2000), "VA 9 Oa1\r\nfrom afar\r\n");
    let get = heard.recv_timeout(WIDE).unwrap();
    assert!(get.starts_with("GET /ka1 ") && get.contains("Req-Id: a1\r\n"), "{get}");
    assert_eq!(client.ask("ms kb 2 Ob2 Pc=put,d=2000,k=ee\r\nhi\r\n"), "HD Ob2 c77\r\n");
    let put = heard.recv_timeout(WIDE).unwrap();
    assert!(put.starts_with("PUT /kb ") && put.ends_with("\r\n\r\nhi") && put.contains(",k=ee\r\n"), "{put}");
}

#[test]
fn answers_keep_the_order_of_commands_and_bad_ones_are_told() {
    let world = world(spec(&["a"]), ids(5));
    let node = Node::start(&world);
    let mut client = node.client();
    client.send(
        "mg k1 v O1 Pc=read,d=2000\r\nget k\r\nmg k2 v O2 Pc=read,d=2000\r\nmg k v O3 Pc=x,d=9\r\nmg k v O3 Pc=read,d=9s\r\nmn\r\n",
    );
    assert_eq!(client.answer(), by("a", "1"));
    assert_eq!(client.answer(), "CLIENT_ERROR unknown command\r\n");
    assert_eq!(client.answer(), by("a", "2"));
    assert_eq!(client.answer(), "CLIENT_ERROR unknown class\r\n");
    assert_eq!(client.answer(), "CLIENT_ERROR bad time to wait\r\n");
    assert_eq!(client.answer(), "MN\r\n");
    assert_eq!(client.ask("ms k 99999999 O4\r\n"), "CLIENT_ERROR object too large\r\n");
    assert_eq!(client.answer(), "", "framing is lost, so the connection closes");
}

#[test]
fn a_transaction_that_nobody_serves_gets_one_answer_in_time() {
    let world = world(spec(&["a"]), ids(2));
    world.control().fault(no(&world, "a"), Fault::Swallow(1.0)).unwrap();
    let node = Node::start(&world);
    let mut client = node.client();
    let answer = client.read("1", 300);
    assert!(answer.starts_with("SERVER_ERROR "), "{answer}");
    assert_eq!(client.ask("mn\r\n"), "MN\r\n", "nothing more comes for the first");
}

#[test]
fn a_late_answer_reaches_no_other_transaction() {
    let world = world(spec(&["a"]), ids(200));
    let node = Node::start(&world);
    let mut client = node.client();
    world.control().pause(no(&world, "a"), 60_000_000).unwrap();
    assert!(client.read("1", 200).starts_with("SERVER_ERROR "));
    world.control().pause(no(&world, "a"), 0).unwrap();
    // The module leaves a silent member alone for a while, and says so.
    let served = (2..200).map(|id| id.to_string()).find_map(|id| {
        let answer = client.read(&id, 2000);
        thread::sleep(Duration::from_millis(20));
        (!answer.starts_with("SERVER_ERROR busy")).then_some((id, answer))
    });
    let (id, answer) = served.expect("served in the end");
    assert_eq!(answer, by("a", &id));
}

#[test]
fn nothing_new_goes_to_a_member_that_drains() {
    let mut spec = spec(&["a", "b"]);
    spec.servers[1].listed = false;
    let world = world(spec, ids(4000));
    let node = Node::start(&world);
    let mut client = node.client();
    assert_eq!(client.read("1", 2000), by("a", "1"));
    let (a, control) = (no(&world, "a"), world.control());
    let address = world.addresses().server(0, no(&world, "b")).unwrap();
    control.discovery_list(vec![member("b", &address.to_string(), "cache", "z")]).unwrap();
    control.drain(a).unwrap();
    let told = (2..2000).map(|id| id.to_string()).find(|id| {
        let answer = client.read(id, 2000);
        thread::sleep(Duration::from_millis(5));
        answer == by("b", id)
    });
    told.expect("the list is told in the end");
    let before = asked(&world, "a");
    for id in (3000..3050).map(|id| id.to_string()) {
        assert_eq!(client.read(&id, 2000), by("b", &id));
    }
    assert_eq!(asked(&world, "a"), before);
}

#[test]
fn a_bad_list_changes_nothing() {
    let world = world(spec(&["a"]), ids(10));
    let list = List::start(&world.control().known(0).unwrap());
    let node = Node::told_by(list.address(), 1024);
    let mut client = node.client();
    assert_eq!(client.read("1", 2000), by("a", "1"));
    for (id, text) in
        ["2", "3", "4"].into_iter().zip(["{\"rev\":", "[]", "{\"rev\":9,\"all\":true,\"targets\":[{}]}"])
    {
        list.tell(text);
        assert_eq!(client.read(id, 2000), by("a", id), "{text}");
    }
}

#[test]
fn a_member_that_talks_nonsense_costs_only_its_own_flow() {
    let world = world(spec(&["bad", "good"]), ids(50));
    // Another value under a good head is the one thing that nobody could tell.
    let kinds = Noise::ALL.into_iter().filter(|kind| kind.spoils() && *kind != Noise::OtherValue).collect();
    world.control().fault(no(&world, "bad"), Fault::Spoil { share: 1.0, kinds }).unwrap();
    let node = Node::start(&world);
    let mut client = node.client();
    let answers: Vec<String> = ids(50).map(|id| client.read(&id, 2000)).collect();
    let sound = |(n, answer): (usize, &String)| {
        *answer == by("good", &n.to_string()) || answer.starts_with("SERVER_ERROR ")
    };
    assert!(answers.iter().enumerate().all(sound), "{answers:?}");
    assert!(answers.iter().any(|a| a.starts_with("value of good")), "{answers:?}");
    assert!(asked(&world, "bad") > 0, "it was asked");
}

#[test]
fn what_a_member_sends_beyond_its_answer_reaches_nobody() {
    for noise in [Noise::SecondCopy, Noise::NoiseBehind, Noise::BadReport] {
        let world = world(spec(&["a"]), ids(20));
        let kinds = [noise].into_iter().collect();
        world.control().fault(no(&world, "a"), Fault::Spoil { share: 1.0, kinds }).unwrap();
        let node = Node::start(&world);
        let mut client = node.client();
        for id in ids(20) {
            assert_eq!(client.read(&id, 60_000), by("a", &id), "{noise:?}");
        }
    }
}

#[test]
fn clients_that_do_not_get_on_are_told_or_closed() {
    let world = world(spec(&["a"]), ids(2));
    let node = Node::start(&world);
    let whole = by("a", "1");
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
    assert_eq!(node.client().read("2", 60_000), by("a", "2"));
}

#[test]
fn an_id_in_use_is_taken_once() {
    let world = world(spec(&["a"]), ids(2));
    let (a, control) = (no(&world, "a"), world.control());
    let node = Node::start(&world);
    let (mut first, mut second) = (node.client(), node.client());
    control.pause(a, 60_000_000).unwrap();
    first.send("mg k1 v O1 Pc=read,d=60000\r\n");
    until(|| asked(&world, "a") == 1);
    assert_eq!(second.read("1", 60_000), "CLIENT_ERROR request id in use\r\n");
    control.pause(a, 0).unwrap();
    assert_eq!(first.answer(), by("a", "1"));
}

#[test]
fn a_dead_member_costs_its_keys_a_detour_only() {
    let mut spec = spec(&["gone", "good"]);
    spec.discovery.notice.gone = 600_000_000;
    let world = world(spec, ids(50));
    world.control().kill(no(&world, "gone")).unwrap();
    let node = Node::start(&world);
    let mut client = node.client();
    let answers: Vec<String> = ids(50).map(|id| client.read(&id, 60_000)).collect();
    let sound = |a: &String| a.starts_with("value of good") || a.starts_with("SERVER_ERROR ");
    assert!(answers.iter().all(sound), "{answers:?}");
    assert!(answers.iter().filter(|a| a.starts_with("value of good")).count() > 10, "{answers:?}");
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
    client.send(&(0..MANY).map(|n| format!("mg k v O{} Pc=read,d=60000\r\n", id(n))).collect::<String>());
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
    let node = Node::limited(&world, 64);
    let mut clients: Vec<Client> = (0..100).map(|_| node.client()).collect();
    let last = clients.last_mut().unwrap();
    assert_eq!(last.read("1", 60_000), by("a", "1"));
    assert_eq!(clients[0].answer(), "", "the one idle for longest was closed");
}

#[test]
fn a_node_told_to_stop_answers_what_it_took_and_ends() {
    let world = world(spec(&["a"]), ids(3));
    let (a, control) = (no(&world, "a"), world.control());
    let mut node = Node::start(&world);
    let mut client = node.client();
    control.pause(a, 60_000_000).unwrap();
    client.send("mg k1 v O1 Pc=read,d=60000\r\n");
    until(|| asked(&world, "a") == 1);
    node.signal("-TERM");
    control.pause(a, 0).unwrap();
    assert_eq!(client.answer(), by("a", "1"));
    thread::sleep(Duration::from_millis(700));
    assert_eq!(client.read("2", 60_000), by("a", "2"), "it serves on until it must end");
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
    assert_eq!(client.read("1", 2000), by("a", "1"));
    let discovery = there.addresses().discovery(0).unwrap();
    node.reload(|_| {
        old.borrow().replace("\"discovery\":\"127", &format!("\"discovery\":\"{discovery}\",\"was\":\"127"))
    });
    let served = (2..2000).map(|id| id.to_string()).find(|id| {
        let answer = client.read(id, 2000);
        thread::sleep(Duration::from_millis(5));
        answer == by("b", id)
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
