//! The protocol core on a virtual clock, under each fault that it is designed for.

mod ablation;
mod table;
mod world;

use lapisrudder_membership::{Change, Inherited, Membership, Reachability, Settings, State};
use rand::Rng;
use rand::seq::IndexedRandom;
use world::{Link, MS, S, World, name};

fn assert_no_false_verdicts(world: &World) {
    assert_eq!(world.violations, [] as [String; 0]);
    assert_eq!(world.false_dead, [], "live members declared dead");
}

#[test]
fn death_is_detected_by_all_and_a_leave_is_no_death() {
    for seed in 0..20 {
        let mut world = World::together(12, seed);
        world.leave(4);
        world.run(S);
        world.kill(4);
        world.kill(3);
        let known = world.run_until(10 * S, |w| w.all_see(3, State::Dead)).expect("declared dead by all");
        assert!(known < 8 * S, "seed {seed}: {known}");
        world.run(30 * S);
        assert!(world.all_see(4, State::Left), "a member that announced its leave is not dead");
        assert!(world.agree(10));
        assert_no_false_verdicts(&world);
    }
}

#[test]
fn death_is_detected_within_seconds_among_300_members() {
    let mut world = World::together(300, 1);
    let before = world.bytes;
    world.run(20 * S);
    assert!((world.bytes - before) / 300 / 20 < 2_000, "bytes per second and node");
    world.kill(17);
    let known = world.run_until(10 * S, |w| w.all_see(17, State::Dead)).expect("declared dead by all");
    assert!(known < 6 * S, "{known}");
    assert_no_false_verdicts(&world);
}

#[test]
fn restart_replaces_the_old_process_and_replayed_updates_do_not_revive_it() {
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
        // An hour later, all recorded datagrams are replayed.
        world.run(3_600 * S);
        for (from, to, body) in old {
            world.send(from, to, body);
        }
        world.run(5 * S);
        assert!(follows(&world) && world.agree(8), "seed {seed}");
        assert_no_false_verdicts(&world);
    }
}

