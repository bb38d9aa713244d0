//! A test for each rule of a node, with any host.

use crate::harness::*;
use crate::host::{FinalAnswer, Host, TestCall, TestClient, served};
use lapisrudder_lab::ledger::{ReqId, ServerEvent};
use lapisrudder_lab::stand::{Fault, Noise, Outage, Scripted, member};
use lapisrudder_model::value::RequestId;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

/// Sends reads with new ids until the wanted answer arrives; returns that id.
fn until_served(client: &mut impl TestClient, from: usize, wanted: impl Fn(&str) -> FinalAnswer) -> String {
    let ids = (from..from + 2000).map(|id| id.to_string());
    let found = ids.into_iter().find(|id| {
        let answer = client.read(id, 2000);
        let wanted = wanted(id);
        assert!(
            answer == wanted || answer.is_unserved() || matches!(answer, FinalAnswer::Served(_)),
            "{answer:?}"
        );
        thread::sleep(Duration::from_millis(5));
        answer == wanted
    });
    found.expect("the wanted answer")
}

pub fn a_miss_and_a_write_go_to_the_origin_with_id_list_and_value<H: Host>() {
    let (sender, requests) = mpsc::channel();
    let origin = Scripted::answering(move |request| {
        sender.send(request.text.clone()).unwrap();
        Some(http(if request.text.starts_with("PUT") { "77" } else { "from afar" }))
    })
    .unwrap();
    let mut spec = spec(&["a"]);
    spec.discovery.plan.members = vec![member("o", &origin.address().to_string(), "origin", "z")];
    let world = world(spec, ids(0));
    let host = H::start(&world);
    let mut client = host.client();
    assert_eq!(client.read("a1", 2000), FinalAnswer::Served("from afar".into()));
    let get = requests.recv_timeout(TEST_TIMEOUT).unwrap();
    assert!(get.starts_with("GET /ka1 ") && get.contains("Req-Id: a1\r\n"), "{get}");
    assert_eq!(client.call(&TestCall::write("b2", "kb", "hi", "ee")), FinalAnswer::Receipt("77".into()));
    let put = requests.recv_timeout(TEST_TIMEOUT).unwrap();
    assert!(put.starts_with("PUT /kb ") && put.ends_with("\r\n\r\nhi") && put.contains(",k=ee\r\n"), "{put}");
}

pub fn bad_requests_are_rejected_without_effect_on_others<H: Host>() {
    let world = world(spec(&["a"]), ids(9));
    let host = H::start(&world);
    let mut client = host.client();
    let good = TestCall::read("1", 2000);
    client.send(&good);
    client.send(&TestCall { class: "x", ..TestCall::read("2", 2000) });
    client.send(&TestCall { key: "k".repeat(251), ..TestCall::read("3", 2000) });
    client.send(&TestCall::read("4", 2000));
    let answers: Vec<FinalAnswer> = (0..4).map(|_| client.answer()).collect();
    let bad = |what: &str| FinalAnswer::BadRequest(what.into());
    assert_eq!(answers, [served("a", "1"), bad("unknown class"), bad("bad key"), served("a", "4")]);
    let big = TestCall::write("5", "kb", &"x".repeat((4 << 20) + 1), "e");
    assert_eq!(host.client().call(&big), bad("object too large"));
    assert_eq!(host.client().read("6", 2000), served("a", "6"));
}

pub fn an_unanswered_transaction_gets_one_final_answer_in_time<H: Host>() {
    let world = world(spec(&["a"]), ids(2));
    world.control().fault(server_no(&world, "a"), Fault::Swallow(1.0)).unwrap();
    let host = H::start(&world);
    let begun = Instant::now();
    let answer = host.client().read("1", 300);
    assert!(answer.is_unserved(), "{answer:?}");
    assert!(begun.elapsed() < Duration::from_secs(20), "by its own deadline, not by that of its class");
}

pub fn a_late_answer_reaches_no_other_transaction<H: Host>() {
    let world = world(spec(&["a"]), ids(2002));
    let host = H::start(&world);
    let mut client = host.client();
    world.control().pause(server_no(&world, "a"), 60_000_000).unwrap();
    assert!(client.read("1", 200).is_unserved());
    world.control().pause(server_no(&world, "a"), 0).unwrap();
    // The decisions eject a silent member for a while, and refuse requests meanwhile.
    until_served(&mut client, 2, |id| served("a", id));
}

