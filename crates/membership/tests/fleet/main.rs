//! The core on a virtual clock, with each fault that it is for.

mod ablation;
mod table;
mod world;

use lapisrudder_membership::{Change, Inherited, Membership, Reachability, Settings, State};
use rand::Rng;
use rand::seq::IndexedRandom;
use world::{Link, MS, S, World, name};

fn no_false(world: &World) {
    assert_eq!(world.violations, [] as [String; 0]);
    assert_eq!(world.false_dead, [], "verdicts on such as live");
}

#[test]
fn a_death_is_known_to_all_and_a_goodbye_is_no_death() {
    for seed in 0..20 {
        let mut world = World::together(12, seed);
        world.leave(4);
        world.run(S);
        world.kill(4);
        world.kill(3);
        let known = world.run_until(10 * S, |w| w.all_see(3, State::Dead)).expect("dead");
        assert!(known < 8 * S, "seed {seed}: {known}");
        world.run(30 * S);
        assert!(world.all_see(4, State::Left), "it said so itself");
        assert!(world.agree(10));
        no_false(&world);
    }
}

#[test]
fn three_hundred_know_of_a_death_within_seconds() {
    let mut world = World::together(300, 1);
    let before = world.bytes;
    world.run(20 * S);
    assert!((world.bytes - before) / 300 / 20 < 2_000, "bytes a second and node");
    world.kill(17);
    let known = world.run_until(10 * S, |w| w.all_see(17, State::Dead)).expect("dead");
    assert!(known < 6 * S, "{known}");
    no_false(&world);
}

#[test]
fn a_restart_replaces_the_old_at_once_and_nothing_old_revives_it() {
    for seed in 0..20 {
        let mut world = World::together(8, seed);
        world.recorded = Some(Vec::new());
        world.run(2 * S);
        let old = world.recorded.take().unwrap();
        world.kill(2);
        world.start(2, &[0]);
        let start = world.nodes[2].start;
        let follows = |w: &World| {
            w.running().all(|n| {
                let core = w.nodes[n].core.as_ref().unwrap();
                core.members(w.now).any(|m| m.name == name(2) && m.start == start && m.state == State::Alive)
            })
        };
        assert!(world.run_until(3 * S, follows).is_some(), "seed {seed}");
        // An hour later all that was said is said again.
        world.run(3_600 * S);
        for (from, to, body) in old {
            world.send(from, to, body);
        }
        world.run(5 * S);
        assert!(follows(&world) && world.agree(8), "seed {seed}");
        no_false(&world);
    }
}

#[test]
fn a_pair_that_is_cut_either_way_holds_nobody_for_dead_and_says_how_it_hears() {
    for (seed, both) in (0..10).flat_map(|seed| [(seed, false), (seed, true)]) {
        let mut world = World::together(6, seed);
        world.cut(0, 1);
        if both {
            world.cut(1, 0);
        }
        world.run(120 * S);
        assert!(world.agree(6), "seed {seed}");
        no_false(&world);
        let heard = |n: usize, of: usize| {
            let core = world.nodes[n].core.as_ref().unwrap();
            core.members(world.now).find(|m| m.name == name(of)).unwrap().heard
        };
        assert_eq!(heard(1, 0), Reachability::ThroughOthers);
        // Only what 1 says itself still arrives.
        let other = heard(0, 1);
        let expected = if both {
            [Reachability::ThroughOthers; 2]
        } else {
            [Reachability::OneWay, Reachability::ThroughOthers]
        };
        assert!(expected.contains(&other), "seed {seed}: {other:?}");
        assert_eq!(heard(2, 0), Reachability::Directly);
    }
}

#[test]
fn a_ring_of_one_way_cuts_holds_nobody_for_dead() {
    for seed in 0..10 {
        let mut world = World::together(7, seed);
        (0..7).for_each(|n| world.cut(n, (n + 1) % 7));
        world.run(120 * S);
        assert!(world.agree(7), "seed {seed}");
        no_false(&world);
    }
}

#[test]
fn one_that_hears_nothing_convicts_nobody_and_is_not_believed() {
    for seed in 0..20 {
        let mut world = World::together(9, seed);
        (1..9).for_each(|n| world.cut(n, 0));
        world.run(120 * S);
        let own: Vec<_> = (1..9).map(|n| world.view_of(0, n)).collect();
        assert!(!own.contains(&Some(State::Dead)), "seed {seed}: {own:?}");
        // Others do not hear it answer, but nobody holds one of the others for dead.
        no_false_of(&world, 1..9);
        world.links.clear();
        assert!(world.run_until(90 * S, |w| w.agree(9)).is_some(), "seed {seed}: it heals");
    }
}

