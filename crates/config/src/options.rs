//! The settings that the platform gives each node, with its names and units: the same JSON object in a node's
//! configuration and in the first message on the simulator's wire.
//!
//! Every key is optional here, and unknown keys are ignored, since the platform may be newer than this build.
//! (A node's configuration requires some of the keys, see [`Platform::parse`](crate::Platform::parse).)

use lapisrudder_decisions::{Budget, Class, Effect, Group, Micros, Mode, Settings, Tenant};
use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};
use std::hash::Hasher;

/// Converts seconds, the settings' unit of time, to microseconds.
pub fn micros(seconds: f64) -> Micros {
    (seconds * 1e6).round() as Micros
}

/// A number for a text id: every node computes the same one.
pub fn digest(text: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// All settings of the platform. [`Settings::from`] gives those of the decisions.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Options {
    /// This node's zone, as an index into `zones`.
    pub az: u32,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the kinds of members.
    pub host_types: Vec<String>,
    /// Number of nodes that share the load, this one included. Default 1.
    pub siblings: u32,
    /// `subscribe` if nodes must ask discovery for the list of members; with any other value it is pushed.
    pub discovery: String,
    /// The classes of requests.
    pub request_classes: Vec<RequestClass>,
    /// The tenants and their quotas.
    pub customers: Vec<Customer>,
    /// The fraction of its worth that a request above its tenant's quota keeps. Default 1.
    pub over_share_worth: f64,
    /// Who fetches misses from the origin.
    pub family_info: FamilyInfo,
    /// What a node may do, and how much of it.
    pub bounds: Bounds,
    /// Rules that a node has to observe.
    pub rules: Rules,
}

/// One class of requests.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct RequestClass {
    /// Its name, which clients send with each request.
    pub name: String,
    /// Clients give up after this many seconds.
    pub give_up_s: f64,
    /// Latency target: an answer within this many seconds has its full worth.
    pub slo_s: f64,
    /// Whether a request may run more than once: `free` (it may), `guarded` (members drop repeats), else
    /// never.
    pub effect: String,
    /// The members among which repeats of a guarded request are recognized: those of a `zone`, of a `cell`,
    /// else all.
    pub group: String,
    /// For how many seconds repeats of a guarded request are dropped.
    pub window_s: f64,
    /// The worth of one request.
    pub worth: f64,
}

/// One tenant.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Customer {
    /// Its quota in requests per second, over all nodes.
    pub quota_per_s: f64,
}

/// Who fetches misses from the origin.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct FamilyInfo {
    /// `aside` if nodes fetch from the origin; with any other value the cache servers do.
    pub mode: String,
    /// The origin's kind, as an index into `host-types`; negative for none.
    pub origin_kind: i64,
}

/// What a node may do, and how much of it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Bounds {
    /// Members close connections that are idle for this many seconds. Default 60.
    pub conn_idle_s: f64,
    /// Timeout of a connect in seconds. Default 0.25.
    pub connect_timeout_s: f64,
    /// Maximum number of requests that a node has open at a time. Default 20,000.
    pub most_held: usize,
    /// Maximum number of requests on one connection to a member at a time. Default 1.
    pub multiplex: usize,
    /// Maximum number of attempts for one request, the first included. Default 1.
    pub attempts_cap: u32,
    /// Whether attempts may be cancelled. Default false.
    pub cancel: bool,
    /// Whether a hedged attempt may be sent while the first still runs. Default false.
    pub second_copies: bool,
    /// Maximum time in seconds after which a rejected client may be asked to retry. Default 0: not at all.
    pub max_retry_after_s: f64,
}

/// Rules that a node has to observe.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Rules {
    /// A node that subscribes must ask for the list of members within this many seconds. Default 10.
    pub ask_within_s: f64,
    /// A member's cache is warm this many seconds after its start. Default 0.
    pub cold_s: f64,
    /// A cold member fails after it was overloaded for this many seconds. Default 1.
    pub fall_s: f64,
    /// Fraction of its capacity with which a member starts. Default 1.
    pub start_capacity: f64,
    /// A cold member is overloaded at this multiple of its current capacity. Default 1.
    pub tip_multiple: f64,
    /// Number of retries and hedged attempts that are allowed in any `resend-span-s`, whatever the number of
    /// requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub budget_free: Option<f64>,
    /// Number of retries and hedged attempts that each request adds to those allowed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub extra_ratio: Option<f64>,
    /// The window, in seconds, in which retries and hedged attempts are counted.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub resend_span_s: Option<f64>,
    /// Only a member listed as draining is closed to new work. One listed as removed, or no longer listed,
    /// stays in use but is doubted, and its answers decide. Default false: both are closed to new work, too.
    pub gone_is_advice: bool,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            az: 0,
            zones: Vec::new(),
            host_types: Vec::new(),
            siblings: 1,
            discovery: String::new(),
            request_classes: Vec::new(),
            customers: Vec::new(),
            over_share_worth: 1.0,
            family_info: FamilyInfo::default(),
            bounds: Bounds::default(),
            rules: Rules::default(),
        }
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            conn_idle_s: 60.0,
            connect_timeout_s: 0.25,
            most_held: 20_000,
            multiplex: 1,
            attempts_cap: 1,
            cancel: false,
            second_copies: false,
            max_retry_after_s: 0.0,
        }
    }
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            ask_within_s: 10.0,
            cold_s: 0.0,
            fall_s: 1.0,
            start_capacity: 1.0,
            tip_multiple: 1.0,
            budget_free: None,
            extra_ratio: None,
            resend_span_s: None,
            gone_is_advice: false,
        }
    }
}

