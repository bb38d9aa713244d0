//! Faults that cannot be meant.

use super::check::{Checked, ensure, share, within, zone};
use super::error::Problem;
use super::{Experiment, Fault, LONGEST_HOLD_UP_MS, Pick, Side, What, When, Who};

pub(super) fn check_fault(path: &str, f: &Fault, e: &Experiment) -> Checked {
    let key = |k: &str| format!("{path}.{k}");
    ensure(!f.name.trim().is_empty(), &key("name"), "must not be empty")?;
    ensure(!f.name.contains(['\n', '\r']), &key("name"), "must be one line")?;
    within(&key("for_s"), f.for_s, 0.0, 86_400.0)?;
    ensure(f.for_s > 0.0 || f.what.instant(), &key("for_s"), "must say how long this lasts")?;
    let fits = f.what.parties();
    if !fits.contains(&f.who.name()) {
        let text =
            format!("`{}` cannot be on {}; it can be on {}", f.what.name(), f.who.name(), fits.join(", "));
        return Err(Problem::new(key("what"), text));
    }
    match &f.who {
        Who::Servers(pick) => pick_fits(&key("who.servers"), pick, e)?,
        Who::Nodes(pick) => pick_fits(&key("who.nodes"), pick, e)?,
        Who::Network { from, to } => {
            side(&key("who.network.from"), from, e)?;
            side(&key("who.network.to"), to, e)?;
            let reach = [(from, to), (to, from)].into_iter().any(|ends| match ends {
                (Side::Nodes(_), other) => !matches!(other, Side::Nodes(_)),
                _ => false,
            });
            ensure(reach, &key("who.network"), "must lie between nodes and another side")?;
        }
        Who::Clients { load: Some(load) } => {
            ensure(
                e.loads.iter().any(|l| l.name == *load),
                &key("who.clients.load"),
                "names no load of this file",
            )?;
        }
        Who::Clients { load: None } | Who::Origin | Who::Discovery => {}
    }
    check_when(&key("when"), f, e)?;
    check_what(&key("what"), &f.what)
}

fn check_when(key: &str, f: &Fault, e: &Experiment) -> Checked {
    match &f.when {
        When::At(times) => {
            ensure(!times.is_empty(), &format!("{key}.at"), "must name at least one time")?;
            times.iter().try_for_each(|t| within(&format!("{key}.at"), *t, 0.0, e.duration_s))
        }
        When::Random(r) => {
            within(&format!("{key}.random.per_min"), r.per_min, 0.001, 6000.0)?;
            let until = r.until_s.unwrap_or(e.duration_s);
            within(&format!("{key}.random.from_s"), r.from_s, 0.0, e.duration_s)?;
            within(&format!("{key}.random.until_s"), until, r.from_s, e.duration_s)
        }
        When::Once { above, below, for_s, from_s, most, .. } => {
            let key = |k: &str| format!("{key}.once.{k}");
            ensure(above.is_some() != below.is_some(), &key("above"), "give either `above` or `below`")?;
            ensure(above.or(*below).is_some_and(f64::is_finite), &key("above"), "must be a number")?;
            within(&key("for_s"), *for_s, 0.0, e.duration_s)?;
            within(&key("from_s"), *from_s, 0.0, e.duration_s)?;
            ensure((1..=1000).contains(most), &key("most"), "must be 1 to 1000")
        }
    }
}

fn check_what(key: &str, what: &What) -> Checked {
    let key = |k: &str| format!("{key}.{}.{k}", what.name());
    match what {
        What::Pauses { ms, every_s } => {
            within(&key("ms"), *ms, 0.1, 600_000.0)?;
            within(&key("every_s"), *every_s, 0.001, 3600.0)
        }
        What::HoldUps { ms, every_s } => {
            within(&key("ms"), *ms, 1.0, LONGEST_HOLD_UP_MS)?;
            within(&key("every_s"), *every_s, 0.1, 3600.0)
        }
        What::Slow { times } => within(&key("times"), *times, 1.0, 10_000.0),
        What::Errors { rate } | What::Swallow { rate } => share(&key("rate"), *rate),
        What::Spoil { rate, .. } => share(&key("rate"), *rate),
        What::Drain { drain_s, .. } => within(&key("drain_s"), *drain_s, 0.0, 600.0),
        What::Flush { share: s } => share(&key("share"), *s),
        What::Move { close_s } => within(&key("close_s"), *close_s, 0.0, 600.0),
        What::Delay { ms, jitter } => {
            within(&key("ms"), *ms, 0.0, 60_000.0)?;
            within(&key("jitter"), *jitter, 0.0, 5.0)
        }
        What::Lag { s } => within(&key("s"), *s, 0.0, 3600.0),
        What::LoseConnects { share: s } => share(&key("share"), *s),
        What::Resets { per_s } => within(&key("per_s"), *per_s, 0.0, 1000.0),
        What::ShortWrites { bytes } => {
            ensure((1..=65_536).contains(bytes), &key("bytes"), "must be 1 to 65536")
        }
        What::Surge { times } => within(&key("times"), *times, 0.0, 1000.0),
        What::HotCaller { share: s, keys, ramp_s } => {
            within(&key("share"), *s, 0.0, 100.0)?;
            ensure(*keys >= 1, &key("keys"), "must be at least 1")?;
            within(&key("ramp_s"), *ramp_s, 0.0, 600.0)
        }
        What::Flood { per_s, .. } => within(&key("per_s"), *per_s, 0.1, 10_000.0),
        What::SlowReaders { bytes_per_s, share: s } => {
            ensure(*bytes_per_s >= 1, &key("bytes_per_s"), "must be at least 1")?;
            share(&key("share"), *s)
        }
        What::Kill { .. }
        | What::Vanish
        | What::FullTable
        | What::Outage { .. }
        | What::Stale
        | What::Cut { .. }
        | What::RefuseConnects
        | What::ResetConnects
        | What::Term
        | What::TermHang
        | What::Standby
        | What::Hup(_) => Ok(()),
    }
}

fn side(key: &str, side: &Side, e: &Experiment) -> Checked {
    match side {
        Side::Nodes(pick) => pick_fits(&format!("{key}.nodes"), pick, e),
        Side::Servers(pick) => pick_fits(&format!("{key}.servers"), pick, e),
        Side::Clients | Side::Origin | Side::Discovery => Ok(()),
    }
}

fn pick_fits(key: &str, pick: &Pick, e: &Experiment) -> Checked {
    let of_nodes = key.ends_with("nodes");
    let (letter, count) = if of_nodes {
        ("n", e.world.nodes.count)
    } else {
        ("s", e.world.servers.iter().map(|s| s.count).sum())
    };
    for (at, name) in pick.names.iter().enumerate() {
        let number = name.strip_prefix(letter).and_then(|n| n.parse::<usize>().ok());
        let text = format!("there are `{letter}0` to `{letter}{}`", count.saturating_sub(1));
        ensure(number.is_some_and(|n| n < count), &format!("{key}.names.{at}"), &text)?;
    }
    if let Some(kind) = &pick.kind {
        let known = !of_nodes && e.world.servers.iter().any(|s| s.name == *kind);
        ensure(known, &format!("{key}.kind"), "names no kind of server of this file")?;
    }
    zone(&format!("{key}.zone"), pick.zone.as_deref(), &e.world)?;
    ensure(
        pick.share.is_none() || pick.count.is_none(),
        &format!("{key}.share"),
        "give either `share` or `count`",
    )?;
    pick.share.map_or(Ok(()), |s| share(&format!("{key}.share"), s))?;
    ensure(pick.count != Some(0), &format!("{key}.count"), "must be at least 1")
}
