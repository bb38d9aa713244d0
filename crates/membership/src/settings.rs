//! The timers and limits of the protocol, with the reasons for their defaults. The operators'
//! `[fleet.timing]` has the same keys.

use crate::Micros;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A setting that is out of range or contradicts another one.
#[derive(Debug, Error, PartialEq)]
#[error("{key}: {what}")]
pub struct SettingsError {
    /// The key of the setting.
    pub key: &'static str,
    /// What is wrong with its value.
    pub what: String,
}

/// Settings of the protocol. All times are in ms unless the name says otherwise.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Interval between probes, each of another member. Default 300: with 300 members, one that has died is
    /// probed by some member within 1.4 s in 99 of 100 cases (SWIM 3.1), which leaves time for the suspicion
    /// within 4 s.
    pub probe_every_ms: u32,
    /// Time without an ack after which helpers are asked for an indirect probe. Default 150: several times a
    /// round trip within a site.
    pub ack_within_ms: u32,
    /// Time after which a probed member becomes suspect, if neither it nor a helper has reported success.
    /// Default 450.
    pub verdict_within_ms: u32,
    /// Number of helpers asked for an indirect probe (SWIM 3.1, k). Default 3: with a tenth of datagrams
    /// lost, 1 in 100,000 asks fail.
    pub helpers: u32,
    /// Interval between gossip rounds while there are updates to send. Default 150.
    pub gossip_every_ms: u32,
    /// Number of members that a gossip round sends to. Default 3.
    pub fanout: u32,
    /// How often an update is sent for each power of ten in the number of members (SWIM 4.1, lambda). Default
    /// 4.
    pub repeats: u32,
    /// Minimum suspicion timeout, for a suspect with enough accusers. Default 1500: three times a pause of
    /// 500 ms, so that a member that stalled when it was accused, and once more after that, can still refute
    /// in time.
    pub suspect_least_ms: u32,
    /// Maximum suspicion timeout, for a suspect with a single accuser (Lifeguard, IV-B). Default 6000.
    pub suspect_most_ms: u32,
    /// Number of accusers after the first that shorten the suspicion timeout to its minimum (Lifeguard, K).
    /// Default 3.
    pub confirmations: u32,
    /// Maximum factor by which a bad local health score lengthens a member's own timeouts and intervals
    /// (Lifeguard, S). Default 8.
    pub doubt_most: u32,
    /// A member called this much later than due counts as stalled, and draws no conclusions from timeouts
    /// that passed meanwhile. Default 150.
    pub still_ms: u32,
    /// Mean interval between push-pull exchanges with one other member. Default 10,000.
    pub exchange_every_ms: u32,
    /// Delay before a dead member, or a seed that is not a member, is contacted again. It doubles with each
    /// attempt. Default 2000.
    pub call_after_ms: u32,
    /// Maximum of that delay. Default 60,000.
    pub call_most_ms: u32,
    /// How long a dead or left member is remembered, in seconds, so that old updates cannot revive it.
    /// Default 86,400.
    pub forget_s: u32,
    /// Maximum number of bytes sent per second, whatever others send. Default 262,144. A burst may take twice
    /// that.
    pub bytes_per_s: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            probe_every_ms: 300,
            ack_within_ms: 150,
            verdict_within_ms: 450,
            helpers: 3,
            gossip_every_ms: 150,
            fanout: 3,
            repeats: 4,
            suspect_least_ms: 1500,
            suspect_most_ms: 6000,
            confirmations: 3,
            doubt_most: 8,
            still_ms: 150,
            exchange_every_ms: 10_000,
            call_after_ms: 2000,
            call_most_ms: 60_000,
            forget_s: 86_400,
            bytes_per_s: 262_144,
        }
    }
}

impl Settings {
    /// Checks all values. Returns the first one that is out of range or contradicts another.
    ///
    /// # Errors
    /// The key of that setting, and what is wrong with it.
    pub fn check(&self) -> Result<(), SettingsError> {
        for (key, value, min, max) in [
            ("probe_every_ms", self.probe_every_ms, 20, 60_000),
            ("ack_within_ms", self.ack_within_ms, 5, 60_000),
            ("verdict_within_ms", self.verdict_within_ms, 10, 60_000),
            ("helpers", self.helpers, 0, 16),
            ("gossip_every_ms", self.gossip_every_ms, 20, 60_000),
            ("fanout", self.fanout, 1, 16),
            ("repeats", self.repeats, 1, 32),
            ("suspect_least_ms", self.suspect_least_ms, 50, 600_000),
            ("suspect_most_ms", self.suspect_most_ms, 50, 600_000),
            ("confirmations", self.confirmations, 1, 16),
            ("doubt_most", self.doubt_most, 1, 64),
            ("still_ms", self.still_ms, 20, 60_000),
            ("exchange_every_ms", self.exchange_every_ms, 500, 3_600_000),
            ("call_after_ms", self.call_after_ms, 100, 600_000),
            ("call_most_ms", self.call_most_ms, 100, 3_600_000),
            ("forget_s", self.forget_s, 60, 31_536_000),
            ("bytes_per_s", self.bytes_per_s, 16_384, 1 << 30),
        ] {
            if !(min..=max).contains(&value) {
                return Err(SettingsError { key, what: format!("{value} is not within {min} to {max}") });
            }
        }
        for (key, value, other, bound) in [
            ("verdict_within_ms", self.verdict_within_ms, "ack_within_ms", self.ack_within_ms),
            ("suspect_most_ms", self.suspect_most_ms, "suspect_least_ms", self.suspect_least_ms),
            ("suspect_least_ms", self.suspect_least_ms, "verdict_within_ms", self.verdict_within_ms),
            ("call_most_ms", self.call_most_ms, "call_after_ms", self.call_after_ms),
        ] {
            if value < bound {
                return Err(SettingsError { key, what: format!("{value} is below {other} ({bound})") });
            }
        }
        Ok(())
    }
}

/// Converts milliseconds of the settings to microseconds.
pub(crate) fn ms(time: u32) -> Micros {
    Micros::from(time) * 1000
}