pub fn no_transactions_go_to_a_draining_member<H: Host>() {
    let mut spec = spec(&["a", "b"]);
    spec.servers[1].listed = false;
    let world = world(spec, ids(4000));
    let host = H::start(&world);
    let mut client = host.client();
    assert_eq!(client.read("1", 2000), served("a", "1"));
    let (a, control) = (server_no(&world, "a"), world.control());
    let address = world.addresses().server(0, server_no(&world, "b")).unwrap();
    control.discovery_list(vec![member("b", &address.to_string(), "cache", "z")]).unwrap();
    control.drain(a).unwrap();
    until_served(&mut client, 2, |id| served("b", id));
    let before = requests_received(&world, "a");
    for id in (3000..3050).map(|id| id.to_string()) {
        assert_eq!(client.read(&id, 2000), served("b", &id));
    }
    assert_eq!(requests_received(&world, "a"), before);
}

pub fn a_bad_list_changes_nothing<H: Host>() {
    let world = world(spec(&["a"]), ids(10));
    let list = ScriptedDiscovery::start(&world.control().known(0).unwrap());
    let host = H::with_discovery(list.address());
    let mut client = host.client();
    assert_eq!(client.read("1", 2000), served("a", "1"));
    for (id, text) in
        ["2", "3", "4"].into_iter().zip(["{\"rev\":", "[]", "{\"rev\":9,\"all\":true,\"targets\":[{}]}"])
    {
        list.publish_and_wait(text);
        assert_eq!(client.read(id, 2000), served("a", id), "{text}");
    }
}

