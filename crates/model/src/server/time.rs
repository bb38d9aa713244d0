//! Time inside a server: whole nanoseconds, so that many short pieces of work add up without rounding errors.

use crate::Micros;

/// Nanoseconds, as a point on the caller's clock or as a length; also work, as time on a core of speed 1.
pub(crate) type Nanos = i64;

/// Later than any event.
pub(crate) const NEVER: Nanos = Nanos::MAX;

pub(crate) fn nanos(us: f64) -> Nanos {
    // The cast saturates.
    (us * 1e3) as Nanos
}

pub(crate) fn from_micros(us: Micros) -> Nanos {
    us.saturating_mul(1000)
}

/// Rounds up to whole microseconds.
pub(crate) fn to_micros(ns: Nanos) -> Micros {
    ns.div_euclid(1000) + Micros::from(ns.rem_euclid(1000) != 0)
}
