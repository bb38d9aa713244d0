//! The settings that the platform gives each instance, in its names and units: the same object in a node's
//! configuration and in the first message on the simulator's wire.
//!
//! Every key may be left out, and what this build does not know is passed over: the platform may be newer.

use lapisrudder_decisions::{Budget, Class, Effect, Group, Micros, Mode, Settings, Tenant};
use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};
use std::hash::Hasher;

/// Seconds, as the settings tell times, to the decisions' unit.
pub fn micros(seconds: f64) -> Micros {
    (seconds * 1e6).round() as Micros
}

/// A text id as a number that every node computes alike.
pub fn digest(text: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// All settings. [`Settings::from`] gives what the decisions take of them.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Options {
    /// This node's zone, as a place in `zones`.
    pub az: u32,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the kinds of member.
    pub host_types: Vec<String>,
    /// How many nodes serve together, this one included. Default 1.
    pub siblings: u32,
    /// `subscribe` where discovery must be asked for the list of members; else it is pushed.
    pub discovery: String,
    /// What requests there are.
    pub request_classes: Vec<RequestClass>,
    /// Tenants and their shares.
    pub customers: Vec<Customer>,
    /// Share of its worth that a request over its tenant's share keeps. Default 1.
    pub over_share_worth: f64,
    /// Who fetches what a cache server lacks.
    pub family_info: FamilyInfo,
    /// What a node may do.
    pub bounds: Bounds,
    /// What a node must keep to.
    pub rules: Rules,
}

/// One class of requests.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct RequestClass {
    /// Its name, as clients tell it.
    pub name: String,
    /// Clients give up after this many seconds.
    pub give_up_s: f64,
    /// Full worth is earned within this many seconds.
    pub slo_s: f64,
    /// Whether a request may run more than once: `free`, `guarded` (repeats are dropped), else never.
    pub effect: String,
    /// The members that share the memory of a guarded request: `zone`, `cell`, else all.
    pub group: String,
    /// For how many seconds repeats of a guarded request are dropped.
    pub window_s: f64,
    /// What one request is worth.
    pub worth: f64,
}

/// One tenant.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Customer {
    /// Requests a second inside its share, over all nodes.
    pub quota_per_s: f64,
}

/// Who fetches what a cache server lacks.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct FamilyInfo {
    /// `aside` where nodes fetch from the origin; else the cache servers do.
    pub mode: String,
    /// The origin's kind, as a place in `host-types`; negative for none.
    pub origin_kind: i64,
}

/// What a node may do.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Bounds {
    /// Members close connections that are idle for this many seconds. Default 60.
    pub conn_idle_s: f64,
    /// A connect is given up after this many seconds. Default 0.25.
    pub connect_timeout_s: f64,
    /// Requests that a node may hold at a time. Default 20,000.
    pub most_held: usize,
    /// Requests that may be on one connection to a member at a time. Default 1.
    pub multiplex: usize,
    /// Attempts for one request, the first included. Default 1.
    pub attempts_cap: u32,
    /// Attempts may be called off. Default false.
    pub cancel: bool,
    /// A second attempt may be sent while the first runs. Default false.
    pub second_copies: bool,
    /// Clients may be told to come back after at most this many seconds. Default 0: not at all.
    pub max_retry_after_s: f64,
}

/// What a node must keep to.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Rules {
    /// The list of members must be asked for within this many seconds. Default 10.
    pub ask_within_s: f64,
    /// A member is warm this many seconds after its start. Default 0.
    pub cold_s: f64,
    /// A cold member falls over if overdriven for this many seconds. Default 1.
    pub fall_s: f64,
    /// Share of its capacity with which a member starts. Default 1.
    pub start_capacity: f64,
    /// A cold member is overdriven at this multiple of its present capacity. Default 1.
    pub tip_multiple: f64,
    /// Attempts beyond the first that are free in any `resend-span-s`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub budget_free: Option<f64>,
    /// Attempts beyond the first that each request adds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub extra_ratio: Option<f64>,
    /// The window, in seconds, that further attempts are counted in.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub resend_span_s: Option<f64>,
    /// Only a member listed as draining is closed to new work. Default false.
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

/// The budget of further attempts; one that is stated in part counts what is missing as nothing.
fn budget(rules: &Rules) -> Option<Budget> {
    let (free, share) = (rules.budget_free, rules.extra_ratio);
    let stated = free.is_some() || share.is_some() || rules.resend_span_s.is_some();
    stated.then(|| Budget {
        free: free.unwrap_or(0.0),
        share: share.unwrap_or(0.0),
        span: rules.resend_span_s.map_or(Micros::MAX, micros),
    })
}

impl RequestClass {
    /// A request of the class may run more than once, and be refused at any time.
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

/// Where lists are pushed the node asks its agent again within a third of this. The agent is the node's own, so that no call
/// waits for another node's, and what it has counts as told though the node has not heard of it: half a second later nothing
/// may go to a member that drains there.
const AGENT_ASKED_WITHIN: Micros = 300_000;

impl Options {
    /// The settings of a node on sockets. On the simulator's wire lists that are pushed come by themselves ([`Settings::from`]);
    /// on sockets whoever has them must be asked, always.
    pub fn on_sockets(&self) -> Settings {
        let settings = Settings::from(self);
        let pushed = !settings.must_ask;
        let ask_within = if pushed { AGENT_ASKED_WITHIN } else { settings.ask_within };
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

    /// Guards drains: a pushed list counts as told whether or not anybody asked for it.
    #[test]
    fn on_sockets_lists_are_asked_for_and_pushed_ones_again_before_a_drain_binds() {
        let options = |discovery: &str| Options { discovery: discovery.into(), ..Options::default() };
        let (asked, pushed) = (options("subscribe").on_sockets(), options("automatic").on_sockets());
        assert!(asked.must_ask && pushed.must_ask && !Settings::from(&options("automatic")).must_ask);
        assert_eq!(asked.ask_within, 10_000_000);
        assert!(pushed.ask_within / 3 <= 100_000, "{}", pushed.ask_within);
    }
}
