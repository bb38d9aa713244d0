//! What may be sent: bytes in a second, whatever others send.

use crate::Micros;

/// A token bucket (Turner, IEEE Communications Magazine 1986) of bytes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Budget {
    per_s: f64,
    level: f64,
    at: Micros,
}

impl Budget {
    pub(crate) fn new(per_s: u32, now: Micros) -> Budget {
        Budget { per_s: per_s.into(), level: 2.0 * f64::from(per_s), at: now }
    }

    /// So many bytes may go, and are spent.
    pub(crate) fn spend(&mut self, bytes: usize, now: Micros) -> bool {
        let earned = (now - self.at).max(0) as f64 / 1e6 * self.per_s;
        self.level = (self.level + earned).min(2.0 * self.per_s);
        self.at = self.at.max(now);
        let may = self.level >= bytes as f64;
        if may {
            self.level -= bytes as f64;
        }
        may
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn twice_a_second_s_bytes_go_at_once_and_then_as_many_as_a_second_earns() {
        let mut budget = Budget::new(1000, 0);
        let sent = |budget: &mut Budget, now| (0..1000).filter(|_| budget.spend(10, now)).count();
        assert_eq!(sent(&mut budget, 0), 200);
        assert_eq!(sent(&mut budget, 500_000), 50);
        assert_eq!(sent(&mut budget, 400_000), 0, "a clock that steps back earns nothing");
        assert_eq!(sent(&mut budget, 3_600_000_000), 200);
    }
}
