//! The operators' settings: `[limits]` in their file. Every key may be left out; an unknown one is refused.
//!
//! Times are in milliseconds, sizes in bytes or counts, shares between 0 and 1. A cap of 0 means none, other than
//! what the host itself can bear ([`Resources`](crate::Resources)). The defaults are how the platform's node has
//! always behaved, but for closing idle connections early under want (`keep.earliest_ms`).

use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A setting that cannot be used, by its key.
#[derive(Debug, Error, PartialEq)]
pub enum SettingsError {
    /// A number is outside of what can be meant.
    #[error("limits.{key} is {value}, but must be {must}")]
    Range {
        /// The key, from `limits` on.
        key: &'static str,
        /// What it is set to.
        value: String,
        /// What it may be.
        must: &'static str,
    },
    /// Two settings contradict each other.
    #[error("limits.{key} ({value}) must not be {relation} limits.{other} ({bound})")]
    Order {
        /// The key, from `limits` on.
        key: &'static str,
        /// What it is set to.
        value: String,
        /// How it relates to the other.
        relation: &'static str,
        /// The other key.
        other: &'static str,
        /// What that one is set to.
        bound: String,
    },
}

impl SettingsError {
    /// The key in question, from `limits` on.
    #[must_use]
    pub fn key(&self) -> &'static str {
        let (SettingsError::Range { key, .. } | SettingsError::Order { key, .. }) = self;
        key
    }

    /// What is wrong, without the key.
    #[must_use]
    pub fn what(&self) -> String {
        match self {
            SettingsError::Range { value, must, .. } => format!("{value} is not {must}"),
            SettingsError::Order { value, relation, other, bound, .. } => {
                format!("{value} is {relation} limits.{other} ({bound})")
            }
        }
    }
}

/// All limits of a node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Who counts as one source, and for how many it stands.
    pub sources: Sources,
    /// What must never be exceeded.
    pub caps: Caps,
    /// Which connections are kept, and for how long.
    pub keep: KeepAliveSettings,
    /// Clients with a reserve of their own.
    pub known: Known,
    /// What is done when something runs out.
    pub room: Room,
    /// What is done when more comes than can be taken in.
    pub overload: Overload,
    /// What is told in the log.
    pub log: Log,
}

/// `[limits.sources]`: who counts as one source, and for how many it stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Sources {
    /// Leading bits of an IPv4 address that name a source. Default 32: each address is one.
    pub v4_prefix: u8,
    /// Leading bits of an IPv6 address that name a source. Default 64: one site's network; hosts choose the rest
    /// of the address themselves, anew for each connection if they like. 56 where providers give /56 to a home.
    pub v6_prefix: u8,
    /// Addresses that stand for many clients. Default: none; a source weighs 1.
    pub weights: Vec<Weight>,
}

/// One of `[[limits.sources.weights]]`: a prefix and what each source in it weighs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weight {
    /// The addresses meant. The longest prefix that holds an address decides.
    pub prefix: IpNet,
    /// For how many usual clients each source in it stands, 1 to 1,000,000: a school's address with 900 pupils
    /// has 900.
    pub weight: u32,
}

/// `[limits.caps]`: what must never be exceeded. 0 means no cap.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Caps {
    /// Connections of clients held at a time, in all. Default 0: as many as descriptors leave.
    pub connections: usize,
    /// Connections held by one source (times its weight). Default 0.
    pub connections_per_source: usize,
    /// New connections a second, in all. Default 0.
    pub connects_per_s: f64,
    /// New connections a second from one source (times its weight). Default 0.
    pub connects_per_s_per_source: f64,
    /// Requests a second, in all. Default 0.
    pub requests_per_s: f64,
    /// Requests a second from one source (times its weight). Default 0.
    pub requests_per_s_per_source: f64,
    /// How long, in ms, a rate may be saved up: so much of it may come at once (one at the least). Default 1000.
    pub burst_ms: u32,
    /// Requests taken and not ended, in all. Default 0: as many as the host can hold.
    pub in_flight: usize,
    /// Requests of one source (times its weight) taken and not ended. Default 0.
    pub in_flight_per_source: usize,
    /// Bytes held for clients' commands, in all. Default 0: as many as the host can hold.
    pub buffer_bytes: usize,
    /// Bytes held for the commands of one source (times its weight). Default 0.
    pub buffer_bytes_per_source: usize,
    /// Cells in each of the four rows of the filter that counts rates by source, a power of two from 256 to
    /// 65,536. More cells, fewer sources that are taken for busier than they are. Default 4096: 128 KiB a rate.
    pub rate_cells: u32,
}

