//! Operation of a node: management calls, members banned by hand, drains, replacement of the process,
//! reloads.

#[allow(dead_code)]
mod harness;

use harness::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::thread;
use std::time::Duration;

/// Fails if a management call gets no answer, more than one line or the wrong one, or if its connection stays
/// open.
#[test]
fn each_management_call_gets_one_line_and_a_close() {
    let world = world(spec(&["a"]), ids(2));
    let node = Node::with_management(&world, 1024);
    let endless = "x".repeat(1 << 20);
    for (call, answer) in [
        ("status\n", "ok ready\n"),
        ("status\r\nstandby\r\n", "ok ready\n"),
        ("maint-on nobody\n", "fail no such server was ever listed\n"),
        ("maint-off nobody\n", "fail no such server was ever listed\n"),
        ("maint-on\n", "fail the id is missing\n"),
        ("status now\n", "fail surplus words\n"),
        ("maint-off a\n", "ok may serve\n"),
        ("active\n", "ok serving\n"),
    ] {
        let mut caller = node.open_call(call);
        assert_eq!(caller.answer(), answer, "{call:?}");
        assert_eq!(caller.answer(), "", "the connection closes after one line");
    }
    assert!(node.call("restart\n").starts_with("fail unknown call"));
    let caller = node.open_call("");
    caller.send_in_background(&endless);
    let mut caller = caller;
    assert_eq!(caller.answer(), "fail line too long\n");
    let mut caller = node.open_call("");
    "status\n".chars().for_each(|c| caller.send(c.to_string()));
    assert_eq!(caller.answer(), "ok ready\n");
}

/// Fails if calls that are found in one event-loop iteration are carried out in another order than they came:
/// the earlier one of two that contradict each other would hold.
#[test]
fn management_calls_that_are_found_together_are_carried_out_in_order() {
    let world = world(spec(&["a"]), ids(2));
    let node = Node::with_management(&world, 1024);
    for (calls, status) in [
        (["active\n", "active\n", "standby\n"], "fail draining\n"),
        (["standby\n", "standby\n", "active\n"], "ok ready\n"),
    ] {
        node.pause_process();
        let mut callers: Vec<Client> = calls.iter().map(|call| node.open_call(call)).collect();
        node.signal("-CONT");
        callers.iter_mut().for_each(|caller| assert!(caller.answer().starts_with("ok ")));
        assert_eq!(node.call("status\n"), status, "after {calls:?}");
    }
}

/// Fails if silent management connections and more clients than there are descriptors keep a call from being
/// answered.
#[test]
fn silent_callers_and_many_clients_do_not_delay_a_management_call() {
    let world = world(spec(&["a"]), ids(2));
    let node = Node::with_management(&world, 128);
    let clients: Vec<Client> = (0..200).map(|_| node.client()).collect();
    let callers: Vec<Client> = (0..200).map(|n| node.open_call(["", "stat", "maint-on a"][n % 3])).collect();
    assert_eq!(node.call("status\n"), "ok ready\n");
    drop((clients, callers));
    assert_eq!(node.call("status\n"), "ok ready\n");
}

