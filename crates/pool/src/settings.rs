//! Operator settings: the `[pool]` table of the configuration file. Every key is optional; an unknown key is
//! rejected.
//!
//! A value of 0 means that the value is derived from the deployment and from observation, so that the
//! defaults suit any deployment.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// An invalid setting, identified by its key.
#[derive(Debug, Error, PartialEq)]
pub enum SettingsError {
    /// A number is outside its permitted range.
    #[error("pool.{key} is {value}, but must be {must}")]
    Range {
        /// The key, relative to `pool`.
        key: &'static str,
        /// The configured value.
        value: String,
        /// The permitted values.
        must: &'static str,
    },
    /// Two settings contradict each other.
    #[error("pool.{key} ({value}) must not be above pool.{other} ({bound})")]
    Inverted {
        /// The key, relative to `pool`.
        key: &'static str,
        /// The configured value.
        value: String,
        /// The key that it contradicts.
        other: &'static str,
        /// The configured value of the other key.
        bound: String,
    },
}

impl SettingsError {
    /// The invalid key, relative to `pool`.
    #[must_use]
    pub fn key(&self) -> &'static str {
        let (SettingsError::Range { key, .. } | SettingsError::Inverted { key, .. }) = self;
        key
    }

    /// Describes the error without naming the key.
    #[must_use]
    pub fn what(&self) -> String {
        match self {
            SettingsError::Range { value, must, .. } => format!("{value} is not {must}"),
            SettingsError::Inverted { value, other, bound, .. } => {
                format!("{value} is above pool.{other} ({bound})")
            }
        }
    }
}

/// Settings of the connection pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, expecting = "a table")]
pub struct Settings {
    /// Maximum number of connections to one member from all nodes together. Default 0: determined by the load
    /// and by the number of connections that the member was seen to accept.
    pub per_member: u32,
    /// Maximum number of connections from this node to all members. Default 0: as many as the host has
    /// descriptors for.
    pub in_all: u32,
    /// Share of a member's capacity that each open connection takes. Default 0: learnt from the latency at
    /// different numbers of open connections, starting from 1/128.
    pub held_cost: f64,
    /// Maximum number of connections opened to one member per second, by all nodes together. Default 0: as
    /// many as use 5% of one core, given the learnt cost of a handshake.
    pub connects_per_s: f64,
    /// Maximum number of connections that this node opens per second. Default 0: unlimited for flows whose
    /// member has no usable connection; all others are limited to a quarter of the node's connection limit,
    /// at least 100.
    pub node_connects_per_s: f64,
    /// The rate for one member stays below `connects_per_s` even if there are this many times as many nodes
    /// as the deployment states. Default 3.
    pub siblings_wrong_by: f64,
    /// Whether connections are opened before a flow needs them (pre-connect). Default true.
    pub ahead: bool,
    /// Time in ms for which a past need still counts: the target size does not fall sooner. Default 10,000.
    pub hold_ms: u32,
    /// Maximum idle time in ms after which a connection is no longer used, whatever has been learnt. Default
    /// 0: the idle timeout that the deployment states.
    pub idle_most_ms: u32,
    /// Number of flows per million that may be lost on connections that died while idle, in order to learn
    /// how long idle connections last. Default 4.
    pub losses_per_million: f64,
    /// Approximate maximum lifetime of a connection in seconds; 0: unlimited. Default 1800.
    pub max_age_s: u32,
    /// Relative jitter of the maximum lifetime, in both directions, so that connections opened together are
    /// not retired together. Default 0.25.
    pub age_jitter: f64,
    /// Backoff after the first failed connect, in ms (randomized); it doubles with each further failure.
    /// Default 25.
    pub backoff_least_ms: u32,
    /// Upper bound of the backoff, in ms. Default 1000.
    pub backoff_most_ms: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            per_member: 0,
            in_all: 0,
            held_cost: 0.0,
            connects_per_s: 0.0,
            node_connects_per_s: 0.0,
            siblings_wrong_by: 3.0,
            ahead: true,
            hold_ms: 10_000,
            idle_most_ms: 0,
            losses_per_million: 4.0,
            max_age_s: 1800,
            age_jitter: 0.25,
            backoff_least_ms: 25,
            backoff_most_ms: 1000,
        }
    }
}

impl Settings {
    /// Validates the settings.
    ///
    /// # Errors
    /// The first invalid setting.
    pub fn check(&self) -> Result<(), SettingsError> {
        within("per_member", self.per_member, 0..=1_000_000, "0 to 1000000")?;
        within("in_all", self.in_all, 0..=1_000_000, "0 to 1000000")?;
        within("held_cost", self.held_cost, 0.0..=0.5, "0 to 0.5")?;
        for (key, rate) in
            [("connects_per_s", self.connects_per_s), ("node_connects_per_s", self.node_connects_per_s)]
        {
            let sound = rate == 0.0 || (0.1..=1e6).contains(&rate);
            ensure(sound, key, rate, "0 (derived), or 0.1 to 1000000")?;
        }
        within("siblings_wrong_by", self.siblings_wrong_by, 1.0..=100.0, "1 to 100")?;
        within("hold_ms", self.hold_ms, 100..=3_600_000, "100 to 3600000 (an hour)")?;
        within("idle_most_ms", self.idle_most_ms, 0..=86_400_000, "0 to 86400000 (a day)")?;
        within("losses_per_million", self.losses_per_million, 0.0..=100_000.0, "0 to 100000")?;
        within("max_age_s", self.max_age_s, 0..=31_536_000, "0 to 31536000 (a year)")?;
        within("age_jitter", self.age_jitter, 0.0..=0.9, "0 to 0.9")?;
        within("backoff_least_ms", self.backoff_least_ms, 1..=60_000, "1 to 60000")?;
        within("backoff_most_ms", self.backoff_most_ms, 1..=600_000, "1 to 600000")?;
        if self.backoff_least_ms > self.backoff_most_ms {
            let (value, bound) = (self.backoff_least_ms.to_string(), self.backoff_most_ms.to_string());
            return Err(SettingsError::Inverted {
                key: "backoff_least_ms",
                value,
                other: "backoff_most_ms",
                bound,
            });
        }
        Ok(())
    }
}

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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn defaults_are_valid_and_errors_name_the_setting() {
        let read = |text: &str| -> Result<Settings, String> {
            let settings: Settings = toml::from_str(text).map_err(|e| e.to_string())?;
            settings.check().map_err(|e| e.to_string())?;
            Ok(settings)
        };
        assert_eq!(read(""), Ok(Settings::default()));
        for (text, names) in [
            ("per_membr = 1", "per_membr"),
            ("held_cost = 0.6", "pool.held_cost is 0.6"),
            ("held_cost = nan", "pool.held_cost"),
            ("connects_per_s = -1", "pool.connects_per_s"),
            ("node_connects_per_s = 0.01", "pool.node_connects_per_s"),
            ("siblings_wrong_by = 0.5", "pool.siblings_wrong_by"),
            ("hold_ms = 0", "pool.hold_ms"),
            ("losses_per_million = -1", "pool.losses_per_million"),
            ("age_jitter = 1", "pool.age_jitter"),
            (
                "backoff_least_ms = 2000",
                "pool.backoff_least_ms (2000) must not be above pool.backoff_most_ms",
            ),
        ] {
            let error = read(text).expect_err(text);
            assert!(error.contains(names), "{text:?}: {error}");
        }
    }
}
