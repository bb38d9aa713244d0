//! Runs of an experiment: every point of its sweep with every seed, the nodes and the simple policies in turn on the
//! same plan, to ledgers, verdicts and a report.

mod arm;
mod changes;
pub(crate) mod fill;
mod progress;
mod sink;
mod table;
mod versus;

pub use arm::{ArmSpec, Played, play};
pub use progress::Progress;
pub use table::table;
pub use versus::{COMPARED, Versus, VersusOptions, versus};

use crate::experiment::{Condition, Experiment, ExperimentFile, FileError, Point};
use crate::faults::HandsError;
use crate::ledger::write_jsonl;
use crate::load::LoadError;
use crate::node::NodeError;
use crate::report::{self, Folder, StoreError};
use crate::stand::{ControlError, StandError};
use crate::stats::{Arm, RunResult, judge};
use std::fs::{self, File};
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Why an experiment could not be run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// Its file.
    #[error(transparent)]
    File(#[from] FileError),
    /// The stand-ins.
    #[error(transparent)]
    Stand(#[from] StandError),
    /// The stand-ins while the run went on.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// The nodes.
    #[error(transparent)]
    Node(#[from] NodeError),
    /// The load.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The faults.
    #[error(transparent)]
    Hands(#[from] HandsError),
    /// The report.
    #[error(transparent)]
    Report(#[from] StoreError),
    /// What came of it cannot be written.
    #[error("cannot write {path}: {source}")]
    Write {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
}

/// How to run.
#[derive(Clone, Debug, Default)]
pub struct RunOptions {
    /// In place of the file's seeds, if any.
    pub seeds: Vec<u64>,
    /// In place of the experiment's command of a node.
    pub command: Option<String>,
    /// Leaves the simple policies out.
    pub no_rivals: bool,
    /// Where results, the nodes' output and the report go; nowhere if none is named.
    pub out: Option<PathBuf>,
    /// Raw records go there, too.
    pub keep_records: bool,
    /// A running line on the terminal.
    pub progress: bool,
    /// The load's thread stands still that long after the start of the load, for so long: to test that it is noticed.
    pub stall: Option<(Duration, Duration)>,
}

impl RunOptions {
    /// The command of a node: given here, or by the experiment, or the built one.
    ///
    /// # Errors
    /// There is none.
    pub fn node(&self, e: &Experiment) -> Result<String, NodeError> {
        match self.command.clone().or_else(|| e.world.nodes.command.clone()) {
            Some(command) => Ok(command),
            None => crate::node::built(),
        }
    }
}

/// Runs all of a file.
///
/// # Errors
/// The first thing of the lab that could not be started, or failed. What a node does wrong is no error but a verdict.
pub fn run(file: &ExperimentFile, options: &RunOptions) -> Result<Vec<RunResult>, RunError> {
    let mut progress = Progress::on_terminal(options.progress);
    let folder = options.out.as_ref().map(|dir| Folder::create(dir, file)).transpose()?;
    let mut results = Vec::new();
    for (point, e) in file.experiments()? {
        let seeds = if options.seeds.is_empty() { &e.seeds } else { &options.seeds };
        for &seed in seeds {
            let result = run_one(file, &point, &e, seed, options, &mut progress)?;
            if let Some(folder) = &folder {
                folder.append(&result)?;
            }
            results.push(result);
        }
    }
    if let Some(dir) = &options.out {
        report::write(dir)?;
    }
    Ok(results)
}

/// Runs one point of the sweep with one seed: the nodes, then each simple policy.
///
/// # Errors
/// As for [`run`].
pub fn run_one(
    file: &ExperimentFile,
    point: &Point,
    e: &Experiment,
    seed: u64,
    options: &RunOptions,
    progress: &mut Progress,
) -> Result<RunResult, RunError> {
    let command = options.node(e)?;
    let scratch = crate::node::scratch("run").map_err(|e| written(&std::env::temp_dir(), e))?;
    let dir = options.out.clone().unwrap_or_else(|| scratch.path().to_owned());
    let rivals = if options.no_rivals { &[][..] } else { &e.rivals[..] };
    let mut arms = Vec::new();
    let mut troubles = Vec::new();
    for arm in std::iter::once(Arm::Nodes).chain(rivals.iter().map(|rival| Arm::of(*rival))) {
        let spot = spot(file, point, seed, arm);
        let spec = ArmSpec {
            e,
            seed,
            arm,
            command: &command,
            logs: dir.join("logs").join(&spot),
            name: spot.clone(),
            stall: options.stall,
        };
        let played = play(&spec, progress)?;
        for node in &played.not_ready {
            progress.say(&format!("{spot}: not ready when the load began: {node}"));
        }
        if options.keep_records && options.out.is_some() {
            keep(&dir, &spot, &played)?;
        }
        troubles.push((arm, played.trouble));
        arms.push((arm, played.ledger));
    }
    let mut judged = e.clone();
    // Without the policies there is nothing to hold a figure against theirs.
    judged.holds.retain(|hold| !options.no_rivals || !against_rival(&hold.that));
    let mut result = judge(&judged, point, seed, arms);
    for (arm, trouble) in troubles {
        if let (Some(first), Some(of)) = (trouble.first(), result.arms.iter_mut().find(|a| a.arm == arm)) {
            of.void.get_or_insert_with(|| format!("the stand-ins: {first}"));
            result.ok = false;
        }
    }
    Ok(result)
}

fn against_rival(that: &str) -> bool {
    that.parse::<Condition>().is_ok_and(|condition| condition.rival.is_some())
}

/// What files of a run are called.
fn spot(file: &ExperimentFile, point: &Point, seed: u64, arm: Arm) -> String {
    let name = Path::new(&file.name).file_stem().map_or("experiment".into(), |s| s.to_string_lossy());
    let point = point.to_string();
    let plain = |c: char| if c.is_ascii_alphanumeric() || "=.,-_".contains(c) { c } else { '_' };
    match point.as_str() {
        "-" => format!("{name}-{seed}-{}", arm.name()),
        point => format!("{name}-{}-{seed}-{}", point.chars().map(plain).collect::<String>(), arm.name()),
    }
}

/// Keeps the raw records of an arm.
fn keep(dir: &Path, spot: &str, played: &Played) -> Result<(), RunError> {
    let path = dir.join(format!("{spot}.jsonl"));
    let write = || -> io::Result<()> {
        fs::create_dir_all(dir)?;
        let mut to = BufWriter::new(File::create(&path)?);
        write_jsonl(&played.ledger, &mut to)?;
        to.flush()
    };
    write().map_err(|e| written(&path, e))
}

fn written(path: &Path, source: io::Error) -> RunError {
    RunError::Write { path: path.display().to_string(), source }
}
