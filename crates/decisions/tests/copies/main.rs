//! Copies that cannot see each other: what each may do adds up to a bound, however many they are and also where
//! they are told a third of their number.

mod world;
use lapisrudder_decisions::Mode;
use lapisrudder_limits::adaptive_limit::{AdaptiveLimit, Settings};
use world::*;

/// All numbers of copies, each told rightly and three times too low.
fn told() -> impl Iterator<Item = (u32, u32)> {
    [1, 3, 30, 300, 1_000].into_iter().flat_map(|n: u32| [(n, n), (n, n.div_ceil(3))])
}

/// Danger: a server that has just started is pushed over by all that hundreds have saved up for it.
#[test]
fn a_fresh_server_gets_what_it_bears_and_is_warmed() {
    for (copies, told) in told() {
        let opening = fresh_server(balancers(copies, told, Mode::Through), Day::Opening, 5);
        assert!(opening.most < 3.0, "{copies} told {told}: {:.2} times", opening.most);
        let steady = fresh_server(balancers(copies, told, Mode::Through), Day::Steady, 5);
        assert!(steady.most < 3.0, "{copies} told {told}: {:.2} times", steady.most);
        let least = if copies <= 30 { 0.6 } else { 0.1 };
        assert!(steady.share > least, "{copies} told {told}: {:.2} of its share", steady.share);
    }
}

/// The control: what the rule before this one did, in the same world.
#[test]
fn the_former_rule_pushes_a_fresh_server_over() {
    assert!(fresh_server(Former::all(3), Day::Opening, 5).most < 3.0);
    assert!(fresh_server(Former::all(300), Day::Opening, 5).most > 3.0);
    assert!(fresh_server(Former::all(1_000), Day::Opening, 5).most > 3.0);
}

/// Danger: hundreds that start, or wake, together each send their first miss to the origin at once.
#[test]
fn first_attempts_at_the_origin_keep_to_its_start() {
    for (copies, told) in told() {
        for idle in [0, 10 * S, 61 * S] {
            let (most, got) = opening_at_the_origin(copies, told, idle);
            // Sixty over all by the number they are told, and what chance adds.
            let bound = (60.0 * f64::from(copies) / f64::from(told) * 1.3).max(20.0);
            assert!(most as f64 <= bound, "{copies} told {told}, {idle}: {most} in flight");
            assert!(got >= 60, "{copies} told {told}, {idle}: {got} sent, starved");
        }
    }
}

/// Danger: one further attempt at each of hundreds jams a fleet that merely pauses.
#[test]
fn further_attempts_keep_to_a_share_of_requests() {
    for (copies, told) in told() {
        let (requests, further) = bad_moment(copies, told);
        // What those two seconds earn, what two earned before, and sixty by the number they are told.
        let share = 0.15 * requests as f64;
        let saved = 60.0 * f64::from(copies) / f64::from(told);
        assert!(
            further as f64 <= 1.2 * (2.0 * share + saved),
            "{copies} told {told}: {further} of {requests}"
        );
        assert!(further as f64 >= 0.3 * share, "{copies} told {told}: {further} of {requests}, starved");
        // The control: the rule before this one let each copy save up one.
        assert!(copies < 1_000 || f64::from(copies) > 1.2 * (2.0 * share + saved));
    }
}

/// The control: the same limits without turns all have room at once, after whatever time.
#[test]
fn limits_without_turns_all_have_room_at_once() {
    let room = |now, phase: fn(f64) -> Option<f64>| {
        let part = |n: u32| (f64::from(n) * 0.618_034).fract();
        let settings = |n| Settings { start: 0.2, phase: phase(part(n)), ..Settings::default() };
        (0..300).filter(|n| AdaptiveLimit::new(settings(*n), 0).can_send(now)).count()
    };
    for now in [0, 61 * S] {
        assert_eq!(room(now, |_| None), 300);
        assert!((1..=30).contains(&room(now, Some)), "{} at {now}", room(now, Some));
    }
}
