//! A number that rises at once and falls late: the most that was needed within a time.
//!
//! Two halves stand in for a sliding maximum (Kathleen Nichols' filter, as in BBR, is finer; half of the time is
//! close enough here). So it changes direction at most once in half of that time, whatever comes in.

use crate::Micros;

/// The most of the last `hold`, to within half of it.
#[derive(Clone, Copy, Debug)]
pub struct Held {
    most: [u32; 2],
    began: Micros,
}

impl Held {
    /// Nothing was needed yet.
    pub fn new(now: Micros) -> Held {
        Held { most: [0; 2], began: now }
    }

    /// So many are needed now; gives what to aim at.
    pub fn see(&mut self, now: Micros, need: u32, hold: Micros) -> u32 {
        let half = (hold / 2).max(1);
        if now - self.began >= half {
            let old = if now - self.began >= 2 * half { 0 } else { self.most[1] };
            self.most = [old, 0];
            self.began = now;
        }
        self.most[1] = self.most[1].max(need);
        self.value()
    }

    /// What to aim at.
    pub fn value(&self) -> u32 {
        self.most[0].max(self.most[1])
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_rises_at_once_and_falls_once_the_need_was_over_for_the_time() {
        let mut held = Held::new(0);
        for (now, need, aims) in
            [(0, 3, 3), (1, 7, 7), (2, 1, 7), (50, 1, 7), (99, 1, 7), (100, 1, 1), (101, 9, 9)]
        {
            assert_eq!(held.see(now, need, 100), aims, "at {now}");
        }
        assert_eq!(held.see(1_000, 2, 100), 2, "what is long past counts no more");
    }

    #[test]
    fn a_need_that_swings_faster_does_not_move_it() {
        let mut held = Held::new(0);
        let seen: Vec<u32> = (0..1000).map(|i| held.see(i, [5, 9][(i / 3 % 2) as usize], 100)).collect();
        assert!(seen[10..].iter().all(|n| *n == 9));
    }
}
