//! Local health awareness: a score of how likely it is that this member, and not the others, is the cause of
//! missing answers (Lifeguard, IV-A).

/// The score, from 0 (healthy) to one less than `max`. It lengthens the member's own timeouts and intervals.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Awareness {
    score: u32,
    max: u32,
}

impl Awareness {
    pub(crate) fn new(max: u32) -> Awareness {
        Awareness { score: 0, max }
    }

    /// A direct probe was acked in time, as only a healthy member gets it.
    pub(crate) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Something happened that a healthy member does not see: no helper answered, others saw this member as
    /// not alive, or it stalled.
    pub(crate) fn degrade(&mut self) {
        self.score = (self.score + 1).min(self.max.saturating_sub(1));
    }

    /// The score; 0 is healthy.
    pub(crate) fn score(self) -> u32 {
        self.score
    }

    /// A timeout or interval of this member, lengthened by its score.
    pub(crate) fn scale(self, time: i64) -> i64 {
        self.scale_up_to(time, self.max)
    }

    /// The same, lengthened by a factor of at most `max`.
    pub(crate) fn scale_up_to(self, time: i64, max: u32) -> i64 {
        time.saturating_mul(i64::from((self.score + 1).min(max.max(1))))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn timeouts_scale_with_the_score_up_to_the_maximum_and_back() {
        let mut awareness = Awareness::new(4);
        assert_eq!(awareness.scale(100), 100);
        (0..9).for_each(|_| awareness.degrade());
        assert_eq!((awareness.score(), awareness.scale(100)), (3, 400));
        (0..9).for_each(|_| awareness.improve());
        assert_eq!(awareness.scale(100), 100);
    }
}
