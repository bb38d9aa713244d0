//! Self-doubt: how far a member holds itself, and not others, for the cause of what it misses (Lifeguard, IV-A).

/// A counter between 0 (healthy) and the most, by which a member's own times grow.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Awareness {
    score: u32,
    most: u32,
}

impl Awareness {
    pub(crate) fn new(most: u32) -> Awareness {
        Awareness { score: 0, most }
    }

    /// Something went well that only a healthy member does: an ack in time.
    pub(crate) fn well(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Something happened that a healthy member does not see: nobody who was asked answered, others held it for dead,
    /// it stood still.
    pub(crate) fn ill(&mut self) {
        self.score = (self.score + 1).min(self.most.saturating_sub(1));
    }

    /// 0 is healthy.
    pub(crate) fn score(self) -> u32 {
        self.score
    }

    /// A time of a member that doubts itself so far.
    pub(crate) fn stretch(self, time: i64) -> i64 {
        self.stretch_by(time, self.most)
    }

    /// The same, up to so many times longer.
    pub(crate) fn stretch_by(self, time: i64, most: u32) -> i64 {
        time.saturating_mul(i64::from((self.score + 1).min(most.max(1))))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn times_grow_with_doubt_up_to_the_most_and_shrink_again() {
        let mut awareness = Awareness::new(4);
        assert_eq!(awareness.stretch(100), 100);
        (0..9).for_each(|_| awareness.ill());
        assert_eq!((awareness.score(), awareness.stretch(100)), (3, 400));
        (0..9).for_each(|_| awareness.well());
        assert_eq!(awareness.stretch(100), 100);
    }
}
