//! Measures how many events per second one core simulates with cache servers: `cargo run --release -p
//! lapisrudder-model --example speed`. An event is a call of `handle`, an order, or a request that is begun.

use std::error::Error;
use std::time::Instant;

use lapisrudder_model::draw::stream;
use lapisrudder_model::server::*;
use lapisrudder_model::value::{Key, RequestId, Uid};
use rand::Rng;

const CONNS: u64 = 64;
const KEYS: u64 = 20_000;

fn run(servers: u64, requests: u64) -> Result<(), Box<dyn Error>> {
    let class = Class { work: Dist::LogNormal { mean_us: 1000.0, cv: 1.5 }, ..Class::default() };
    let tip = Some(OverloadThreshold { multiple: 3.0, window_us: 2_000_000 });
    let machine = Machine {
        classes: vec![class],
        choke: ConcurrencyPenalty { at: 3.0, loss: 0.1 },
        ..Machine::default()
    };
    let warm_up = WarmUp { start: 0.2, tip, ..WarmUp::default() };
    let config = CacheConfig { machine, warm_up, memory: 20 << 20, ..CacheConfig::default() };
    let mut world = Vec::new();
    for uid in 0..servers {
        let mut server = CacheServer::new(&config, Uid(uid), 1, uid % 4 != 0, 0)?;
        (0..CONNS).for_each(|conn| server.handle(0, Event::Connect(ConnId(conn))));
        world.push(server);
    }
    let mut rng = stream(1, "speed", servers);
    let (mut now, mut events, mut answered) = (0, 0u64, 0u64);
    // 4,000 requests per second per server, with 8 cores and 1 ms of work each: half of the capacity, below
    // the overload threshold of cold servers.
    let gap = 250.0 / servers as f64;
    let mut at = 0.0;
    let begin = Instant::now();
    for id in 0..requests {
        at -= (1.0 - rng.random::<f64>()).ln() * gap;
        now = at as i64;
        let number = rng.random_range(0..servers as usize);
        let server = &mut world[number];
        let skewed = rng.random::<f64>().powi(4);
        let request = Request {
            conn: ConnId(rng.random_range(0..CONNS)),
            id: RequestId(id),
            key: Key((skewed * KEYS as f64) as u64),
            kind: Kind::Read,
            class: 0,
            size: 0,
            keyed: None,
            left_us: Some(500_000),
            work_us: None,
        };
        server.handle(now, Event::Request(request));
        events += 1;
        while let Some(order) = server.poll(now) {
            events += 1;
            let Act::Answer(answered_now) = order.act else { continue };
            answered += 1;
            if let Answer::Miss { .. } = answered_now.answer {
                server.handle(now, Event::Fill { key: answered_now.key, version: 1, size: 2000 });
                events += 1;
            }
        }
    }
    let took = begin.elapsed().as_secs_f64();
    let ended: u64 = world.iter_mut().map(|s| s.stats(now).begun).sum();
    events += ended;
    println!(
        "{servers} servers: {requests} requests, {answered} answers, {:.2} million events/s, {:.0} ns per request",
        events as f64 / took / 1e6,
        took / requests as f64 * 1e9,
    );
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    run(1, 2_000_000)?;
    run(10, 2_000_000)?;
    run(1000, 4_000_000)
}
