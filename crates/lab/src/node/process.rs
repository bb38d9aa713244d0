//! One process that the lab has started, and only such a one.

use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use std::fs::File;
use std::io;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Why a process cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The command line is empty.
    #[error("the command is empty")]
    Empty,
    /// It does not start.
    #[error("cannot start `{command}`: {source}")]
    Start {
        /// The command line.
        command: String,
        /// Why.
        source: io::Error,
    },
    /// Its output cannot be kept.
    #[error("cannot write {path}: {source}")]
    Log {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// Its limit cannot be set.
    #[error("cannot limit the descriptors of `{command}` to {limit}: {source}")]
    Limit {
        /// The command line.
        command: String,
        /// Descriptors.
        limit: u32,
        /// Why.
        source: io::Error,
    },
}

/// The lab's own program.
const LAB: &str = "lapisrudder-lab";

fn shell(command: &str) -> Command {
    let mut shell = Command::new("/bin/sh");
    shell.arg("-c").arg(format!("exec {command}"));
    shell
}

/// Becomes a command that is killed as soon as its parent ends: for a process that the lab has just started to run a
/// node. Comes back only with an error.
pub fn become_under(parent: u32, command: &str) -> io::Error {
    use std::os::unix::process::CommandExt;
    let asked = rustix::process::set_parent_process_death_signal(Some(Signal::KILL));
    if let Err(e) = asked {
        return e.into();
    }
    // It may have ended before this was asked for.
    let parent_is = rustix::process::getppid().map(|pid| pid.as_raw_nonzero().get());
    if parent_is != i32::try_from(parent).ok() {
        return io::Error::other("the lab has ended");
    }
    shell(command).exec()
}

/// A running process. It is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    ended: Option<ExitStatus>,
}

impl Process {
    /// Starts a command line through the shell, which becomes the program: signals reach that. Its output is appended
    /// to a file. `sockets` limits its descriptors.
    ///
    /// # Errors
    /// It cannot be started or limited.
    pub fn start(
        command: &str,
        env: &[(&str, String)],
        log: &Path,
        sockets: Option<u32>,
    ) -> Result<Self, ProcessError> {
        if command.trim().is_empty() {
            return Err(ProcessError::Empty);
        }
        let file = |path: &Path| {
            let opened = File::options().create(true).append(true).open(path);
            opened.map_err(|source| ProcessError::Log { path: path.display().to_string(), source })
        };
        let (out, err) = (file(log)?, file(log)?);
        // The lab's own program goes first where this is it: what it becomes ends with the lab, however that ends.
        let own = std::env::current_exe().ok().filter(|own| own.file_stem().is_some_and(|stem| stem == LAB));
        let mut shell = match own {
            Some(own) => {
                let mut lab = Command::new(own);
                lab.arg("under").arg(std::process::id().to_string()).arg(command);
                lab
            }
            None => shell(command),
        };
        shell.envs(env.iter().map(|(k, v)| (k, v)));
        shell.stdin(Stdio::null()).stdout(out).stderr(err);
        let start = |source| ProcessError::Start { command: command.into(), source };
        let process = Self { child: shell.spawn().map_err(start)?, ended: None };
        if let (Some(limit), Some(pid)) = (sockets, process.raw()) {
            let most = Rlimit { current: Some(limit.into()), maximum: Some(limit.into()) };
            prlimit(Some(pid), Resource::Nofile, most).map_err(|e| ProcessError::Limit {
                command: command.into(),
                limit,
                source: e.into(),
            })?;
        }
        Ok(process)
    }

    fn raw(&self) -> Option<Pid> {
        i32::try_from(self.child.id()).ok().and_then(Pid::from_raw)
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Its exit status once it has ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        if self.ended.is_none() {
            self.ended = self.child.try_wait().ok().flatten();
        }
        self.ended
    }

    /// Sends a signal, unless it has ended: its number could be another's by then.
    pub fn signal(&mut self, signal: Signal) {
        if self.ended().is_none()
            && let Some(pid) = self.raw()
        {
            // It may end meanwhile; until it is waited for its number stays its own.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills it outright and waits for its end.
    pub fn kill(&mut self) {
        if self.ended().is_none() {
            // An error means that it has ended.
            let _ = self.child.kill();
            self.ended = self.child.wait().ok();
        }
    }

    /// Waits for its end for so long.
    pub fn wait(&mut self, most: Duration) -> Option<ExitStatus> {
        let begun = Instant::now();
        while self.ended().is_none() && begun.elapsed() < most {
            std::thread::sleep(Duration::from_millis(2));
        }
        self.ended()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::fs;

    #[test]
    fn a_process_gets_its_environment_limit_and_signals_and_its_output_is_kept() {
        let dir = crate::node::scratch("process-test").unwrap_or_else(|e| panic!("{e}"));
        let log = dir.path().join("log");
        let env = [("SAID", "hello".to_owned())];
        let start =
            |command: &str| Process::start(command, &env, &log, Some(77)).unwrap_or_else(|e| panic!("{e}"));
        // The limit is set just after the start: the program may see itself without it for a moment.
        let limited = "while [ $(ulimit -n) != 77 ]; do :; done; echo $SAID; exit 3";
        let mut said = start(&format!("sh -c '{limited}'"));
        assert_eq!(said.wait(Duration::from_secs(20)).and_then(|s| s.code()), Some(3));
        assert_eq!(fs::read_to_string(&log).unwrap_or_default(), "hello\n");
        let mut asleep = start("sleep 600");
        assert!(asleep.ended().is_none());
        asleep.signal(Signal::TERM);
        let status = asleep.wait(Duration::from_secs(20));
        assert!(status.is_some_and(|s| s.code().is_none()), "{status:?}");
        // Nothing is left to signal.
        asleep.signal(Signal::KILL);
        assert!(matches!(Process::start(" ", &[], &log, None), Err(ProcessError::Empty)));
    }
}
