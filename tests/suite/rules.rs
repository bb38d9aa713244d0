//! Every rule of the node, one case each: for any host.

use crate::harness::*;
use crate::host::{Ask, Caller, Host, Said, served};
use lapisrudder_lab::ledger::{ReqId, ServerEvent};
use lapisrudder_lab::stand::{Fault, Noise, Outage, Scripted, member};
use lapisrudder_model::value::RequestId;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

/// Asks until something is served, with new ids; the id.
fn until_served(caller: &mut impl Caller, from: usize, wanted: impl Fn(&str) -> Said) -> String {
    let ids = (from..from + 2000).map(|id| id.to_string());
    let found = ids.into_iter().find(|id| {
        let said = caller.read(id, 2000);
        let wanted = wanted(id);
        assert!(said == wanted || said.without() || matches!(said, Said::Served(_)), "{said:?}");
        thread::sleep(Duration::from_millis(5));
        said == wanted
    });
    found.expect("served in the end")
}

pub fn a_miss_and_a_write_go_to_the_origin_with_id_list_and_value<H: Host>() {
    let (tell, heard) = mpsc::channel();
    let origin = Scripted::answering(move |request| {
        tell.send(request.text.clone()).unwrap();
        Some(http(if request.text.starts_with("PUT") { "77" } else { "from afar" }))
    })
    .unwrap();
    let mut spec = spec(&["a"]);
    spec.discovery.plan.members = vec![member("o", &origin.address().to_string(), "origin", "z")];
    let world = world(spec, ids(0));
    let host = H::start(&world);
    let mut caller = host.caller();
    assert_eq!(caller.read("a1", 2000), Said::Served("from afar".into()));
    let get = heard.recv_timeout(TEST_TIMEOUT).unwrap();
    assert!(get.starts_with("GET /ka1 ") && get.contains("Req-Id: a1\r\n"), "{get}");
    assert_eq!(caller.ask(&Ask::book("b2", "kb", "hi", "ee")), Said::Receipt("77".into()));
    let put = heard.recv_timeout(TEST_TIMEOUT).unwrap();
    assert!(put.starts_with("PUT /kb ") && put.ends_with("\r\n\r\nhi") && put.contains(",k=ee\r\n"), "{put}");
}

pub fn bad_requests_are_told_and_cost_no_other<H: Host>() {
    let world = world(spec(&["a"]), ids(9));
    let host = H::start(&world);
    let mut caller = host.caller();
    let good = Ask::read("1", 2000);
    caller.send(&good);
    caller.send(&Ask { class: "x", ..Ask::read("2", 2000) });
    caller.send(&Ask { key: "k".repeat(251), ..Ask::read("3", 2000) });
    caller.send(&Ask::read("4", 2000));
    let said: Vec<Said> = (0..4).map(|_| caller.answer()).collect();
    let bad = |what: &str| Said::Bad(what.into());
    assert_eq!(said, [served("a", "1"), bad("unknown class"), bad("bad key"), served("a", "4")]);
    let big = Ask::book("5", "kb", &"x".repeat((4 << 20) + 1), "e");
    assert_eq!(host.caller().ask(&big), bad("object too large"));
    assert_eq!(host.caller().read("6", 2000), served("a", "6"));
}

pub fn a_transaction_that_nobody_serves_gets_one_answer_in_time<H: Host>() {
    let world = world(spec(&["a"]), ids(2));
    world.control().fault(server_no(&world, "a"), Fault::Swallow(1.0)).unwrap();
    let host = H::start(&world);
    let begun = Instant::now();
    let said = host.caller().read("1", 300);
    assert!(said.without(), "{said:?}");
    assert!(begun.elapsed() < Duration::from_secs(20), "by its deadline, not by that of its class");
}

pub fn a_late_answer_reaches_no_other_transaction<H: Host>() {
    let world = world(spec(&["a"]), ids(2002));
    let host = H::start(&world);
    let mut caller = host.caller();
    world.control().pause(server_no(&world, "a"), 60_000_000).unwrap();
    assert!(caller.read("1", 200).without());
    world.control().pause(server_no(&world, "a"), 0).unwrap();
    // The module leaves a silent member alone for a while, and says so.
    until_served(&mut caller, 2, |id| served("a", id));
}

