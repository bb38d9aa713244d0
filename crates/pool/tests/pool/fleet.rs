//! Many nodes without knowledge of each other.

use crate::world::{Server, World, max_connects_within, member, s};
use lapisrudder_model::server::{CacheConfig, Class, Connections, Dist, Machine};
use lapisrudder_pool::{Deployment, MemberId, Settings};

/// Connects per second to one server by default: 5% of a core at 0.5 ms per handshake.
const LIMIT: usize = 100;

fn deployment(node_count: u32) -> Deployment {
    Deployment { node_count, ..Deployment::default() }
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

/// A new server appears at all nodes at once, and each node has flows for it: without rate limits all of them
/// would connect together.
#[test]
fn all_nodes_together_respect_the_connect_rate_of_a_new_server() {
    // In the last three cases there are three times as many nodes as the deployment states.
    for (nodes, node_count) in [(1, 1), (3, 3), (30, 30), (100, 100), (99, 33), (60, 20), (36, 12)] {
        let mut world = World::new(
            6,
            vec![Server::model(&config(2_000, 0.0), 1)],
            nodes,
            &Settings::default(),
            &deployment(node_count),
        );
        world.run(s(10.0));
        world.list_all(&member(32));
        for n in 0..nodes {
            world.steady(n, Some(0), 200.0 / nodes as f64);
        }
        world.run(s(40.0));
        let most = max_connects_within(&world.stats.opens, 0, s(1.0));
        assert!(most <= LIMIT, "{most} opens in a second by {nodes} nodes configured for {node_count}");
        // Every node gets a connection nevertheless.
        let without = (0..nodes).filter(|n| world.connections_to(*n, 0).0 == 0).count();
        assert_eq!(without, 0, "nodes without a connection after 30 s");
    }
}

#[test]
fn restart_of_a_hundred_nodes_causes_no_connect_burst() {
    for (nodes, node_count) in [(100usize, 100), (100, 34)] {
        let servers = (0..5).map(|i| Server::model(&config(2_000, 0.0), i)).collect();
        let mut world = World::new(7, servers, nodes, &Settings::default(), &deployment(node_count));
        world.list_all(&member(32));
        for n in 0..nodes {
            world.steady(n, None, 10.0);
        }
        world.run(s(30.0));
        for n in 0..nodes {
            world.script(s(30.0) + s(1.0) * n as i64 / nodes as i64, move |w| {
                w.start(n, 99, &Settings::default(), &deployment(node_count));
                w.list(n, &member(32));
            });
        }
        world.stats.opens.clear();
        world.run(s(60.0));
        for server in 0..5 {
            let most = max_connects_within(&world.stats.opens, server, s(1.0));
            assert!(
                most <= LIMIT,
                "{most} opens in a second at server {server}, configured for {node_count} nodes"
            );
        }
    }
}

#[test]
fn mass_reset_and_recovery_cause_no_connect_burst() {
    let nodes = 60;
    let mut world = World::new(8, vec![Server::plain(4_000.0)], nodes, &Settings::default(), &deployment(60));
    world.list_all(&member(32));
    for n in 0..nodes {
        world.steady(n, Some(0), 20.0);
    }
    world.run(s(60.0));
    world.stats.opens.clear();
    world.reset(0);
    world.run(s(80.0));
    let most = max_connects_within(&world.stats.opens, 0, s(1.0));
    assert!(most <= LIMIT, "{most} opens in a second after a mass reset");
    // Down for 10 s: connects are refused and back off.
    world.servers[0].as_plain().table = 0;
    world.reset(0);
    world.stats.opens.clear();
    world.run(s(90.0));
    let tries = world.stats.opens.len();
    assert!(tries < 60 * 60, "{tries} connects in 10 s to a server that is down");
    world.servers[0].as_plain().table = usize::MAX;
    world.stats.opens.clear();
    world.run(s(110.0));
    let most = max_connects_within(&world.stats.opens, 0, s(1.0));
    assert!(most <= LIMIT, "{most} opens in a second after the server is back");
    for n in 0..nodes {
        let e = world.nodes[n].pool.explain(world.now, MemberId(0)).unwrap();
        assert!(e.up > 0, "{e}");
    }
}

/// The server's connection table holds fewer connections than the nodes want: shares must become similar,
/// refusals rare, and no node may be left without a connection.
#[test]
fn nodes_share_a_full_connection_table() {
    let nodes = 6;
    let mut world =
        World::new(9, vec![Server::model(&config(24, 0.2), 1)], nodes, &Settings::default(), &deployment(1));
    world.list_all(&member(32));
    for n in 0..nodes {
        world.steady(n, Some(0), 60.0);
    }
    world.run(s(120.0));
    let (refused, flows) = (world.stats.refused_connects, world.stats.flows);
    world.run(s(240.0));
    let refused = world.stats.refused_connects - refused;
    assert!(refused < 300, "{refused} connects of six nodes refused in 120 s");
    let held: Vec<u32> = (0..nodes).map(|n| world.connections_to(n, 0).0).collect();
    assert!(held.iter().all(|h| (1..=8).contains(h)), "{held:?}");
    assert!(world.stats.refused.is_empty() && world.stats.flows > flows, "{:?}", world.stats.refused);
    assert!(
        world.stats.answered + 40 > world.stats.flows,
        "{} of {}",
        world.stats.answered,
        world.stats.flows
    );
}

/// Fewer connections are held where each takes much of the member's capacity than where it takes none.
#[test]
fn cost_of_connections_to_a_member_is_learnt() {
    let held = |full_loss: f64| {
        let nodes = 4;
        let mut world = World::new(
            10,
            vec![Server::model(&config(40, full_loss), 1)],
            nodes,
            &Settings::default(),
            &deployment(4),
        );
        world.list_all(&member(32));
        for n in 0..nodes {
            // The load rises and falls, so that the number of connections falls later than the load.
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
            sum += (0..nodes).map(|n| world.connections_to(n, 0).0).sum::<u32>();
        }
        let all = (0..nodes).map(|n| world.nodes[n].pool.explain(world.now, MemberId(0)).unwrap().cost);
        (all.sum::<f64>() / nodes as f64, f64::from(sum) / 1000.0)
    };
    let (costly, free) = (held(0.6), held(0.0));
    assert!(costly.0 > 1.8 * free.0, "{costly:?} with costly connections, {free:?} with free ones");
    assert!(costly.1 < 0.9 * free.1, "{costly:?} with costly connections, {free:?} with free ones");
}

/// 1,000 members with little traffic each: the connections stay within the node's limit and no flow starves.
#[test]
fn many_quiet_members_stay_within_the_node_limit() {
    let servers = (0..1000).map(|_| Server::plain(5_000.0)).collect();
    let mut world = World::new(11, servers, 1, &Settings::default(), &Deployment::default());
    world.list_all(&member(32));
    world.steady(0, None, 500.0);
    let mut most = 0;
    for step in 1..=600 {
        world.run(step * 100_000);
        most = most.max(world.nodes[0].pool.open_connections());
    }
    assert!((400..=512).contains(&most), "{most} held");
    assert!(world.stats.refused.is_empty(), "{:?}", world.stats.refused);
    assert!(
        world.stats.answered + 30 > world.stats.flows,
        "{} of {}, {:?}",
        world.stats.answered,
        world.stats.flows,
        world.stats.losses
    );
    // Lowering the limit closes idle connections at once.
    let now = world.now;
    world.pool(0).set_capacity(now, 64);
    world.carry_out_orders(0);
    world.run(now + s(5.0));
    assert!(world.nodes[0].pool.open_connections() <= 64, "{}", world.nodes[0].pool.open_connections());
}
