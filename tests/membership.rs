//! Fleet membership in the running daemon: replacement of a member's process, key changes while running, the
//! number of members that each node counts, and no socket where membership is off. Faults between members are
//! in tests/fleet.rs.

#[allow(dead_code)]
mod harness;

use harness::*;
use lapisrudder_lab::stand::{Books, World};
use serde_json::Value;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::Duration;

/// A fleet at addresses of 127/8 that no other test or process uses.
struct Fleet {
    net: [u8; 3],
    key_file: Option<String>,
}

impl Fleet {
    fn new() -> Fleet {
        static COUNT: AtomicU16 = AtomicU16::new(0);
        let [a, b] = (std::process::id() as u16).to_be_bytes();
        let count = COUNT.fetch_add(1, Ordering::SeqCst) as u8;
        Fleet { net: [127, 64 | a >> 2, b ^ count << 5], key_file: None }
    }

    fn at(&self, node: u8, port: u16) -> SocketAddr {
        let [a, b, c] = self.net;
        ([a, b, c, 1 + node], port).into()
    }

    /// The operators' configuration file of a node, with these lines added.
    fn operators(&self, node: u8, more: &str) -> String {
        let keys = self.key_file.as_ref().map_or(String::new(), |file| format!("key_file = \"{file}\"\n"));
        format!(
            "[fleet]\nlisten = \"{}\"\nseeds = [\"{}\", \"{}\"]\nlook = \"{}\"\n{keys}{more}",
            self.at(node, 7946),
            self.at(0, 7946),
            self.at(1, 7946),
            self.at(node, 7947)
        )
    }

    fn start(&self, node: u8, world: &World<Books>, more: &str) -> Node {
        Node::named(&format!("m{node}"), world, &self.operators(node, more))
    }

    /// A node's view of the members, as `lapisrudder fleet members` prints it.
    fn members(&self, node: u8) -> Vec<Value> {
        let program = env!("CARGO_BIN_EXE_lapisrudder");
        let at = self.at(node, 7947).to_string();
        let out = Command::new(program).args(["fleet", "members", "--at", &at, "--format", "json"]).output();
        let text = String::from_utf8(out.expect("it runs").stdout).expect("text");
        serde_json::from_str(&text).unwrap_or_default()
    }

    /// The same as sorted texts of name and state.
    fn states(&self, node: u8) -> Vec<String> {
        let state = |m: &Value| format!("{} {}", m["name"].as_str().unwrap(), m["state"].as_str().unwrap());
        let mut all: Vec<String> = self.members(node).iter().map(state).collect();
        all.sort();
        all
    }

    fn until_states(&self, node: u8, states: &[&str]) {
        wait_until(|| {
            thread::sleep(Duration::from_millis(50));
            self.states(node) == states
        });
    }

    /// A value that a node reports about itself.
    fn own(&self, node: u8, key: &str) -> Value {
        self.members(node).first().map_or(Value::Null, |own| own["own"][key].clone())
    }
}

/// Fails if other members see a replacement of a member's process as a failure or a restart, or do not see
/// that it leaves.
#[test]
fn a_process_replacement_is_no_membership_event_and_a_leave_is_seen() {
    let world = world(spec(&["a"]), ids(1));
    let fleet = Fleet::new();
    let (_a, _b) = (fleet.start(0, &world, ""), fleet.start(1, &world, ""));
    let mut old = fleet.start(2, &world, "");
    fleet.until_states(0, &["m0 alive", "m1 alive", "m2 alive"]);
    fleet.until_states(2, &["m0 alive", "m1 alive", "m2 alive"]);
    let start_of_m2 = || fleet.members(0).into_iter().find(|m| m["name"] == "m2").map(|m| m["start"].clone());
    let start = start_of_m2();
    let mut watch = TcpStream::connect(fleet.at(0, 7947)).expect("a call");
    watch.write_all(b"watch\n").expect("written");
    let mut watch = BufReader::new(watch);
    let mut line = String::new();
    watch.read_line(&mut line).expect("the present members");
    let new = old.replace();
    assert!(old.child.wait().expect("its end").success());
    // Long enough for a suspicion to end, had one begun.
    thread::sleep(Duration::from_secs(4));
    fleet.until_states(2, &["m0 alive", "m1 alive", "m2 alive"]);
    assert_eq!(start_of_m2(), start, "the other members see the same process");
    new.signal("-TERM");
    line.clear();
    watch.read_line(&mut line).expect("a change");
    let first: Value = serde_json::from_str(&line).expect("JSON");
    assert_eq!(
        (&first["name"], &first["state"]),
        (&"m2".into(), &"left".into()),
        "the first change after the replacement: {line}"
    );
}

