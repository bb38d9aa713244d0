//! The operators' settings: `[limits]` in their file. Every key is optional; an unknown key is an error.
//!
//! Times are in milliseconds, sizes in bytes or counts, shares between 0 and 1. A cap of 0 means that only
//! the host's own capacity ([`Resources`](crate::Resources)) is a limit. The defaults keep the platform's
//! standard behaviour, except that idle connections are closed early when connections run short
//! (`keep.earliest_ms`).

use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// An invalid setting, named by its key.
#[derive(Debug, Error, PartialEq)]
pub enum SettingsError {
    /// A value is out of its range.
    #[error("limits.{key} is {value}, but must be {must}")]
    Range {
        /// The key, without the leading `limits.`.
        key: &'static str,
        /// The configured value.
        value: String,
        /// The allowed values.
        must: &'static str,
    },
    /// Two settings contradict each other.
    #[error("limits.{key} ({value}) must not be {relation} limits.{other} ({bound})")]
    Order {
        /// The key, without the leading `limits.`.
        key: &'static str,
        /// The configured value.
        value: String,
        /// The relation to the other setting that is not allowed.
        relation: &'static str,
        /// The other key.
        other: &'static str,
        /// The configured value of the other key.
        bound: String,
    },
}

impl SettingsError {
    /// The invalid key, without the leading `limits.`.
    #[must_use]
    pub fn key(&self) -> &'static str {
        let (SettingsError::Range { key, .. } | SettingsError::Order { key, .. }) = self;
        key
    }

    /// The error message without the key.
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
    /// Which addresses are counted as one source, and the weight of each source.
    pub sources: Sources,
    /// Hard limits.
    pub caps: Caps,
    /// Which idle client connections are kept, and for how long.
    pub keep: KeepAliveSettings,
    /// Known clients, for which capacity is reserved.
    pub known: Known,
    /// What happens when descriptors, memory or ports run out.
    pub room: ExhaustionSettings,
    /// What happens when more requests arrive than can be in flight.
    pub overload: Overload,
    /// What is written to the log.
    pub log: Log,
}

/// `[limits.sources]`: which addresses are counted as one source, and the weight of each source.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Sources {
    /// Leading bits of an IPv4 address that identify a source. Default 32: each address is a source.
    pub v4_prefix: u8,
    /// Leading bits of an IPv6 address that identify a source. Default 64, the network of one site: its hosts
    /// choose the remaining bits themselves and may change them with every connection. Use 56 where providers
    /// give a /56 to each home.
    pub v6_prefix: u8,
    /// Addresses that stand for many clients. Default: none; each source has weight 1.
    pub weights: Vec<Weight>,
}

/// One of `[[limits.sources.weights]]`: a prefix and the weight of each source in it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weight {
    /// The addresses that it applies to. The longest matching prefix decides.
    pub prefix: IpNet,
    /// The number of ordinary clients that each source in the prefix stands for, 1 to 1,000,000: the address
    /// of a school with 900 pupils has weight 900.
    pub weight: u32,
}

/// `[limits.caps]`: hard limits. 0 means no cap.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Caps {
    /// Client connections held at a time, in total. Default 0: as many as the descriptors allow.
    pub connections: usize,
    /// Connections held by one source (times its weight). Default 0.
    pub connections_per_source: usize,
    /// New connections per second, in total. Default 0.
    pub connects_per_s: f64,
    /// New connections per second from one source (times its weight). Default 0.
    pub connects_per_s_per_source: f64,
    /// Requests per second, in total. Default 0.
    pub requests_per_s: f64,
    /// Requests per second from one source (times its weight). Default 0.
    pub requests_per_s_per_source: f64,
    /// Burst of the rate limits, as time in ms: what the rate allows in this time may arrive at once (at
    /// least one). Default 1000.
    pub burst_ms: u32,
    /// Requests in flight (admitted and not ended), in total. Default 0: as many as the host can hold.
    pub in_flight: usize,
    /// Requests in flight of one source (times its weight). Default 0.
    pub in_flight_per_source: usize,
    /// Bytes buffered for clients' commands, in total. Default 0: as many as the host can hold.
    pub buffer_bytes: usize,
    /// Bytes buffered for the commands of one source (times its weight). Default 0.
    pub buffer_bytes_per_source: usize,
    /// Cells in each of the four rows of the filter that limits rates per source, a power of two from 256 to
    /// 65,536. The more cells, the fewer sources are overestimated. Default 4096: 128 KiB for each rate.
    pub rate_cells: u32,
}

