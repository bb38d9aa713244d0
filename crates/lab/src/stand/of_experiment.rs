//! From an experiment's file to the world that it describes: figures of the file to settings of the model. Draws come
//! from the seed alone.

use super::spec::{ClassSpec, DiscoverySpec, NodeSpec, Notice, OriginSpec, ServerSpec, Spec};
use crate::experiment::{
    Cancel, Class, Eviction, Experiment, Group, IdleClose, ServerKind, Spread, WarmBy, servers,
};
use crate::{Micros, millis, seconds};
use lapisrudder_model::discovery::{DiscoveryPlan, Limits};
use lapisrudder_model::draw::stream;
use lapisrudder_model::mix::Spread as Law;
use lapisrudder_model::network::Delay;
use lapisrudder_model::server::{
    Abandoned, CacheConfig, Class as Work, CloseKind, ConcurrencyPenalty, Connections, Dist,
    Eviction as Order, Machine, OriginConfig, OverloadOutage, OverloadThreshold, Pauses, Sizes, WarmUp,
    Writes,
};
use rand_distr::{Distribution, LogNormal};

/// Where work warms a server, it is warm once it has done this share of what it could do, warm, in the time that it
/// takes otherwise: a server that is kept half busy is warm a little sooner than one that idles.
const WARM_WORK: f64 = 0.3;

/// The world of an experiment with a seed. All servers run and are warm at the start; the origin comes last and is
/// called `origin`.
pub fn spec_of(e: &Experiment, seed: u64) -> Spec {
    let world = &e.world;
    let zones = &world.zones;
    let place = |n: usize| u16::try_from(n).unwrap_or(u16::MAX);
    let zone_of = |name: &Option<String>| {
        let found = name.as_ref().and_then(|name| zones.names.iter().position(|zone| zone == name));
        place(found.unwrap_or(0))
    };
    let delay = |ms: f64| {
        // Base and an exponential part: the mean is `ms`, the deviation `jitter` times that.
        let part = ms * zones.jitter.clamp(0.0, 1.0);
        Delay { base: millis(ms - part), jitter: Law::Exponential(part * 1e3) }
    };
    let count = zones.names.len().max(1);
    let node = |n: usize| NodeSpec { name: format!("n{n}"), zone: place(n % count) };
    let class = |c: &Class| ClassSpec { name: c.name.clone(), by_zone: c.group == Group::Zone };
    let all = servers(e);
    let server = |(n, machine): (usize, &crate::experiment::Machine)| {
        let kind = world.servers.get(machine.kind)?;
        let speed = kind.speed * factor(kind.speed_cv, seed, n as u64);
        Some(ServerSpec {
            uid: machine.name.clone(),
            kind: kind.name.clone(),
            zone: place(machine.zone),
            config: cache(e, kind, speed),
            warm: true,
            capacity_hint: f64::from(kind.cores) * kind.speed,
            pod_group: u32::try_from(machine.zone).unwrap_or(0),
            listed: true,
        })
    };
    Spec {
        nodes: (0..world.nodes.count).map(node).collect(),
        shared: false,
        zones: zones.names.clone(),
        near: delay(zones.same_ms),
        far: delay(zones.cross_ms),
        classes: e.classes.iter().map(class).collect(),
        servers: all.iter().enumerate().filter_map(server).collect(),
        origin: Some(OriginSpec {
            uid: "origin".into(),
            zone: zone_of(&world.origin.zone),
            config: origin(e),
        }),
        discovery: discovery(e),
    }
}

/// A factor with mean 1.
fn factor(cv: f64, seed: u64, number: u64) -> f64 {
    let sigma2 = (1.0 + cv * cv).ln();
    match LogNormal::new(-sigma2 / 2.0, sigma2.sqrt()) {
        Ok(law) if cv > 0.0 => law.sample(&mut stream(seed, "server speed", number)),
        _ => 1.0,
    }
}

