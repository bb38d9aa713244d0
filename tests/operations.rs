//! The node run day by day: calls on the operators' address, members taken out by hand, drains.

#[allow(dead_code)]
mod harness;

use harness::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
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
    "status\n".chars().for_each(|c| caller.send(c.to_string()));
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
        (answer == value_from("a", &id), answer == value_from("b", &id))
    };
    wait_until(|| read().0);
    assert_eq!(node.call("maint-on a\n"), "ok out\n");
    assert_eq!(node.call("maint-on a\n"), "ok out\n");
    let before = requests_received(&world, "a");
    (0..200).for_each(|_| assert_eq!(read(), (false, true)));
    assert_eq!(requests_received(&world, "a"), before);
    assert_eq!(node.call("maint-off a\n"), "ok may serve\n");
    wait_until(|| {
        thread::sleep(Duration::from_millis(2));
        read().0
    });
}

#[test]
fn a_drained_node_lets_its_clients_go_between_requests_and_comes_back() {
    let world = world(spec(&["a"]), ids(4000));
    let (a, control) = (server_no(&world, "a"), world.control());
    let node = Node::managed(&world, 1024);
    let (mut idle, mut busy) = (node.client(), node.client());
    assert_eq!(idle.ask("mn\r\n"), "MN\r\n");
    control.pause(a, 60_000_000).unwrap();
    busy.send("mg k1 v O1 Pc=read,d=60000\r\n");
    wait_until(|| requests_received(&world, "a") == 1);
    assert_eq!(node.call("standby\n"), "ok draining\n");
    assert_eq!(node.call("standby\n"), "ok draining\n");
    assert_eq!(node.call("status\n"), "fail draining\n");
    assert_eq!(node.client().ask("mn\r\n"), "SERVER_ERROR draining\r\n");
    assert_eq!(idle.answer(), "", "it is closed between requests");
    control.pause(a, 0).unwrap();
    assert_eq!(busy.answer(), value_from("a", "1"), "what was asked is answered");
    assert_eq!(busy.answer(), "", "and then it is closed, too");
    assert_eq!(node.call("active\n"), "ok serving\n");
    assert_eq!(node.call("status\n"), "ok ready\n");
    let mut client = node.client();
    assert_eq!(client.ask("mn\r\n"), "MN\r\n");
    // The server's silence may make the node turn some away for a while.
    let mut ids = ids(4000).skip(2);
    wait_until(|| ids.next().is_some_and(|id| client.read(&id, 60_000) == value_from("a", &id)));
}

#[test]
fn another_process_takes_the_place_of_one_under_load_and_nobody_is_turned_back() {
    const CLIENTS: usize = 24;
    let world = world(spec(&["a", "b"]), ids(200 * CLIENTS));
    let mut node = Node::replaceable(&world, 384);
    let (address, over) = (node.address, Arc::new(AtomicBool::new(false)));
    let served = Arc::new(AtomicUsize::new(0));
    let asks = |n: usize| {
        let (over, served) = (over.clone(), served.clone());
        move || {
            let mut ended = Vec::new();
            let mut client = None;
            for ask in 0.. {
                if over.load(SeqCst) {
                    break;
                }
                // Some keep their connection, some come anew each time.
                let fresh = n.is_multiple_of(3);
                let client = match &mut client {
                    Some(client) if !fresh => client,
                    old => match Client::at(address) {
                        Ok(client) => old.insert(client),
                        Err(e) => {
                            ended.push(format!("connect: {e}"));
                            continue;
                        }
                    },
                };
                let id = (ask % 200 * CLIENTS + n).to_string();
                match client.try_ask(&format!("mg k{id} v O{id} Pc=read,d=60000\r\n")) {
                    Ok(answer) if answer.starts_with("value of") => _ = served.fetch_add(1, SeqCst),
                    Ok(answer) if answer.starts_with("SERVER_ERROR busy") => {}
                    Ok(answer) => ended.push(format!("{answer:?}")),
                    Err(e) => ended.push(e.to_string()),
                }
            }
            ended
        }
    };
    let clients: Vec<_> = (0..CLIENTS).map(|n| thread::spawn(asks(n))).collect();
    for _ in 0..20 {
        let before = served.load(SeqCst);
        wait_until(|| served.load(SeqCst) > before + 10 * CLIENTS);
        let new = node.replace();
        assert!(node.child.wait().unwrap().success());
        node = new;
    }
    over.store(true, SeqCst);
    let mut ended: Vec<String> = clients.into_iter().flat_map(|c| c.join().unwrap()).collect();
    ended.truncate(20);
    assert_eq!(ended, Vec::<String>::new(), "of {}", served.load(SeqCst));
}

