//! Values that cannot be meant: the first one found, by the path of its key.

use super::check_fault::check_fault;
use super::error::Problem;
use super::hold::Condition;
use super::{Class, Effect, Experiment, Hold, Load, Rate, World};

pub(super) type Checked = Result<(), Problem>;

/// Checks everything that types alone do not.
pub(super) fn check(e: &Experiment) -> Checked {
    ensure(!e.question.trim().is_empty(), "question", "must not be empty")?;
    within("duration_s", e.duration_s, 0.5, 86_400.0)?;
    within("warmup_s", e.warmup_s, 0.0, e.duration_s)?;
    ensure(e.warmup_s < e.duration_s, "warmup_s", "must end before `duration_s`")?;
    ensure(!e.seeds.is_empty(), "seeds", "must name at least one")?;
    ensure(distinct(&e.seeds), "seeds", "must differ")?;
    ensure(distinct(&e.rivals), "rivals", "must differ")?;
    classes(&e.classes)?;
    world(&e.world)?;
    ensure(!e.loads.is_empty(), "load", "must have at least one entry")?;
    names("load", e.loads.iter().map(|l| l.name.as_str()))?;
    for (at, load) in e.loads.iter().enumerate() {
        check_load(&format!("load.{at}"), load, e)?;
    }
    for (at, fault) in e.faults.iter().enumerate() {
        check_fault(&format!("fault.{at}"), fault, e)?;
    }
    for (path, values) in &e.sweep {
        let key = format!("sweep.{path}");
        ensure(!values.is_empty(), &key, "must list at least one value")?;
        ensure(!path.is_empty() && !path.split('.').any(str::is_empty), &key, "is no dotted path")?;
        let fixed = ["sweep", "seeds", "hold", "question", "rivals"];
        ensure(!path.split('.').next().is_some_and(|p| fixed.contains(&p)), &key, "cannot be swept")?;
    }
    for (at, hold) in e.holds.iter().enumerate() {
        check_hold(&format!("hold.{at}"), hold, e)?;
    }
    within("lab.late_ms", e.lab.late_ms, 0.1, 10_000.0)?;
    share("lab.late_share", e.lab.late_share)?;
    within("lab.lag_ms", e.lab.lag_ms, 0.1, 10_000.0)?;
    share("lab.lag_share", e.lab.lag_share)
}

pub(super) fn ensure(holds: bool, key: &str, text: &str) -> Checked {
    if holds { Ok(()) } else { Err(Problem::new(key, text)) }
}

/// A finite number between two bounds, both included.
pub(super) fn within(key: &str, value: f64, least: f64, most: f64) -> Checked {
    let fits = value.is_finite() && (least..=most).contains(&value);
    if fits { Ok(()) } else { Err(Problem::new(key, format!("is {value}; must be {least} to {most}"))) }
}

pub(super) fn share(key: &str, value: f64) -> Checked {
    within(key, value, 0.0, 1.0)
}

fn distinct<T: PartialEq>(all: &[T]) -> bool {
    (0..all.len()).all(|i| !all[..i].contains(&all[i]))
}

/// Names that can stand in records and paths, each once.
fn names<'a>(key: &str, all: impl Iterator<Item = &'a str>) -> Checked {
    let all: Vec<_> = all.collect();
    for (at, name) in all.iter().enumerate() {
        let key = format!("{key}.{at}.name");
        let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        ensure(!name.is_empty() && name.chars().all(plain), &key, "must be letters, digits, `-` or `_`")?;
        let again = all.get(..at).is_some_and(|before| before.contains(name));
        ensure(!again, &key, &format!("`{name}` is there twice"))?;
    }
    Ok(())
}

fn classes(all: &[Class]) -> Checked {
    ensure(!all.is_empty() && all.len() <= 32, "class", "must have 1 to 32 entries")?;
    names("class", all.iter().map(|c| c.name.as_str()))?;
    for (at, c) in all.iter().enumerate() {
        let key = |k: &str| format!("class.{at}.{k}");
        within(&key("share"), c.share, 0.0, 1e6)?;
        within(&key("worth"), c.worth, 0.0, 1e6)?;
        share(&key("late_worth"), c.late_worth)?;
        within(&key("aim_ms"), c.aim_ms, 1.0, 600_000.0)?;
        within(&key("deadline_ms"), c.deadline_ms, 1.0, 600_000.0)?;
        ensure(c.aim_ms <= c.deadline_ms, &key("aim_ms"), "must not be over `deadline_ms`")?;
        within(&key("window_s"), c.window_s, 0.0, 3600.0)?;
        within(&key("work_ms"), c.work_ms, 0.001, 60_000.0)?;
        within(&key("work_cv"), c.work_cv, 0.0, 20.0)?;
        within(&key("work_ms_per_kib"), c.work_ms_per_kib, 0.0, 1000.0)?;
        ensure(c.write || c.effect == Effect::Safe, &key("effect"), "of a read can only be `safe`")?;
    }
    let sum: f64 = all.iter().map(|c| c.share).sum();
    ensure(sum > 0.0, "class.0.share", "must not be 0 for all classes")
}