/// Fails if members lose each other while their keys are changed, if a node without a key gets in, or if a
/// bad key file is applied.
#[test]
fn keys_can_change_while_running_and_a_node_without_them_is_rejected() {
    let world = world(spec(&["a"]), ids(1));
    let mut fleet = Fleet::new();
    let path = std::env::temp_dir().join(format!("lr-keys-{}", std::process::id()));
    let [old, new] = ["0a".repeat(32), "0b".repeat(32)];
    let write = |keys: &[&str]| std::fs::write(&path, keys.join("\n")).expect("written");
    write(&[&old]);
    fleet.key_file = Some(path.display().to_string());
    let nodes = [fleet.start(0, &world, ""), fleet.start(1, &world, "")];
    fleet.until_states(0, &["m0 alive", "m1 alive"]);
    fleet.key_file = None;
    let _stranger = fleet.start(2, &world, "");
    wait_until(|| fleet.own(0, "refused").as_u64() > Some(0));
    for keys in [&[&old[..], &new][..], &[&new, &old], &[&new]] {
        write(keys);
        nodes.iter().for_each(|node| node.signal("-HUP"));
        thread::sleep(Duration::from_millis(1500));
    }
    // Both changed from the old key to the new one and still see each other.
    thread::sleep(Duration::from_secs(3));
    assert_eq!(fleet.states(0), ["m0 alive", "m1 alive"]);
    assert_eq!(fleet.states(1), ["m0 alive", "m1 alive"]);
    assert_eq!(fleet.states(2), ["m2 alive"]);
    // A bad file changes nothing.
    write(&["0c"]);
    nodes.iter().for_each(|node| node.signal("-HUP"));
    thread::sleep(Duration::from_secs(2));
    assert_eq!(fleet.states(1), ["m0 alive", "m1 alive"]);
}

/// Fails if a node counts fewer members than it has seen or is set to expect, or does not count one less
/// after a leave.
#[test]
fn the_member_count_is_that_seen_or_expected_and_falls_only_after_a_leave() {
    let world = world(spec(&["a"]), ids(1));
    let fleet = Fleet::new();
    let a = fleet.start(0, &world, "expected = 2\nhold_s = 1\n");
    assert_eq!(fleet.own(0, "counted"), 2);
    let (_b, c) = (fleet.start(1, &world, ""), fleet.start(2, &world, ""));
    wait_until(|| fleet.own(0, "counted") == 3);
    c.signal("-TERM");
    wait_until(|| fleet.own(0, "counted") == 2);
    // The expected number can change while the node runs.
    a.reload_operator_config(&fleet.operators(0, "expected = 7\nhold_s = 1\n"));
    wait_until(|| fleet.own(0, "counted") == 7);
    // A bad file changes nothing.
    a.reload_operator_config(&fleet.operators(0, "expected = 0\n"));
    thread::sleep(Duration::from_millis(300));
    assert_eq!(fleet.own(0, "counted"), 7);
}

/// Fails if a node opens a datagram socket although membership is off.
#[test]
fn without_membership_a_node_opens_no_datagram_socket() {
    let world = world(spec(&["a"]), ids(1));
    let node = Node::start(&world);
    let datagram_sockets = |pid: u32| {
        let udp = std::fs::read_to_string(format!("/proc/{pid}/net/udp")).expect("the kernel's socket table");
        let inodes: Vec<&str> = udp.lines().skip(1).filter_map(|l| l.split_whitespace().nth(9)).collect();
        let open = std::fs::read_dir(format!("/proc/{pid}/fd")).expect("descriptors");
        let open = open.filter_map(|fd| std::fs::read_link(fd.ok()?.path()).ok()?.to_str().map(String::from));
        open.filter(|to| inodes.iter().any(|inode| *to == format!("socket:[{inode}]"))).count()
    };
    assert_eq!(datagram_sockets(node.child.id()), 0);
    let fleet = Fleet::new();
    let other = fleet.start(0, &world, "");
    assert_eq!(
        datagram_sockets(other.child.id()),
        1,
        "the same check finds the socket where membership is on"
    );
}