fn no_false_of(world: &World, of: std::ops::Range<usize>) {
    let names: Vec<_> = of.map(name).collect();
    let bad: Vec<_> = world.false_dead.iter().filter(|(_, _, of)| names.contains(of)).collect();
    assert!(bad.is_empty(), "{bad:?}");
}

#[test]
fn one_that_nobody_hears_is_given_up_and_convicts_nobody() {
    for seed in 0..20 {
        let mut world = World::together(9, seed);
        (1..9).for_each(|n| world.cut(0, n));
        assert!(world.run_until(20 * S, |w| (1..9).all(|n| w.view_of(n, 0) == Some(State::Dead))).is_some());
        world.run(60 * S);
        let own: Vec<_> = (1..9).map(|n| world.view_of(0, n)).collect();
        assert!(!own.contains(&Some(State::Dead)), "seed {seed}: {own:?}");
        no_false_of(&world, 1..9);
        world.links.clear();
        assert!(world.run_until(90 * S, |w| w.agree(9)).is_some(), "seed {seed}: it heals");
    }
}

#[test]
fn two_halves_heal_by_themselves_after_changes_on_either_side() {
    for seed in 0..10 {
        let mut world = World::together(20, seed);
        world.partition(|n| n % 2 == 0);
        let parted = |w: &World| {
            (0..20).all(|n| (0..20).all(|o| n % 2 == o % 2 || w.view_of(n, o) == Some(State::Dead)))
        };
        assert!(world.run_until(30 * S, parted).is_some(), "seed {seed}: each side holds the other for dead");
        world.false_dead.clear();
        // Fifty changes on either side: restarts, of which nobody on the other side hears.
        for _ in 0..50 {
            for side in 0..2 {
                let n = 2 * world.rng.random_range(0..10) + side;
                world.kill(n);
                world.start(n, &[0, 1, 2, 3]);
            }
            world.run(300 * MS);
        }
        world.run(10 * S);
        world.links.clear();
        let together = world.run_until(120 * S, |w| w.agree(20));
        assert!(together.is_some(), "seed {seed}: they come together");
        // Nobody of one's own side was held for dead at the other's word.
        let own_side: Vec<_> = world
            .false_dead
            .iter()
            .filter(|(_, n, of)| (0..20).any(|o| name(o) == *of && o % 2 == n % 2))
            .collect();
        assert!(own_side.is_empty(), "seed {seed}: {own_side:?}");
    }
}

#[test]
fn forty_in_a_hundred_stand_still_again_and_again_and_nobody_is_held_for_dead() {
    for seed in 0..10 {
        let mut world = World::together(30, seed);
        world.link.loss = 0.1;
        for _ in 0..100 {
            world.pause_some(12);
            world.run(S);
        }
        no_false(&world);
    }
}

/// Danger: one that waited to hear all others again waited for the dead one, too, and never passed a verdict.
#[test]
fn a_death_is_known_to_all_though_many_stand_still_again_and_again() {
    for seed in 0..10 {
        let mut world = World::together(8, seed);
        world.link.loss = 0.1;
        world.kill(5);
        let mut known = false;
        for _ in 0..30 {
            world.pause_some(4);
            world.run(S);
            known |= world.all_see(5, State::Dead);
        }
        assert!(known, "seed {seed}");
        no_false(&world);
    }
}

#[test]
fn all_stand_still_at_once_and_nobody_is_held_for_dead() {
    for seed in 0..20 {
        let mut world = World::together(12, seed);
        (0..12).for_each(|n| world.pause(n, 20 * S + n as i64 * 40 * MS));
        world.run(60 * S);
        assert!(world.agree(12));
        no_false(&world);
        let stood =
            |w: &World, n: usize| w.nodes[n].changes.iter().any(|(_, c)| matches!(c, Change::Stalled(_)));
        assert!((0..12).all(|n| stood(&world, n)));
    }
}

