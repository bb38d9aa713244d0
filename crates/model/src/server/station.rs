//! The cores of a machine as an egalitarian processor-sharing station.
//!
//! Up to as many jobs as there are cores run at full speed; more share the cores evenly (Kleinrock 1967). Since all
//! jobs get the same service at any moment, a job is over when the service given to each since some origin has
//! reached a fixed mark. So a heap of marks is enough: O(log n) for a job, O(1) for a change of speed.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::time::{NEVER, Nanos};

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Job<T> {
    /// Mark in `served`, as the bits of a float that is not negative: they sort as the number.
    mark: u64,
    /// Guards against an order that hangs on the heap's layout where two marks are equal.
    number: u64,
    token: T,
}

/// Cores and what runs on them.
#[derive(Debug, Clone)]
pub(crate) struct Station<T> {
    cores: f64,
    /// Speed of one core now, 0 while it stands still.
    speed: f64,
    /// Service given to each job, ns of work.
    served: f64,
    /// When `served` was last brought up.
    at: Nanos,
    jobs: BinaryHeap<Reverse<Job<T>>>,
    started: u64,
    due: Nanos,
    done: f64,
}

impl<T: Copy + Ord> Station<T> {
    pub(crate) fn new(cores: u32, now: Nanos) -> Self {
        let cores = f64::from(cores);
        Self {
            cores,
            speed: 0.0,
            served: 0.0,
            at: now,
            jobs: BinaryHeap::new(),
            started: 0,
            due: NEVER,
            done: 0.0,
        }
    }

    /// Service that each job gets in 1 ns.
    fn rate(&self) -> f64 {
        let jobs = self.jobs.len() as f64;
        if jobs > self.cores { self.speed * self.cores / jobs } else { self.speed }
    }

    /// Brings the service given up to now.
    fn advance(&mut self, now: Nanos) {
        if now > self.at {
            let each = (now - self.at) as f64 * self.rate();
            self.served += each;
            self.done += each * self.jobs.len() as f64;
            self.at = now;
        }
    }

    fn plan(&mut self) {
        let rate = self.rate();
        self.due = match self.jobs.peek() {
            Some(Reverse(job)) if rate > 0.0 => {
                // A float beyond the range saturates.
                let left = ((f64::from_bits(job.mark) - self.served).max(0.0) / rate).ceil() as Nanos;
                self.at.saturating_add(left)
            }
            Some(_) => NEVER,
            None => {
                // Guards against a mark that loses its last bits over a long run.
                self.served = 0.0;
                NEVER
            }
        };
    }

    /// From now on a core does this much work in 1 ns.
    pub(crate) fn set_speed(&mut self, now: Nanos, speed: f64) {
        if speed != self.speed {
            self.advance(now);
            self.speed = speed;
            self.plan();
        }
    }

    /// Begins a job of that much work.
    pub(crate) fn start(&mut self, now: Nanos, work: Nanos, token: T) {
        self.advance(now);
        let mark = (self.served + work.max(0) as f64).to_bits();
        self.started += 1;
        self.jobs.push(Reverse(Job { mark, number: self.started, token }));
        self.plan();
    }

    /// When the next job is over, as things are.
    pub(crate) fn due(&self) -> Nanos {
        self.due
    }

    /// Takes the job that is over by now.
    pub(crate) fn finish(&mut self, now: Nanos) -> Option<T> {
        if self.due > now {
            return None;
        }
        self.advance(now);
        let Reverse(job) = self.jobs.pop()?;
        self.served = self.served.max(f64::from_bits(job.mark));
        self.plan();
        Some(job.token)
    }

    /// Drops a job; O(n).
    pub(crate) fn remove(&mut self, now: Nanos, token: T) {
        self.advance(now);
        self.jobs.retain(|Reverse(job)| job.token != token);
        self.plan();
    }

    /// Drops all jobs.
    pub(crate) fn clear(&mut self, now: Nanos) {
        self.advance(now);
        self.jobs.clear();
        self.plan();
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Work done up to now, ns.
    pub(crate) fn done(&self, now: Nanos) -> f64 {
        let since = (now - self.at).max(0) as f64;
        self.done + since * self.rate() * self.jobs.len() as f64
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Runs to the end: when each job was over.
    fn run(station: &mut Station<u32>) -> Vec<(Nanos, u32)> {
        let mut over = Vec::new();
        while station.due() < NEVER {
            let now = station.due();
            over.extend(station.finish(now).map(|token| (now, token)));
        }
        over
    }

    #[test]
    fn jobs_share_the_cores_evenly() {
        let mut station = Station::new(2, 0);
        station.set_speed(0, 1.0);
        for (token, work) in [(1, 100), (0, 100), (2, 200), (3, 400)] {
            station.start(0, work, token);
        }
        // Four on two cores: half speed until 200; then two alone at full speed.
        assert_eq!(run(&mut station), [(200, 1), (200, 0), (300, 2), (500, 3)]);
        assert_eq!(station.done(500), 800.0);
    }

    #[test]
    fn a_change_of_speed_and_a_stand_still_move_the_end() {
        let mut station = Station::new(1, 0);
        station.set_speed(0, 1.0);
        station.start(0, 100, 7);
        station.set_speed(50, 0.5);
        assert_eq!(station.due(), 150);
        station.set_speed(60, 0.0);
        assert_eq!(station.due(), NEVER);
        station.set_speed(1000, 2.0);
        assert_eq!(station.due(), 1023, "45 ns of work were left");
        station.start(1000, 10, 8);
        station.remove(1010, 7);
        assert_eq!(run(&mut station), [(1010, 8)]);
    }
}
