//! The engine in memory, on a virtual clock: random stories of what can happen, with the rules checked at each step.
//! A failing one is shortened, and told with its seed.

mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use world::{Manner, Step, World};

fn manner() -> impl Strategy<Value = Manner> {
    prop_oneof![
        16 => Just(Manner::Serve),
        4 => Just(Manner::Miss),
        1 => Just(Manner::Busy),
        1 => Just(Manner::Fail),
        1 => Just(Manner::Noise),
        1 => Just(Manner::Other),
        1 => Just(Manner::Twice),
        1 => Just(Manner::BusyTwice),
        1 => Just(Manner::Part),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (any::<u8>(), prop::bool::weighted(0.2), prop::bool::weighted(0.2), 0u16..600)
            .prop_map(|(key, write, dear, wait_ms)| Step::Ask { key, write, dear, wait_ms }),
        1 => any::<u8>().prop_map(|pick| Step::Leave { pick }),
        12 => prop_oneof![4 => 0u16..10, 1 => 0u16..120].prop_map(|ms| Step::Turn { ms }),
        1 => (0u16..1500).prop_map(|ms| Step::Stall { ms }),
        8 => (any::<u8>(), prop::bool::weighted(0.9)).prop_map(|(pick, up)| Step::Connect { pick, up }),
        2 => (any::<u8>(), prop_oneof![0u16..200, Just(u16::MAX)])
            .prop_map(|(pick, bytes)| Step::Room { pick, bytes }),
        16 => (any::<u8>(), manner(), any::<u8>())
            .prop_map(|(pick, manner, pieces)| Step::Answer { pick, manner, pieces }),
        2 => (any::<u8>(), any::<bool>()).prop_map(|(pick, reset)| Step::Close { pick, reset }),
        2 => (any::<u8>(), any::<u8>()).prop_map(|(server, stage)| Step::List { server, stage }),
        1 => any::<u8>().prop_map(|members| Step::Whole { members: members | 1 }),
        1 => Just(Step::Lost),
    ]
}

/// What servers and settings allow in a story: whether two attempts may be out together, and for how long writes may be
/// repeated, in microseconds.
type Rules = (bool, Option<i64>);

fn tell(seed: u64, (copies, remembered): Rules, story: &[Step]) -> Result<World, String> {
    let mut world = World::new(seed, copies, remembered);
    story.iter().try_for_each(|step| world.step(step))?;
    world.finish()?;
    Ok(world)
}

/// Plays so many stories; gives how many transactions were served and refused, and flows sent.
fn play(seed: u64, rules: Rules, stories: u32) -> (usize, usize, usize) {
    let config = Config { cases: stories, failure_persistence: None, ..Config::default() };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &bytes));
    let sums = std::cell::Cell::new((0, 0, 0));
    let done = runner.run(&(any::<u64>(), prop::collection::vec(step(), 1..120)), |(own, story)| {
        let world = tell(own, rules, &story).map_err(TestCaseError::fail)?;
        let (served, refused, sent) = sums.get();
        sums.set((served + world.served, refused + world.refused, sent + world.sent));
        Ok(())
    });
    done.unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    sums.get()
}

#[test]
fn every_rule_holds_in_any_order_of_things() {
    let (served, refused, sent) = play(1, (true, None), 8000);
    // The stories get far: the rules are not kept by doing nothing.
    assert!(
        served > 8_000 && refused > 20_000 && sent > 20_000,
        "{served} served, {refused} refused, {sent} sent"
    );
}

/// Where only one attempt of a request may be out, none begins beside another on an open connection, be that one given up.
#[test]
fn no_second_copy_goes_out_where_there_may_be_none() {
    let (served, _, sent) = play(2, (false, None), 8000);
    assert!(served > 8_000 && sent > 15_000, "{served} served, {sent} sent");
}

/// A write that servers remember for a while may be repeated within that time and no later, however long its repeat waited
/// for a connection.
#[test]
fn nothing_is_repeated_after_servers_have_forgotten_it() {
    let (served, _, sent) = play(3, (true, Some(60_000)), 8000);
    assert!(served > 8_000 && sent > 20_000, "{served} served, {sent} sent");
}
