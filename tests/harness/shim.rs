//! Builds and starts the program with the fault shim preloaded, which makes its system calls fail by a fault
//! table.

use super::{Node, SETTINGS};
use lapisrudder_fault_shim::{Call, Control, table};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Paths of the program and of the shim's library, built on first use. `rustix_use_libc` is needed: without
/// it rustix makes raw system calls, which a preloaded library does not see.
fn build_once() -> &'static (PathBuf, PathBuf) {
    static BUILT: OnceLock<(PathBuf, PathBuf)> = OnceLock::new();
    BUILT.get_or_init(|| {
        let root = Path::new(env!("CARGO_MANIFEST_DIR"));
        let target = root.join("target/faults");
        let mut cargo = Command::new(env!("CARGO"));
        cargo.current_dir(root).env("RUSTFLAGS", "--cfg rustix_use_libc").arg("build").arg("--target-dir");
        cargo.arg(&target).args(["-q", "-p", "lapisrudder", "-p", "lapisrudder-fault-shim"]);
        cargo.args(["--features", "lapisrudder-fault-shim/interpose"]);
        assert!(cargo.status().expect("cargo").success(), "the program cannot be built for the fault shim");
        (target.join("debug/lapisrudder"), target.join("debug/liblapisrudder_fault_shim.so"))
    })
}

/// The lab's command line of a node with the shim preloaded; `tables` is a fault table or a folder of them.
pub fn command_line(tables: &Path) -> String {
    let (program, library) = build_once();
    let (program, library, tables) = (program.display(), library.display(), tables.display());
    format!("env LD_PRELOAD='{library}' {}='{tables}' '{program}' serve", table::VARIABLE)
}

/// The same command with the shim preloaded and this fault table.
pub fn with_shim_loaded(command: &Command, faults: &Path) -> Command {
    let (program, library) = build_once();
    let mut shimmed = Command::new(program);
    shimmed.args(command.get_args());
    shimmed.envs(command.get_envs().filter_map(|(name, value)| Some((name, value?))));
    shimmed.env("LD_PRELOAD", library).env(table::VARIABLE, faults);
    shimmed.stdout(Stdio::piped()).stderr(Stdio::piped());
    shimmed
}

/// A fault table without rules; they are added while the node runs.
pub fn new_fault_table(seed: u64) -> Control {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let count = COUNT.fetch_add(1, Ordering::SeqCst);
    let path = format!("{}/faults-{}-{count}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    Control::create(Path::new(&path), seed).expect("a table")
}

/// Starts a node with a fault table, and enters the ports of discovery and management there: rules that
/// apply to one kind of descriptor recognise its connections by these ports.
pub fn start_node(discovery: SocketAddr, faults: &Control) -> Node {
    faults.set(table::DISCOVERY_PORT, discovery.port().into()).expect("set");
    let node = Node::with_faults(discovery, SETTINGS, faults.path());
    faults.set(table::MANAGEMENT_PORT, node.management().port().into()).expect("set");
    node
}

/// How many of these calls the shim has made fail.
pub fn faults_delivered(faults: &Control, calls: &[Call]) -> u64 {
    calls.iter().map(|call| faults.delivered(*call).expect("a count")).sum()
}