/// `[limits.keep]`: which idle client connections are kept, and for how long.
///
/// An early close is the close of an idle connection before its timeout, because connections are short. How
/// soon is learned from the gaps between clients' requests; until enough was seen, fixed times hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeepAliveSettings {
    /// Timeout in ms of a connection that has not sent a request. Default 2200.
    pub silent_close_ms: u32,
    /// Timeout in ms of an incomplete command; the connection gets an error and is closed. Default 2200.
    pub unfinished_close_ms: u32,
    /// Idle timeout in ms of a connection after an answer. Default 2050.
    pub idle_close_ms: u32,
    /// While connections are short and nothing is learned yet: a connection that has not sent a request may
    /// be closed for a new one after this many ms. Default 100.
    pub silent_room_ms: u32,
    /// The same for a connection that was answered, in ms idle. Default 2000.
    pub used_room_ms: u32,
    /// While much of the clients' connection capacity is taken and nothing is learned yet: a connection that
    /// was answered is closed after this many ms idle. Default 300.
    pub early_ms: u32,
    /// While connections are short: a connection with an incomplete command may be closed for a new one after
    /// this many ms. Default 1000.
    pub unfinished_room_ms: u32,
    /// Whatever is learned, a connection without a request is not closed for a new one before this many ms.
    /// Default 20.
    pub silent_earliest_ms: u32,
    /// Whatever is learned, a connection that was answered is not closed before this many ms idle. With 2000
    /// none is closed before it was idle for 2 s. Default 100.
    pub earliest_ms: u32,
    /// Maximum number of connections that all clients together open, whatever limits them. 0: the host's
    /// figure ([`Resources::clients_room`](crate::Resources::clients_room)); if that is 0 too, idle
    /// connections are closed early only when a new connection needs their slot. Default 0.
    pub clients_room: usize,
    /// Used connections are closed early only while they take more than this share of the clients' connection
    /// capacity. Default 0.375.
    pub early_from: f64,
    /// Maximum share of early closes that may cross a request the client sends at the same moment. Beyond it
    /// the earliest time is doubled, up to `idle_close_ms` (then none is closed early), and halved again
    /// every 30 s. Default 0.02.
    pub crossing_most: f64,
    /// Time in ms within which the next request must be likely for a connection to be kept. Default 1000.
    pub soon_ms: u32,
    /// Time constant, in ms, with which observed gaps between requests are forgotten. Default 60,000.
    pub memory_ms: u32,
    /// One new connection in this many is a probe, which shows how long the connections closed earlier would
    /// have been idle: what is learned never closes it early, only the fixed times do (`silent_room_ms`,
    /// `used_room_ms`, and `early_ms`, which falls to `earliest_ms` as used connections take all of the
    /// clients' connection capacity). Default 64.
    pub probe_one_in: u32,
}

/// `[limits.known]`: known clients, for which capacity is reserved.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Known {
    /// Their addresses. Clients that authenticate otherwise (with a token) are reported by the front end.
    /// Default: none.
    pub prefixes: Vec<IpNet>,
    /// Connections reserved for them; lent to others while idle. Default 0.
    pub connections: usize,
    /// Requests in flight reserved for them; lent to requests that may still be refused later. Default 0.
    pub in_flight: usize,
    /// Buffer bytes reserved for them; lent under the same condition. Default 0.
    pub buffer_bytes: usize,
}

/// `[limits.room]`: what happens when descriptors, memory or ports run out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ExhaustionSettings {
    /// Usage of descriptors, memory or ports, as a share, from which on idle connections are closed early and
    /// nothing of the reserve is lent. Default 0.85.
    pub lean_at: f64,
    /// Usage from which on only known clients may connect. Default 0.93.
    pub guarded_at: f64,
    /// Usage from which on no client may connect, and only known clients' requests are admitted. Default
    /// 0.98.
    pub closed_at: f64,
    /// Hysteresis: a stage ends only when usage is this far below the threshold at which it began. Default
    /// 0.05.
    pub recover_by: f64,
    /// Time in ms for which usage must stay that low. Default 1000.
    pub recover_ms: u32,
    /// While no connection may be closed for a new one, new connections wait in the kernel's accept queue.
    /// After this many ms, or the shortest latency target of a class if that is less, they are accepted and
    /// answered `busy` with a time to retry. Default 500.
    pub tell_after_ms: u32,
}

/// `[limits.overload]`: what happens when more requests arrive than can be in flight.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Overload {
    /// Share of the in-flight limit from which on the requests of least worth are rejected. Default 0.9.
    pub knee: f64,
    /// Minimum retry time, in ms, that a rejected request is answered with. Default 50.
    pub again_least_ms: u32,
    /// Maximum of that time, in ms. Default 2000.
    pub again_most_ms: u32,
    /// Factor on the worth of a known client's request. Default 2.
    pub known_worth: f64,
    /// Whether the in-flight limit adapts to the latency of requests, up to the host's capacity. Default
    /// false: a burst beyond `follow_from` would be answered `busy` until the limit has grown.
    pub follow: bool,
    /// Initial value of the adaptive limit. Default 64.
    pub follow_from: u32,
    /// Mean latency, in ms, beyond which answers are of little use, for the adaptive limit. Default 0: two
    /// thirds of the shortest latency target of the classes.
    pub follow_patience_ms: u32,
}

/// `[limits.log]`: what is written to the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// An episode of events of one kind from one source ends after this many ms without an event. Default
    /// 10,000.
    pub spell_ms: u32,
    /// Maximum number of episodes tracked one by one; further ones are counted together. Default 256.
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

