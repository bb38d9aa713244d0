//! Measures how many arrivals per second are drawn, how many requests per second are simulated with clients
//! and nodes that answer in 1 ms, and how many writes per second the network carries: `cargo run --release -p
//! lapisrudder-model --example world_speed`.

use std::collections::VecDeque;
use std::error::Error;
use std::time::Instant;

use lapisrudder_model::arrivals::{Arrivals, Class, Load, OnOff, Population};
use lapisrudder_model::clients::{
    Clients, ClientsPlan, Event, FrontPlan, Habits, NodeId, NodeSelection, Order, Reply, Tally,
};
use lapisrudder_model::keys::Keys;
use lapisrudder_model::mix::Spread;
use lapisrudder_model::network::{Delay, Delivery, Host, LinksPlan, Network, NetworkPlan, Side, Split};
use lapisrudder_model::profile::Profile;

fn main() -> Result<(), Box<dyn Error>> {
    let read = Class {
        name: "read".into(),
        give_up: 2_500_000,
        latency_target: 750_000,
        worth: 5.0,
        ..Class::default()
    };
    let keys = Keys { population: 1_000_000, exponent: 0.9, ..Keys::default() };
    let even =
        Population { keys, sources: 10_000, rate: Profile::constant(50_000.0), ..Population::default() };
    let on_off = OnOff { on: Spread::Exponential(1e6), off: Spread::Exponential(1e6) };
    let bursty = Population { on_off: Some(on_off), ..even.clone() };
    let few = Population { sources: 500, ..even.clone() };
    for (name, population) in [("Poisson", even), ("10,000 on-off clients", bursty)] {
        let load = Load { span: 60_000_000, classes: vec![read.clone()], populations: vec![population] };
        let begun = Instant::now();
        report(name, Arrivals::new(&load, 1)?.count() as u64, begun);
    }
    let load = Load { span: 20_000_000, classes: vec![read], populations: vec![few] };
    let begun = Instant::now();
    report("clients, 500 with up to 4 connections", run_clients(load)?.requests, begun);
    let begun = Instant::now();
    report("network, writes of 100 bytes on 1,000 connections", run_network(), begun);
    Ok(())
}

fn report(name: &str, count: u64, begun: Instant) {
    println!("{name}: {count}, {:.2} million per second", count as f64 / begun.elapsed().as_secs_f64() / 1e6);
}

fn run_clients(load: Load) -> Result<Tally, Box<dyn Error>> {
    let front = FrontPlan {
        zones: vec![0; 3],
        selection: NodeSelection::Any,
        health: None,
        linger: Spread::Fixed(0),
    };
    let plan = ClientsPlan { load, habits: vec![Habits::default()], front, max_connections_per_node: None };
    let mut clients = Clients::new(plan, 1)?;
    (0..3).for_each(|node| clients.handle(0, Event::Probed(NodeId(node), true)));
    clients.begin(0);
    // Each event follows its order by 1 ms, so that a queue keeps the events sorted.
    let mut events = VecDeque::new();
    let mut now = 0;
    while !clients.done() {
        while let Some(order) = clients.poll(now) {
            match order {
                Order::Open { conn, .. } => events.push_back((now + 1000, Event::Opened(conn))),
                Order::Send(conn, ask) => {
                    events.push_back((now + 1000, Event::Answered(conn, Some(ask.id), Reply::Served)));
                }
                _ => {}
            }
        }
        let event = events.front().map(|event| event.0);
        let Some(next) = event.into_iter().chain(clients.next()).min() else { break };
        now = next.max(now);
        while let Some((_, event)) = events.pop_front_if(|event| event.0 <= now) {
            clients.handle(now, event);
        }
    }
    Ok(clients.tally())
}

fn run_network() -> u64 {
    let delay = Delay { base: 500, jitter: Spread::Exponential(100.0) };
    let links = LinksPlan { zones: vec![0; 2], near: delay, far: delay, pairs: Vec::new() };
    let plan =
        NetworkPlan { links, split: Split::Whole, buffer: 65_536, short_writes: false, bandwidth: None };
    let mut net = Network::new(plan, 1);
    for _ in 0..1000 {
        net.connect(0, Host(0), Host(1));
    }
    let mut writes = 0;
    while let Some(now) = net.next().filter(|now| *now < 2_000_000) {
        while let Some(delivery) = net.poll(now) {
            match delivery {
                Delivery::Opened(conn) => {
                    net.send(now, conn, Side::Client, &[1; 100]);
                }
                Delivery::Data(conn, side, bytes) => {
                    writes += 1;
                    net.send(now, conn, side, &bytes);
                }
                _ => {}
            }
        }
    }
    writes
}
