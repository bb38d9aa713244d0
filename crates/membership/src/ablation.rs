//! Disables one mechanism of the protocol at a time, so that tests can show that they fail without it, and
//! measurements show what each contributes. Available with the feature `planted` alone, which tests turn on.

/// The mechanism that is disabled.
#[cfg_attr(
    not(feature = "planted"),
    allow(dead_code, unreachable_pub, reason = "only tests disable anything")
)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Ablation {
    /// None.
    #[default]
    None,
    /// Updates with an older start or incarnation are accepted like newer ones.
    NoIncarnations,
    /// Further accusers do not shorten the suspicion timeout.
    NoShortening,
    /// No helpers are asked for indirect probes.
    NoIndirectProbes,
    /// The local health score stays 0.
    NoAwareness,
    /// Stalls of the process are not detected.
    NoStallDetection,
    /// There is no push-pull exchange.
    NoPushPull,
    /// Dead members are removed at the next check.
    NoTombstones,
    /// One accuser is enough to declare a member dead.
    OneAccuser,
    /// A death that others report is believed without waiting.
    TrustReportedDeath,
}