/// The budget of retries and hedged attempts; `None` if none of its keys is set. If some are set, a missing
/// count is 0, and a missing window never ends.
fn budget(rules: &Rules) -> Option<Budget> {
    let (free, share) = (rules.budget_free, rules.extra_ratio);
    let is_set = free.is_some() || share.is_some() || rules.resend_span_s.is_some();
    is_set.then(|| Budget {
        free: free.unwrap_or(0.0),
        share: share.unwrap_or(0.0),
        span: rules.resend_span_s.map_or(Micros::MAX, micros),
    })
}

impl RequestClass {
    /// Whether a request of the class may run more than once, and be rejected at any time.
    pub fn may_repeat(&self) -> bool {
        self.effect == "free"
    }
}

impl From<&RequestClass> for Class {
    fn from(c: &RequestClass) -> Class {
        Class {
            latency_target: micros(c.slo_s),
            worth: c.worth,
            effect: match c.effect.as_str() {
                "free" => Effect::Safe,
                "guarded" => Effect::Keyed,
                _ => Effect::Unsafe,
            },
            group: match c.group.as_str() {
                "zone" => Group::Zone,
                "cell" => Group::Cell,
                _ => Group::All,
            },
            repeat_window: micros(c.window_s),
            max_attempts: None,
        }
    }
}

/// On sockets, where discovery would push its list: the node polls its discovery agent within a third of this
/// time. The agent belongs to this node alone, so no call waits for another node's. What the agent has counts
/// as known to the node even before the node has polled it: half a second later, nothing may be sent to a
/// member that is listed as draining.
const AGENT_POLL_WITHIN: Micros = 300_000;

impl Options {
    /// The settings of a node that runs on sockets. On the simulator's wire, pushed lists arrive unasked
    /// ([`Settings::from`]); on sockets, the node always has to ask for its list.
    pub fn on_sockets(&self) -> Settings {
        let settings = Settings::from(self);
        let pushed = !settings.must_ask;
        let ask_within = if pushed { AGENT_POLL_WITHIN } else { settings.ask_within };
        Settings { must_ask: true, ask_within, ..settings }
    }
}

impl From<&Options> for Settings {
    fn from(o: &Options) -> Settings {
        let aside = o.family_info.mode == "aside";
        Settings {
            classes: o.request_classes.iter().map(Class::from).collect(),
            tenants: o.customers.iter().map(|t| Tenant { quota_per_s: t.quota_per_s }).collect(),
            over_share_worth: o.over_share_worth,
            mode: if aside { Mode::Aside } else { Mode::Through },
            origin_kind: u32::try_from(o.family_info.origin_kind).ok().filter(|_| aside),
            zone: o.az,
            siblings: o.siblings.max(1),
            must_ask: o.discovery == "subscribe",
            ask_within: micros(o.rules.ask_within_s),
            max_attempts: o.bounds.attempts_cap,
            budget: budget(&o.rules),
            gone_is_advice: o.rules.gone_is_advice,
            may_cancel: o.bounds.cancel,
            second_copies: o.bounds.second_copies,
            max_retry_after: micros(o.bounds.max_retry_after_s),
            start_capacity: o.rules.start_capacity,
            cold: micros(o.rules.cold_s),
            tip_multiple: o.rules.tip_multiple,
            tip_window: micros(o.rules.fall_s),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A pushed list counts as known to the node whether or not the node has asked for it. If the node polled
    /// too rarely, it would send requests to a draining member after the drain has become binding.
    #[test]
    fn on_sockets_pushed_lists_are_polled_often_enough_for_drains() {
        let options = |discovery: &str| Options { discovery: discovery.into(), ..Options::default() };
        let (subscribed, pushed) = (options("subscribe").on_sockets(), options("automatic").on_sockets());
        assert!(subscribed.must_ask && pushed.must_ask && !Settings::from(&options("automatic")).must_ask);
        assert_eq!(subscribed.ask_within, 10_000_000);
        assert!(pushed.ask_within / 3 <= 100_000, "{}", pushed.ask_within);
    }
}