pub fn transactions_are_refused_while_the_list_is_empty<H: Host>() {
    let world = world(spec(&["a"]), ids(3000));
    let full = world.control().known(0).unwrap();
    let list = ScriptedDiscovery::start(&full);
    let host = H::with_discovery(list.address());
    let mut client = host.client();
    assert_eq!(client.read("1", 2000), served("a", "1"));
    list.publish_and_wait(r#"{"rev":90,"all":true,"targets":[]}"#);
    let begun = Instant::now();
    (2..6).for_each(|id| assert_eq!(client.read(&id.to_string(), 60_000), FinalAnswer::Refused));
    assert!(begun.elapsed() < Duration::from_secs(30), "at once, not by their deadlines");
    list.publish_and_wait(&full.replace("\"rev\":1,", "\"rev\":91,"));
    until_served(&mut client, 10, |id| served("a", id));
}

pub fn transactions_are_served_after_a_discovery_outage_at_the_start<H: Host>() {
    for (outage, wait_ms) in [(Outage::Unavailable, 60_000), (Outage::Reset, 60_000), (Outage::Silent, 100)] {
        let world = world(spec(&["a"]), ids(3000));
        world.control().discovery_down(Some(outage)).unwrap();
        let host = H::begin(world.addresses().discovery(0).unwrap());
        let mut client = host.client();
        let begun = Instant::now();
        let answer = client.read("1", wait_ms);
        assert!(answer.is_unserved(), "{outage:?}: {answer:?}");
        assert!(begun.elapsed() < Duration::from_secs(20), "{outage:?}: at once, not by its deadline");
        world.control().discovery_down(None).unwrap();
        host.ready();
        until_served(&mut client, 2, |id| served("a", id));
    }
}

pub fn corrupt_responses_fail_only_their_own_flow<H: Host>() {
    let world = world(spec(&["bad", "good"]), ids(50));
    // A wrong value under a correct head cannot be detected.
    let kinds = Noise::ALL.into_iter().filter(|kind| kind.spoils() && *kind != Noise::OtherValue).collect();
    world.control().fault(server_no(&world, "bad"), Fault::Spoil { share: 1.0, kinds }).unwrap();
    let host = H::start(&world);
    let mut client = host.client();
    let answers: Vec<(String, FinalAnswer)> =
        ids(50).map(|id| (id.clone(), client.read(&id, 2000))).collect();
    let sound = |(id, answer): &(String, FinalAnswer)| *answer == served("good", id) || answer.is_unserved();
    assert!(answers.iter().all(sound), "{answers:?}");
    assert!(answers.iter().any(|(id, answer)| *answer == served("good", id)), "{answers:?}");
    assert!(requests_received(&world, "bad") > 0, "requests were sent to it");
}

pub fn bytes_after_a_response_are_not_forwarded<H: Host>() {
    for noise in [Noise::SecondCopy, Noise::NoiseBehind, Noise::BadReport] {
        let world = world(spec(&["a"]), ids(20));
        let kinds = [noise].into_iter().collect();
        world.control().fault(server_no(&world, "a"), Fault::Spoil { share: 1.0, kinds }).unwrap();
        let host = H::start(&world);
        let mut client = host.client();
        for id in ids(20) {
            assert_eq!(client.read(&id, 60_000), served("a", &id), "{noise:?}");
        }
    }
}

pub fn a_request_id_in_use_is_rejected<H: Host>() {
    let world = world(spec(&["a"]), ids(2));
    let (a, control) = (server_no(&world, "a"), world.control());
    let host = H::start(&world);
    let (mut first, mut second) = (host.client(), host.client());
    control.pause(a, 60_000_000).unwrap();
    first.send(&TestCall::read("1", 60_000));
    wait_until(|| requests_received(&world, "a") == 1);
    assert_eq!(second.read("1", 60_000), FinalAnswer::BadRequest("request id in use".into()));
    control.pause(a, 0).unwrap();
    assert_eq!(first.answer(), served("a", "1"));
}

pub fn keys_of_a_dead_member_are_served_by_others<H: Host>() {
    let mut spec = spec(&["gone", "good"]);
    spec.discovery.notice.gone = 600_000_000;
    let world = world(spec, ids(50));
    world.control().kill(server_no(&world, "gone")).unwrap();
    let host = H::start(&world);
    let mut client = host.client();
    let answers: Vec<(String, FinalAnswer)> =
        ids(50).map(|id| (id.clone(), client.read(&id, 60_000))).collect();
    let good = |(id, answer): &&(String, FinalAnswer)| *answer == served("good", id);
    assert!(answers.iter().all(|s| good(&s) || s.1.is_unserved()), "{answers:?}");
    assert!(answers.iter().filter(good).count() > 10, "{answers:?}");
}

pub fn a_disconnected_client_has_its_flow_cancelled<H: Host>() {
    let world = world(spec(&["a"]), ids(3000));
    let (a, control) = (server_no(&world, "a"), world.control());
    let host = H::start(&world);
    let mut stays = host.client();
    assert_eq!(stays.read("0", 2000), served("a", "0"));
    control.fault(a, Fault::Slow(1e-6)).unwrap();
    // One client disconnects before its flow can have been written, one after.
    let mut early = host.client();
    early.send(&TestCall::read("1", 600_000));
    drop(early);
    let mut late = host.client();
    late.send(&TestCall::read("2", 600_000));
    let recorded = |holds: &dyn Fn(&ServerEvent) -> bool| {
        world.look(|books| books.servers.records().iter().any(|r| holds(&r.event))).unwrap()
    };
    let id = |id: &str| ReqId(RequestId::of(id.as_bytes()).0);
    let received = |of: ReqId| recorded(&|e| matches!(e, ServerEvent::LastByte { req, .. } if *req == of));
    let cancelled = |of: ReqId| recorded(&|e| matches!(e, ServerEvent::Cancelled { req, .. } if *req == of));
    wait_until(|| received(id("2")));
    drop(late);
    wait_until(|| cancelled(id("2")) && (cancelled(id("1")) || !received(id("1"))));
    control.fault(a, Fault::Slow(1.0)).unwrap();
    until_served(&mut stays, 10, |id| served("a", id));
}

pub fn each_of_many_concurrent_clients_gets_its_own_answers<H: Host>() {
    let world = world(spec(&["a", "b"]), ids(1600));
    let host = H::start(&world);
    thread::scope(|scope| {
        for part in 0..8 {
            let mut client = host.client();
            scope.spawn(move || {
                for round in 0..4 {
                    let ids: Vec<String> =
                        (0..50).map(|n| (part * 200 + round * 50 + n).to_string()).collect();
                    ids.iter().for_each(|id| client.send(&TestCall::read(id, 60_000)));
                    for id in &ids {
                        let answer = client.answer();
                        assert!(answer == served("a", id) || answer == served("b", id), "{id}: {answer:?}");
                    }
                }
            });
        }
    });
}

pub fn a_stopping_host_answers_accepted_transactions_and_exits<H: Host>() {
    let world = world(spec(&["a"]), ids(3));
    let (a, control) = (server_no(&world, "a"), world.control());
    let mut host = H::start(&world);
    let mut client = host.client();
    control.pause(a, 60_000_000).unwrap();
    client.send(&TestCall::read("1", 60_000));
    wait_until(|| requests_received(&world, "a") == 1);
    host.stop();
    control.pause(a, 0).unwrap();
    assert_eq!(client.answer(), served("a", "1"));
    host.wait_for_exit();
}
