//! Outlier ejection: how long a server that does not answer gets no requests, by this balancer's own traffic.
//! No I/O, no clock.
//!
//! What a failure shows depends on how often the balancer sends to the server. At ten requests per second, an
//! ejection of 0.4 s avoids four requests, and three lost connections in a row happen within a moment. With a
//! hundred balancers and sixty servers, each pair exchanges one request in four seconds: such an ejection
//! avoids none, and the third lost connection comes after twelve seconds. So from the second ejection on, an
//! ejection lasts at least until the balancer would send to the server again; the first one stays short,
//! since one slow answer proves little.

use crate::interface::Micros;

/// Duration of the first ejection, also of a server that is gone from the list, and the limit on doublings.
const FIRST_EJECTION: Micros = 400_000;
const FIRST_EJECTION_UNLISTED: Micros = 4 * FIRST_EJECTION;
const DOUBLINGS: u32 = 4;
/// Limit on the revisit time, and on the duration of an ejection. Without them balancers with little traffic
/// would never use a zone again that has recovered.
const MAX_REVISIT: Micros = 5_000_000;
const MAX_EJECTION: Micros = 10_000_000;
/// Connections that have to fail in a row, with no answer between, before a server is ejected.
const MAX_CONN_FAILURES: u32 = 3;

/// Mean time until a balancer with `per_s` requests per second sends to one of `servers` servers again.
pub(crate) fn revisit_time(servers: f64, per_s: f64) -> Micros {
    ((servers / per_s.max(0.1) * 1e6) as Micros).min(MAX_REVISIT)
}

/// Whether this many failed connections in a row eject a server. One is enough if the next would come much
/// later.
pub(crate) fn enough_failures(conn_failures: u32, revisit_time: Micros) -> bool {
    conn_failures >= MAX_CONN_FAILURES || revisit_time >= FIRST_EJECTION
}

/// Ejection of a server. Its duration doubles with each failure, until an answer resets it.
#[derive(Clone, Copy, Default)]
pub(crate) struct Ejection {
    count: u32,
    duration: Micros,
    until: Micros,
    /// A trial request was sent during this ejection.
    trial_sent: bool,
}

impl Ejection {
    pub(crate) fn is_over(&self, now: Micros) -> bool {
        self.until <= now
    }

    /// Begins an ejection, a longer one if the server is gone from the list. An ejection in progress is not
    /// changed, except by the failure of its trial: as each trial begins the next ejection, their duration
    /// would never grow otherwise.
    pub(crate) fn record_failure(&mut self, now: Micros, revisit_time: Micros, unlisted: bool) {
        if !self.is_over(now) && self.count > 0 && !self.trial_sent {
            return;
        }
        let first = if unlisted { FIRST_EJECTION_UNLISTED } else { FIRST_EJECTION };
        let again = if self.count > 0 { revisit_time } else { 0 };
        self.duration = (first << self.count.min(DOUBLINGS)).min(first.max(MAX_EJECTION)).max(again);
        (self.count, self.until, self.trial_sent) = (self.count + 1, now + self.duration, false);
    }

    /// After an ejection one trial request may go out. It begins another ejection, twice as long, until its
    /// result is known.
    pub(crate) fn start_trial(&mut self, now: Micros) {
        if self.is_over(now) && self.count > 0 {
            (self.until, self.trial_sent) =
                (now + (2 * self.duration).min(self.duration.max(MAX_EJECTION)), true);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Requests lost in a minute at a server that never answers, if the balancer would send to it every
    /// `revisit_time`.
    fn lost(revisit_time: Micros) -> usize {
        let (mut ejection, mut lost) = (Ejection::default(), 0);
        for n in 1..=60_000_000 / revisit_time {
            let now = n * revisit_time;
            if ejection.is_over(now) {
                ejection.start_trial(now);
                lost += 1;
                ejection.record_failure(now + 300_000, revisit_time, false);
            }
        }
        lost
    }

    #[test]
    fn few_requests_are_lost_at_a_silent_server_at_any_request_rate() {
        assert!(lost(100_000) <= 12, "ten requests per second: {} of 600", lost(100_000));
        assert!(lost(1_000_000) <= 12, "{} of 60", lost(1_000_000));
        assert!(lost(4_000_000) <= 8, "one request in four seconds: {} of 15", lost(4_000_000));
    }

    #[test]
    fn the_first_ejection_is_short_and_an_answer_ends_it() {
        let mut ejection = Ejection::default();
        ejection.record_failure(0, 4_000_000, false);
        assert!(ejection.is_over(FIRST_EJECTION));
        ejection.record_failure(FIRST_EJECTION, 4_000_000, false);
        assert!(
            !ejection.is_over(FIRST_EJECTION + 3_999_999) && ejection.is_over(FIRST_EJECTION + 4_000_000)
        );
        assert!(Ejection::default().is_over(0));
    }

    #[test]
    fn one_lost_connection_ejects_a_rarely_used_server_and_three_any() {
        assert!(!enough_failures(2, 100_000) && enough_failures(3, 100_000) && enough_failures(1, 4_000_000));
    }
}
