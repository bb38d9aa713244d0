//! The cores of a machine as an egalitarian processor-sharing queue.
//!
//! Up to as many jobs as there are cores run at full speed; more share the cores evenly (Kleinrock 1967). All
//! jobs get the same service at any moment, so a job ends when the cumulative service per job reaches a mark
//! that is fixed when the job starts. A heap of marks is enough: O(log n) for a job, O(1) for a change of
//! speed.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::time::{NEVER, Nanos};

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Job<T> {
    /// Value of `served` at which the job ends, as the bits of a non-negative float, which sort as the number
    /// does.
    mark: u64,
    /// Start order. Without it, jobs with equal marks would end in an order that depends on the heap's
    /// layout.
    number: u64,
    token: T,
}

/// The cores and the jobs on them.
#[derive(Debug, Clone)]
pub(crate) struct Station<T> {
    cores: f64,
    /// Present speed of one core, 0 while the process is paused or down.
    speed: f64,
    /// Cumulative service per job, in ns of work.
    served: f64,
    /// Time up to which `served` is computed.
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

    /// Updates the cumulative service up to now.
    fn advance(&mut self, now: Nanos) {
        if now > self.at {
            let each = (now - self.at) as f64 * self.rate();
            self.served += each;
            self.done += each * self.jobs.len() as f64;
            self.at = now;
        }
    }

    /// Recomputes when the next job ends.
    fn plan(&mut self) {
        let rate = self.rate();
        self.due = match self.jobs.peek() {
            Some(Reverse(job)) if rate > 0.0 => {
                // The cast saturates.
                let left = ((f64::from_bits(job.mark) - self.served).max(0.0) / rate).ceil() as Nanos;
                self.at.saturating_add(left)
            }
            Some(_) => NEVER,
            None => {
                // A sum that grew over a long run would lose precision in the marks.
                self.served = 0.0;
                NEVER
            }
        };
    }

    /// Sets the work that a core does in 1 ns from now on.
    pub(crate) fn set_speed(&mut self, now: Nanos, speed: f64) {
        if speed != self.speed {
            self.advance(now);
            self.speed = speed;
            self.plan();
        }
    }

    /// Starts a job with the given work.
    pub(crate) fn start(&mut self, now: Nanos, work: Nanos, token: T) {
        self.advance(now);
        let mark = (self.served + work.max(0) as f64).to_bits();
        self.started += 1;
        self.jobs.push(Reverse(Job { mark, number: self.started, token }));
        self.plan();
    }

    /// When the next job ends at the present speed.
    pub(crate) fn due(&self) -> Nanos {
        self.due
    }

    /// Removes and returns a job that has ended by now.
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

    /// Runs until all jobs have ended; returns the end of each.
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
    fn a_change_of_speed_or_a_pause_moves_the_end() {
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