fn world(w: &World) -> Checked {
    let n = &w.nodes;
    ensure((1..=300).contains(&n.count), "world.nodes.count", "must be 1 to 300")?;
    within("world.nodes.cores", n.cores, 0.05, 64.0)?;
    ensure((16..=1_048_576).contains(&n.memory_mb), "world.nodes.memory_mb", "must be 16 to 1048576")?;
    ensure((64..=1_048_576).contains(&n.sockets), "world.nodes.sockets", "must be 64 to 1048576")?;
    within("world.nodes.ready_within_s", n.ready_within_s, 0.1, 600.0)?;
    within("world.nodes.notice_ms", n.notice_ms, 0.0, 60_000.0)?;
    ensure(
        n.command.as_ref().is_none_or(|c| !c.trim().is_empty()),
        "world.nodes.command",
        "must not be empty",
    )?;
    let z = &w.zones;
    ensure(!z.names.is_empty() && z.names.len() <= 64, "world.zones.names", "must name 1 to 64 zones")?;
    ensure(distinct(&z.names), "world.zones.names", "must differ")?;
    within("world.zones.same_ms", z.same_ms, 0.0, 1000.0)?;
    within("world.zones.cross_ms", z.cross_ms, 0.0, 1000.0)?;
    within("world.zones.jitter", z.jitter, 0.0, 5.0)?;
    servers(w)?;
    let o = &w.origin;
    let key = |k: &str| format!("world.origin.{k}");
    zone(&key("zone"), o.zone.as_deref(), w)?;
    ensure((64..=65_536).contains(&o.value_bytes), &key("value_bytes"), "must be 64 to 65536")?;
    within(&key("value_sigma"), o.value_sigma, 0.0, 4.0)?;
    share(&key("changes_per_s"), o.changes_per_s)?;
    within(&key("capacity_per_s"), o.capacity_per_s, 0.1, 1e6)?;
    within(&key("time_ms"), o.time_ms, 0.01, 60_000.0)?;
    within(&key("sigma"), o.sigma, 0.0, 4.0)?;
    within(&key("write_times"), o.write_times, 0.01, 100.0)?;
    within(&key("thrash"), o.thrash, 0.0, 10.0)?;
    within(&key("fall_multiple"), o.fall_multiple, 0.0, 1000.0)?;
    within(&key("fall_s"), o.fall_s, 0.01, 600.0)?;
    within(&key("down_s"), o.down_s, 0.0, 600.0)?;
    share(&key("error_rate"), o.error_rate)?;
    ensure(o.connections >= 1, &key("connections"), "must be at least 1")?;
    let d = &w.discovery;
    let key = |k: &str| format!("world.discovery.{k}");
    within(&key("notice_s"), d.notice_s, 0.0, 600.0)?;
    within(&key("silent_notice_s"), d.silent_notice_s, 0.0, 600.0)?;
    within(&key("add_s"), d.add_s, 0.0, 600.0)?;
    within(&key("lines_per_s"), d.lines_per_s, 1.0, 1e9)?;
    within(&key("call_lines"), d.call_lines, 0.0, 1e6)?;
    within(&key("call_ms"), d.call_ms, 0.0, 60_000.0)?;
    within(&key("timeout_ms"), d.timeout_ms, 1.0, 600_000.0)?;
    rules(w)
}

