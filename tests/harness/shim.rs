//! The program with its system calls within reach of the fault shim, and tables of faults for it.

use super::{Node, SETTINGS};
use lapisrudder_fault_shim::{Call, Control, table};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The program and the library, built once. Danger: without this switch rustix makes raw system calls, which no library sees.
fn built() -> &'static (PathBuf, PathBuf) {
    static BUILT: OnceLock<(PathBuf, PathBuf)> = OnceLock::new();
    BUILT.get_or_init(|| {
        let root = Path::new(env!("CARGO_MANIFEST_DIR"));
        let target = root.join("target/faults");
        let mut cargo = Command::new(env!("CARGO"));
        cargo.current_dir(root).env("RUSTFLAGS", "--cfg rustix_use_libc").arg("build").arg("--target-dir");
        cargo.arg(&target).args(["-q", "-p", "lapisrudder", "-p", "lapisrudder-fault-shim"]);
        cargo.args(["--features", "lapisrudder-fault-shim/interpose"]);
        assert!(cargo.status().expect("cargo").success(), "the program for the shim cannot be built");
        (target.join("debug/lapisrudder"), target.join("debug/liblapisrudder_fault_shim.so"))
    })
}

/// The command line of a node that the shim reaches, for the lab; `tables` is a table or a folder of them.
pub fn command_line(tables: &Path) -> String {
    let (program, library) = built();
    let (program, library, tables) = (program.display(), library.display(), tables.display());
    format!("env LD_PRELOAD='{library}' {}='{tables}' '{program}' serve", table::VARIABLE)
}

/// The same command on the program that the shim reaches, under that table.
pub fn reached_by_it(command: &Command, faults: &Path) -> Command {
    let (program, library) = built();
    let mut same = Command::new(program);
    same.args(command.get_args());
    same.envs(command.get_envs().filter_map(|(name, value)| Some((name, value?))));
    same.env("LD_PRELOAD", library).env(table::VARIABLE, faults);
    same.stdout(Stdio::piped()).stderr(Stdio::piped());
    same
}

/// A table of faults without rules so far.
pub fn table(seed: u64) -> Control {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let count = COUNT.fetch_add(1, Ordering::SeqCst);
    let path = format!("{}/faults-{}-{count}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    Control::create(Path::new(&path), seed).expect("a table")
}

/// A node under a table of faults, which knows from now on what its connections are.
pub fn start(discovery: SocketAddr, faults: &Control) -> Node {
    faults.set(table::DISCOVERY_PORT, discovery.port().into()).expect("set");
    let node = Node::failing(discovery, SETTINGS, faults.path());
    faults.set(table::MANAGEMENT_PORT, node.management().port().into()).expect("set");
    node
}

/// How often the calls were failed.
pub fn delivered(faults: &Control, calls: &[Call]) -> u64 {
    calls.iter().map(|call| faults.delivered(*call).expect("a count")).sum()
}