#[test]
fn one_that_stood_still_while_it_was_called_dead_comes_back_and_passes_no_old_verdict() {
    for seed in 0..20 {
        let mut world = World::together(8, seed);
        // Stopped in the middle of being suspected, continued right after it was called dead.
        world.pause(0, 3_600 * S);
        let dead = |w: &World| (1..8).any(|n| w.view_of(n, 0) == Some(State::Dead));
        assert!(world.run_until(20 * S, dead).is_some(), "seed {seed}");
        world.nodes[0].paused_until = world.now;
        world.pause(0, MS);
        world.run(2 * MS);
        let own: Vec<_> = (1..8).map(|n| world.view_of(0, n)).collect();
        assert!(!own.contains(&Some(State::Dead)), "asked at once: {own:?}");
        assert!(world.run_until(30 * S, |w| w.agree(8)).is_some(), "seed {seed}");
        no_false_of(&world, 1..8);
    }
}

#[test]
fn delays_loss_doubles_and_disorder_bring_nobody_down() {
    for seed in 0..5 {
        let mut world = World::together(12, seed);
        world.link = Link { loss: 0.3, double: 0.1, delay: MS, jitter: 20 * MS, cut: false };
        world.run(120 * S);
        world.link = Link { loss: 0.0, double: 0.1, delay: 200 * MS, jitter: 300 * MS, cut: false };
        world.run(120 * S);
        no_false(&world);
        world.link = Link { delay: MS, ..Link::default() };
        assert!(world.run_until(60 * S, |w| w.agree(12)).is_some(), "seed {seed}");
    }
}

#[test]
fn seven_in_ten_die_at_once_and_the_rest_know() {
    for seed in 0..10 {
        let mut world = World::together(20, seed);
        (0..14).for_each(|n| world.kill(n));
        let known = world.run_until(30 * S, |w| w.agree(6)).expect("all known");
        assert!(known < 15 * S, "seed {seed}: {known}");
        no_false(&world);
    }
}

#[test]
fn many_join_through_one_seed_that_dies_meanwhile() {
    let mut world = World::new(300, 3);
    world.start(0, &[]);
    for n in 1..300 {
        world.start(n, &[0]);
        world.run(7 * MS);
        if n == 200 {
            world.kill(0);
        }
    }
    // Those whom it never heard know nobody else; they go on calling it.
    let joined = |w: &World| (1..=190).all(|n| (1..=190).all(|o| w.view_of(n, o) == Some(State::Alive)));
    assert!(world.run_until(40 * S, joined).is_some());
    let unreadable: u64 =
        world.running().filter_map(|n| Some(world.nodes[n].core.as_ref()?.counts().unreadable)).sum();
    assert_eq!(unreadable, 0, "members read what members write");
    world.start(0, &[30]);
    assert!(world.run_until(90 * S, |w| w.agree(300)).is_some());
    no_false(&world);
}

#[test]
fn seeds_that_never_were_cost_little_and_one_that_comes_late_is_found() {
    let mut world = World::new(3, 1);
    world.start(0, &[1, 2]);
    let before = world.bytes;
    world.run(120 * S);
    assert!((world.bytes - before) / 120 < 800, "two seeds are called ever more seldom");
    world.start(2, &[1]);
    assert!(world.run_until(15 * S, |w| w.agree(2)).is_some());
}

#[test]
fn an_address_that_is_another_member_s_now_is_not_taken_for_the_old_one() {
    let mut world = World::together(6, 5);
    world.kill(2);
    let start = world.now as u64;
    world.start_as(2, 7, start, &[0]);
    let knows = |w: &World| {
        [0, 1, 3, 4, 5]
            .iter()
            .all(|n| w.view_of(*n, 2) == Some(State::Dead) && w.view_of(*n, 7) == Some(State::Alive))
    };
    assert!(world.run_until(30 * S, knows).is_some());
}

#[test]
fn of_two_that_bear_one_name_the_later_holds_and_both_are_told() {
    for seed in 0..20 {
        let mut world = World::together(6, seed);
        world.nodes.push(world::node_at(6));
        let start = world.now as u64;
        world.run(11 * S);
        world.start_as(6, 3, start, &[0]);
        world.run(30 * S);
        let told = |n: usize, what: fn(&Change) -> bool| world.nodes[n].changes.iter().any(|(_, c)| what(c));
        assert!(told(3, |c| matches!(c, Change::Superseded(_))), "seed {seed}");
        assert!(told(6, |c| matches!(c, Change::DuplicateName(_))), "seed {seed}");
        for n in [0, 1, 2, 4, 5] {
            let core = world.nodes[n].core.as_ref().unwrap();
            let of = core.members(world.now).find(|m| m.name == name(3)).unwrap();
            assert_eq!((of.start, of.state), (start, State::Alive), "seed {seed}");
        }
    }
}