fn work(c: &Class) -> Work {
    let mean_us = c.work_ms * 1e3;
    let work = match c.spread {
        Spread::Fixed => Dist::Fixed(mean_us),
        Spread::Exponential => Dist::Exp(mean_us),
        Spread::Lognormal => Dist::LogNormal { mean_us, cv: c.work_cv },
        Spread::Pareto => Dist::Pareto { mean_us, cv: c.work_cv },
    };
    Work { work, keyed_window_us: seconds(c.window_s) }
}

/// Work of each KiB (µs): the mean over the classes, since a server does not tell classes apart there.
fn per_kib_us(classes: &[Class]) -> f64 {
    let shares: f64 = classes.iter().map(|c| c.share).sum();
    let sum: f64 = classes.iter().map(|c| c.share * c.work_ms_per_kib * 1e3).sum();
    if shares > 0.0 { sum / shares } else { 0.0 }
}

fn cache(e: &Experiment, kind: &ServerKind, speed: f64) -> CacheConfig {
    let cores = kind.cores.max(1);
    let per_core = |n: f64| (n * f64::from(cores)).round() as u32;
    let c = &kind.connections;
    let own = &kind.pauses;
    let pauses = (own.every_s > 0.0).then_some(Pauses {
        every: Dist::Exp(own.every_s * 1e6),
        length: Dist::Exp(own.ms * 1e3),
        grow: 0.0,
    });
    let machine = Machine {
        cores,
        speed,
        slots: per_core(kind.slots_per_core).max(1),
        waiting_room: per_core(kind.queue_per_core),
        choke: ConcurrencyPenalty { at: kind.thrash_at, loss: kind.thrash },
        busy_work_us: 0.0,
        abandoned: match kind.cancel {
            Cancel::None => Abandoned::GoesOn,
            Cancel::Queued => Abandoned::DropWaiting,
            Cancel::All => Abandoned::Drop,
        },
        drops_expired: kind.drops_expired,
        fail_share: kind.error_rate,
        pauses,
        connections: Connections {
            cap: per_core(c.most_per_core).max(1),
            ignore_beyond: false,
            full_loss: c.full_tax,
            handshake_work_us: c.handshake_work_ms * 1e3,
            handshake_wait_us: millis(c.handshake_ms),
            at_once: c.streams.max(1),
            idle_us: (c.idle_s > 0.0).then(|| seconds(c.idle_s)),
            idle_close: match c.idle_close {
                IdleClose::Tell => CloseKind::Fin,
                IdleClose::Silent => CloseKind::Silent,
            },
        },
        classes: e.classes.iter().map(work).collect(),
        per_kib_us: per_kib_us(&e.classes),
        ..Machine::default()
    };
    let warm_work = f64::from(cores) * speed * kind.cold_s * 1e6 * WARM_WORK;
    CacheConfig {
        machine,
        warm_up: WarmUp {
            start: kind.cold_from,
            full_after_us: seconds(kind.cold_s).max(1),
            full_after_work_us: (kind.warm_by == WarmBy::Requests && warm_work > 0.0).then_some(warm_work),
            tip: Some(tip(e.world.rules.tip_multiple, e.world.rules.fall_s)),
        },
        memory: (kind.memory_mb * f64::from(1 << 20)) as u64,
        eviction: match kind.evict {
            Eviction::Lru => Order::Lru,
            Eviction::Fifo => Order::Fifo,
        },
        ttl_us: (kind.ttl_s > 0.0).then(|| seconds(kind.ttl_s)),
        tells: kind.tells_hit,
        writes: Writes::Miss,
        ..CacheConfig::default()
    }
}

fn tip(multiple: f64, window_s: f64) -> OverloadThreshold {
    OverloadThreshold { multiple, window_us: seconds(window_s).max(1) }
}