fn servers(w: &World) -> Checked {
    ensure(!w.servers.is_empty(), "world.servers", "must have at least one entry")?;
    names("world.servers", w.servers.iter().map(|s| s.name.as_str()))?;
    let count: usize = w.servers.iter().map(|s| s.count).sum();
    ensure((1..=10_000).contains(&count), "world.servers.0.count", "must add up to 1 to 10000 servers")?;
    for (at, s) in w.servers.iter().enumerate() {
        let key = |k: &str| format!("world.servers.{at}.{k}");
        ensure(s.name != "origin", &key("name"), "`origin` is taken")?;
        for (i, name) in s.zones.iter().enumerate() {
            zone(&key(&format!("zones.{i}")), Some(name), w)?;
        }
        ensure((1..=1024).contains(&s.cores), &key("cores"), "must be 1 to 1024")?;
        within(&key("speed"), s.speed, 0.001, 1000.0)?;
        within(&key("speed_cv"), s.speed_cv, 0.0, 1.0)?;
        within(&key("slots_per_core"), s.slots_per_core, 1.0, 100_000.0)?;
        within(&key("queue_per_core"), s.queue_per_core, 0.0, 100_000.0)?;
        within(&key("thrash"), s.thrash, 0.0, 10.0)?;
        within(&key("thrash_at"), s.thrash_at, 0.0, 100_000.0)?;
        within(&key("cold_from"), s.cold_from, 0.001, 1.0)?;
        within(&key("cold_s"), s.cold_s, 0.0, 3600.0)?;
        within(&key("warm_work_s"), s.warm_work_s, 0.001, 3600.0)?;
        within(&key("memory_mb"), s.memory_mb, 0.0, 1_048_576.0)?;
        within(&key("ttl_s"), s.ttl_s, 0.0, 1e9)?;
        within(&key("pauses.every_s"), s.pauses.every_s, 0.0, 1e6)?;
        within(&key("pauses.ms"), s.pauses.ms, 0.0, 60_000.0)?;
        share(&key("error_rate"), s.error_rate)?;
        let c = &s.connections;
        within(&key("connections.most_per_core"), c.most_per_core, 0.1, 1e6)?;
        ensure(c.streams >= 1, &key("connections.streams"), "must be at least 1")?;
        within(&key("connections.handshake_ms"), c.handshake_ms, 0.0, 10_000.0)?;
        within(&key("connections.handshake_work_ms"), c.handshake_work_ms, 0.0, 10_000.0)?;
        within(&key("connections.full_tax"), c.full_tax, 0.0, 0.99)?;
        within(&key("connections.idle_s"), c.idle_s, 0.1, 1e6)?;
    }
    Ok(())
}

fn rules(w: &World) -> Checked {
    let r = &w.rules;
    let key = |k: &str| format!("world.rules.{k}");
    for (name, value) in [
        ("answer_slack_ms", r.answer_slack_ms),
        ("socket_slack_ms", r.socket_slack_ms),
        ("drain_grace_ms", r.drain_grace_ms),
    ] {
        within(&key(name), value, 0.0, 600_000.0)?;
    }
    within(&key("told_within_s"), r.told_within_s, 0.0, 3600.0)?;
    within(&key("told_after_hold_s"), r.told_after_hold_s, 0.0, 3600.0)?;
    within(&key("ask_within_s"), r.ask_within_s, 0.1, 3600.0)?;
    within(&key("tip_multiple"), r.tip_multiple, 0.1, 1000.0)?;
    within(&key("fall_s"), r.fall_s, 0.05, 600.0)?;
    within(&key("tip_slack"), r.tip_slack, 0.0, 10.0)?;
    within(&key("start_capacity"), r.start_capacity, 0.001, 1.0)?;
    within(&key("cold_s"), r.cold_s, 0.0, 3600.0)?;
    within(&key("bad_within_s"), r.bad_within_s, 0.1, 600.0)?;
    within(&key("management_within_s"), r.management_within_s, 0.01, 600.0)?;
    ensure(r.attempts >= 1, &key("attempts"), "must be at least 1")?;
    let coldest = w.servers.iter().position(|s| s.cold_from < r.start_capacity || s.cold_s > r.cold_s);
    if let Some(at) = coldest {
        let text = "a server of this kind is colder, or for longer, than `world.rules` tells the nodes";
        return Err(Problem::new(format!("world.servers.{at}.cold_from"), text));
    }
    Ok(())
}

pub(super) fn zone(key: &str, name: Option<&str>, w: &World) -> Checked {
    match name {
        Some(name) if !w.zones.names.iter().any(|z| z == name) => {
            Err(Problem::new(key, format!("no zone `{name}`; there are {}", w.zones.names.join(", "))))
        }
        _ => Ok(()),
    }
}

