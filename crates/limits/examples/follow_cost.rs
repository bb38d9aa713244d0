//! Nanoseconds a decision of `AdaptiveLimit` and `CoalescingQueue`: `cargo run --release -p lapisrudder-limits --example follow_cost`. Median
//! of seven runs; run it with nothing else on the machine.

use lapisrudder_limits::adaptive_limit::{AdaptiveLimit, End, Settings};
use lapisrudder_limits::coalescing_queue::CoalescingQueue;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::collections::VecDeque;
use std::hint::black_box;
use std::time::Instant;

const ROUNDS: u32 = 200_000;

fn report(what: &str, size: usize, mut run: impl FnMut()) {
    let mut times: Vec<f64> = (0..7)
        .map(|_| {
            let start = Instant::now();
            (0..ROUNDS).for_each(|_| run());
            start.elapsed().as_nanos() as f64 / f64::from(ROUNDS)
        })
        .collect();
    times.sort_by(f64::total_cmp);
    println!("{what:44}{size:9}{:10.0} ns", times[3]);
}

fn main() {
    for out in [1, 100, 10_000] {
        let settings = Settings { start: out as f64, most: 1e6, ..Settings::default() };
        let (mut follow, mut now) = (AdaptiveLimit::new(settings, 0), 0);
        let mut rng = SmallRng::seed_from_u64(1);
        let mut flying: VecDeque<_> = (0..out).map(|_| follow.sent(0)).collect();
        report("follow: room, sent and ended, so many out", out, || {
            now += 100;
            let sent = flying.pop_front().expect("one is out");
            // A tenth is lost.
            let took = rng.random_range(50_000..150_000);
            let end = if took < 60_000 { End::TimedOut { took: 2_000_000 } } else { End::Answered { took } };
            follow.ended(now, sent, end);
            black_box(follow.can_send(now));
            flying.push_back(follow.sent(now));
        });
    }
    for size in [10u64, 10_000, 500_000] {
        let mut rng = SmallRng::seed_from_u64(1);
        let (mut held, mut next) = (CoalescingQueue::new(size as usize), 0);
        // Two wait for a key on average.
        let mut hold = |held: &mut CoalescingQueue<u64, u64>| {
            next += 1;
            black_box(held.hold(rng.random_range(0..size / 2), next));
            next
        };
        (0..size).for_each(|_| _ = hold(&mut held));
        report("held: hold and release, so many held", size as usize, || {
            let id = hold(&mut held);
            held.release(id.saturating_sub(size / 3));
        });
        report("held: hold one more than there is place for", size as usize, || _ = hold(&mut held));
        report("held: pop a key and hold as many again", size as usize, || {
            let popped = held.pop().map_or(0, |(_, ids)| ids.len());
            (0..popped).for_each(|_| _ = hold(&mut held));
        });
    }
}