impl Default for ExhaustionSettings {
    fn default() -> Self {
        ExhaustionSettings {
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
    /// Validates all settings.
    ///
    /// # Errors
    /// The first setting that is out of range or contradicts another.
    pub fn check(&self) -> Result<(), SettingsError> {
        let Settings { sources, caps, keep, known, room, overload, log } = self;
        in_range("sources.v4_prefix", sources.v4_prefix, 1..=32, "1 to 32")?;
        in_range("sources.v6_prefix", sources.v6_prefix, 1..=128, "1 to 128")?;
        for weight in &sources.weights {
            in_range("sources.weights.weight", weight.weight, 1..=1_000_000, "1 to 1000000")?;
        }
        for (key, rate) in [
            ("caps.connects_per_s", caps.connects_per_s),
            ("caps.connects_per_s_per_source", caps.connects_per_s_per_source),
            ("caps.requests_per_s", caps.requests_per_s),
            ("caps.requests_per_s_per_source", caps.requests_per_s_per_source),
        ] {
            let valid = rate == 0.0 || (0.001..=1e6).contains(&rate);
            ensure(valid, key, rate, "0 (no cap), or 0.001 to 1000000")?;
        }
        in_range("caps.burst_ms", caps.burst_ms, 1..=600_000, "1 to 600000")?;
        let cells = caps.rate_cells;
        let valid = cells.is_power_of_two() && (256..=65_536).contains(&cells);
        ensure(valid, "caps.rate_cells", cells, "a power of two from 256 to 65536")?;
        in_range("caps.connections", caps.connections, 0..=MAX_CONNECTIONS, "0 to 4000000")?;
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
            in_range(key, ms, 1..=86_400_000, "1 to 86400000 (a day)")?;
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
            at_most(key, value, other, bound)?;
        }
        in_range("keep.early_from", keep.early_from, 0.0..=1.0, "0 to 1")?;
        in_range("keep.crossing_most", keep.crossing_most, 0.0..=1.0, "0 to 1")?;
        in_range("keep.probe_one_in", keep.probe_one_in, 1..=1_000_000, "1 to 1000000")?;
        in_range("room.lean_at", room.lean_at, 0.0..=1.0, "0 to 1")?;
        in_range("room.closed_at", room.closed_at, 0.0..=1.0, "0 to 1")?;
        in_range("room.recover_by", room.recover_by, 0.0..=1.0, "0 to 1")?;
        at_most("room.lean_at", room.lean_at, "room.guarded_at", room.guarded_at)?;
        at_most("room.guarded_at", room.guarded_at, "room.closed_at", room.closed_at)?;
        in_range("overload.knee", overload.knee, 0.01..=1.0, "0.01 to 1")?;
        in_range(
            "overload.follow_patience_ms",
            overload.follow_patience_ms,
            0..=86_400_000,
            "0 to 86400000 (a day)",
        )?;
        in_range("overload.follow_from", overload.follow_from, 1..=1_000_000, "1 to 1000000")?;
        in_range("overload.known_worth", overload.known_worth, 1.0..=1000.0, "1 to 1000")?;
        in_range("log.spells", log.spells, 1..=65_536, "1 to 65536")?;
        for (key, value, other, bound) in [
            ("known.connections", known.connections, "caps.connections", caps.connections),
            ("known.in_flight", known.in_flight, "caps.in_flight", caps.in_flight),
            ("known.buffer_bytes", known.buffer_bytes, "caps.buffer_bytes", caps.buffer_bytes),
        ] {
            if bound > 0 {
                at_most(key, value, other, bound)?;
            }
        }
        Ok(())
    }
}

/// Maximum number of connections in the connection table: its slots are addressed by 32 bits, and its memory
/// bound is stated for a fixed number of connections.
pub(crate) const MAX_CONNECTIONS: usize = 4_000_000;

fn ensure(
    valid: bool,
    key: &'static str,
    value: impl ToString,
    must: &'static str,
) -> Result<(), SettingsError> {
    if valid { Ok(()) } else { Err(SettingsError::Range { key, value: value.to_string(), must }) }
}

fn in_range<T: PartialOrd + ToString>(
    key: &'static str,
    value: T,
    range: std::ops::RangeInclusive<T>,
    must: &'static str,
) -> Result<(), SettingsError> {
    ensure(range.contains(&value), key, value, must)
}

fn at_most<T: PartialOrd + ToString>(
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
    fn missing_keys_take_valid_defaults() {
        assert_eq!(read(""), Ok(Settings::default()));
        let set =
            read("[keep]\nearliest_ms = 2000\n[[sources.weights]]\nprefix = '10.1.0.0/16'\nweight = 900")
                .unwrap();
        assert_eq!((set.keep.earliest_ms, set.keep.idle_close_ms), (2000, 2050));
        assert_eq!(set.sources.weights[0].weight, 900);
    }

    #[test]
    fn an_invalid_setting_is_named_in_the_error() {
        for (text, expected) in [
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
            let error = read(text).expect_err(text);
            assert!(error.contains(expected), "{text:?}: {error}");
        }
    }
}