fn check_load(path: &str, l: &Load, e: &Experiment) -> Checked {
    let key = |k: &str| format!("{path}.{k}");
    let rate = |k: &str, per_s: f64| within(&key(&format!("rate.{k}")), per_s, 0.001, 1e6);
    match &l.rate {
        Rate::Steady { per_s } => rate("steady.per_s", *per_s)?,
        Rate::Wave { per_s, swing, period_s } => {
            rate("wave.per_s", *per_s)?;
            share(&key("rate.wave.swing"), *swing)?;
            within(&key("rate.wave.period_s"), *period_s, 0.1, 86_400.0)?;
        }
        Rate::Bursty { per_s, swing, stretch_s } => {
            rate("bursty.per_s", *per_s)?;
            share(&key("rate.bursty.swing"), *swing)?;
            within(&key("rate.bursty.stretch_s"), *stretch_s, 0.1, 86_400.0)?;
        }
        Rate::Points { points } => {
            let key = key("rate.points.points");
            ensure(!points.is_empty(), &key, "must have at least one point")?;
            ensure(points.windows(2).all(|w| matches!(w, [a, b] if a.0 < b.0)), &key, "must rise in time")?;
            for (_, per_s) in points {
                within(&key, *per_s, 0.0, 1e6)?;
            }
        }
    }
    within(&key("from_s"), l.from_s, 0.0, e.duration_s)?;
    if let Some(until) = l.until_s {
        within(&key("until_s"), until, 0.0, e.duration_s)?;
        ensure(until > l.from_s, &key("until_s"), "must come after `from_s`")?;
    }
    for (class, part) in &l.mix {
        let key = key(&format!("mix.{class}"));
        ensure(e.classes.iter().any(|c| c.name == *class), &key, "names no class of this file")?;
        within(&key, *part, 0.0, 1e6)?;
    }
    ensure(
        l.mix.is_empty() || l.mix.values().sum::<f64>() > 0.0,
        &key("mix"),
        "must not be 0 for all classes",
    )?;
    let k = &l.keys;
    ensure(k.count >= 1, &key("keys.count"), "must be at least 1")?;
    within(&key("keys.zipf"), k.zipf, 0.0, 5.0)?;
    share(&key("keys.drift_per_s"), k.drift_per_s)?;
    share(&key("keys.fresh"), k.fresh)?;
    ensure(k.space < 16_384, &key("keys.space"), "must be under 16384")?;
    ensure((1..=250).contains(&l.sources), &key("sources"), "must be 1 to 250")?;
    ensure(
        l.node_skew.is_empty() || l.node_skew.len() == e.world.nodes.count,
        &key("node_skew"),
        "must have one number for each node",
    )?;
    ensure(
        l.node_skew.iter().all(|s| s.is_finite() && *s >= 0.0),
        &key("node_skew"),
        "must not be negative",
    )?;
    ensure(
        l.node_skew.is_empty() || l.node_skew.iter().sum::<f64>() > 0.0,
        &key("node_skew"),
        "must not be 0 for all nodes",
    )?;
    let c = &l.connections;
    ensure((1..=10_000).contains(&c.most), &key("connections.most"), "must be 1 to 10000")?;
    ensure((1..=1000).contains(&c.pipeline), &key("connections.pipeline"), "must be 1 to 1000")?;
    within(&key("connections.idle_s"), c.idle_s, 0.01, 1e6)?;
    let r = &l.retries;
    ensure(r.most <= 20, &key("retries.most"), "must be 0 to 20")?;
    let span = |k: &str, (least, most): (f64, f64), top: f64| {
        within(&key(k), least, 0.0, top)?;
        within(&key(k), most, least, top)
    };
    span("retries.try_share", r.try_share, 1.0)?;
    ensure(r.try_share.0 > 0.0, &key("retries.try_share"), "must be above 0")?;
    span("retries.backoff_ms", r.backoff_ms, 60_000.0)?;
    share(&key("retries.honour"), r.honour)?;
    share(&key("retries.impatient"), r.impatient)?;
    for (at, bad) in l.bad.iter().enumerate() {
        within(&key(&format!("bad.{at}.per_s")), bad.per_s, 0.001, 10_000.0)?;
        ensure(
            (1..=2000).contains(&bad.connections),
            &key(&format!("bad.{at}.connections")),
            "must be 1 to 2000",
        )?;
    }
    Ok(())
}

fn check_hold(path: &str, h: &Hold, e: &Experiment) -> Checked {
    let key = |k: &str| format!("{path}.{k}");
    let condition: Condition = h.that.parse().map_err(|text| Problem::new(key("that"), text))?;
    if let Some(rival) = condition.rival {
        ensure(
            e.rivals.contains(&rival),
            &key("that"),
            &format!("`{}` is not among `rivals`", rival.name()),
        )?;
    }
    if let Some(class) = &h.class {
        ensure(e.classes.iter().any(|c| c.name == *class), &key("class"), "names no class of this file")?;
        ensure(
            condition.metric.by_class(),
            &key("class"),
            &format!("`{}` is not kept by class", condition.metric),
        )?;
    }
    let (from, until) = (h.from_s.unwrap_or(0.0), h.until_s.unwrap_or(e.duration_s));
    within(&key("from_s"), from, 0.0, e.duration_s)?;
    within(&key("until_s"), until, 0.0, e.duration_s)?;
    ensure(from < until, &key("until_s"), "must come after `from_s`")?;
    let windowed = h.from_s.is_some() || h.until_s.is_some();
    let text = format!("`{}` is one figure for the whole run", condition.metric);
    ensure(!windowed || condition.metric.by_window(), &key("that"), &text)
}
