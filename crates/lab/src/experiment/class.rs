//! Request classes.

use serde::{Deserialize, Serialize};

/// One class of requests: what it is worth, how long it may take, and the work it makes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Class {
    /// As in `c=` on the wire and in the nodes' settings.
    pub name: String,
    /// Share of the requests of a load that gives no `mix` of its own; shares are taken relative to their sum.
    pub share: f64,
    /// A write (`ms`) rather than a read (`mg`).
    pub write: bool,
    /// Whether it may run more than once.
    pub effect: Effect,
    /// For keyed classes: which servers drop repeats.
    pub group: Group,
    /// For keyed classes: how long they drop them (seconds).
    pub window_s: f64,
    /// Full worth is earned inside this time from the first try's due time (ms).
    pub aim_ms: f64,
    /// How long a client waits in all, over its tries (ms).
    pub deadline_ms: f64,
    /// What one request is worth.
    pub worth: f64,
    /// Share of the worth that is left between aim and deadline.
    pub late_worth: f64,
    /// Mean work of one attempt on a standard core (ms).
    pub work_ms: f64,
    /// How work varies between requests.
    pub spread: Spread,
    /// Coefficient of variation of the work (ignored by `fixed` and `exponential`).
    pub work_cv: f64,
    /// Work that each KiB of the value adds (ms).
    pub work_ms_per_kib: f64,
}

impl Default for Class {
    fn default() -> Self {
        Self {
            name: String::new(),
            share: 1.0,
            write: false,
            effect: Effect::Safe,
            group: Group::All,
            window_s: 10.0,
            aim_ms: 100.0,
            deadline_ms: 500.0,
            worth: 1.0,
            late_worth: 0.0,
            work_ms: 1.0,
            spread: Spread::Lognormal,
            work_cv: 1.0,
            work_ms_per_kib: 0.0,
        }
    }
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// May be repeated freely (`free` in the nodes' settings).
    Safe,
    /// Carries a key; repeats are dropped inside the window (`guarded`).
    Keyed,
    /// Must not run twice (`single_shot`).
    Unsafe,
}

/// The servers that share the memory of keyed requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Group {
    /// All servers.
    All,
    /// Those of one zone.
    Zone,
}

/// The shape of a distribution of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spread {
    /// Always the mean.
    Fixed,
    /// Exponential (cv 1).
    Exponential,
    /// Log-normal with `work_cv`.
    Lognormal,
    /// Pareto with `work_cv`.
    Pareto,
}

/// Reads and a few keyed writes.
pub(super) fn usual() -> Vec<Class> {
    let read = Class {
        name: "read".into(),
        share: 0.93,
        worth: 5.0,
        work_ms: 4.0,
        work_cv: 1.5,
        ..Class::default()
    };
    let put = Class {
        name: "put".into(),
        share: 0.07,
        write: true,
        effect: Effect::Keyed,
        aim_ms: 250.0,
        deadline_ms: 1000.0,
        worth: 15.0,
        work_ms: 6.0,
        ..Class::default()
    };
    vec![read, put]
}