/// `[limits.keep]`: which connections are kept, and for how long.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeepAliveSettings {
    /// A connection that never brought a request is closed after this many ms. Default 2200.
    pub silent_close_ms: u32,
    /// One that brought but a part of a command is closed, with an error, after this many ms. Default 2200.
    pub unfinished_close_ms: u32,
    /// One that had an answer is closed after this many idle ms. Default 2050.
    pub idle_close_ms: u32,
    /// Under want, a connection that never brought a request makes room after this many ms, as long as nothing is
    /// learnt. Default 100.
    pub silent_room_ms: u32,
    /// The same for one that had an answer. Default 2000.
    pub used_room_ms: u32,
    /// While much of the clients' room is taken, one that had an answer is closed after this many idle ms, as long
    /// as nothing is learnt. Default 300.
    pub early_ms: u32,
    /// Under want, one that brought but a part of a command makes room after this many ms. Default 1000.
    pub unfinished_room_ms: u32,
    /// What is learnt never lets one that had no request make room sooner than this many ms. Default 20.
    pub silent_earliest_ms: u32,
    /// What is learnt never closes one that had an answer sooner than this many idle ms. 2000 restores the strict
    /// reading: nothing is closed before 2 s idle. Default 100.
    pub earliest_ms: u32,
    /// How many connections clients hold at most, all together, wherever it is that this is bound. 0: as the host
    /// says ([`Resources::clients_room`](crate::Resources::clients_room)); if that says nothing either, idle ones
    /// are closed early only where a newcomer asks for room. Default 0.
    pub clients_room: usize,
    /// Used connections are closed early only while more than this share of the clients' room is taken by them.
    /// Default 0.375.
    pub early_from: f64,
    /// At most this share of early closes may cross a request; beyond it the earliest time is doubled, up to
    /// `idle_close_ms` (then none is closed early), and halved again every 30 s. Default 0.02.
    pub crossing_most: f64,
    /// How soon, in ms, the next request must be likely for a connection to be worth its place. Default 1000.
    pub soon_ms: u32,
    /// For how long, in ms, what was seen of clients' gaps counts (time constant). Default 60,000.
    pub memory_ms: u32,
    /// One connection in so many is never closed early, to learn what the others would have done. Default 64.
    pub probe_one_in: u32,
}

/// `[limits.known]`: clients with a reserve of their own.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Known {
    /// Their addresses. Clients that prove themselves otherwise (a token) are told by the front. Default: none.
    pub prefixes: Vec<IpNet>,
    /// Connections that only they use; lent to others while idle. Default 0.
    pub connections: usize,
    /// Places for requests in flight that only they use; lent to requests that may be refused later. Default 0.
    pub in_flight: usize,
    /// Buffer bytes that only they use; lent like the places. Default 0.
    pub buffer_bytes: usize,
}

