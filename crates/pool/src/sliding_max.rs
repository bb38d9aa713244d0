//! Maximum over a sliding period: rises at once and falls late.
//!
//! Two half periods approximate the sliding maximum (Kathleen Nichols' filter, as in BBR, is more precise,
//! but half the period is precise enough here). The value falls at most once per half period, so it cannot
//! oscillate faster, whatever the input.

use crate::Micros;

/// Maximum of the last `hold` µs, to within half of that.
#[derive(Clone, Copy, Debug)]
pub struct SlidingMax {
    halves: [u32; 2],
    began: Micros,
}

impl SlidingMax {
    /// Starts at 0.
    pub fn new(now: Micros) -> SlidingMax {
        SlidingMax { halves: [0; 2], began: now }
    }

    /// Records the present need; returns the maximum.
    pub fn update(&mut self, now: Micros, need: u32, hold: Micros) -> u32 {
        let half = (hold / 2).max(1);
        if now - self.began >= half {
            let old = if now - self.began >= 2 * half { 0 } else { self.halves[1] };
            self.halves = [old, 0];
            self.began = now;
        }
        self.halves[1] = self.halves[1].max(need);
        self.value()
    }

    /// The maximum.
    pub fn value(&self) -> u32 {
        self.halves[0].max(self.halves[1])
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn maximum_rises_at_once_and_falls_after_the_hold_time() {
        let mut max = SlidingMax::new(0);
        for (now, need, expected) in
            [(0, 3, 3), (1, 7, 7), (2, 1, 7), (50, 1, 7), (99, 1, 7), (100, 1, 1), (101, 9, 9)]
        {
            assert_eq!(max.update(now, need, 100), expected, "at {now}");
        }
        assert_eq!(max.update(1_000, 2, 100), 2, "values before the period don't count");
    }

    #[test]
    fn oscillation_within_the_hold_time_does_not_move_the_maximum() {
        let mut max = SlidingMax::new(0);
        let seen: Vec<u32> = (0..1000).map(|i| max.update(i, [5, 9][(i / 3 % 2) as usize], 100)).collect();
        assert!(seen[10..].iter().all(|n| *n == 9));
    }
}
