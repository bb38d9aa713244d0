//! Disables each mechanism in turn. For each there is a scenario that passes with it and has to fail without
//! it.

use crate::world::{MS, S, World, name};
use lapisrudder_membership::{Ablation, Change, Name, State};

/// Runs a scenario and describes what went wrong, if anything.
type Scenario = fn(Ablation) -> Option<String>;

/// The first live member declared dead, or the first change that went back.
fn violation(world: &World) -> Option<String> {
    let dead = world.false_dead.first().map(|(at, n, of)| format!("{at}: n{n} declares {of} dead"));
    dead.or_else(|| world.violations.first().cloned())
}

/// Two nodes cannot reach a third, which all others reach: helpers report that it answers them, so it never
/// becomes suspect.
fn two_members_cannot_reach_a_third(ablation: Ablation) -> Option<String> {
    let mut world = World::together_with_ablation(7, 1, ablation);
    for n in [0, 1] {
        world.cut(n, 2);
        world.cut(2, n);
    }
    world.nodes.iter_mut().for_each(|node| node.changes.clear());
    world.run(60 * S);
    let suspects = |c: &Change| matches!(c, Change::Member(view) if view.state == State::Suspect);
    let suspected = world.nodes.iter().any(|node| node.changes.iter().any(|(_, c)| suspects(c)));
    suspected.then(|| "a member that others reach is suspect".into())
}

fn death_is_detected_in_time(ablation: Ablation) -> Option<String> {
    (0..5).find_map(|seed| {
        let mut world = World::together_with_ablation(30, seed, ablation);
        world.kill(3);
        let known = world.run_until(30 * S, |w| w.all_see(3, State::Dead))?;
        (known > 6500 * MS).then(|| format!("detected after {known} µs"))
    })
}

fn member_receives_nothing(ablation: Ablation) -> Option<String> {
    let mut world = World::together_with_ablation(9, 1, ablation);
    (1..9).for_each(|n| world.cut(n, 0));
    world.run(60 * S);
    (1..9).find(|n| world.view_of(0, *n) == Some(State::Dead)).map(|n| format!("it declares {n} dead"))
}

/// Two sides of a partition that declared each other dead meet again. Neither may declare members of its own
/// side dead because the other reports it.
fn partition_heals(ablation: Ablation) -> Option<String> {
    let mut world = World::together_with_ablation(10, 1, ablation);
    world.partition(|n| n < 5);
    world.run(30 * S);
    world.links.clear();
    world.run(30 * S);
    let own = |n: usize, of: &Name| (0..10).any(|o| name(o) == *of && (o < 5) == (n < 5));
    world
        .false_dead
        .iter()
        .find(|(_, n, of)| own(*n, of))
        .map(|(_, n, of)| format!("n{n} declares {of} dead"))
}

fn all_members_pause(ablation: Ablation) -> Option<String> {
    (0..10).find_map(|seed| {
        let mut world = World::together_with_ablation(12, seed, ablation);
        for _ in 0..4 {
            (0..12).for_each(|n| world.pause(n, 8 * S + n as i64 * 300 * MS));
            world.run(30 * S);
        }
        violation(&world)
    })
}

/// A node with 70% loss on all paths to it: its health score has to limit how often it suspects others.
fn member_behind_a_lossy_path(ablation: Ablation) -> Option<String> {
    let mut world = World::together_with_ablation(12, 3, ablation);
    for n in 1..12 {
        world.links.insert((n, 0), crate::world::Link { loss: 0.7, ..world.link });
    }
    world.run(300 * S);
    let suspects = |c: &Change| matches!(c, Change::Member(view) if view.state == State::Suspect);
    let suspicions = world.nodes[0].changes.iter().filter(|(_, c)| suspects(c)).count();
    (suspicions > 80).then(|| format!("it suspects others {suspicions} times"))
}

/// A node receives nothing while another one leaves; when it receives again, gossip has finished spreading
/// that.
fn leave_is_missed(ablation: Ablation) -> Option<String> {
    let mut world = World::together_with_ablation(12, 1, ablation);
    (1..12).for_each(|n| world.cut(n, 0));
    world.leave(5);
    world.run(4 * S);
    world.kill(5);
    world.links.clear();
    world.run(60 * S);
    let seen = world.view_of(0, 5);
    (seen != Some(State::Left)).then(|| format!("it is seen as {seen:?}"))
}

fn old_updates_are_replayed(ablation: Ablation) -> Option<String> {
    let mut world = World::together_with_ablation(8, 1, ablation);
    world.recorded = Some(Vec::new());
    world.pause(5, 4 * S);
    world.run(20 * S);
    let old = world.recorded.take().unwrap_or_default();
    world.kill(2);
    world.run(120 * S);
    world.nodes.iter_mut().for_each(|node| node.changes.clear());
    old.into_iter().for_each(|(from, to, body)| world.send(from, to, body));
    world.run(S);
    let back = |c: &Change| matches!(c, Change::Member(v) if v.name == name(2) && v.state == State::Alive);
    let revived = world.nodes.iter().any(|node| node.changes.iter().any(|(_, c)| back(c)));
    violation(&world).or_else(|| revived.then(|| "a dead member is revived".into()))
}

#[test]
fn each_disabled_mechanism_makes_its_scenario_fail() {
    let scenarios: [(Ablation, Scenario); 9] = [
        (Ablation::NoIncarnations, old_updates_are_replayed),
        (Ablation::NoShortening, death_is_detected_in_time),
        (Ablation::NoIndirectProbes, two_members_cannot_reach_a_third),
        (Ablation::NoAwareness, member_behind_a_lossy_path),
        (Ablation::NoStallDetection, all_members_pause),
        (Ablation::NoPushPull, leave_is_missed),
        (Ablation::NoTombstones, old_updates_are_replayed),
        (Ablation::OneAccuser, member_receives_nothing),
        (Ablation::TrustReportedDeath, partition_heals),
    ];
    let mut problems = Vec::new();
    for (ablation, scenario) in scenarios {
        problems
            .extend(scenario(Ablation::None).map(|what| format!("fails with no mechanism disabled: {what}")));
        if scenario(ablation).is_none() {
            problems.push(format!("the scenario of {ablation:?} passes"));
        }
    }
    assert_eq!(problems, [] as [String; 0]);
}