/// `[limits.room]`: what is done when something runs out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Room {
    /// Share of descriptors, memory or ports from which on idle connections are closed early, and nothing is lent.
    /// Default 0.85.
    pub lean_at: f64,
    /// Share from which on only known clients may connect. Default 0.93.
    pub guarded_at: f64,
    /// Share from which on nobody may connect, and only known clients' requests are taken. Default 0.98.
    pub closed_at: f64,
    /// How far a share must fall under the mark at which a stage began, for it to end. Default 0.05.
    pub recover_by: f64,
    /// For how many ms it must stay there. Default 1000.
    pub recover_ms: u32,
    /// New connections wait in the kernel's queue while all places are held by such as may not be closed; after so
    /// many ms of that, or the shortest aim of a class if that is less, they are taken and told to come again. Default 500.
    pub tell_after_ms: u32,
}

/// `[limits.overload]`: what is done when more comes than can be taken in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Overload {
    /// Share of the places for requests from which on those worth least are turned away. Default 0.9.
    pub knee: f64,
    /// Soonest time, in ms, at which one that is turned away is asked to come again. Default 50.
    pub again_least_ms: u32,
    /// Latest such time, in ms. Default 2000.
    pub again_most_ms: u32,
    /// A known client's request counts as so many times its worth. Default 2.
    pub known_worth: f64,
    /// Whether the places for requests follow how long they take, up to as many as the host can hold. Default false:
    /// a burst beyond `follow_from` would be told to come again until the places have grown.
    pub follow: bool,
    /// Places to begin with, where they follow. Default 64.
    pub follow_from: u32,
    /// Mean time of answers, in ms, beyond which they are of little use, where places follow. Default 0: two thirds
    /// of the shortest aim of the classes.
    pub follow_patience_ms: u32,
}

/// `[limits.log]`: what is told in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// A spell of one kind from one source is over after this many quiet ms. Default 10,000.
    pub spell_ms: u32,
    /// Spells that are told apart at a time; further ones count together. Default 256.
    pub spells: usize,
}

impl Default for Sources {
    fn default() -> Self {
        Sources { v4_prefix: 32, v6_prefix: 64, weights: Vec::new() }
    }
}

impl Default for Caps {
    fn default() -> Self {
        Caps {
            connections: 0,
            connections_per_source: 0,
            connects_per_s: 0.0,
            connects_per_s_per_source: 0.0,
            requests_per_s: 0.0,
            requests_per_s_per_source: 0.0,
            burst_ms: 1000,
            in_flight: 0,
            in_flight_per_source: 0,
            buffer_bytes: 0,
            buffer_bytes_per_source: 0,
            rate_cells: 4096,
        }
    }
}

impl Default for KeepAliveSettings {
    fn default() -> Self {
        KeepAliveSettings {
            silent_close_ms: 2200,
            unfinished_close_ms: 2200,
            idle_close_ms: 2050,
            silent_room_ms: 100,
            used_room_ms: 2000,
            early_ms: 300,
            unfinished_room_ms: 1000,
            silent_earliest_ms: 20,
            earliest_ms: 100,
            clients_room: 0,
            early_from: 0.375,
            crossing_most: 0.02,
            soon_ms: 1000,
            memory_ms: 60_000,
            probe_one_in: 64,
        }
    }
}

impl Default for Room {
    fn default() -> Self {
        Room {
            lean_at: 0.85,
            guarded_at: 0.93,
            closed_at: 0.98,
            recover_by: 0.05,
            recover_ms: 1000,
            tell_after_ms: 500,
        }
    }
}

impl Default for Overload {
    fn default() -> Self {
        Overload {
            knee: 0.9,
            again_least_ms: 50,
            again_most_ms: 2000,
            known_worth: 2.0,
            follow: false,
            follow_from: 64,
            follow_patience_ms: 0,
        }
    }
}

impl Default for Log {
    fn default() -> Self {
        Log { spell_ms: 10_000, spells: 256 }
    }
}

