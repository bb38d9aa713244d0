//! The number of connections follows the load without oscillating.

use crate::world::{Server, World, member, s};
use lapisrudder_pool::{Deployment, MemberId, Micros, Settings};

/// The target, sampled every 100 ms.
fn targets(
    pipeline_depth: u32,
    most: f64,
    until: f64,
    rate: impl Fn(f64) -> f64 + 'static,
) -> Vec<(f64, u32)> {
    let mut world =
        World::new(1, vec![Server::plain(10_000.0)], 1, &Settings::default(), &Deployment::default());
    world.list_all(&member(pipeline_depth));
    world.load(0, Some(0), most, s(1e6), Box::new(move |now| rate(now as f64 / 1e6)));
    let mut all = Vec::new();
    for step in 1..=(until * 10.0) as i64 {
        world.run(step * 100_000);
        let e = world.pool(0).explain(step * 100_000, MemberId(0)).unwrap();
        all.push((step as f64 / 10.0, e.target));
    }
    all
}

/// Lowest and highest target within a period.
fn range(all: &[(f64, u32)], from: f64, until: f64) -> (u32, u32) {
    let within = all.iter().filter(|t| (from..until).contains(&t.0)).map(|t| t.1);
    (within.clone().min().unwrap(), within.max().unwrap())
}

/// Number of changes of direction within a period.
fn reversals(all: &[(f64, u32)], from: f64, until: f64) -> usize {
    let within: Vec<u32> = all.iter().filter(|t| (from..until).contains(&t.0)).map(|t| t.1).collect();
    let moves: Vec<bool> = within.windows(2).filter(|w| w[0] != w[1]).map(|w| w[0] < w[1]).collect();
    moves.windows(2).filter(|w| w[0] != w[1]).count()
}

#[test]
fn target_follows_a_load_step_without_oscillating() {
    // Load 1, then 10, then 1 again.
    let all = targets(32, 1000.0, 240.0, |t| if (60.0..120.0).contains(&t) { 1000.0 } else { 100.0 });
    let (low, high) = (range(&all, 30.0, 60.0), range(&all, 90.0, 120.0));
    assert!(low.1 - low.0 <= 2 && high.1 - high.0 <= 3, "target varies under steady load: {low:?} {high:?}");
    let up = all.iter().find(|t| t.0 > 60.0 && f64::from(t.1) >= 0.8 * f64::from(high.0)).unwrap().0;
    assert!(up < 62.5, "settles upwards at {up}");
    let over = range(&all, 60.0, 90.0).1;
    assert!(f64::from(over) <= 1.3 * f64::from(high.1), "overshoot: {over} over {high:?}");
    let end = all.last().unwrap().1;
    let down = all.iter().rfind(|t| t.1 > end + 2).unwrap().0;
    assert!((125.0..210.0).contains(&down), "settles downwards at {down}");
    assert!(reversals(&all, 30.0, 240.0) <= 12, "{} reversals in 210 s", reversals(&all, 30.0, 240.0));
}

#[test]
fn target_follows_a_ramp_and_holds_through_bursts() {
    let all = targets(32, 1000.0, 120.0, |t| 100.0 + 900.0 * ((t - 30.0) / 60.0).clamp(0.0, 1.0));
    let end = range(&all, 110.0, 120.0).0;
    let mid = all.iter().find(|t| t.0 >= 60.0).unwrap().1;
    assert!(f64::from(mid) > 0.4 * f64::from(end), "{mid} half way to {end}");
    let falls = all.windows(2).filter(|w| (30.0..90.0).contains(&w[0].0) && w[1].1 < w[0].1).count();
    assert!(falls <= 8, "target fell {falls} times on a ramp");
    // A burst of 0.3 s every 3 s: the connections for it are kept until the next one.
    let all = targets(32, 2000.0, 120.0, |t| if t % 3.0 < 0.3 { 2000.0 } else { 100.0 });
    let (least, most) = range(&all, 60.0, 120.0);
    assert!(most <= 2 * least, "{least} to {most}");
    assert!(reversals(&all, 60.0, 120.0) <= 12, "{}", reversals(&all, 60.0, 120.0));
}

