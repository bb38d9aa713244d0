//! Fleets of the real program with faults between its processes: each file of experiments/fleet, judged by the rules of
//! `lapisrudder_lab::check::fleet` from what was seen outside.

use lapisrudder_lab::fleet::{FleetFile, judge, run};
use std::path::Path;

/// A run in which the lab itself was late is played again, and never passed.
const PLAYS: usize = 3;

fn holds(name: &str) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let file = FleetFile::read(&root.join(format!("experiments/fleet/{name}.toml"))).expect("a sound file");
    let command = format!("'{}' serve", env!("CARGO_BIN_EXE_lapisrudder"));
    for play in 1..=PLAYS {
        let history = run(&file, 1, &command, None).expect("a run");
        let outcome = judge(&history);
        if !outcome.void {
            assert!(outcome.ok, "{name}: {outcome:#?}");
            return;
        }
        eprintln!("{name}: play {play} is void: {outcome:?}");
    }
    panic!("{name}: void {PLAYS} times: the machine is too busy to tell");
}

macro_rules! experiments {
    ($($test:ident $name:literal;)*) => {
        $(#[test] fn $test() { holds($name); })*

        #[test]
        fn each_file_is_played() {
            let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments/fleet");
            let files = std::fs::read_dir(dir).expect("the folder").filter_map(|f| f.ok()?.file_name().into_string().ok());
            let mut files: Vec<String> = files.collect();
            files.sort();
            let mut played = vec![$(concat!($name, ".toml").to_owned()),*];
            played.sort();
            assert_eq!(files, played);
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
