//! Many nodes that cannot see each other.

use crate::world::{Server, World, member, most_within, s};
use lapisrudder_model::server::{CacheConfig, Class, Connections, Dist, Machine};
use lapisrudder_pool::{Deployment, MemberId, Settings};

/// By the defaults: 5% of a core at 0.5 ms a handshake.
const LIMIT: usize = 100;

fn told(siblings: u32) -> Deployment {
    Deployment { siblings, ..Deployment::default() }
}

fn config(cap: u32, full_loss: f64) -> CacheConfig {
    let connections = Connections {
        cap,
        full_loss,
        handshake_work_us: 500.0,
        handshake_wait_us: 500,
        idle_us: Some(60_000_000),
        ..Connections::default()
    };
    let classes = vec![Class { work: Dist::Exp(4_000.0), ..Class::default() }];
    let machine =
        Machine { cores: 2, slots: 24, waiting_room: 200, connections, classes, ..Machine::default() };
    CacheConfig { machine, ..CacheConfig::default() }
}

/// A fresh server is listed at all nodes at once, each of which has flows for it already.
#[test]
fn a_fresh_server_is_never_opened_more_connections_to_than_its_limit_by_all_nodes_together() {
    // The last: three times as many nodes as they are told.
    for (nodes, siblings) in [(1, 1), (3, 3), (30, 30), (100, 100), (99, 33), (60, 20), (36, 12)] {
        let mut world = World::new(
            6,
            vec![Server::model(&config(2_000, 0.0), 1)],
            nodes,
            &Settings::default(),
            &told(siblings),
        );
        world.run(s(10.0));
        world.list_all(&member(32));
        for n in 0..nodes {
            world.steady(n, Some(0), 200.0 / nodes as f64);
        }
        world.run(s(40.0));
        let most = most_within(&world.seen.opens, 0, s(1.0));
        assert!(most <= LIMIT, "{most} opens in a second by {nodes} nodes that are told {siblings}");
        // And all of them get there.
        let without = (0..nodes).filter(|n| world.held(*n, 0).0 == 0).count();
        assert_eq!(without, 0, "nodes without a connection after 30 s");
    }
}

#[test]
fn a_hundred_nodes_that_start_over_within_a_second_open_no_burst() {
    for (nodes, siblings) in [(100usize, 100), (100, 34)] {
        let servers = (0..5).map(|i| Server::model(&config(2_000, 0.0), i)).collect();
        let mut world = World::new(7, servers, nodes, &Settings::default(), &told(siblings));
        world.list_all(&member(32));
        for n in 0..nodes {
            world.steady(n, None, 10.0);
        }
        world.run(s(30.0));
        for n in 0..nodes {
            world.script(s(30.0) + s(1.0) * n as i64 / nodes as i64, move |w| {
                w.start(n, 99, &Settings::default(), &told(siblings));
                w.list(n, &member(32));
            });
        }
        world.seen.opens.clear();
        world.run(s(60.0));
        for server in 0..5 {
            let most = most_within(&world.seen.opens, server, s(1.0));
            assert!(most <= LIMIT, "{most} opens in a second at server {server}, told {siblings}");
        }
    }
}

#[test]
fn a_reset_of_everything_and_a_return_bring_no_burst_either() {
    let nodes = 60;
    let mut world = World::new(8, vec![Server::plain(4_000.0)], nodes, &Settings::default(), &told(60));
    world.list_all(&member(32));
    for n in 0..nodes {
        world.steady(n, Some(0), 20.0);
    }
    world.run(s(60.0));
    world.seen.opens.clear();
    world.reset(0);
    world.run(s(80.0));
    let most = most_within(&world.seen.opens, 0, s(1.0));
    assert!(most <= LIMIT, "{most} opens in a second after a reset of all");
    // Down for 10 s: connects are refused, and back off.
    world.servers[0].as_plain().table = 0;
    world.reset(0);
    world.seen.opens.clear();
    world.run(s(90.0));
    let tries = world.seen.opens.len();
    assert!(tries < 60 * 60, "{tries} connects in 10 s to a server that is down");
    world.servers[0].as_plain().table = usize::MAX;
    world.seen.opens.clear();
    world.run(s(110.0));
    let most = most_within(&world.seen.opens, 0, s(1.0));
    assert!(most <= LIMIT, "{most} opens in a second after it is back");
    for n in 0..nodes {
        let e = world.nodes[n].pool.explain(world.now, MemberId(0)).unwrap();
        assert!(e.up > 0, "{e}");
    }
}