/// As many cores as fetches that it can do at once, each a little slower where that is no whole number: the capacity is
/// kept, and a fetch alone takes a little longer.
fn origin(e: &Experiment) -> OriginConfig {
    let o = &e.world.origin;
    let at_once = (o.capacity_per_s * o.time_ms / 1e3).max(0.01);
    let cores = at_once.ceil();
    let speed = at_once / cores;
    // The mean of a log-normal law with that sigma is `time_ms`; its coefficient of variation follows from sigma.
    let cv = (o.sigma * o.sigma).exp_m1().max(0.0).sqrt();
    let work = Dist::LogNormal { mean_us: o.time_ms * 1e3, cv };
    let class = |c: &Class| Work { work: work.clone(), keyed_window_us: seconds(c.window_s) };
    OriginConfig {
        machine: Machine {
            cores: cores as u32,
            speed,
            slots: cores as u32,
            waiting_room: o.queue,
            choke: ConcurrencyPenalty { at: 1.0, loss: o.thrash },
            abandoned: if o.works_on { Abandoned::GoesOn } else { Abandoned::Drop },
            fail_share: o.error_rate,
            connections: Connections { cap: o.connections, at_once: 1, ..Connections::default() },
            classes: e.classes.iter().map(class).collect(),
            ..Machine::default()
        },
        write_share: o.write_times,
        sizes: Sizes { median: f64::from(o.value_bytes), sigma: o.value_sigma, ..Sizes::default() },
        overdriven: (o.fall_multiple > 0.0).then(|| OverloadOutage {
            tip: tip(o.fall_multiple, o.fall_s),
            down: Dist::Fixed(o.down_s * 1e6),
            resets: false,
            most: u32::MAX,
        }),
    }
}

fn discovery(e: &Experiment) -> DiscoverySpec {
    let d = &e.world.discovery;
    let line_us = 1e6 / d.lines_per_s.max(1e-3);
    let rules = &e.world.rules;
    DiscoverySpec {
        zone: 0,
        plan: DiscoveryPlan {
            latency: Law::Fixed(millis(d.call_ms)),
            per_call: (line_us * d.call_lines) as Micros,
            per_line: line_us as Micros,
            max_queue_wait: millis(d.timeout_ms),
            limits: Limits {
                ask_within: (rules.ask_within_s > 0.0).then(|| seconds(rules.ask_within_s)),
                call: seconds(rules.told_within_s),
                ..Limits::default()
            },
            ..DiscoveryPlan::default()
        },
        notice: Notice {
            gone: seconds(d.notice_s),
            silent: seconds(d.silent_notice_s),
            started: seconds(d.add_s),
        },
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::experiment::ExperimentFile;
    use lapisrudder_model::origin::Origin;
    use lapisrudder_model::server::CacheServer;
    use lapisrudder_model::value::Uid;

    #[test]
    fn the_world_of_a_file_is_sound_and_the_same_for_one_seed() {
        let text = "question = \"?\"\nduration_s = 1.0\n[[load]]\nrate.steady.per_s = 10.0\n";
        let e = ExperimentFile::parse("t.toml", text).unwrap().experiment;
        let spec = spec_of(&e, 7);
        assert_eq!(spec, spec_of(&e, 7));
        let speeds = |spec: &Spec| spec.servers.iter().map(|s| s.config.machine.speed).collect::<Vec<_>>();
        assert_ne!(speeds(&spec), speeds(&spec_of(&e, 8)));
        assert_eq!((spec.nodes.len(), spec.servers.len()), (3, 9));
        for server in &spec.servers {
            CacheServer::new(&server.config, Uid(1), 7, true, 0).unwrap();
        }
        let origin = spec.origin.unwrap();
        Origin::new(&origin.config, Uid(1), 7, 0).unwrap();
        let machine = &origin.config.machine;
        let per_s = f64::from(machine.cores) * machine.speed * 1e6 / machine.classes[0].work.mean_us();
        assert!((per_s / e.world.origin.capacity_per_s - 1.0).abs() < 1e-9, "{per_s}");
        let mean = spec.far.base as f64 + spec.far.jitter.mean();
        assert!((mean / 1e3 / e.world.zones.cross_ms - 1.0).abs() < 1e-3, "{mean}");
    }
}
