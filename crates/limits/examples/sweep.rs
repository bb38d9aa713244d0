//! Sets the limit that follows beside the best fixed limit and the rule before it, at places of many kinds, for 1 to
//! 300 nodes that do not see each other: `cargo run --release -p lapisrudder-limits --example sweep [KIND [SEED]]`.
//! The rule before is that of the decision module at 42857a0.

#[path = "../tests/places/mod.rs"]
mod places;

use places::*;

/// Answers within the aim are counted from this second on.
const FROM: usize = 20;

fn kinds() -> Vec<(&'static str, Place)> {
    let tail = Place { work: Work::Tail(1.2), ..PLAIN };
    vec![
        ("20 servers", PLAIN),
        ("4 servers", Place { servers: 4, ..PLAIN }),
        ("100 servers", Place { servers: 100, ..PLAIN }),
        ("fat tail", tail),
        ("10% lost", Place { loses: |_| 0.1, ..PLAIN }),
        ("30% lost", Place { loses: |_| 0.3, ..PLAIN }),
        ("30% break", Place { loses: |_| 0.3, breaks: true, ..PLAIN }),
        ("tail, 30% lost", Place { loses: |_| 0.3, ..tail }),
        ("tail, 50% hits", Place { hits: 0.5, ..tail }),
        ("tail, 90% hits, 10% lost", Place { hits: 0.9, loses: |_| 0.1, ..tail }),
        ("crowded is slower", Place { crowding: 0.2, ..PLAIN }),
        ("stops overdriven", Place { stops_over: 3.0, ..PLAIN }),
        ("half speed from 40 s", Place { speed: |t| if t > 40 * S { 0.5 } else { 1.0 }, ..PLAIN }),
    ]
}

fn main() {
    let which = std::env::args().nth(1).unwrap_or_default();
    let seed = std::env::args().nth(2).and_then(|s| s.parse().ok()).unwrap_or(5);
    println!("{:26}{:>6}{:>16}{:>10}{:>8}{:>8}", "place", "nodes", "best fixed", "follow", "Jain", "before");
    for (kind, place) in kinds().into_iter().filter(|(kind, _)| kind.contains(&which)) {
        // Twice what it can answer, but where most is answered from elsewhere.
        let rate: fn(Micros) -> f64 = match (place.servers, place.hits) {
            (4, _) => |_| 80.0,
            (100, _) => |_| 2_000.0,
            (_, 0.9) => |_| 1_600.0,
            _ => |_| 400.0,
        };
        for nodes in [1, 3, 30, 300] {
            let day = |rule| Day { place, nodes, rule, rate, length: 90 * S, cache: None, seed };
            let fixed = [0.5, 1.0, 1.5, 2.0, 3.0, 4.0, 6.0, 10.0].map(|m| {
                let all = m * place.servers as f64 / (1.0 - place.hits);
                (day(Rule::Fixed(all)).play().good(FROM), all)
            });
            let (best, all) = fixed.into_iter().fold((0.0, 0.0), |a, b| if b.0 > a.0 { b } else { a });
            let (follow, before) = (day(Rule::AdaptiveLimit).play(), day(Rule::Late).play());
            println!(
                "{kind:26}{nodes:6}{best:9.1} at {all:3.0}{:10.2}{:8.2}{:8.2}",
                follow.good(FROM) / best,
                follow.fairness(),
                before.good(FROM) / best
            );
        }
    }
}
