//! The platform's configuration of a node, made from an experiment: the JSON that `EDGE_CONFIG` names.

use crate::experiment::{Class, Effect, Experiment, Group, SignalSet};
use serde_json::{Map, Value, json};
use std::net::SocketAddr;

/// What a node is told that is not of the experiment.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its name.
    pub name: String,
    /// Its place among the nodes.
    pub number: usize,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// For random numbers, new with each start.
    pub seed: u64,
    /// The list of servers as discovery has it, if the node is to know one.
    pub known: Option<Value>,
}

/// The configuration of a node.
pub fn config(e: &Experiment, place: &Place) -> Value {
    let nodes = &e.world.nodes;
    let mut config = json!({
        "name": place.name,
        "listen": place.listen.to_string(),
        "discovery": place.discovery.to_string(),
        "seed": format!("{:016x}", place.seed),
        "limits": { "cores": nodes.cores, "memory_mb": nodes.memory_mb, "sockets": nodes.sockets },
        "settings": settings(e, place.number),
    });
    if let (Some(known), Some(top)) = (&place.known, config.as_object_mut()) {
        top.insert("known".into(), known.clone());
    }
    config
}

/// A configuration with what a signal brings laid over it; the text of a broken one cannot be read.
pub fn changed(config: &Value, set: &SignalSet) -> String {
    let mut config = config.clone();
    lay_over(&mut config, &to_json(&toml::Value::Table(set.set.clone())));
    let text = config.to_string();
    if set.broken { text.chars().take(text.len() / 2).collect() } else { text }
}

/// The object that an instance is told at its start.
fn settings(e: &Experiment, number: usize) -> Value {
    let world = &e.world;
    let rules = &world.rules;
    let mut kinds: Vec<&str> = world.servers.iter().map(|k| k.name.as_str()).collect();
    kinds.push("origin");
    let least = |of: fn(&crate::experiment::ServerConnections) -> f64| {
        world.servers.iter().map(|k| of(&k.connections)).fold(f64::INFINITY, f64::min)
    };
    let mut settings = json!({
        "az": number % world.zones.names.len().max(1),
        "zones": world.zones.names,
        "host-types": kinds,
        "siblings": world.nodes.count,
        "discovery": "subscribe",
        "family-info": { "mode": "aside", "origin-kind": kinds.len() - 1 },
        "bounds": {
            "attempts-cap": rules.attempts,
            "cancel": true,
            "conn-idle-s": least(|c| c.idle_s),
            "connect-timeout-s": 0.25,
            "max-retry-after-s": 2.0,
            "most-held": 20_000,
            "multiplex": least(|c| f64::from(c.streams)) as u32,
            "second-copies": rules.second_copies,
        },
        "request-classes": e.classes.iter().map(class).collect::<Vec<_>>(),
        "rules": {
            "ask-within-s": rules.ask_within_s,
            "cold-s": rules.cold_s,
            "drain-grace-s": rules.drain_grace_ms / 1e3,
            "fall-s": rules.fall_s,
            "start-capacity": rules.start_capacity,
            "tip-multiple": rules.tip_multiple,
        },
    });
    lay_over(&mut settings, &to_json(&toml::Value::Table(world.nodes.settings.clone())));
    settings
}

fn class(c: &Class) -> Value {
    json!({
        "name": c.name,
        "effect": match c.effect {
            Effect::Safe => "free",
            Effect::Keyed => "guarded",
            Effect::Unsafe => "single_shot",
        },
        "group": match c.group {
            Group::All => "all",
            Group::Zone => "zone",
        },
        "give-up-s": c.deadline_ms / 1e3,
        "slo-s": c.aim_ms / 1e3,
        "window-s": c.window_s,
        "worth": c.worth,
        "late-worth": c.late_worth,
    })
}

/// Keys of the second replace those of the first, tables key by key.
fn lay_over(under: &mut Value, over: &Value) {
    match (under, over) {
        (Value::Object(under), Value::Object(over)) => {
            for (key, value) in over {
                lay_over(under.entry(key.clone()).or_insert(Value::Null), value);
            }
        }
        (under, over) => *under = over.clone(),
    }
}

fn to_json(value: &toml::Value) -> Value {
    match value {
        toml::Value::String(s) => Value::String(s.clone()),
        toml::Value::Integer(i) => json!(i),
        toml::Value::Float(f) => json!(f),
        toml::Value::Boolean(b) => Value::Bool(*b),
        toml::Value::Datetime(d) => Value::String(d.to_string()),
        toml::Value::Array(all) => Value::Array(all.iter().map(to_json).collect()),
        toml::Value::Table(table) => {
            Value::Object(table.iter().map(|(k, v)| (k.clone(), to_json(v))).collect::<Map<_, _>>())
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::experiment::ExperimentFile;

    #[test]
    fn settings_follow_the_world_and_the_files_own_keys_go_over_them() {
        let text = r#"question = "?"
            duration_s = 1
            [world.nodes]
            count = 4
            settings = { bounds = { "attempts-cap" = 1 }, tariffs = { connection = 0.5 } }
            [world.rules]
            drain_grace_ms = 250
            [[load]]
            rate = { steady = { per_s = 1 } }"#;
        let e = ExperimentFile::parse("x", text).map(|file| file.experiment);
        let e = e.unwrap_or_else(|e| panic!("{e}"));
        let listen = SocketAddr::from(([127, 0, 0, 1], 1));
        let known = Some(json!({"rev": 1}));
        let place = Place { name: "n3".into(), number: 3, listen, discovery: listen, seed: 255, known };
        let config = config(&e, &place);
        for (at, expected) in [
            ("/seed", json!("00000000000000ff")),
            ("/settings/az", json!(0)),
            ("/settings/host-types", json!(["cache", "origin"])),
            ("/settings/family-info/origin-kind", json!(1)),
            ("/settings/bounds/attempts-cap", json!(1)),
            ("/settings/bounds/multiplex", json!(32)),
            ("/settings/tariffs/connection", json!(0.5)),
            ("/settings/rules/drain-grace-s", json!(0.25)),
            ("/settings/request-classes/1/effect", json!("guarded")),
            ("/known/rev", json!(1)),
        ] {
            assert_eq!(config.pointer(at), Some(&expected), "{at}");
        }
        let set = toml::from_str("discovery = \"127.0.0.1:9\"").unwrap_or_default();
        let text = changed(&config, &SignalSet { set, broken: false });
        assert!(text.contains("127.0.0.1:9") && serde_json::from_str::<Value>(&text).is_ok());
        let broken = changed(&config, &SignalSet { broken: true, ..SignalSet::default() });
        assert!(serde_json::from_str::<Value>(&broken).is_err());
    }
}