/// Fails if a banned member still gets requests, or gets none after the ban is lifted.
#[test]
fn a_banned_member_gets_no_request_until_the_ban_is_lifted() {
    let world = world(spec(&["a", "b"]), ids(4000));
    let node = Node::with_management(&world, 1024);
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

/// Fails if a drain closes a connection that has a pending answer or leaves an idle one open, or if the node
/// does not serve again after `active`.
#[test]
fn a_draining_node_closes_clients_between_requests_and_can_serve_again() {
    let world = world(spec(&["a"]), ids(4000));
    let (a, control) = (server_no(&world, "a"), world.control());
    let node = Node::with_management(&world, 1024);
    let (mut idle, mut busy) = (node.client(), node.client());
    assert_eq!(idle.ask("mn\r\n"), "MN\r\n");
    control.pause(a, 60_000_000).unwrap();
    busy.send("mg k1 v O1 Pc=read,d=60000\r\n");
    wait_until(|| requests_received(&world, "a") == 1);
    assert_eq!(node.call("standby\n"), "ok draining\n");
    assert_eq!(node.call("standby\n"), "ok draining\n");
    assert_eq!(node.call("status\n"), "fail draining\n");
    assert_eq!(node.client().ask("mn\r\n"), "SERVER_ERROR draining\r\n");
    assert_eq!(idle.answer(), "", "the connection closes between requests");
    control.pause(a, 0).unwrap();
    assert_eq!(busy.answer(), value_from("a", "1"), "the pending request is answered");
    assert_eq!(busy.answer(), "", "then its connection closes, too");
    assert_eq!(node.call("active\n"), "ok serving\n");
    assert_eq!(node.call("status\n"), "ok ready\n");
    let mut client = node.client();
    assert_eq!(client.ask("mn\r\n"), "MN\r\n");
    // After the server's pause the node may reject some requests for a while.
    let mut ids = ids(4000).skip(2);
    wait_until(|| ids.next().is_some_and(|id| client.read(&id, 60_000) == value_from("a", &id)));
}

/// Fails if a connection is refused or reset, or a request lost, while processes replace each other under
/// load.
#[test]
fn a_replacement_under_load_refuses_no_connection_and_loses_no_request() {
    const CLIENTS: usize = 24;
    let world = world(spec(&["a", "b"]), ids(200 * CLIENTS));
    let mut node = Node::replaceable(&world, 384);
    let (address, stop) = (node.address, Arc::new(AtomicBool::new(false)));
    let served = Arc::new(AtomicUsize::new(0));
    let run_client = |n: usize| {
        let (stop, served) = (stop.clone(), served.clone());
        move || {
            let mut errors = Vec::new();
            let mut client = None;
            for ask in 0.. {
                if stop.load(SeqCst) {
                    break;
                }
                // One client in three opens a new connection for each request.
                let reconnects = n.is_multiple_of(3);
                let client = match &mut client {
                    Some(client) if !reconnects => client,
                    old => match Client::connect(address) {
                        Ok(client) => old.insert(client),
                        Err(e) => {
                            errors.push(format!("connect: {e}"));
                            continue;
                        }
                    },
                };
                let id = (ask % 200 * CLIENTS + n).to_string();
                match client.try_ask(&format!("mg k{id} v O{id} Pc=read,d=60000\r\n")) {
                    Ok(answer) if answer.starts_with("value of") => _ = served.fetch_add(1, SeqCst),
                    Ok(answer) if answer.starts_with("SERVER_ERROR busy") => {}
                    Ok(answer) => errors.push(format!("{answer:?}")),
                    Err(e) => errors.push(e.to_string()),
                }
            }
            errors
        }
    };
    let clients: Vec<_> = (0..CLIENTS).map(|n| thread::spawn(run_client(n))).collect();
    for _ in 0..20 {
        let before = served.load(SeqCst);
        wait_until(|| served.load(SeqCst) > before + 10 * CLIENTS);
        let new = node.replace();
        assert!(node.child.wait().unwrap().success());
        node = new;
    }
    stop.store(true, SeqCst);
    let mut errors: Vec<String> = clients.into_iter().flat_map(|c| c.join().unwrap()).collect();
    errors.truncate(20);
    assert_eq!(errors, Vec::<String>::new(), "with {} requests served", served.load(SeqCst));
}

/// Fails if a successor forgets a ban or a drain, or if a call to the old process does not reach its
/// successor.
#[test]
fn a_ban_and_a_drain_survive_a_replacement_and_hold_at_both_processes() {
    let world = world(spec(&["a", "b"]), ids(4000));
    let mut old = Node::replaceable(&world, 384);
    assert_eq!(old.call("maint-on a\n"), "ok out\n");
    let mut new = old.replace();
    assert!(old.child.wait().unwrap().success());
    let before = requests_received(&world, "a");
    let mut client = new.client();
    (0..200)
        .for_each(|id| assert_eq!(client.read(&id.to_string(), 60_000), value_from("b", &id.to_string())));
    assert_eq!(requests_received(&world, "a"), before);
    // Calls to the process that is being replaced also hold at its successor.
    let third = Node::start_successor(&new);
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

/// Fails if the old process does not serve again after its ready successor died, or if the next successor
/// cannot take over.
#[test]
fn after_a_successor_dies_the_old_process_serves_and_the_next_takes_over() {
    let world = world(spec(&["a"]), ids(4000));
    let mut old = Node::replaceable(&world, 384);
    let mut client = old.client();
    assert_eq!(client.read("1", 60_000), value_from("a", "1"));
    let mut new = Node::start_successor(&old);
    // The client's connection has been handed to the successor, or soon will be.
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

/// Fails if a successor that had no usable member yet when the old process died never accepts a client.
#[test]
fn a_successor_serves_after_the_old_process_dies_before_it_is_ready() {
    let world = world(spec(&["a"]), ids(10));
    let discovery = ScriptedDiscovery::start(r#"{"rev":1,"all":true,"targets":[]}"#);
    let mut old = Node::replaceable_with_discovery(discovery.address(), 384);
    let new = Node::spawn_successor(&old);
    wait_until(|| new.call("status\n") == "fail no member may be used yet\n");
    old.child.kill().unwrap();
    old.child.wait().unwrap();
    let a = world.addresses().server(0, server_no(&world, "a")).expect("its address");
    discovery.publish_and_wait(&format!(
        r#"{{"rev":2,"all":true,"targets":[{{"uid":"a","endpoint":"{a}","az":"z","model":"cache","state":"up"}}]}}"#
    ));
    wait_until(|| new.call("status\n") == "ok ready\n");
    let mut client = new.client();
    assert_eq!(client.read("1", 60_000), value_from("a", "1"));
    // The next process takes over from this one.
    let third = Node::start_successor(&new);
    wait_until(|| new.call("status\n") == "fail replaced by another process\n");
    assert_eq!(third.client().read("2", 60_000), value_from("a", "2"));
}

/// Fails if a node does not start because the path of its take-over socket holds a file that is no socket, or
/// a peer that speaks another protocol, sends a corrupt frame or closes at once.
#[test]
fn a_node_starts_whatever_is_at_the_path_of_its_takeover_socket() {
    let world = world(spec(&["a"]), ids(10));
    for case in 0..4 {
        let mut old = Node::replaceable(&world, 384);
        let path = old.takeover_socket();
        // A peer that speaks another protocol, sends a corrupt frame or closes without a byte; a file that is
        // no socket.
        old.child.kill().unwrap();
        old.child.wait().unwrap();
        std::fs::remove_file(&path).unwrap();
        let reply: &[u8] = match case {
            0 => b"HTTP/1.1 400 Bad Request\r\n\r\n",
            1 => b"LRto\xff\xff\0\0\0\0\0\0\0\0",
            _ => b"",
        };
        match case {
            3 => std::fs::write(&path, "no socket").unwrap(),
            _ => {
                let listener = std::os::unix::net::UnixListener::bind(&path).unwrap();
                thread::spawn(move || {
                    let (mut peer, _) = listener.accept()?;
                    std::io::Write::write_all(&mut peer, reply)
                });
            }
        }
        let new = Node::start_successor(&old);
        assert_eq!(new.client().read("1", 60_000), value_from("a", "1"), "{case}");
    }
}

/// Fails if a reload applies part of a bad configuration file, ignores the good one after it, or fails a
/// request whose class was removed.
#[test]
fn a_reload_applies_all_of_a_file_or_nothing() {
    let world = world(spec(&["a"]), ids(4000));
    let (a, control) = (server_no(&world, "a"), world.control());
    let node = Node::with_management(&world, 1024);
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
    let read_as = |client: &mut Client, class: &str, id: usize| {
        client.ask(&format!("mg k{id} v O{id} Pc={class},d=60000\r\n"))
    };
    let mut client = node.client();
    assert_eq!(read_as(&mut client, "more", 1), "CLIENT_ERROR unknown class\r\n");
    // Nothing of a bad file is applied, and the next good one is.
    for bad in [
        "",
        &added[..added.len() / 2],
        &added.replace("2.5", "-1"),
        &added.replace("\"effect\":\"free\",", ""),
    ] {
        node.reload(|_| bad.into());
        assert_eq!(node.call("status\n"), "ok ready\n");
        assert_eq!(read_as(&mut client, "more", 2), "CLIENT_ERROR unknown class\r\n");
    }
    node.reload(|_| added.clone());
    let mut ids = (10..4000).filter(|id| id % 7 == 0);
    let mut next = || ids.next().expect("an id");
    wait_until(|| {
        let id = next();
        read_as(&mut node.client(), "more", id) == value_from("a", &id.to_string())
    });
    // A request in flight when its class is removed is still answered; the class stays known for a while.
    control.pause(a, 60_000_000).unwrap();
    let mut open = node.client();
    let before = requests_received(&world, "a");
    open.send("mg k8 v O8 Pc=read,d=60000\r\n");
    wait_until(|| requests_received(&world, "a") == before + 1);
    let renamed = added.replace(read, "\"name\":\"kept\"");
    assert_ne!(renamed, added);
    node.reload(|_| renamed.clone());
    wait_until(|| read_as(&mut node.client(), "gone", next()) == "CLIENT_ERROR unknown class\r\n");
    control.pause(a, 0).unwrap();
    assert_eq!(open.answer(), value_from("a", "8"));
    wait_until(|| {
        thread::sleep(Duration::from_millis(20));
        read_as(&mut node.client(), "read", next()) == "CLIENT_ERROR unknown class\r\n"
    });
}