#[test]
fn one_whose_clock_was_set_back_takes_the_place_of_its_process_before() {
    for seed in 0..20 {
        let mut world = World::together(6, seed);
        world.kill(3);
        // It starts an hour before the one that it replaces.
        world.start_as(3, 3, 1, &[0]);
        world.run(30 * S);
        assert!(world.agree(6), "seed {seed}");
        assert!(world.nodes[3].changes.iter().any(|(_, c)| matches!(c, Change::StartRaised(_))));
    }
}

#[test]
fn a_replacement_in_place_is_no_event_for_the_others() {
    let mut world = World::together(6, 9);
    world.nodes.iter_mut().for_each(|n| n.changes.clear());
    let inherited: Inherited = world.nodes[2].core.as_ref().unwrap().hand_over(world.now);
    let config = lapisrudder_membership::Config {
        name: name(2),
        at: world.nodes[2].at,
        zone: "z".into(),
        start: 0,
        seeds: vec![],
        seed: 5,
        settings: Settings::default(),
    };
    world.nodes[2].core = Some(Membership::inherit(config, inherited, world.now));
    world.pause(2, MS);
    world.run(30 * S);
    assert!(world.agree(6));
    assert!((0..6).filter(|n| *n != 2).all(|n| world.nodes[n].changes.is_empty()));
}

/// Nobody gets more out of a member than it sent, unless it is one; and memory has a bound.
#[test]
fn a_stranger_gets_no_more_bytes_than_it_sends_and_made_up_members_find_a_bound() {
    let mut world = World::together(8, 2);
    let mut kept = World::together(3, 7);
    kept.recorded = Some(Vec::new());
    (0..3).for_each(|n| kept.start(n, &[0]));
    kept.run(3 * S);
    let stranger: std::net::SocketAddr = "127.0.0.1:9".parse().unwrap();
    for (_, _, body) in kept.recorded.take().unwrap() {
        let core = world.nodes[0].core.as_mut().unwrap();
        core.receive(world.now, stranger, &body);
        let mut out = 0;
        while let Some(order) = core.poll() {
            if let lapisrudder_membership::Output::Send { to, body } = order {
                out += if to == stranger { body.len() } else { 0 };
            }
        }
        assert!(out <= body.len(), "{out} for {}", body.len());
    }
    // A hundred thousand datagrams within a second: what goes out keeps to its bound.
    let seeds: Vec<Vec<u8>> = (0..50).map(|_| (0..200).map(|_| world.rng.random()).collect()).collect();
    let core = world.nodes[1].core.as_mut().unwrap();
    let before = core.counts().sent_bytes;
    for n in 0..100_000i64 {
        let body = seeds.choose(&mut world.rng).unwrap();
        core.receive(world.now + n * 10, stranger, body);
    }
    assert!(core.counts().sent_bytes - before <= 3 * 262_144);
    assert_eq!(core.members(world.now).count(), 8);
}

/// Any faults by chance, and then none: views come together, whatever went before.
#[test]
fn whatever_happened_views_are_the_same_once_it_is_over() {
    let seeds: u64 = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(100);
    for seed in 0..seeds {
        let count = 5 + (seed as usize * 7) % 20;
        let mut world = World::together(count, seed);
        for _ in 0..30 {
            let (a, b) = (world.rng.random_range(0..count), world.rng.random_range(0..count));
            match world.rng.random_range(0..9) {
                0 => world.kill(a),
                1 | 2 if world.nodes[a].core.is_none() => world.start(a, &[b, (b + 1) % count]),
                3 => world.pause(a, 3 * S),
                4 => world.cut(a, b),
                5 => world.links.clear(),
                6 => world.link.loss = world.rng.random_range(0.0..0.4),
                7 => world.leave(a),
                _ => world.partition(|n| n < a),
            }
            let length = world.rng.random_range(0..4 * S);
            world.run(length);
        }
        world.links.clear();
        world.link = Link { delay: MS, jitter: 2 * MS, ..Link::default() };
        for n in 0..count {
            if world.nodes[n].core.as_ref().is_some_and(|c| c.own_view().state == State::Left) {
                world.kill(n);
            }
        }
        (0..count).filter(|n| world.nodes[*n].core.is_none()).collect::<Vec<_>>().into_iter().for_each(|n| {
            world.start(n, &[(n + 1) % count, (n + 2) % count]);
        });
        assert!(world.run_until(180 * S, |w| w.agree(count)).is_some(), "seed {seed}");
    }
}
