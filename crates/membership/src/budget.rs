//! The limit of bytes sent per second, whatever others send.

use crate::Micros;

/// A token bucket (Turner, IEEE Communications Magazine 1986) of bytes, with a depth of two seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Budget {
    per_s: f64,
    tokens: f64,
    refilled_at: Micros,
}

impl Budget {
    pub(crate) fn new(per_s: u32, now: Micros) -> Budget {
        Budget { per_s: per_s.into(), tokens: 2.0 * f64::from(per_s), refilled_at: now }
    }

    /// Takes the tokens for a datagram; false if there are not enough.
    pub(crate) fn spend(&mut self, bytes: usize, now: Micros) -> bool {
        let earned = (now - self.refilled_at).max(0) as f64 / 1e6 * self.per_s;
        self.tokens = (self.tokens + earned).min(2.0 * self.per_s);
        self.refilled_at = self.refilled_at.max(now);
        let allowed = self.tokens >= bytes as f64;
        if allowed {
            self.tokens -= bytes as f64;
        }
        allowed
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn burst_is_two_seconds_of_the_rate_and_then_the_rate_holds() {
        let mut budget = Budget::new(1000, 0);
        let sent = |budget: &mut Budget, now| (0..1000).filter(|_| budget.spend(10, now)).count();
        assert_eq!(sent(&mut budget, 0), 200);
        assert_eq!(sent(&mut budget, 500_000), 50);
        assert_eq!(sent(&mut budget, 400_000), 0, "no tokens for a clock that steps back");
        assert_eq!(sent(&mut budget, 3_600_000_000), 200);
    }
}
