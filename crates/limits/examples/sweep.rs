//! Compares the adaptive limit with the best fixed limit and with the earlier rule (of the decision module at
//! 42857a0) at backends of many kinds, for 1 to 300 nodes that do not see each other: `cargo run --release -p
//! lapisrudder-limits --example sweep [KIND [SEED]]`.

#[path = "../tests/simulated_backend/mod.rs"]
mod simulated_backend;

use simulated_backend::*;

/// Answers on time are counted from this second on.
const FROM: usize = 20;

fn kinds() -> Vec<(&'static str, Backend)> {
    let tail = Backend { work: Work::HeavyTail(1.2), ..PLAIN };
    vec![
        ("20 servers", PLAIN),
        ("4 servers", Backend { servers: 4, ..PLAIN }),
        ("100 servers", Backend { servers: 100, ..PLAIN }),
        ("heavy tail", tail),
        ("10% lost", Backend { loss_rate: |_| 0.1, ..PLAIN }),
        ("30% lost", Backend { loss_rate: |_| 0.3, ..PLAIN }),
        ("30% reset", Backend { loss_rate: |_| 0.3, resets: true, ..PLAIN }),
        ("tail, 30% lost", Backend { loss_rate: |_| 0.3, ..tail }),
        ("tail, 50% hits", Backend { cached_share: 0.5, ..tail }),
        ("tail, 90% hits, 10% lost", Backend { cached_share: 0.9, loss_rate: |_| 0.1, ..tail }),
        ("slower under load", Backend { slowdown: 0.2, ..PLAIN }),
        ("stops when overloaded", Backend { stops_above: 3.0, ..PLAIN }),
        ("half speed from 40 s", Backend { speed: |t| if t > 40 * S { 0.5 } else { 1.0 }, ..PLAIN }),
    ]
}

fn main() {
    let which = std::env::args().nth(1).unwrap_or_default();
    let seed = std::env::args().nth(2).and_then(|s| s.parse().ok()).unwrap_or(5);
    println!(
        "{:26}{:>6}{:>16}{:>10}{:>8}{:>8}",
        "backend", "nodes", "best fixed", "adaptive", "Jain", "earlier"
    );
    for (kind, backend) in kinds().into_iter().filter(|(kind, _)| kind.contains(&which)) {
        // Twice what the backend can answer, except where a cache in front of it answers most.
        let rate: fn(Micros) -> f64 = match (backend.servers, backend.cached_share) {
            (4, _) => |_| 80.0,
            (100, _) => |_| 2_000.0,
            (_, 0.9) => |_| 1_600.0,
            _ => |_| 400.0,
        };
        for nodes in [1, 3, 30, 300] {
            let scenario = |rule| Scenario { backend, nodes, rule, rate, length: 90 * S, cache: None, seed };
            let fixed = [0.5, 1.0, 1.5, 2.0, 3.0, 4.0, 6.0, 10.0].map(|m| {
                let all = m * backend.servers as f64 / (1.0 - backend.cached_share);
                (scenario(Rule::Fixed(all)).run().on_time(FROM), all)
            });
            let (best, all) = fixed.into_iter().fold((0.0, 0.0), |a, b| if b.0 > a.0 { b } else { a });
            let (adaptive, earlier) = (scenario(Rule::Adaptive).run(), scenario(Rule::LateShare).run());
            println!(
                "{kind:26}{nodes:6}{best:9.1} at {all:3.0}{:10.2}{:8.2}{:8.2}",
                adaptive.on_time(FROM) / best,
                adaptive.fairness(),
                earlier.on_time(FROM) / best
            );
        }
    }
}
