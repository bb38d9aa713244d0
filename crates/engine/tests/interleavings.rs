//! The engine in memory, on a virtual clock: random scenarios, with the rules checked at each step. A failing
//! scenario is shrunk, and reported with its seed.

mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use world::{ReplyKind, Step, World};

fn reply_kind() -> impl Strategy<Value = ReplyKind> {
    prop_oneof![
        16 => Just(ReplyKind::Serve),
        4 => Just(ReplyKind::Miss),
        1 => Just(ReplyKind::Busy),
        1 => Just(ReplyKind::Fail),
        1 => Just(ReplyKind::Noise),
        1 => Just(ReplyKind::Other),
        1 => Just(ReplyKind::Twice),
        1 => Just(ReplyKind::BusyTwice),
        1 => Just(ReplyKind::Part),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (any::<u8>(), prop::bool::weighted(0.2), prop::bool::weighted(0.2), 0u16..600)
            .prop_map(|(key, write, has_effect, wait_ms)| Step::Ask { key, write, has_effect, wait_ms }),
        1 => any::<u8>().prop_map(|pick| Step::Leave { pick }),
        12 => prop_oneof![4 => 0u16..10, 1 => 0u16..120].prop_map(|ms| Step::Iterate { ms }),
        1 => (0u16..1500).prop_map(|ms| Step::Stall { ms }),
        8 => (any::<u8>(), prop::bool::weighted(0.9)).prop_map(|(pick, up)| Step::Connect { pick, up }),
        2 => (any::<u8>(), prop_oneof![0u16..200, Just(u16::MAX)])
            .prop_map(|(pick, bytes)| Step::SendSpace { pick, bytes }),
        16 => (any::<u8>(), reply_kind(), any::<u8>())
            .prop_map(|(pick, reply_kind, pieces)| Step::Answer { pick, reply_kind, pieces }),
        2 => (any::<u8>(), any::<bool>()).prop_map(|(pick, reset)| Step::Close { pick, reset }),
        2 => (any::<u8>(), any::<u8>()).prop_map(|(server, stage)| Step::List { server, stage }),
        1 => any::<u8>().prop_map(|members| Step::FullList { members: members | 1 }),
        1 => Just(Step::DiscoveryFails),
    ]
}

/// What servers and settings allow in a scenario: whether two attempts may be in flight at the same time, and
/// for how long writes may be repeated, in microseconds.
type Rules = (bool, Option<i64>);

fn run_scenario(seed: u64, (copies, repeat_window): Rules, scenario: &[Step]) -> Result<World, String> {
    let mut world = World::new(seed, copies, repeat_window);
    scenario.iter().try_for_each(|step| world.step(step))?;
    world.finish()?;
    Ok(world)
}

/// Runs this many scenarios. Returns how many transactions were served and refused, and how many flows were
/// sent.
fn run_all(seed: u64, rules: Rules, scenarios: u32) -> (usize, usize, usize) {
    let config = Config { cases: scenarios, failure_persistence: None, ..Config::default() };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &bytes));
    let sums = std::cell::Cell::new((0, 0, 0));
    let done = runner.run(&(any::<u64>(), prop::collection::vec(step(), 1..120)), |(own, scenario)| {
        let world = run_scenario(own, rules, &scenario).map_err(TestCaseError::fail)?;
        let (served, refused, sent) = sums.get();
        sums.set((served + world.served, refused + world.refused, sent + world.sent));
        Ok(())
    });
    done.unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    sums.get()
}

#[test]
fn every_rule_holds_in_any_order_of_events() {
    let (served, refused, sent) = run_all(1, (true, None), 8000);
    // The scenarios reach far: the rules are not kept by doing nothing.
    assert!(
        served > 8_000 && refused > 20_000 && sent > 20_000,
        "{served} served, {refused} refused, {sent} sent"
    );
}

/// Where only one attempt of a request may be in flight, none begins while another one is on an open
/// connection, even if that one was given up.
#[test]
fn no_second_copy_is_sent_where_none_is_allowed() {
    let (served, _, sent) = run_all(2, (false, None), 8000);
    assert!(served > 8_000 && sent > 15_000, "{served} served, {sent} sent");
}

/// A write that servers remember for a while may be repeated within that time and no later, even if its
/// repeat waits long for a connection.
#[test]
fn no_write_is_repeated_after_servers_have_forgotten_it() {
    let (served, _, sent) = run_all(3, (true, Some(60_000)), 8000);
    assert!(served > 8_000 && sent > 20_000, "{served} served, {sent} sent");
}
