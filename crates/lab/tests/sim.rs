//! Seeded histories on a virtual clock: the decisions, the engine, the watch and the clients' side of real nodes between the
//! model's servers. Each day is judged by the lab's checks from what both ends saw, and by the simulator's own books.

use lapisrudder_lab::experiment::ExperimentFile;
use lapisrudder_lab::sim::{Day, DayResult, Habits, run_days};

const WORLD: &str = r#"question = "Does any order of things break a rule?"
duration_s = 8
[[class]]
name = "read"
share = 0.85
work_ms = 6
aim_ms = 400
deadline_ms = 1200
[[class]]
name = "put"
write = true
effect = "keyed"
window_s = 4
share = 0.1
aim_ms = 400
deadline_ms = 1200
[[class]]
name = "book"
write = true
effect = "unsafe"
share = 0.05
aim_ms = 400
deadline_ms = 1200
[world]
nodes = { count = 3 }
origin = { capacity_per_s = 300, time_ms = 6, sigma = 0.3 }
discovery = { notice_s = 0.3, add_s = 0.3 }
[[world.servers]]
count = 6
cores = 2
[[load]]
rate = { steady = { per_s = 150 } }
keys = { count = 200 }
[[fault]]
name = "one drains"
who = { servers = { count = 1 } }
what = { drain = { drain_s = 1, new_ids = true } }
when = { at = [1] }
for_s = 0.5
[[fault]]
name = "one is killed"
who = { servers = { count = 1 } }
what = { kill = {} }
when = { at = [2] }
for_s = 0.6
[[fault]]
name = "answers never come"
who = { servers = { count = 2 } }
what = { swallow = { rate = 0.05 } }
when = { at = [2.5] }
for_s = 1
[[fault]]
name = "connections are reset"
who = { network = { from = { nodes = {} }, to = { servers = {} } } }
what = { resets = { per_s = 0.5 } }
when = { at = [3] }
for_s = 1
[[fault]]
name = "discovery moves"
who = "discovery"
what = { move = { close_s = 0.5 } }
when = { at = [1.6] }
"#;

fn day(seed: u64, second_copies: bool) -> Day {
    let text = format!("{WORLD}\n[world.rules]\nsecond_copies = {second_copies}\n");
    let experiment = ExperimentFile::parse("world", &text).unwrap_or_else(|e| panic!("{e}")).experiment;
    let habits = Habits { pieces: 700, shuffle: true, find_homes: true, check_every: 1, ..Habits::default() };
    Day { habits, ..Day::of(experiment, seed) }
}

fn play(jobs: usize, second_copies: bool) -> Vec<DayResult> {
    let seeds: Vec<u64> = (1..=12).collect();
    run_days(&seeds, jobs, |seed| day(seed, second_copies), |_| {}).unwrap_or_else(|e| panic!("{e}"))
}

#[test]
fn no_rule_is_broken_on_any_seed_and_the_verdict_is_the_same_each_time() {
    for second_copies in [true, false] {
        let results = play(4, second_copies);
        for result in &results {
            let first = result.failures.first().map_or(String::new(), |f| format!("{}: {}", f.rule, f.text));
            assert!(first.is_empty(), "seed {}, second copies {second_copies}: {first}", result.seed);
            assert!(result.requests > 800 && result.goodput > 0.5, "{}: {}", result.seed, result.goodput);
        }
        let digests = |results: &[DayResult]| results.iter().map(|r| r.digest).collect::<Vec<_>>();
        assert_eq!(digests(&results), digests(&play(1, second_copies)), "whatever thread plays a day");
    }
}
