//! Balancers without shared state: the sum of their limits is bounded for any number of them, even if they
//! are configured with a third of their number.

mod world;
use lapisrudder_decisions::Mode;
use lapisrudder_limits::adaptive_limit::{AdaptiveLimit, Settings};
use world::*;

/// Numbers of balancers, and the configured number: the correct one, and a third of it.
fn group_sizes() -> impl Iterator<Item = (u32, u32)> {
    [1, 3, 30, 300, 1_000].into_iter().flat_map(|n: u32| [(n, n), (n, n.div_ceil(3))])
}

/// The tokens that hundreds of balancers have saved for a new server must not overload it.
#[test]
fn a_new_server_gets_load_within_its_capacity_and_warms_up() {
    for (balancers, configured) in group_sizes() {
        let burst = new_server_load(group(balancers, configured, Mode::Through), Traffic::Burst, 5);
        assert!(burst.most < 3.0, "{balancers} configured as {configured}: {:.2} times", burst.most);
        let steady = new_server_load(group(balancers, configured, Mode::Through), Traffic::Steady, 5);
        assert!(steady.most < 3.0, "{balancers} configured as {configured}: {:.2} times", steady.most);
        let least = if balancers <= 30 { 0.6 } else { 0.1 };
        assert!(
            steady.share > least,
            "{balancers} configured as {configured}: {:.2} of its share",
            steady.share
        );
    }
}

/// The control: buckets that always hold up to two tokens, in the same world.
#[test]
fn buckets_of_two_tokens_overload_a_new_server() {
    assert!(new_server_load(TwoTokenRule::all(3), Traffic::Burst, 5).most < 3.0);
    assert!(new_server_load(TwoTokenRule::all(300), Traffic::Burst, 5).most > 3.0);
    assert!(new_server_load(TwoTokenRule::all(1_000), Traffic::Burst, 5).most > 3.0);
}

/// Hundreds of balancers that start, or become active, together must not all send a miss to the origin at
/// once.
#[test]
fn first_attempts_at_the_origin_keep_to_the_initial_limit() {
    for (balancers, configured) in group_sizes() {
        for idle in [0, 10 * S, 61 * S] {
            let (most, got) = burst_of_misses(balancers, configured, idle);
            // Sixty for all by the configured number, and a margin for chance.
            let bound = (60.0 * f64::from(balancers) / f64::from(configured) * 1.3).max(20.0);
            assert!(most as f64 <= bound, "{balancers} configured as {configured}, {idle}: {most} in flight");
            assert!(got >= 60, "{balancers} configured as {configured}, {idle}: {got} sent, starved");
        }
    }
}

/// One retry by each of hundreds of balancers would overload a fleet that only paused.
#[test]
fn retries_keep_to_a_share_of_requests() {
    for (balancers, configured) in group_sizes() {
        let (requests, retries) = rejecting_servers(balancers, configured);
        // Earned in those two seconds, earned in the two before, and sixty for all by the configured number.
        let share = 0.15 * requests as f64;
        let saved = 60.0 * f64::from(balancers) / f64::from(configured);
        assert!(
            retries as f64 <= 1.2 * (2.0 * share + saved),
            "{balancers} configured as {configured}: {retries} of {requests}"
        );
        assert!(
            retries as f64 >= 0.3 * share,
            "{balancers} configured as {configured}: {retries} of {requests}, starved"
        );
        // The control: one saved token per balancer would exceed the limit.
        assert!(balancers < 1_000 || f64::from(balancers) > 1.2 * (2.0 * share + saved));
    }
}

/// The control: without phases all balancers may send to the origin at once, at any time.
#[test]
fn limits_without_phases_all_allow_at_once() {
    let allowed = |now, phase: fn(f64) -> Option<f64>| {
        let part = |n: u32| (f64::from(n) * 0.618_034).fract();
        let settings = |n| Settings { start: 0.2, phase: phase(part(n)), ..Settings::default() };
        (0..300).filter(|n| AdaptiveLimit::new(settings(*n), 0).can_send(now)).count()
    };
    for now in [0, 61 * S] {
        assert_eq!(allowed(now, |_| None), 300);
        assert!((1..=30).contains(&allowed(now, Some)), "{} at {now}", allowed(now, Some));
    }
}
