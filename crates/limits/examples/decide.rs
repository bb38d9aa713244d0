//! Nanoseconds for each decision at 10, 10,000 and 500,000 sources, and the bytes that the books take against their
//! stated bound, with sources drawn as badly as possible: each connection from another /64, weights that part sources
//! into many groups, every place at work, and newcomers from sources never seen before.
//!
//! `cargo run --release -p lapisrudder-limits --example decide`

use lapisrudder_limits::{
    Activity, Admission, ConnId, Intake, Micros, RequestInfo, Resources, Settings, Verdict,
};
use std::hint::black_box;
use std::net::{IpAddr, Ipv6Addr};
use std::time::Instant;

const TIMES: u32 = 200_000;
const SETTINGS: &str = "
    [caps]
    connects_per_s_per_source = 50.0
    requests_per_s_per_source = 500.0
    [[sources.weights]]
    prefix = '2001:db7::/32'
    weight = 7
    [[sources.weights]]
    prefix = '2001:db9::/32'
    weight = 113
";

/// The nth source: a /64 of its own, two of three in a prefix with a weight.
fn address(n: u32) -> IpAddr {
    let site = 0x2001_0db7_u128 + u128::from(n % 3);
    IpAddr::V6(Ipv6Addr::from_bits(site << 96 | u128::from(n) << 64 | 1))
}

struct Timer {
    took: Vec<(&'static str, f64)>,
}

impl Timer {
    fn time(&mut self, name: &'static str, times: u32, mut what: impl FnMut(u32)) {
        let begin = Instant::now();
        (0..times).for_each(&mut what);
        self.took.push((name, begin.elapsed().as_nanos() as f64 / f64::from(times)));
    }
}

/// Brings a request, has it answered, and is idle again.
fn ask(limits: &mut Admission, now: Micros, conn: ConnId, facts: &RequestInfo) {
    if let Intake::Take { ticket } = limits.request(now, conn, facts) {
        limits.ended(now + 1, ticket, true);
    }
    limits.set_activity(now + 1, conn, Activity::Idle);
}

fn measure(sources: u32) -> Result<(), Box<dyn std::error::Error>> {
    let mut limits = Admission::new(toml::from_str::<Settings>(SETTINGS)?, 17, 0)?;
    let places = sources as usize;
    let there = Resources {
        connections: places,
        clients_room: 2 * places,
        in_flight: 2 * places,
        ..Resources::default()
    };
    limits.set_resources(0, &there);
    let facts = RequestInfo { worth: 5.0, left: 500_000, bytes: 60, ..RequestInfo::default() };
    let mut timer = Timer { took: Vec::new() };
    let mut conns = Vec::new();
    let mut now: Micros = 0;
    timer.time("arrived, room", sources, |n| {
        now += 120;
        if let Verdict::Keep { conn } = limits.on_accepted(now, address(n), true) {
            conns.push(conn);
        }
    });
    let size = conns.len().max(1);
    // The step visits places far apart, so that caches help as little as they can.
    let nth = |n: u32| (n as usize).wrapping_mul(7919) % size;
    timer.time("request, ended, idle", TIMES, |n| {
        now += 1;
        ask(&mut limits, now, conns[nth(n)], &facts);
    });
    timer.time("state, no change", TIMES, |n| limits.set_activity(now, conns[nth(n)], Activity::Idle));
    now += 3_000_000;
    timer.time("accepting, all held", TIMES, |_| {
        black_box(limits.accepting(now));
    });
    let (mut closed, mut refused) = (0u32, 0u32);
    timer.time("arrived, all held", TIMES, |n| {
        now += 1;
        match limits.on_accepted(now, address(sources + n), n % 2 == 0) {
            Verdict::KeepAndClose { conn, victim } => {
                limits.on_closed(now, victim);
                black_box(conn);
                closed += 1;
            }
            Verdict::Refuse { .. } => refused += 1,
            Verdict::Keep { .. } => {}
        }
    });
    timer.time("poll, nothing to do", TIMES, |_| {
        black_box(limits.due());
        // Looks come by themselves every 20 ms.
        if let Some(order) = limits.poll(0) {
            black_box(order);
        }
    });
    limits.events(now);
    println!("{sources:>7} sources ({closed} made room, {refused} refused of {TIMES}):");
    for (name, ns) in &timer.took {
        println!("    {name:<24} {ns:>7.0} ns");
    }

    // The books at their fullest: each place held by another source, and twice as many requests in flight of sources
    // whose connections are gone.
    let mut limits = Admission::new(toml::from_str::<Settings>(SETTINGS)?, 17, 0)?;
    limits.set_resources(0, &there);
    let mut in_flight = 0;
    for n in 0..3 * sources {
        now += 1_000_000 / 5_000;
        if let Verdict::Keep { conn } = limits.on_accepted(now, address(n), true)
            && n < 2 * sources
        {
            in_flight += usize::from(matches!(limits.request(now, conn, &facts), Intake::Take { .. }));
            limits.on_closed(now, conn);
        }
    }
    let (held, bound) = (limits.bytes(), limits.max_bytes(places, 2 * places));
    println!(
        "    {in_flight} in flight, {} held: {:.2} MB, bound {:.2} MB, {:.0} bytes a connection\n",
        limits.held().0,
        held as f64 / 1e6,
        bound as f64 / 1e6,
        held as f64 / f64::from(sources)
    );
    if held > bound { Err("the bound does not hold".into()) } else { Ok(()) }
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    [10, 10_000, 500_000].into_iter().try_for_each(measure)
}
