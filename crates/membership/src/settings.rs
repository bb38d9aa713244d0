//! Every timer and number of the protocol, with its reason. The operators' `[fleet.timing]` has the same keys.

use crate::Micros;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A setting that cannot be meant.
#[derive(Debug, Error, PartialEq)]
#[error("{key}: {what}")]
pub struct SettingsError {
    /// The key.
    pub key: &'static str,
    /// What is wrong.
    pub what: String,
}

/// How a member goes about finding out who lives. All times are in ms.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// One member is probed so often. Default 300: with 300 members one that has died is probed by somebody within
    /// 1.4 s in 99 of 100 cases (SWIM 3.1), which leaves time for suspicion within 4 s.
    pub probe_every_ms: u32,
    /// Without an ack by then, others are asked to probe it. Default 150: several times a round trip within a site.
    pub ack_within_ms: u32,
    /// Without an ack or a word of others by then, it is suspect. Default 450.
    pub verdict_within_ms: u32,
    /// So many others are asked (SWIM 3.1, k). Default 3: with a tenth of datagrams lost, 1 in 100,000 asks fail.
    pub helpers: u32,
    /// Changes are passed on so often while there are any. Default 150.
    pub gossip_every_ms: u32,
    /// To so many members at a time. Default 3.
    pub fanout: u32,
    /// Times that a change is passed on, for each power of ten of members (SWIM 4.1, lambda). Default 4.
    pub repeats: u32,
    /// A suspect that enough members accuse has at least this long to say that it lives. Default 1500: three
    /// times a pause of 500 ms, so that one that stood still when it was accused, and once more, is in time.
    pub suspect_least_ms: u32,
    /// One that a single member accuses has this long (Lifeguard, IV-B). Default 6000.
    pub suspect_most_ms: u32,
    /// Accusers beyond the first after which the least time holds (Lifeguard, K). Default 3.
    pub confirmations: u32,
    /// How far a member doubts itself at most: its times are up to so many times longer (Lifeguard, S). Default 8.
    pub doubt_most: u32,
    /// A member that is called so late has stood still, and passes no verdict on what ran out meanwhile. Default 150.
    pub still_ms: u32,
    /// All that is known is compared with one other member so often. Default 10,000.
    pub exchange_every_ms: u32,
    /// A dead member, or a seed that is no member, is called again after this long, then after twice that, ... Default
    /// 2000.
    pub call_after_ms: u32,
    /// ... up to this long. Default 60,000.
    pub call_most_ms: u32,
    /// A member that is dead or has left is kept in mind for so many seconds, so that nothing old brings it back.
    /// Default 86,400.
    pub forget_s: u32,
    /// Bytes that are sent in a second at the most, whatever others send. Default 262,144; twice that at once.
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
    /// Refuses the first value that is out of range or contradicts another.
    ///
    /// # Errors
    /// The key in question, and what is wrong.
    pub fn check(&self) -> Result<(), SettingsError> {
        for (key, value, least, most) in [
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
            if !(least..=most).contains(&value) {
                return Err(SettingsError { key, what: format!("{value} is not within {least} to {most}") });
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

/// A time of the settings in microseconds.
pub(crate) fn ms(time: u32) -> Micros {
    Micros::from(time) * 1000
}
