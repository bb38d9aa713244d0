//! The cost measurement: a relay is run as a process and its time is read.

use lapisrudder_lab::cost::{CostOptions, Shape, cost};
use std::process::Command;
use std::time::Duration;

#[test]
fn a_relay_alone_is_measured_through_its_hidden_sub_command() {
    let program = env!("CARGO_BIN_EXE_lapisrudder-lab");
    let options = CostOptions {
        program: Some(program.into()),
        members: Vec::new(),
        shapes: vec![Shape { connections: 2, depth: 1 }, Shape { connections: 2, depth: 8 }],
        length: Duration::from_millis(200),
        rounds: 1,
        ..CostOptions::usual(String::new())
    };
    let table = cost(&options).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(table.rows.len(), 2);
    for row in &table.rows {
        assert!(row.cpu_us > 0.0 && row.reads_per_s > 100.0 && row.times_relay == 1.0, "{row:?}");
    }
}

#[test]
fn bad_input_is_one_line() {
    for (args, expected) in [
        (&["run", "/nowhere.toml"][..], "/nowhere.toml: cannot be read"),
        (&["compare", "/nowhere.toml", "--a", "x", "--b", "y"], "/nowhere.toml: cannot be read"),
        (&["cost", "--node", "exit 7", "--members", "2"], "the node with 2 members did not come up"),
        (&["serve", "/nowhere.toml"], "/nowhere.toml: cannot be read"),
    ] {
        let done = Command::new(env!("CARGO_BIN_EXE_lapisrudder-lab")).args(args).output().expect("it runs");
        let said = String::from_utf8_lossy(&done.stderr);
        assert_eq!(done.status.code(), Some(2), "{args:?}: {said}");
        assert!(said.lines().count() == 1 && said.contains(expected), "{args:?}: {said}");
    }
}
