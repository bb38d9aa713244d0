//! `serve` and `demo`.

use super::measure::run_and_tell;
use super::tool::{Failed, temporary};
use crate::experiment::ExperimentFile;
use crate::node::{Place, config};
use crate::run::RunOptions;
use crate::stand::{Books, Clock, World, spec_of};
use clap::Args;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// The world of `serve` where no file is named.
const SMALL: &str = "question = \"A small world to try a node in by hand.\"\nduration_s = 60\n\
    [world]\nzones = { names = [\"here\"] }\nnodes = { count = 1 }\n\
    servers = [{ name = \"cache\", count = 3 }]\n[[load]]\nrate = { steady = { per_s = 1 } }\n";

const DEMO: &str = include_str!("demo.toml");

#[derive(Args)]
pub(super) struct ServeArgs {
    /// An experiment file whose world is served; a small one if not given. Load and faults are left out.
    file: Option<PathBuf>,
    /// Where the first node is to listen; the others take the ports after it.
    #[arg(long, default_value = "127.0.0.1:11211")]
    listen: SocketAddr,
    /// Where configurations of nodes are written; a folder for temporary files if not given.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// For draws of the world.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// End after so long (seconds) instead of when told to.
    #[arg(long)]
    for_s: Option<f64>,
}

impl ServeArgs {
    pub(super) fn call(&self) -> Result<ExitCode, Failed> {
        let file = match &self.file {
            Some(path) => ExperimentFile::read(path)?,
            None => ExperimentFile::parse("the small world", SMALL)?,
        };
        let e = &file.experiment;
        let world = World::start(spec_of(e, self.seed), Clock::default(), Books::default(), self.seed)?;
        let dir = self.out.clone().unwrap_or_else(|| temporary(Path::new("serve")));
        let told = |path: &Path, e: std::io::Error| format!("cannot write {}: {e}", path.display());
        std::fs::create_dir_all(&dir).map_err(|e| told(&dir, e))?;
        let mut out = std::io::stdout();
        for number in 0..e.world.nodes.count {
            let Some(discovery) = world.addresses().discovery(number) else { continue };
            let port = self.listen.port().saturating_add(number as u16);
            let listen = SocketAddr::new(self.listen.ip(), port);
            let known = Some(serde_json::from_str(&world.control().known(number)?)?);
            let place =
                Place { name: format!("n{number}"), number, listen, discovery, seed: self.seed, known };
            let path = dir.join(format!("n{number}.json"));
            let text = serde_json::to_string_pretty(&config(e, &place))?;
            std::fs::write(&path, text).map_err(|e| told(&path, e))?;
            writeln!(out, "n{number}: discovery at {discovery}, configuration in {}", path.display())?;
            for (no, at) in world.addresses().servers(number) {
                writeln!(out, "    {:8} {at}", world.names().server(no))?;
            }
            writeln!(out, "    EDGE_CONFIG={} target/release/lapisrudder serve", path.display())?;
        }
        let id = "O0000000000000001 Pc=read,d=2000";
        writeln!(
            out,
            "then: printf 'mn\\r\\nmg some-key v {id}\\r\\n' | nc -w 3 {} {}",
            self.listen.ip(),
            self.listen.port()
        )?;
        writeln!(out, "serving until it is ended (Ctrl-C)")?;
        out.flush()?;
        let begun = Instant::now();
        while self.for_s.is_none_or(|s| begun.elapsed().as_secs_f64() < s) {
            std::thread::sleep(Duration::from_millis(50));
            // A world whose thread has ended serves nobody.
            world.control().sync()?;
        }
        world.finish()?;
        Ok(ExitCode::SUCCESS)
    }
}

#[derive(Args)]
pub(super) struct DemoArgs {
    /// Where results and the report go; a folder for temporary files if not given.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// The command line of a node, in place of the built one.
    #[arg(long, value_name = "CMD")]
    node: Option<String>,
}

impl DemoArgs {
    pub(super) fn call(&self) -> Result<ExitCode, Failed> {
        let file = ExperimentFile::parse("demo", DEMO)?;
        let e = &file.experiment;
        eprintln!("{}", e.question);
        eprintln!(
            "{} nodes before {} servers and a slow origin for {} s; then the same plan through a client library.",
            e.world.nodes.count,
            e.world.servers.iter().map(|s| s.count).sum::<usize>(),
            e.duration_s,
        );
        for fault in &e.faults {
            if let crate::experiment::When::At(times) = &fault.when {
                let times: Vec<String> = times.iter().map(f64::to_string).collect();
                eprintln!("  at {} s: {}", times.join(", "), fault.name);
            }
        }
        let out = self.out.clone().unwrap_or_else(|| temporary(Path::new("demo")));
        let options = RunOptions {
            command: self.node.clone(),
            out: Some(out),
            progress: true,
            ..RunOptions::default()
        };
        run_and_tell(&file, &options)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::experiment::schedule;

    #[test]
    fn both_worlds_are_sound_and_the_demo_ends_within_a_minute() {
        assert!(ExperimentFile::parse("small", SMALL).is_ok());
        let demo = ExperimentFile::parse("demo", DEMO).unwrap_or_else(|e| panic!("{e}")).experiment;
        let arms = 1 + demo.rivals.len();
        assert!((demo.duration_s + 3.0) * (arms as f64) < 60.0);
        assert_eq!(schedule(&demo, 1).occurrences.len(), 2);
    }
}
