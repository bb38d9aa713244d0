//! The operators' settings: `[pool]` in their file. Every key may be left out; an unknown one is refused.
//!
//! A 0 means: derived, from what the deployment states and what is observed. So a fresh file says nothing of any one
//! deployment.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A setting that cannot be used, by its key.
#[derive(Debug, Error, PartialEq)]
pub enum SettingsError {
    /// A number is outside of what can be meant.
    #[error("pool.{key} is {value}, but must be {must}")]
    Range {
        /// The key, from `pool` on.
        key: &'static str,
        /// What it is set to.
        value: String,
        /// What it may be.
        must: &'static str,
    },
    /// Two settings contradict each other.
    #[error("pool.{key} ({value}) must not be above pool.{other} ({bound})")]
    Order {
        /// The key, from `pool` on.
        key: &'static str,
        /// What it is set to.
        value: String,
        /// The other key.
        other: &'static str,
        /// What that one is set to.
        bound: String,
    },
}

impl SettingsError {
    /// The key in question, from `pool` on.
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
            SettingsError::Order { value, other, bound, .. } => {
                format!("{value} is above pool.{other} ({bound})")
            }
        }
    }
}

/// Connections to members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, expecting = "a table")]
pub struct Settings {
    /// Connections to one member by all nodes together, at most. Default 0: what the load is worth, and what the
    /// member was seen to bear.
    pub per_member: u32,
    /// Connections to all members by this node, at most. Default 0: what the host has descriptors for.
    pub in_all: u32,
    /// Share of a member's capacity that one connection takes by being held. Default 0: learnt from latency against
    /// connections held, beginning with 1/128.
    pub held_cost: f64,
    /// Connections opened to one member within a second, by all nodes together, at most. Default 0: as many as take
    /// 5% of one core, by the cost of a handshake as it is learnt.
    pub connects_per_s: f64,
    /// Connections that this node opens within a second, at most. Default 0: as many as there are flows without any, and
    /// beside those a quarter of what it may hold, 100 at the least.
    pub node_connects_per_s: f64,
    /// The rate for one member stays under `connects_per_s` though there are so many times as many nodes as the
    /// deployment says. Default 3.
    pub siblings_wrong_by: f64,
    /// Connections are opened before they are needed. Default true.
    pub ahead: bool,
    /// For how long, in ms, a need that is over still counts: the number aimed at falls no sooner. Default 10,000.
    pub hold_ms: u32,
    /// No connection carries a flow after standing idle for longer than so many ms, whatever is learnt. Default 0:
    /// what the deployment states.
    pub idle_most_ms: u32,
    /// Of a million flows so many may be lost to connections that died while idle, to learn how long they last.
    /// Default 4.
    pub losses_per_million: f64,
    /// A connection is retired after about so many seconds; 0: never. Default 1800.
    pub max_age_s: u32,
    /// Ages differ by this share, up and down, so that connections opened together are not retired together. Default
    /// 0.25.
    pub age_jitter: f64,
    /// After a connect in vain the next one waits for up to so many ms, twice as long with each. Default 25.
    pub backoff_least_ms: u32,
    /// ... up to so many. Default 1000.
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
    /// Refuses what cannot be meant.
    ///
    /// # Errors
    /// The first setting in question.
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
            return Err(SettingsError::Order {
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
    fn the_defaults_are_sound_and_each_bad_setting_is_named() {
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
            let told = read(text).expect_err(text);
            assert!(told.contains(names), "{text:?}: {told}");
        }
    }
}
