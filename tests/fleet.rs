//! Fleets of the real program with faults between the members: runs each file of experiments/fleet, and
//! checks it by the rules of `lapisrudder_lab::check::fleet` against what was observed from outside. Each
//! test is named after its file; it fails if a member breaks one of these rules under the faults of that
//! file.

use lapisrudder_lab::fleet::{FleetFile, judge, run};
use std::path::Path;

/// Limit on the runs of a file: one in which the lab itself was late is void and is repeated; it never counts
/// as passed.
const MAX_RUNS: usize = 3;

/// Runs one file and fails if a rule is broken.
fn run_file(name: &str) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let file = FleetFile::read(&root.join(format!("experiments/fleet/{name}.toml"))).expect("a sound file");
    let command = format!("'{}' serve", env!("CARGO_BIN_EXE_lapisrudder"));
    for attempt in 1..=MAX_RUNS {
        let history = run(&file, 1, &command, None).expect("a run");
        let outcome = judge(&history);
        if !outcome.void {
            assert!(outcome.ok, "{name}: {outcome:#?}");
            return;
        }
        eprintln!("{name}: run {attempt} is void: {outcome:?}");
    }
    panic!("{name}: void {MAX_RUNS} times: the machine is too busy for this test");
}

macro_rules! experiments {
    ($($test:ident $name:literal;)*) => {
        $(#[test] fn $test() { run_file($name); })*

        /// Fails if a file of the folder is not run by a test here.
        #[test]
        fn each_file_has_a_test() {
            let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments/fleet");
            let files = std::fs::read_dir(dir)
                .expect("the folder")
                .filter_map(|f| f.ok()?.file_name().into_string().ok());
            let mut files: Vec<String> = files.collect();
            files.sort();
            let mut tested = vec![$(concat!($name, ".toml").to_owned()),*];
            tested.sort();
            assert_eq!(files, tested);
        }
    };
}

experiments! {
    all_stand_still "all-stand-still";
    bad_ways "bad-ways";
    halves "halves";
    heard_by_nobody "heard-by-nobody";
    hears_nothing "hears-nothing";
    held_back "held-back";
    one_killed "one-killed";
    pair_cut "pair-cut";
    pauses "pauses";
    ring_of_cuts "ring-of-cuts";
    rolling "rolling";
    seven_in_ten "seven-in-ten";
    strangers "strangers";
    twin "twin";
}
