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
fn a_lab_that_is_killed_takes_its_nodes_with_it() {
    let dir = lapisrudder_lab::node::scratch("killed").expect("a folder");
    let file = dir.path().join("long.toml");
    let text = "question = \"?\"\nduration_s = 60\n[[load]]\nrate = { steady = { per_s = 1 } }\n\
                [world]\nnodes = { count = 1, ready_within_s = 60 }\n";
    std::fs::write(&file, text).expect("a file");
    let pid = dir.path().join("pid");
    let node = format!("sh -c 'echo $$ > {0}.new; mv {0}.new {0}; sleep 600'", pid.display());
    let mut lab = Command::new(env!("CARGO_BIN_EXE_lapisrudder-lab"));
    lab.arg("run").arg(&file).args(["--node", &node]).arg("--out").arg(dir.path().join("out"));
    let mut lab = lab.stderr(std::process::Stdio::null()).spawn().expect("it runs");
    let begun = std::time::Instant::now();
    let within = || assert!(begun.elapsed() < Duration::from_secs(30));
    while !pid.exists() {
        within();
        std::thread::sleep(Duration::from_millis(10));
    }
    let node = std::fs::read_to_string(&pid).expect("a number");
    let state = || std::fs::read_to_string(format!("/proc/{}/stat", node.trim())).unwrap_or_default();
    assert!(state().contains(" (s"), "the node runs: {}", state());
    lab.kill().and_then(|()| lab.wait()).expect("it was there");
    // Nobody may be left to wait for it: a process that has ended counts as gone.
    while !state().is_empty() && !state().contains(") Z") {
        within();
        std::thread::sleep(Duration::from_millis(10));
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