#[test]
fn a_ban_and_a_drain_outlive_a_replacement_and_hold_in_both() {
    let world = world(spec(&["a", "b"]), ids(4000));
    let mut old = Node::replaceable(&world, 384);
    assert_eq!(old.call("maint-on a\n"), "ok out\n");
    let mut new = old.replace();
    assert!(old.child.wait().unwrap().success());
    let before = requests_received(&world, "a");
    let mut client = new.client();
    (0..200).for_each(|id| assert_eq!(client.read(&id.to_string(), 60_000), value_from("b", &id.to_string())));
    assert_eq!(requests_received(&world, "a"), before);
    // The one that is on its way out is called, and the other one holds to it.
    let third = Node::beside(&new);
    assert_eq!(new.call("maint-off a\n"), "ok may serve\n");
    assert_eq!(new.call("standby\n"), "ok draining\n");
    wait_until(|| third.call("status\n") == "fail draining\n");
    assert_eq!(third.call("active\n"), "ok serving\n");
    new.signal("-TERM");
    assert!(new.child.wait().unwrap().success());
    let mut client = third.client();
    let mut ids = ids(4000).skip(200);
    wait_until(|| {
        thread::sleep(Duration::from_millis(2));
        ids.next().is_some_and(|id| client.read(&id, 60_000) == value_from("a", &id))
    });
}

#[test]
fn if_the_new_process_dies_the_old_one_goes_on_and_the_next_takes_its_place() {
    let world = world(spec(&["a"]), ids(4000));
    let mut old = Node::replaceable(&world, 384);
    let mut client = old.client();
    assert_eq!(client.read("1", 60_000), value_from("a", "1"));
    let mut new = Node::beside(&old);
    // The client is the new one's by now, or will be.
    wait_until(|| old.call("status\n") == "fail replaced by another process\n");
    new.child.kill().unwrap();
    new.child.wait().unwrap();
    wait_until(|| old.call("status\n") == "ok ready\n");
    let mut client = old.client();
    assert_eq!(client.read("2", 60_000), value_from("a", "2"));
    let third = old.replace();
    assert!(old.child.wait().unwrap().success());
    assert_eq!(client.read("3", 60_000), value_from("a", "3"), "the same connection, at the third process");
    assert_eq!(third.call("status\n"), "ok ready\n");
}

