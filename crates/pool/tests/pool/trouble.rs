//! Faults of members: pauses, crashes, network cuts, full connection tables.

use crate::world::{Server, World, member, quantile, s};
use lapisrudder_model::server::Fault;
use lapisrudder_pool::{Deployment, Member, MemberId, Micros, RejectReason, Settings};

fn plain(n: usize, mean: f64) -> Vec<Server> {
    (0..n).map(|_| Server::plain(mean)).collect()
}

fn world(seed: u64, servers: Vec<Server>, pipeline_depth: u32) -> World {
    let mut world = World::new(seed, servers, 1, &Settings::default(), &Deployment::default());
    world.list_all(&member(pipeline_depth));
    world
}

/// 42% of the servers stall for 0.6 s, repeatedly.
#[test]
fn server_pauses_cause_no_connect_storm_and_no_queue_on_stalled_connections() {
    let mut world = world(12, plain(12, 4_000.0), 32);
    // Flows are abandoned after 0.3 s, as hosts do when they retry elsewhere.
    world.load(0, None, 1200.0, 300_000, Box::new(|_| 1200.0));
    world.run(s(30.0));
    let opened = world.pool(0).totals().opened;
    for pause in 0..10i64 {
        let at = s(30.0 + 2.0 * pause as f64);
        world.script(at, move |w| {
            for i in 0..5 {
                let server = (i + pause as usize) % 12;
                w.servers[server].as_plain().paused = w.now + 600_000;
            }
        });
        world.run(at + 550_000);
        for i in 0..5 {
            let e =
                world.nodes[0].pool.explain(world.now, MemberId(((i + pause as usize) % 12) as u64)).unwrap();
            // The flows in flight when the pause began, and an occasional probe.
            assert!(e.in_flight <= 45, "{e}");
            assert!(e.up + e.connecting <= 16, "{} connections", e.up + e.connecting);
        }
        world.run(at + s(2.0) - 1);
    }
    let more = world.pool(0).totals().opened - opened;
    assert!(more <= 400, "{more} connections opened over 50 pauses");
    assert_eq!(world.stats.losses.get("in use"), None);
    // Afterwards latency is normal again.
    world.run(s(60.0));
    world.stats.latencies = Some(Vec::new());
    world.run(s(70.0));
    let all = world.stats.latencies.take().unwrap();
    assert!(quantile(&all, s(60.0), s(70.0), 0.99) < 30_000);
}

#[test]
fn idle_death_is_distinguished_from_a_crash() {
    // Each connection is dead after 3 s of idle time; one flow every 5 s.
    let mut idle = world(13, plain(1, 4_000.0), 32);
    idle.expires = Some(Box::new(|_, since| since + s(3.0)));
    for i in 1..4 {
        idle.run(s(5.0 * f64::from(i)));
        idle.start_flow(0, 0, s(1e6));
    }
    idle.run(s(30.0));
    assert_eq!(idle.stats.losses.get("dead while idle"), Some(&1), "{:?}", idle.stats.losses);
    assert_eq!((idle.stats.lost_idle, idle.stats.lost_in_use), (1, 0));
    // A crash under load.
    let mut crash = world(14, plain(1, 10_000.0), 32);
    crash.steady(0, Some(0), 500.0);
    crash.run(s(20.0));
    crash.reset(0);
    crash.run(s(21.0));
    let e = crash.pool(0).explain(s(21.0), MemberId(0)).unwrap();
    assert_eq!(e.counts.resets, 1, "{e}");
    assert_eq!(e.counts.found_dead, 0, "{e}");
    assert_eq!(e.idle_limit, s(15.0), "a crash does not change the idle limit: {e}");
    assert!(e.up > 0 && crash.stats.losses["mass reset"] > 0);
}