impl Settings {
    /// Refuses what cannot be meant, naming the key.
    ///
    /// # Errors
    /// The first setting that is out of range or contradicts another.
    pub fn check(&self) -> Result<(), SettingsError> {
        let Settings { sources, caps, keep, known, room, overload, log } = self;
        within("sources.v4_prefix", sources.v4_prefix, 1..=32, "1 to 32")?;
        within("sources.v6_prefix", sources.v6_prefix, 1..=128, "1 to 128")?;
        for weight in &sources.weights {
            within("sources.weights.weight", weight.weight, 1..=1_000_000, "1 to 1000000")?;
        }
        for (key, rate) in [
            ("caps.connects_per_s", caps.connects_per_s),
            ("caps.connects_per_s_per_source", caps.connects_per_s_per_source),
            ("caps.requests_per_s", caps.requests_per_s),
            ("caps.requests_per_s_per_source", caps.requests_per_s_per_source),
        ] {
            let sound = rate == 0.0 || (0.001..=1e6).contains(&rate);
            ensure(sound, key, rate, "0 (no cap), or 0.001 to 1000000")?;
        }
        within("caps.burst_ms", caps.burst_ms, 1..=600_000, "1 to 600000")?;
        let cells = caps.rate_cells;
        let sound = cells.is_power_of_two() && (256..=65_536).contains(&cells);
        ensure(sound, "caps.rate_cells", cells, "a power of two from 256 to 65536")?;
        within("caps.connections", caps.connections, 0..=MAX_CONNECTIONS, "0 to 4000000")?;
        for (key, ms) in [
            ("keep.silent_close_ms", keep.silent_close_ms),
            ("keep.unfinished_close_ms", keep.unfinished_close_ms),
            ("keep.idle_close_ms", keep.idle_close_ms),
            ("keep.silent_room_ms", keep.silent_room_ms),
            ("keep.used_room_ms", keep.used_room_ms),
            ("keep.early_ms", keep.early_ms),
            ("keep.unfinished_room_ms", keep.unfinished_room_ms),
            ("keep.soon_ms", keep.soon_ms),
            ("keep.memory_ms", keep.memory_ms),
            ("room.recover_ms", room.recover_ms),
            ("overload.again_most_ms", overload.again_most_ms),
            ("log.spell_ms", log.spell_ms),
        ] {
            within(key, ms, 1..=86_400_000, "1 to 86400000 (a day)")?;
        }
        for (key, value, other, bound) in [
            ("keep.silent_room_ms", keep.silent_room_ms, "keep.silent_close_ms", keep.silent_close_ms),
            ("keep.used_room_ms", keep.used_room_ms, "keep.idle_close_ms", keep.idle_close_ms),
            ("keep.silent_earliest_ms", keep.silent_earliest_ms, "keep.silent_room_ms", keep.silent_room_ms),
            ("keep.earliest_ms", keep.earliest_ms, "keep.used_room_ms", keep.used_room_ms),
            ("keep.early_ms", keep.early_ms, "keep.used_room_ms", keep.used_room_ms),
            (
                "overload.again_least_ms",
                overload.again_least_ms,
                "overload.again_most_ms",
                overload.again_most_ms,
            ),
        ] {
            below(key, value, other, bound)?;
        }
        within("keep.early_from", keep.early_from, 0.0..=1.0, "0 to 1")?;
        within("keep.crossing_most", keep.crossing_most, 0.0..=1.0, "0 to 1")?;
        within("keep.probe_one_in", keep.probe_one_in, 1..=1_000_000, "1 to 1000000")?;
        within("room.lean_at", room.lean_at, 0.0..=1.0, "0 to 1")?;
        within("room.closed_at", room.closed_at, 0.0..=1.0, "0 to 1")?;
        within("room.recover_by", room.recover_by, 0.0..=1.0, "0 to 1")?;
        below("room.lean_at", room.lean_at, "room.guarded_at", room.guarded_at)?;
        below("room.guarded_at", room.guarded_at, "room.closed_at", room.closed_at)?;
        within("overload.knee", overload.knee, 0.01..=1.0, "0.01 to 1")?;
        within(
            "overload.follow_patience_ms",
            overload.follow_patience_ms,
            0..=86_400_000,
            "0 to 86400000 (a day)",
        )?;
        within("overload.follow_from", overload.follow_from, 1..=1_000_000, "1 to 1000000")?;
        within("overload.known_worth", overload.known_worth, 1.0..=1000.0, "1 to 1000")?;
        within("log.spells", log.spells, 1..=65_536, "1 to 65536")?;
        for (key, value, other, bound) in [
            ("known.connections", known.connections, "caps.connections", caps.connections),
            ("known.in_flight", known.in_flight, "caps.in_flight", caps.in_flight),
            ("known.buffer_bytes", known.buffer_bytes, "caps.buffer_bytes", caps.buffer_bytes),
        ] {
            if bound > 0 {
                below(key, value, other, bound)?;
            }
        }
        Ok(())
    }
}

