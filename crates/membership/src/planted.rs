//! Faults planted on purpose: one mechanism taken out at a time, so that tests show that they notice, and measurements what
//! each is worth. Only the feature `planted`, which tests turn on, lets anybody plant one.

/// What is taken out.
#[cfg_attr(not(feature = "planted"), allow(dead_code, unreachable_pub, reason = "only tests plant anything"))]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Planted {
    /// Nothing.
    #[default]
    Nothing,
    /// Old words hold as new ones do.
    NoIncarnations,
    /// More accusers shorten no suspicion.
    NoShortening,
    /// Nobody is asked to probe for another.
    NoHelpers,
    /// A member never doubts itself.
    NoDoubt,
    /// A member that stood still goes on as if it had not.
    NoStandstill,
    /// What is known is never compared.
    NoExchange,
    /// The dead are forgotten at once.
    NoMemory,
    /// One accuser is enough.
    OneAccuser,
    /// A verdict that is passed on is taken at its word.
    AtItsWord,
}