#[test]
fn old_connections_are_closed_after_a_silent_cut_but_kept_after_a_pause() {
    let after = |cut: bool| {
        let mut world = world(15, plain(1, 4_000.0), 32);
        world.load(0, Some(0), 300.0, 400_000, Box::new(|_| 300.0));
        world.run(s(20.0));
        let before = world.connections_to(0, 0).0;
        if cut {
            // The server is cut off from the network; connections from before the cut stay silent for ever.
            let forgotten: Micros = s(20.0);
            world.expires = None;
            world.servers[0].as_plain().cut = true;
            world.script(s(22.0), move |w| {
                w.servers[0].as_plain().cut = false;
                w.expires =
                    Some(Box::new(move |_, since| if since <= forgotten { since } else { Micros::MAX }));
            });
        } else {
            world.servers[0].as_plain().paused = s(22.0);
        }
        world.run(s(22.0));
        let opened = world.pool(0).totals().opened;
        world.run(s(30.0));
        let flows = (world.stats.answered, world.stats.lost_idle + world.stats.lost_in_use);
        world.run(s(40.0));
        let answered = world.stats.answered - flows.0;
        assert!(answered > 2_700, "only {answered} flows answered in 10 s");
        (
            before,
            world.connections_to(0, 0).0,
            world.pool(0).totals().opened - opened,
            world.stats.lost_idle + world.stats.lost_in_use,
        )
    };
    let (before, held, opened, lost) = after(true);
    assert!(held + 3 >= before && lost <= 3, "{before} before, {held} after, {opened} opened, {lost} lost");
    let (before, held, opened, lost) = after(false);
    assert!(held + 3 >= before && opened <= 8 && lost == 0, "{before} {held}, {opened} opened after a pause");
}

#[test]
fn server_with_a_full_table_is_used_on_existing_connections() {
    let mut world = world(16, plain(1, 10_000.0), 32);
    world.servers[0].as_plain().table = 2;
    world.steady(0, Some(0), 400.0);
    world.run(s(60.0));
    assert!(world.stats.refused.is_empty(), "{:?}", world.stats.refused);
    assert!(world.stats.answered + 30 > world.stats.flows);
    let e = world.pool(0).explain(s(60.0), MemberId(0)).unwrap();
    assert!(e.ceiling.is_some_and(|most| most <= 3) && e.up == 2, "{e}");
    assert!(e.counts.refused <= 20, "{e}");
}

#[test]
fn origin_without_pipelining_works_beside_pipelining_members() {
    let mut world = World::new(17, plain(2, 20_000.0), 1, &Settings::default(), &Deployment::default());
    world.pool(0).update_member(0, MemberId(0), &Member { kind: 1, ..member(1) });
    world.pool(0).update_member(0, MemberId(1), &member(32));
    world.steady(0, Some(0), 200.0);
    world.steady(0, Some(1), 200.0);
    world.run(s(60.0));
    let of = |world: &mut World, i| world.pool(0).explain(s(60.0), MemberId(i)).unwrap();
    let (origin, cache) = (of(&mut world, 0), of(&mut world, 1));
    assert_eq!(origin.counts.pipelined, 0, "{origin}");
    assert!(origin.up > cache.up && origin.counts.opened < 40, "{origin}\n{cache}");
    assert!(world.stats.answered + 40 > world.stats.flows);
}

#[test]
fn failed_connects_reject_flows_at_once() {
    let mut world = world(18, plain(1, 4_000.0), 32);
    world.servers[0].as_plain().table = 0;
    world.steady(0, Some(0), 200.0);
    world.run(s(10.0));
    assert_eq!(world.stats.answered, 0);
    let down = world.stats.refused["unreachable"];
    assert!(down + 3 >= world.stats.flows, "only {down} of {} flows rejected at once", world.stats.flows);
    assert!(world.stats.opens.len() < 80, "{} connects in 10 s", world.stats.opens.len());
    let why = world.nodes[0].pool.assign_flow(s(10.0), MemberId(9), lapisrudder_pool::RetrySafety::Unsafe);
    assert_eq!(why, lapisrudder_pool::Placement::Rejected(RejectReason::MemberClosed), "unknown member");
}

#[test]
fn model_server_crash_and_restart() {
    let config = lapisrudder_model::server::CacheConfig::default();
    let mut world = world(19, vec![Server::model(&config, 1)], 32);
    world.load(0, Some(0), 300.0, 500_000, Box::new(|_| 300.0));
    world.run(s(20.0));
    world.fault(0, Fault::Kill { silent: false });
    world.run(s(25.0));
    let e = world.pool(0).explain(s(25.0), MemberId(0)).unwrap();
    assert!(e.up == 0 && e.consecutive_failures > 0, "{e}");
    world.fault(0, Fault::Restart { uid: None });
    world.run(s(27.0));
    let e = world.pool(0).explain(s(27.0), MemberId(0)).unwrap();
    assert!(e.up > 0 && e.consecutive_failures == 0 && e.waiting == 0, "{e}");
}
