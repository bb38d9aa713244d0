//! The node's own program.

use super::{NodeError, quoted};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// The command of the built node: the release build in the target folder that the lab itself is in, or else the program
/// beside it. Run by cargo, as from a fresh clone, it is built first, which takes no time if it is there and newer than
/// its source.
///
/// # Errors
/// There is none, and it cannot be built.
pub fn built() -> Result<String, NodeError> {
    let own = std::env::current_exe().unwrap_or_default();
    let beside = own.with_file_name("lapisrudder");
    let target = own.ancestors().find(|dir| dir.file_name().is_some_and(|name| name == "target"));
    let release = target.map(|target| target.join("release/lapisrudder"));
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    if let (Some(cargo), Some(_)) = (std::env::var_os("CARGO"), &release) {
        build(&PathBuf::from(cargo), &source)?;
    }
    let found = release.iter().chain([&beside]).find(|path| path.is_file());
    let missing = || release.as_ref().unwrap_or(&beside).display().to_string();
    let program = found.ok_or_else(|| NodeError::NoProgram(missing()))?;
    Ok(format!("{} serve", quoted(program)))
}

fn build(cargo: &Path, source: &Path) -> Result<(), NodeError> {
    let mut command = Command::new(cargo);
    command.args(["build", "--release", "--quiet", "--package", "lapisrudder", "--bin", "lapisrudder"]);
    let done = command.current_dir(source).stdin(Stdio::null()).stdout(Stdio::null()).status();
    match done {
        Ok(status) if status.success() => Ok(()),
        Ok(status) => Err(NodeError::Build(status.to_string())),
        Err(e) => Err(NodeError::Build(e.to_string())),
    }
}