/// A table that holds fewer than the nodes want: shares come out alike, refusals get rare, and nobody goes without.
#[test]
fn a_table_that_is_full_is_shared_and_served_on() {
    let nodes = 6;
    let mut world =
        World::new(9, vec![Server::model(&config(24, 0.2), 1)], nodes, &Settings::default(), &told(1));
    world.list_all(&member(32));
    for n in 0..nodes {
        world.steady(n, Some(0), 60.0);
    }
    world.run(s(120.0));
    let (refused, flows) = (world.seen.refused_connects, world.seen.flows);
    world.run(s(240.0));
    let refused = world.seen.refused_connects - refused;
    assert!(refused < 300, "{refused} refused in 120 s by six nodes");
    let held: Vec<u32> = (0..nodes).map(|n| world.held(n, 0).0).collect();
    assert!(held.iter().all(|h| (1..=8).contains(h)), "{held:?}");
    assert!(world.seen.refused.is_empty() && world.seen.flows > flows, "{:?}", world.seen.refused);
    assert!(world.seen.answered + 40 > world.seen.flows, "{} of {}", world.seen.answered, world.seen.flows);
}

/// Where each connection held takes much of a member's capacity, less are held; where it takes none, more.
#[test]
fn what_connections_cost_a_member_is_learnt() {
    let held = |full_loss: f64| {
        let nodes = 4;
        let mut world = World::new(
            10,
            vec![Server::model(&config(40, full_loss), 1)],
            nodes,
            &Settings::default(),
            &told(4),
        );
        world.list_all(&member(32));
        for n in 0..nodes {
            // Up and down, so that the number held falls later than the load.
            world.load(
                n,
                Some(0),
                80.0,
                s(1e6),
                Box::new(|t| if t / 20_000_000 % 2 == 0 { 80.0 } else { 40.0 }),
            );
        }
        world.run(s(500.0));
        let mut sum = 0;
        for step in 0..1000 {
            world.run(s(500.0) + step * 100_000);
            sum += (0..nodes).map(|n| world.held(n, 0).0).sum::<u32>();
        }
        let all = (0..nodes).map(|n| world.nodes[n].pool.explain(world.now, MemberId(0)).unwrap().cost);
        (all.sum::<f64>() / nodes as f64, f64::from(sum) / 1000.0)
    };
    let (costly, free) = (held(0.6), held(0.0));
    assert!(costly.0 > 1.8 * free.0, "{costly:?} where they cost, {free:?} where not");
    assert!(costly.1 < 0.9 * free.1, "{costly:?} where they cost, {free:?} where not");
}

/// 1,000 members with little traffic each: what is held stays within what the node may hold, and nothing starves.
#[test]
fn many_members_with_little_traffic_share_the_descriptors() {
    let servers = (0..1000).map(|_| Server::plain(5_000.0)).collect();
    let mut world = World::new(11, servers, 1, &Settings::default(), &Deployment::default());
    world.list_all(&member(32));
    world.steady(0, None, 500.0);
    let mut most = 0;
    for step in 1..=600 {
        world.run(step * 100_000);
        most = most.max(world.nodes[0].pool.held());
    }
    assert!((400..=512).contains(&most), "{most} held");
    assert!(world.seen.refused.is_empty(), "{:?}", world.seen.refused);
    assert!(
        world.seen.answered + 30 > world.seen.flows,
        "{} of {}, {:?}",
        world.seen.answered,
        world.seen.flows,
        world.seen.losses
    );
    // Few descriptors, much idle: room is made at once when it gets less.
    let now = world.now;
    world.pool(0).room(now, 64);
    world.drive(0);
    world.run(now + s(5.0));
    assert!(world.nodes[0].pool.held() <= 64, "{}", world.nodes[0].pool.held());
}