pub fn nothing_new_goes_to_a_member_that_drains<H: Host>() {
    let mut spec = spec(&["a", "b"]);
    spec.servers[1].listed = false;
    let world = world(spec, ids(4000));
    let host = H::start(&world);
    let mut caller = host.caller();
    assert_eq!(caller.read("1", 2000), served("a", "1"));
    let (a, control) = (server_no(&world, "a"), world.control());
    let address = world.addresses().server(0, server_no(&world, "b")).unwrap();
    control.discovery_list(vec![member("b", &address.to_string(), "cache", "z")]).unwrap();
    control.drain(a).unwrap();
    until_served(&mut caller, 2, |id| served("b", id));
    let before = requests_received(&world, "a");
    for id in (3000..3050).map(|id| id.to_string()) {
        assert_eq!(caller.read(&id, 2000), served("b", &id));
    }
    assert_eq!(requests_received(&world, "a"), before);
}

pub fn a_bad_list_changes_nothing<H: Host>() {
    let world = world(spec(&["a"]), ids(10));
    let list = ScriptedDiscovery::start(&world.control().known(0).unwrap());
    let host = H::told_by(list.address());
    let mut caller = host.caller();
    assert_eq!(caller.read("1", 2000), served("a", "1"));
    for (id, text) in
        ["2", "3", "4"].into_iter().zip(["{\"rev\":", "[]", "{\"rev\":9,\"all\":true,\"targets\":[{}]}"])
    {
        list.publish_and_wait(text);
        assert_eq!(caller.read(id, 2000), served("a", id), "{text}");
    }
}