#[test]
fn broken_path_between_two_causes_no_death_and_shows_in_reachability() {
    for (seed, both) in (0..10).flat_map(|seed| [(seed, false), (seed, true)]) {
        let mut world = World::together(6, seed);
        world.cut(0, 1);
        if both {
            world.cut(1, 0);
        }
        world.run(120 * S);
        assert!(world.agree(6), "seed {seed}");
        assert_no_false_verdicts(&world);
        let heard = |n: usize, of: usize| {
            let core = world.nodes[n].core.as_ref().unwrap();
            core.members(world.now).find(|m| m.name == name(of)).unwrap().heard
        };
        assert_eq!(heard(1, 0), Reachability::ThroughOthers);
        // Node 0 still receives what node 1 sends on its own.
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
fn ring_of_one_way_cuts_causes_no_death() {
    for seed in 0..10 {
        let mut world = World::together(7, seed);
        (0..7).for_each(|n| world.cut(n, (n + 1) % 7));
        world.run(120 * S);
        assert!(world.agree(7), "seed {seed}");
        assert_no_false_verdicts(&world);
    }
}

#[test]
fn member_that_receives_nothing_declares_nobody_dead_and_is_not_believed() {
    for seed in 0..20 {
        let mut world = World::together(9, seed);
        (1..9).for_each(|n| world.cut(n, 0));
        world.run(120 * S);
        let own: Vec<_> = (1..9).map(|n| world.view_of(0, n)).collect();
        assert!(!own.contains(&Some(State::Dead)), "seed {seed}: {own:?}");
        // Node 0 itself may be declared dead, since it does not answer, but none of the others.
        assert_none_declared_dead_of(&world, 1..9);
        world.links.clear();
        assert!(world.run_until(90 * S, |w| w.agree(9)).is_some(), "seed {seed}: views converge again");
    }
}

fn assert_none_declared_dead_of(world: &World, of: std::ops::Range<usize>) {
    let names: Vec<_> = of.map(name).collect();
    let bad: Vec<_> = world.false_dead.iter().filter(|(_, _, of)| names.contains(of)).collect();
    assert!(bad.is_empty(), "{bad:?}");
}

#[test]
fn member_that_nobody_receives_is_declared_dead_and_declares_nobody_dead() {
    for seed in 0..20 {
        let mut world = World::together(9, seed);
        (1..9).for_each(|n| world.cut(0, n));
        assert!(world.run_until(20 * S, |w| (1..9).all(|n| w.view_of(n, 0) == Some(State::Dead))).is_some());
        world.run(60 * S);
        let own: Vec<_> = (1..9).map(|n| world.view_of(0, n)).collect();
        assert!(!own.contains(&Some(State::Dead)), "seed {seed}: {own:?}");
        assert_none_declared_dead_of(&world, 1..9);
        world.links.clear();
        assert!(world.run_until(90 * S, |w| w.agree(9)).is_some(), "seed {seed}: views converge again");
    }
}

#[test]
fn partition_heals_by_itself_after_changes_on_both_sides() {
    for seed in 0..10 {
        let mut world = World::together(20, seed);
        world.partition(|n| n % 2 == 0);
        let parted = |w: &World| {
            (0..20).all(|n| (0..20).all(|o| n % 2 == o % 2 || w.view_of(n, o) == Some(State::Dead)))
        };
        assert!(world.run_until(30 * S, parted).is_some(), "seed {seed}: each side declares the other dead");
        world.false_dead.clear();
        // Fifty restarts on each side, of which the other side learns nothing.
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
        assert!(together.is_some(), "seed {seed}: views converge");
        // Reports of the other side led no member to declare a member of the own side dead.
        let own_side: Vec<_> = world
            .false_dead
            .iter()
            .filter(|(_, n, of)| (0..20).any(|o| name(o) == *of && o % 2 == n % 2))
            .collect();
        assert!(own_side.is_empty(), "seed {seed}: {own_side:?}");
    }
}

#[test]
fn repeated_pauses_of_forty_per_cent_cause_no_death() {
    for seed in 0..10 {
        let mut world = World::together(30, seed);
        world.link.loss = 0.1;
        for _ in 0..100 {
            world.pause_some(12);
            world.run(S);
        }
        assert_no_false_verdicts(&world);
    }
}

/// Guards against a recovery that waits for answers of all members after a stall: it waited for the dead one,
/// too, and never declared anyone dead.
#[test]
fn death_is_detected_by_all_despite_repeated_pauses() {
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
        assert_no_false_verdicts(&world);
    }
}

#[test]
fn pause_of_all_members_at_once_causes_no_death() {
    for seed in 0..20 {
        let mut world = World::together(12, seed);
        (0..12).for_each(|n| world.pause(n, 20 * S + n as i64 * 40 * MS));
        world.run(60 * S);
        assert!(world.agree(12));
        assert_no_false_verdicts(&world);
        let stalled =
            |w: &World, n: usize| w.nodes[n].changes.iter().any(|(_, c)| matches!(c, Change::Stalled(_)));
        assert!((0..12).all(|n| stalled(&world, n)));
    }
}

#[test]
fn member_declared_dead_during_a_pause_returns_and_draws_no_old_conclusions() {
    for seed in 0..20 {
        let mut world = World::together(8, seed);
        // The process is paused while suspected, and resumes right after it was declared dead.
        world.pause(0, 3_600 * S);
        let dead = |w: &World| (1..8).any(|n| w.view_of(n, 0) == Some(State::Dead));
        assert!(world.run_until(20 * S, dead).is_some(), "seed {seed}");
        world.nodes[0].paused_until = world.now;
        world.pause(0, MS);
        world.run(2 * MS);
        let own: Vec<_> = (1..8).map(|n| world.view_of(0, n)).collect();
        assert!(!own.contains(&Some(State::Dead)), "right after it resumed: {own:?}");
        assert!(world.run_until(30 * S, |w| w.agree(8)).is_some(), "seed {seed}");
        assert_none_declared_dead_of(&world, 1..8);
    }
}

#[test]
fn delay_loss_duplication_and_reordering_cause_no_death() {
    for seed in 0..5 {
        let mut world = World::together(12, seed);
        world.link = Link { loss: 0.3, duplication: 0.1, delay: MS, jitter: 20 * MS, cut: false };
        world.run(120 * S);
        world.link = Link { loss: 0.0, duplication: 0.1, delay: 200 * MS, jitter: 300 * MS, cut: false };
        world.run(120 * S);
        assert_no_false_verdicts(&world);
        world.link = Link { delay: MS, ..Link::default() };
        assert!(world.run_until(60 * S, |w| w.agree(12)).is_some(), "seed {seed}");
    }
}

#[test]
fn simultaneous_death_of_seventy_per_cent_is_detected() {
    for seed in 0..10 {
        let mut world = World::together(20, seed);
        (0..14).for_each(|n| world.kill(n));
        let known = world.run_until(30 * S, |w| w.agree(6)).expect("all survivors agree");
        assert!(known < 15 * S, "seed {seed}: {known}");
        assert_no_false_verdicts(&world);
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
    // Nodes that the seed never received know no other member, and go on calling it.
    let joined = |w: &World| (1..=190).all(|n| (1..=190).all(|o| w.view_of(n, o) == Some(State::Alive)));
    assert!(world.run_until(40 * S, joined).is_some());
    let unreadable: u64 =
        world.running().filter_map(|n| Some(world.nodes[n].core.as_ref()?.counts().unreadable)).sum();
    assert_eq!(unreadable, 0, "members decode what members encode");
    world.start(0, &[30]);
    assert!(world.run_until(90 * S, |w| w.agree(300)).is_some());
    assert_no_false_verdicts(&world);
}

#[test]
fn absent_seeds_cost_little_and_a_late_one_is_found() {
    let mut world = World::new(3, 1);
    world.start(0, &[1, 2]);
    let before = world.bytes;
    world.run(120 * S);
    assert!((world.bytes - before) / 120 < 800, "calls to two absent seeds back off");
    world.start(2, &[1]);
    assert!(world.run_until(15 * S, |w| w.agree(2)).is_some());
}

#[test]
fn address_reused_by_another_member_is_not_taken_for_the_old_one() {
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
fn later_of_two_processes_of_one_name_wins_and_both_learn_of_it() {
    for seed in 0..20 {
        let mut world = World::together(6, seed);
        world.nodes.push(world::node_at(6));
        let start = world.now as u64;
        world.run(11 * S);
        world.start_as(6, 3, start, &[0]);
        world.run(30 * S);
        let reported =
            |n: usize, what: fn(&Change) -> bool| world.nodes[n].changes.iter().any(|(_, c)| what(c));
        assert!(reported(3, |c| matches!(c, Change::Superseded(_))), "seed {seed}");
        assert!(reported(6, |c| matches!(c, Change::DuplicateName(_))), "seed {seed}");
        for n in [0, 1, 2, 4, 5] {
            let core = world.nodes[n].core.as_ref().unwrap();
            let of = core.members(world.now).find(|m| m.name == name(3)).unwrap();
            assert_eq!((of.start, of.state), (start, State::Alive), "seed {seed}");
        }
    }
}

#[test]
fn process_with_a_clock_set_back_replaces_its_predecessor() {
    for seed in 0..20 {
        let mut world = World::together(6, seed);
        world.kill(3);
        // Its start lies before that of the process that it replaces, as with a clock that was set back.
        world.start_as(3, 3, 1, &[0]);
        world.run(30 * S);
        assert!(world.agree(6), "seed {seed}");
        assert!(world.nodes[3].changes.iter().any(|(_, c)| matches!(c, Change::StartRaised(_))));
    }
}

#[test]
fn takeover_by_a_successor_is_no_event_for_other_members() {
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

/// Only members get a longer answer than what they sent, and the table of members is bounded.
#[test]
fn stranger_gets_no_more_bytes_than_it_sends_and_invented_members_are_bounded() {
    let mut world = World::together(8, 2);
    let mut source = World::together(3, 7);
    source.recorded = Some(Vec::new());
    (0..3).for_each(|n| source.start(n, &[0]));
    source.run(3 * S);
    let stranger: std::net::SocketAddr = "127.0.0.1:9".parse().unwrap();
    for (_, _, body) in source.recorded.take().unwrap() {
        let core = world.nodes[0].core.as_mut().unwrap();
        core.receive(world.now, stranger, &body);
        let mut out = 0;
        while let Some(output) = core.poll() {
            if let lapisrudder_membership::Output::Send { to, body } = output {
                out += if to == stranger { body.len() } else { 0 };
            }
        }
        assert!(out <= body.len(), "{out} for {}", body.len());
    }
    // A hundred thousand datagrams within a second: the bytes sent stay within the budget.
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

/// Random faults, then none: all views converge in the end.
#[test]
fn views_converge_after_random_faults() {
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