/// Danger: a process that had no member yet when the one before it died never took a client.
#[test]
fn if_the_old_process_dies_before_the_new_one_is_ready_the_new_one_serves() {
    let world = world(spec(&["a"]), ids(10));
    let empty = ScriptedDiscovery::start(r#"{"rev":1,"all":true,"targets":[]}"#);
    let mut old = Node::replaceable_told_by(empty.address(), 384);
    let new = Node::beside_unready(&old);
    wait_until(|| new.call("status\n") == "fail no member may be used yet\n");
    old.child.kill().unwrap();
    old.child.wait().unwrap();
    let a = world.addresses().server(0, server_no(&world, "a")).expect("its address");
    empty.tell(&format!(
        r#"{{"rev":2,"all":true,"targets":[{{"uid":"a","endpoint":"{a}","az":"z","model":"cache","state":"up"}}]}}"#
    ));
    wait_until(|| new.call("status\n") == "ok ready\n");
    let mut client = new.client();
    assert_eq!(client.read("1", 60_000), value_from("a", "1"));
    // And the next one asks there.
    let third = Node::beside(&new);
    wait_until(|| new.call("status\n") == "fail replaced by another process\n");
    assert_eq!(third.client().read("2", 60_000), value_from("a", "2"));
}

#[test]
fn whatever_lies_where_processes_meet_a_node_starts() {
    let world = world(spec(&["a"]), ids(10));
    for left in 0..4 {
        let mut old = Node::replaceable(&world, 384);
        let place = old.meeting_place();
        // A peer that says nothing, or nonsense, or is gone, and a file that is no socket.
        old.child.kill().unwrap();
        old.child.wait().unwrap();
        std::fs::remove_file(&place).unwrap();
        let said: &[u8] = match left {
            0 => b"HTTP/1.1 400 Bad Request\r\n\r\n",
            1 => b"LRto\xff\xff\0\0\0\0\0\0\0\0",
            _ => b"",
        };
        match left {
            3 => std::fs::write(&place, "no socket").unwrap(),
            _ => {
                let listener = std::os::unix::net::UnixListener::bind(&place).unwrap();
                thread::spawn(move || {
                    let (mut peer, _) = listener.accept()?;
                    std::io::Write::write_all(&mut peer, said)
                });
            }
        }
        let new = Node::beside(&old);
        assert_eq!(new.client().read("1", 60_000), value_from("a", "1"), "{left}");
    }
}

#[test]
fn settings_change_whole_or_not_at_all() {
    let world = world(spec(&["a"]), ids(4000));
    let (a, control) = (server_no(&world, "a"), world.control());
    let node = Node::managed(&world, 1024);
    let file = std::cell::RefCell::new(String::new());
    node.reload(|text| file.replace(text.into()) + "");
    let good = file.into_inner();
    let (read, more) = ("\"name\":\"read\"", "\"name\":\"more\"");
    let class = |name: &str| {
        format!(
            r#"{{"effect":"free","give-up-s":2.5,"group":"all",{name},"slo-s":0.75,"window-s":5.0,"worth":5.0}},"#
        )
    };
    let added = good.replace("\"request-classes\":[", &format!("\"request-classes\":[{}", class(more)));
    let asks = |client: &mut Client, class: &str, id: usize| {
        client.ask(&format!("mg k{id} v O{id} Pc={class},d=60000\r\n"))
    };
    let mut client = node.client();
    assert_eq!(asks(&mut client, "more", 1), "CLIENT_ERROR unknown class\r\n");
    // Of a bad file nothing is taken, and the next good one is.
    for bad in [
        "",
        &added[..added.len() / 2],
        &added.replace("2.5", "-1"),
        &added.replace("\"effect\":\"free\",", ""),
    ] {
        node.reload(|_| bad.into());
        assert_eq!(node.call("status\n"), "ok ready\n");
        assert_eq!(asks(&mut client, "more", 2), "CLIENT_ERROR unknown class\r\n");
    }
    node.reload(|_| added.clone());
    let mut ids = (10..4000).filter(|id| id % 7 == 0);
    let mut next = || ids.next().expect("an id");
    wait_until(|| {
        let id = next();
        asks(&mut node.client(), "more", id) == value_from("a", &id.to_string())
    });
    // One that is open when its class goes is answered; the class is known for a while, and then no longer.
    control.pause(a, 60_000_000).unwrap();
    let mut open = node.client();
    let before = requests_received(&world, "a");
    open.send("mg k8 v O8 Pc=read,d=60000\r\n");
    wait_until(|| requests_received(&world, "a") == before + 1);
    let dropped = added.replace(read, "\"name\":\"kept\"");
    assert_ne!(dropped, added);
    node.reload(|_| dropped.clone());
    wait_until(|| asks(&mut node.client(), "gone", next()) == "CLIENT_ERROR unknown class\r\n");
    control.pause(a, 0).unwrap();
    assert_eq!(open.answer(), value_from("a", "8"));
    wait_until(|| {
        thread::sleep(Duration::from_millis(20));
        asks(&mut node.client(), "read", next()) == "CLIENT_ERROR unknown class\r\n"
    });
}