#[test]
fn slow_member_gets_no_additional_connections() {
    let mut world =
        World::new(2, vec![Server::plain(5_000.0)], 1, &Settings::default(), &Deployment::default());
    world.list_all(&member(32));
    world.steady(0, Some(0), 400.0);
    world.run(s(60.0));
    let before = world.connections_to(0, 0).0;
    world.servers[0].as_plain().mean = 50_000.0;
    world.run(s(80.0));
    let during = world.connections_to(0, 0).0;
    // Each connection that seems to stall may be replaced once.
    assert!(during <= 2 * before, "{before} before, {during} while the server is ten times slower");
}

/// Further connections exist to avoid head-of-line delay: at the target, that delay must be a small part of a
/// flow's duration.
#[test]
fn head_of_line_delay_stays_a_small_part_of_the_duration() {
    for (pipeline_depth, per_s, bound) in
        [(32, 50.0, 1.35), (32, 1000.0, 1.25), (1, 50.0, 1.35), (1, 1000.0, 1.25)]
    {
        let mut world =
            World::new(3, vec![Server::plain(10_000.0)], 1, &Settings::default(), &Deployment::default());
        world.list_all(&member(pipeline_depth));
        world.stats.latencies = Some(Vec::new());
        world.steady(0, Some(0), per_s);
        world.run(s(60.0));
        let all = world.stats.latencies.take().unwrap();
        let within: Vec<f64> = all.iter().filter(|l| l.0 > s(10.0)).map(|l| l.1 as f64).collect();
        let mean = within.iter().sum::<f64>() / within.len() as f64;
        let alone = 10_400.0;
        assert!(mean < bound * alone, "{mean} at {per_s}/s, pipeline depth {pipeline_depth}");
        let opened = world.pool(0).totals().opened;
        assert!(opened <= 60, "{opened} opened at {per_s}/s, pipeline depth {pipeline_depth}");
    }
}

#[test]
fn deployment_costs_lower_the_number_of_connections() {
    let held = |connection_price: f64, handshake_price: f64| {
        let deployment =
            Deployment { connection_price, handshake_price, node_count: 3, ..Deployment::default() };
        let mut world = World::new(4, vec![Server::plain(5_000.0)], 1, &Settings::default(), &deployment);
        world.list_all(&member(32));
        world.steady(0, Some(0), 100.0);
        world.run(s(30.0));
        let mut sum = 0.0;
        for step in 0..300 {
            world.run(s(30.0) + step * 100_000);
            sum += f64::from(world.connections_to(0, 0).0) / 300.0;
        }
        sum
    };
    let free = held(0.0, 0.0);
    assert!(held(50.0, 1.0) < 0.7 * free, "{} against {free}", held(50.0, 1.0));
    assert!(held(50.0, 0.0) < 1.0, "mean connections held: {}", held(50.0, 0.0));
}

#[test]
fn load_is_expected_when_a_peer_drains_or_a_member_warms_up() {
    let deployment = Deployment::default();
    let mut world = World::new(
        5,
        (0..2).map(|_| Server::plain(10_000.0)).collect(),
        1,
        &Settings::default(),
        &deployment,
    );
    world.list_all(&member(32));
    for server in 0..2 {
        world.steady(0, Some(server), 200.0);
    }
    world.run(s(60.0));
    let before = world.connections_to(0, 1).0;
    let draining = lapisrudder_pool::Member { draining: true, ..member(32) };
    let now = world.now;
    world.pool(0).update_member(now, MemberId(0), &draining);
    world.carry_out_orders(0);
    world.run(now + s(0.3));
    let after = world.connections_to(0, 1).0;
    assert!(after > before, "{before} before a peer drains, {after} just after");
    assert_eq!(world.connections_to(0, 0).1, 0, "connecting to a draining member");
    // A third member is cold until 90 s: it gets no flows before, but must have connections when they begin.
    world.servers.push(Server::plain(10_000.0));
    let cold = lapisrudder_pool::Member { warm_at: Some(s(90.0)), ..member(32) };
    let now: Micros = world.now;
    world.pool(0).update_member(now, MemberId(2), &cold);
    world.carry_out_orders(0);
    world.run(s(80.0));
    assert_eq!(world.connections_to(0, 2), (0, 0));
    world.run(s(89.9));
    assert!(world.connections_to(0, 2).0 >= 3, "{:?}", world.connections_to(0, 2));
}
