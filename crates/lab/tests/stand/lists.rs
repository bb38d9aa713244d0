//! Discovery as a node sees it.

use super::harness::*;
use lapisrudder_lab::ledger::{DiscoveryEvent, Listed, NodeNo, ServerNo};
use lapisrudder_lab::stand::{Comeback, NodeSpec, Outage, member};
use std::time::{SystemTime, UNIX_EPOCH};

/// Id, state, endpoint and boot time.
type Entry = (String, String, String, i64);

/// A list: its version, whether it is whole, and its entries.
fn parse(body: &str) -> (u64, bool, Vec<Entry>) {
    let json: serde_json::Value = serde_json::from_str(body).unwrap();
    let word = |entry: &serde_json::Value, name: &str| entry[name].as_str().unwrap().to_owned();
    let entry = |e: &serde_json::Value| {
        (word(e, "uid"), word(e, "state"), word(e, "endpoint"), e["boot_ms"].as_i64().unwrap())
    };
    let entries = json["targets"].as_array().unwrap().iter().map(entry).collect();
    (json["rev"].as_u64().unwrap(), json["all"].as_bool().unwrap(), entries)
}

fn discovery(world: &Stand, node: usize) -> Client {
    Client::to(world.addresses().discovery(node).unwrap())
}

#[test]
fn the_list_names_each_party_as_the_node_reaches_it() {
    let mut spec = spec(100.0);
    spec.nodes.push(NodeSpec { name: "n1".into(), zone: 0 });
    spec.discovery.plan.members = vec![member("x", "10.9.9.9:1", "cache", "a")];
    let world = start(spec);
    for node in 0..2 {
        let (status, body) = discovery(&world, node).get("/catalog/members");
        let (_, all, entries) = parse(&body);
        assert_eq!((status, all, entries.len()), (200, true, 4));
        for (uid, state, endpoint, boot_ms) in entries {
            let at = world.server(&uid).and_then(|no| world.addresses().server(node, no));
            assert_eq!(endpoint, at.map_or("10.9.9.9:1".into(), |at| at.to_string()));
            assert_eq!((state.as_str(), boot_ms), ("up", 0));
        }
        assert_eq!(world.control().known(node).unwrap(), body);
    }
    let mut client = discovery(&world, 0);
    let cases = [("/x", 404), ("/catalog/members?hold_ms=1", 400), ("/catalog/members?from=x", 400)];
    for (path, status) in cases {
        assert_eq!(client.get(path).0, status, "{path}");
    }
}

#[test]
fn a_watch_is_told_of_drains_and_restarts() {
    let world = start(spec(100.0));
    let (s0, control) = (no(&world, "s0"), world.control());
    let mut client = discovery(&world, 0);
    let rev = parse(&client.get("/catalog/members").1).0;
    let mut watch = |rev: u64| parse(&client.get(&format!("/catalog/members?from={rev}&hold_ms=10000")).1);
    control.drain(s0).unwrap();
    let (rev, all, entries) = watch(rev);
    assert_eq!((all, entries.len(), entries[0].1.as_str()), (false, 1, "draining"));
    control.kill(s0).unwrap();
    let (rev, _, entries) = watch(rev);
    assert_eq!((entries[0].0.as_str(), entries[0].1.as_str()), ("s0", "removed"));
    let before = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64;
    control.restart(s0, Comeback::default()).unwrap();
    let (rev, _, entries) = watch(rev);
    assert_eq!(entries[0].1, "up");
    assert!((before - 1..=before + 30_000).contains(&entries[0].3), "{} is not after {before}", entries[0].3);
    let s7 = control.restart(s0, Comeback { uid: Some("s7".into()), moved: false }).unwrap();
    let mut seen = std::collections::BTreeMap::new();
    let mut rev = rev;
    // One answer for each, or one for both.
    for _ in 0..2 {
        if seen.len() == 2 {
            break;
        }
        let (now, _, entries) = watch(rev);
        rev = now;
        seen.extend(entries.into_iter().map(|(uid, state, ..)| (uid, state)));
    }
    assert_eq!((seen["s0"].as_str(), seen["s7"].as_str()), ("removed", "up"));
    let books = finish(world).sink;
    let of = |server: ServerNo| -> Vec<(Listed, bool)> {
        told(&books)
            .into_iter()
            .filter_map(|event| match event {
                DiscoveryEvent::Changed { server: s, state, .. } if s == server => Some((state, false)),
                DiscoveryEvent::Told { server: s, state, node: NodeNo(0), .. } if s == server => {
                    Some((state, true))
                }
                _ => None,
            })
            .collect()
    };
    use Listed::{Draining, Removed, Up};
    let expected = [
        (Up, true),
        (Draining, false),
        (Draining, true),
        (Removed, false),
        (Removed, true),
        (Up, false),
        (Up, true),
    ];
    assert_eq!(of(s0)[..7], expected);
    assert_eq!(of(s7), [(Up, false), (Up, true)]);
}

#[test]
fn discovery_goes_down_goes_stale_and_moves() {
    let world = start(spec(100.0));
    let (s0, control) = (no(&world, "s0"), world.control());
    let mut client = discovery(&world, 0);
    let list = "/catalog/members";
    control.discovery_down(Some(Outage::Unavailable)).unwrap();
    assert_eq!(client.get(list).0, 503);
    control.discovery_down(Some(Outage::Reset)).unwrap();
    assert_eq!(client.get(list), (0, "reset".into()));
    control.discovery_down(None).unwrap();
    let mut client = discovery(&world, 0);
    control.discovery_stale(true).unwrap();
    control.kill(s0).unwrap();
    let changed = |books: &mut lapisrudder_lab::stand::Books| {
        told(books).iter().filter(|e| matches!(e, DiscoveryEvent::Changed { .. })).count()
    };
    std::thread::sleep(std::time::Duration::from_millis(20));
    assert_eq!(parse(&client.get(list).1).2.len(), 3, "it tells what it knew");
    assert_eq!(world.look(changed), Some(0));
    control.discovery_stale(false).unwrap();
    let seen = until(|| Some(parse(&client.get(list).1).2.len()).filter(|n| *n == 2));
    assert_eq!((seen, world.look(changed)), (2, Some(1)));
    let old = world.addresses().discovery(0).unwrap();
    let new = control.discovery_move().unwrap()[0];
    assert_ne!(old, new);
    assert_eq!(connect(old), "refused");
    assert_eq!(client.get(list).0, 200, "open connections are served on for a while");
    assert_eq!(Client::to(new).get(list).0, 200);
    assert_eq!(client.answer(), "end");
    let books = finish(world).sink;
    let failed = told(&books).iter().filter(|e| matches!(e, DiscoveryEvent::Failed { .. })).count();
    assert_eq!(failed, 2);
    let left_out = |e: &DiscoveryEvent| matches!(e, DiscoveryEvent::Told { server, state: Listed::Removed, .. } if *server == s0);
    assert!(told(&books).iter().any(left_out), "a whole list without it tells that it has gone");
}
