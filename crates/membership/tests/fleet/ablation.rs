//! Each mechanism taken out in turn: a scenario that holds with it must not without.

use crate::world::{MS, S, World, name};
use lapisrudder_membership::{Ablation, Change, Name, State};

/// What went wrong in a scenario, if anything.
type Scenario = fn(Ablation) -> Option<String>;

/// Verdicts on such as live, and words that went back.
fn violation(world: &World) -> Option<String> {
    let dead = world.false_dead.first().map(|(at, n, of)| format!("{at}: n{n} calls {of} dead"));
    dead.or_else(|| world.violations.first().cloned())
}

/// Two do not reach a third, which all others do.
fn two_cut_from_a_third(ablation: Ablation) -> Option<String> {
    let mut world = World::together_with_ablation(7, 1, ablation);
    for n in [0, 1] {
        world.cut(n, 2);
        world.cut(2, n);
    }
    world.nodes.iter_mut().for_each(|node| node.changes.clear());
    world.run(60 * S);
    // Whoever asks others for it is told that it answers them.
    let suspects = |c: &Change| matches!(c, Change::Member(view) if view.state == State::Suspect);
    let told = world.nodes.iter().any(|node| node.changes.iter().any(|(_, c)| suspects(c)));
    told.then(|| "one is suspect that all others reach".into())
}

fn a_death_in_a_fleet(ablation: Ablation) -> Option<String> {
    (0..5).find_map(|seed| {
        let mut world = World::together_with_ablation(30, seed, ablation);
        world.kill(3);
        let known = world.run_until(30 * S, |w| w.all_see(3, State::Dead))?;
        (known > 6500 * MS).then(|| format!("known after {known}"))
    })
}

fn one_hears_nothing(ablation: Ablation) -> Option<String> {
    let mut world = World::together_with_ablation(9, 1, ablation);
    (1..9).for_each(|n| world.cut(n, 0));
    world.run(60 * S);
    (1..9).find(|n| world.view_of(0, *n) == Some(State::Dead)).map(|n| format!("it calls {n} dead"))
}

/// Two halves that called each other dead meet again: neither convicts its own members at the other's word.
fn two_halves_meet(ablation: Ablation) -> Option<String> {
    let mut world = World::together_with_ablation(10, 1, ablation);
    world.partition(|n| n < 5);
    world.run(30 * S);
    world.links.clear();
    world.run(30 * S);
    let own = |n: usize, of: &Name| (0..10).any(|o| name(o) == *of && (o < 5) == (n < 5));
    world.false_dead.iter().find(|(_, n, of)| own(*n, of)).map(|(_, n, of)| format!("n{n} calls {of} dead"))
}

fn all_stand_still(ablation: Ablation) -> Option<String> {
    (0..10).find_map(|seed| {
        let mut world = World::together_with_ablation(12, seed, ablation);
        for _ in 0..4 {
            (0..12).for_each(|n| world.pause(n, 8 * S + n as i64 * 300 * MS));
            world.run(30 * S);
        }
        violation(&world)
    })
}

/// One hears and is heard badly: how often it speaks ill of the others.
fn one_on_a_bad_way(ablation: Ablation) -> Option<String> {
    let mut world = World::together_with_ablation(12, 3, ablation);
    for n in 1..12 {
        world.links.insert((n, 0), crate::world::Link { loss: 0.7, ..world.link });
    }
    world.run(300 * S);
    let suspects = |c: &Change| matches!(c, Change::Member(view) if view.state == State::Suspect);
    let told = world.nodes[0].changes.iter().filter(|(_, c)| suspects(c)).count();
    (told > 80).then(|| format!("it suspects others {told} times"))
}

/// One hears nothing while another says goodbye, and everybody has told that often enough when it hears again.
fn a_goodbye_is_missed(ablation: Ablation) -> Option<String> {
    let mut world = World::together_with_ablation(12, 1, ablation);
    (1..12).for_each(|n| world.cut(n, 0));
    world.leave(5);
    world.run(4 * S);
    world.kill(5);
    world.links.clear();
    world.run(60 * S);
    let held = world.view_of(0, 5);
    (held != Some(State::Left)).then(|| format!("it is held for {held:?}"))
}

fn old_words_come_again(ablation: Ablation) -> Option<String> {
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
    violation(&world).or_else(|| revived.then(|| "one that is dead comes back".into()))
}

#[test]
fn each_mechanism_that_is_taken_out_is_missed() {
    let scenarios: [(Ablation, Scenario); 9] = [
        (Ablation::NoIncarnations, old_words_come_again),
        (Ablation::NoShortening, a_death_in_a_fleet),
        (Ablation::NoIndirectProbes, two_cut_from_a_third),
        (Ablation::NoAwareness, one_on_a_bad_way),
        (Ablation::NoStallDetection, all_stand_still),
        (Ablation::NoPushPull, a_goodbye_is_missed),
        (Ablation::NoTombstones, old_words_come_again),
        (Ablation::OneAccuser, one_hears_nothing),
        (Ablation::TrustReportedDeath, two_halves_meet),
    ];
    let mut told = Vec::new();
    for (ablation, scenario) in scenarios {
        told.extend(
            scenario(Ablation::None).map(|what| format!("broken though nothing is ablation: {what}")),
        );
        if scenario(ablation).is_none() {
            told.push(format!("{ablation:?} is not noticed"));
        }
    }
    assert_eq!(told, [] as [String; 0]);
}