/// Connections that the books can hold: a place is named by 32 bits, and a cap is what memory is stated for.
pub(crate) const MAX_CONNECTIONS: usize = 4_000_000;

fn ensure(
    sound: bool,
    key: &'static str,
    value: impl ToString,
    must: &'static str,
) -> Result<(), SettingsError> {
    if sound { Ok(()) } else { Err(SettingsError::Range { key, value: value.to_string(), must }) }
}

fn within<T: PartialOrd + ToString>(
    key: &'static str,
    value: T,
    range: std::ops::RangeInclusive<T>,
    must: &'static str,
) -> Result<(), SettingsError> {
    ensure(range.contains(&value), key, value, must)
}

fn below<T: PartialOrd + ToString>(
    key: &'static str,
    value: T,
    other: &'static str,
    bound: T,
) -> Result<(), SettingsError> {
    if value <= bound {
        return Ok(());
    }
    let (value, bound) = (value.to_string(), bound.to_string());
    Err(SettingsError::Order { key, value, relation: "above", other, bound })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<Settings, String> {
        let settings: Settings = toml::from_str(text).map_err(|e| e.to_string())?;
        settings.check().map_err(|e| e.to_string())?;
        Ok(settings)
    }

    #[test]
    fn what_is_left_out_has_its_default_and_the_defaults_are_sound() {
        assert_eq!(read(""), Ok(Settings::default()));
        let set =
            read("[keep]\nearliest_ms = 2000\n[[sources.weights]]\nprefix = '10.1.0.0/16'\nweight = 900")
                .unwrap();
        assert_eq!((set.keep.earliest_ms, set.keep.idle_close_ms), (2000, 2050));
        assert_eq!(set.sources.weights[0].weight, 900);
    }

    #[test]
    fn each_bad_setting_is_named() {
        for (text, names) in [
            ("[keep]\nearlyest_ms = 1", "earlyest_ms"),
            ("[keep]\nearliest_ms = 2001", "limits.keep.earliest_ms (2001) must not be above"),
            ("[keep]\nearly_from = nan", "limits.keep.early_from"),
            ("[keep]\nidle_close_ms = 0", "limits.keep.idle_close_ms"),
            ("[sources]\nv4_prefix = 33", "limits.sources.v4_prefix"),
            ("[[sources.weights]]\nprefix = '10.1.0.0/40'\nweight = 1", "prefix"),
            ("[[sources.weights]]\nprefix = '10.1.0.0/16'\nweight = 0", "limits.sources.weights.weight"),
            ("[caps]\nconnects_per_s = -1", "limits.caps.connects_per_s"),
            ("[caps]\nrate_cells = 1000", "limits.caps.rate_cells"),
            ("[caps]\nin_flight = 5\n[known]\nin_flight = 6", "limits.known.in_flight (6)"),
            ("[room]\nlean_at = 0.95", "limits.room.lean_at"),
            ("[overload]\nknee = 0.0", "limits.overload.knee"),
            ("[log]\nspells = 0", "limits.log.spells"),
        ] {
            let told = read(text).expect_err(text);
            assert!(told.contains(names), "{text:?}: {told}");
        }
    }
}