pub fn a_list_that_empties_refuses_and_one_that_fills_serves<H: Host>() {
    let world = world(spec(&["a"]), ids(3000));
    let full = world.control().known(0).unwrap();
    let list = ScriptedDiscovery::start(&full);
    let host = H::told_by(list.address());
    let mut caller = host.caller();
    assert_eq!(caller.read("1", 2000), served("a", "1"));
    list.publish_and_wait(r#"{"rev":90,"all":true,"targets":[]}"#);
    let begun = Instant::now();
    (2..6).for_each(|id| assert_eq!(caller.read(&id.to_string(), 60_000), Said::Refused));
    assert!(begun.elapsed() < Duration::from_secs(30), "at once, not by their deadlines");
    list.publish_and_wait(&full.replace("\"rev\":1,", "\"rev\":91,"));
    until_served(&mut caller, 10, |id| served("a", id));
}

pub fn a_discovery_that_is_down_at_the_start_costs_answers_and_no_more<H: Host>() {
    for (outage, wait_ms) in [(Outage::Unavailable, 60_000), (Outage::Reset, 60_000), (Outage::Silent, 100)] {
        let world = world(spec(&["a"]), ids(3000));
        world.control().discovery_down(Some(outage)).unwrap();
        let host = H::begin(world.addresses().discovery(0).unwrap());
        let mut caller = host.caller();
        let begun = Instant::now();
        let said = caller.read("1", wait_ms);
        assert!(said.without(), "{outage:?}: {said:?}");
        assert!(begun.elapsed() < Duration::from_secs(20), "{outage:?}: at once, not by its deadline");
        world.control().discovery_down(None).unwrap();
        host.ready();
        until_served(&mut caller, 2, |id| served("a", id));
    }
}

pub fn a_member_that_talks_nonsense_costs_only_its_own_flow<H: Host>() {
    let world = world(spec(&["bad", "good"]), ids(50));
    // Another value under a good head is the one thing that nobody could tell.
    let kinds = Noise::ALL.into_iter().filter(|kind| kind.spoils() && *kind != Noise::OtherValue).collect();
    world.control().fault(server_no(&world, "bad"), Fault::Spoil { share: 1.0, kinds }).unwrap();
    let host = H::start(&world);
    let mut caller = host.caller();
    let said: Vec<(String, Said)> = ids(50).map(|id| (id.clone(), caller.read(&id, 2000))).collect();
    let sound = |(id, said): &(String, Said)| *said == served("good", id) || said.without();
    assert!(said.iter().all(sound), "{said:?}");
    assert!(said.iter().any(|(id, said)| *said == served("good", id)), "{said:?}");
    assert!(requests_received(&world, "bad") > 0, "it was asked");
}

pub fn what_a_member_sends_beyond_its_answer_reaches_nobody<H: Host>() {
    for noise in [Noise::SecondCopy, Noise::NoiseBehind, Noise::BadReport] {
        let world = world(spec(&["a"]), ids(20));
        let kinds = [noise].into_iter().collect();
        world.control().fault(server_no(&world, "a"), Fault::Spoil { share: 1.0, kinds }).unwrap();
        let host = H::start(&world);
        let mut caller = host.caller();
        for id in ids(20) {
            assert_eq!(caller.read(&id, 60_000), served("a", &id), "{noise:?}");
        }
    }
}

pub fn an_id_in_use_is_taken_once<H: Host>() {
    let world = world(spec(&["a"]), ids(2));
    let (a, control) = (server_no(&world, "a"), world.control());
    let host = H::start(&world);
    let (mut first, mut second) = (host.caller(), host.caller());
    control.pause(a, 60_000_000).unwrap();
    first.send(&Ask::read("1", 60_000));
    wait_until(|| requests_received(&world, "a") == 1);
    assert_eq!(second.read("1", 60_000), Said::Bad("request id in use".into()));
    control.pause(a, 0).unwrap();
    assert_eq!(first.answer(), served("a", "1"));
}

pub fn a_dead_member_costs_its_keys_a_detour_only<H: Host>() {
    let mut spec = spec(&["gone", "good"]);
    spec.discovery.notice.gone = 600_000_000;
    let world = world(spec, ids(50));
    world.control().kill(server_no(&world, "gone")).unwrap();
    let host = H::start(&world);
    let mut caller = host.caller();
    let said: Vec<(String, Said)> = ids(50).map(|id| (id.clone(), caller.read(&id, 60_000))).collect();
    let good = |(id, said): &&(String, Said)| *said == served("good", id);
    assert!(said.iter().all(|s| good(&s) || s.1.without()), "{said:?}");
    assert!(said.iter().filter(good).count() > 10, "{said:?}");
}

pub fn a_caller_that_leaves_has_its_flow_called_off_and_harms_nobody<H: Host>() {
    let world = world(spec(&["a"]), ids(3000));
    let (a, control) = (server_no(&world, "a"), world.control());
    let host = H::start(&world);
    let mut stays = host.caller();
    assert_eq!(stays.read("0", 2000), served("a", "0"));
    control.fault(a, Fault::Slow(1e-6)).unwrap();
    // One leaves before its flow can have been written, one after.
    let mut early = host.caller();
    early.send(&Ask::read("1", 600_000));
    drop(early);
    let mut late = host.caller();
    late.send(&Ask::read("2", 600_000));
    let told = |holds: &dyn Fn(&ServerEvent) -> bool| {
        world.look(|books| books.servers.records().iter().any(|r| holds(&r.event))).unwrap()
    };
    let id = |id: &str| ReqId(RequestId::of(id.as_bytes()).0);
    let came = |of: ReqId| told(&|e| matches!(e, ServerEvent::LastByte { req, .. } if *req == of));
    let off = |of: ReqId| told(&|e| matches!(e, ServerEvent::Cancelled { req, .. } if *req == of));
    wait_until(|| came(id("2")));
    drop(late);
    wait_until(|| off(id("2")) && (off(id("1")) || !came(id("1"))));
    control.fault(a, Fault::Slow(1.0)).unwrap();
    until_served(&mut stays, 10, |id| served("a", id));
}

pub fn each_of_a_crowd_gets_one_answer_that_is_its_own<H: Host>() {
    let world = world(spec(&["a", "b"]), ids(1600));
    let host = H::start(&world);
    thread::scope(|scope| {
        for part in 0..8 {
            let mut caller = host.caller();
            scope.spawn(move || {
                for round in 0..4 {
                    let ids: Vec<String> =
                        (0..50).map(|n| (part * 200 + round * 50 + n).to_string()).collect();
                    ids.iter().for_each(|id| caller.send(&Ask::read(id, 60_000)));
                    for id in &ids {
                        let said = caller.answer();
                        assert!(said == served("a", id) || said == served("b", id), "{id}: {said:?}");
                    }
                }
            });
        }
    });
}

pub fn a_host_told_to_stop_answers_what_it_took_and_ends<H: Host>() {
    let world = world(spec(&["a"]), ids(3));
    let (a, control) = (server_no(&world, "a"), world.control());
    let mut host = H::start(&world);
    let mut caller = host.caller();
    control.pause(a, 60_000_000).unwrap();
    caller.send(&Ask::read("1", 60_000));
    wait_until(|| requests_received(&world, "a") == 1);
    host.stop();
    control.pause(a, 0).unwrap();
    assert_eq!(caller.answer(), served("a", "1"));
    host.ended();
}
