//! Number of connections that is worth holding for an offered load.
//!
//! The load is the mean number of flows in flight (Little 1961: arrivals per second times seconds per flow).
//! Where a connection carries several flows at a time, answered in order, the number in flight is that of a
//! system with infinitely many servers: Poisson, or negative binomial for bursty arrivals (variance over mean
//! above 1; peakedness). A flow that finds `k` others ahead of it on the least busy connection waits for the
//! slowest of them. For exponential durations of mean 1 this adds `H(k+1) - 1` to its own duration (the
//! maximum of `k+1` durations has the harmonic number `H(k+1)` as its mean); for other distributions it is
//! scaled by `(1 + cv^2) / 2`, as residual times are. Where a connection carries one flow at a time the delay
//! is that of M/M/c (Erlang C), with the same factor (Lee and Longton 1959).
//!
//! A connection is worth holding while it saves more delay than it costs. This is square-root staffing
//! (Halfin and Whitt 1981; Borst, Mandelbaum, Reiman 2004: the load plus a margin proportional to its root,
//! depending on the prices), computed exactly, since the asymptotic formulas do not hold for small numbers of
//! connections.

/// Above this load the square-root formula is used.
const LARGE_LOAD: f64 = 4096.0;
/// Margin of that formula: about one flow in 3,000 finds no idle connection.
const LARGE_MARGIN: f64 = 3.4;

/// The load, and the cost and use of connections for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offered {
    /// Mean number of flows in flight.
    pub load: f64,
    /// Variance of the number in flight divided by its mean, at least 1.
    pub peakedness: f64,
    /// Squared coefficient of variation of the duration of flows.
    pub cv2: f64,
    /// Maximum number of flows on one connection at a time.
    pub pipeline_depth: u32,
    /// Cost of holding one more connection: relative slow-down of all flows from this node to this member.
    pub price: f64,
    /// Number of flows that arrive within the time for which an idle connection is kept.
    pub flows_per_idle_time: f64,
}

/// Additional duration of a flow behind `ahead` others, relative to the mean duration of a flow.
pub fn queueing_delay(ahead: u32, cv2: f64) -> f64 {
    let harmonic: f64 = match ahead {
        0 => 0.0,
        // H(k+1) - 1.
        k if k < 32 => (2..=k + 1).map(|i| 1.0 / f64::from(i)).sum(),
        k => f64::from(k + 1).ln() + 0.5772 - 1.0,
    };
    harmonic * (1.0 + cv2) / 2.0
}

/// Probabilities of 0, 1, 2, ... flows in flight, as far as they are significant.
fn in_flight(load: f64, peakedness: f64) -> Vec<f64> {
    let most = (load + 8.0 * (peakedness * load).sqrt() + 8.0 * peakedness).ceil() as usize;
    let mut all = Vec::with_capacity(most + 1);
    if peakedness > 1.01 {
        // Negative binomial with mean `load` and variance `peakedness * load`.
        let r = load / (peakedness - 1.0);
        let fail = 1.0 - 1.0 / peakedness;
        let mut p = (-r * peakedness.ln()).exp();
        for n in 0..=most {
            all.push(p);
            p *= (n as f64 + r) / (n as f64 + 1.0) * fail;
        }
    } else {
        let mut p = (-load).exp();
        for n in 0..=most {
            all.push(p);
            p *= load / (n as f64 + 1.0);
        }
    }
    // The recurrence underflows at large loads; a normal distribution is used instead.
    if all.iter().sum::<f64>() < 0.5 {
        let var = (peakedness * load).max(1e-9);
        let bell = |n: usize| (-(n as f64 - load).powi(2) / (2.0 * var)).exp();
        let sum: f64 = (0..=most).map(bell).sum();
        return (0..=most).map(|n| bell(n) / sum).collect();
    }
    all
}

/// Number of connections that are worth holding for the load; 0 if none is.
pub fn connections_worth_holding(offered: &Offered) -> u32 {
    let Offered { load, peakedness, pipeline_depth, .. } = *offered;
    if !(load > 0.0 && load.is_finite()) || offered.flows_per_idle_time < 1.0 {
        return 0;
    }
    let peakedness = peakedness.clamp(1.0, 16.0);
    if load > LARGE_LOAD {
        let all = load + LARGE_MARGIN * (peakedness * load).sqrt();
        return all.min(1e9).ceil() as u32;
    }
    let p = in_flight(load, peakedness);
    // `at_least[n]`: probability that an arriving flow finds at least `n` in flight, and so uses connection
    // number `n + 1`.
    let mut at_least = p.clone();
    for n in (0..p.len().saturating_sub(1)).rev() {
        at_least[n] += at_least[n + 1];
    }
    let used = |c: usize| at_least.get(c - 1).copied().unwrap_or(0.0) * offered.flows_per_idle_time >= 1.0;
    let most = p.len();
    // Minimum number of connections that can carry the load.
    let needed = match pipeline_depth {
        1 => (load.floor() + 1.0) as usize,
        _ => ((load + 4.0 * (peakedness * load).sqrt()) / f64::from(pipeline_depth)).ceil().max(1.0) as usize,
    };
    let saves: Box<dyn Fn(usize) -> f64> = match pipeline_depth {
        1 => {
            let delays = erlang_c_waits(load, peakedness, offered.cv2, most + 1);
            Box::new(move |c| delays.get(c).zip(delays.get(c + 1)).map_or(0.0, |(a, b)| a - b))
        }
        _ => Box::new(|c| delay_saved(c, &at_least, offered.cv2)),
    };
    // The last connection that saves at least its price and is used often enough to stay alive.
    let mut best = needed;
    for c in needed..most {
        if used(c + 1) && saves(c) >= offered.price {
            best = c + 1;
        }
    }
    best as u32
}

/// Delay that connection number `c + 1` saves each flow on average, relative to the duration of a flow: a
/// flow that finds between `k c` and `k (c + 1) - 1` in flight has one flow fewer ahead of it than with `c`
/// connections.
fn delay_saved(c: usize, at_least: &[f64], cv2: f64) -> f64 {
    let tail = |n: usize| at_least.get(n).copied().unwrap_or(0.0);
    let mut sum = 0.0;
    let mut k = 1;
    while k * c < at_least.len() {
        sum += (tail(k * c) - tail(k * (c + 1))) / (k as f64 + 1.0);
        k += 1;
    }
    sum * (1.0 + cv2) / 2.0
}

/// Mean wait for one of `c` connections that carry one flow each, relative to the duration of a flow, for
/// each `c` from 0 to `most`; infinite where they cannot carry the load.
fn erlang_c_waits(load: f64, peakedness: f64, cv2: f64, most: usize) -> Vec<f64> {
    let mut blocked = 1.0; // Erlang B with no server.
    let mut all = vec![f64::INFINITY];
    for c in 1..=most {
        blocked = load * blocked / (c as f64 + load * blocked);
        let spare = c as f64 - load;
        let erlang_c_waits =
            if spare > 0.0 { blocked / (1.0 - load / c as f64 * (1.0 - blocked)) } else { 1.0 };
        all.push(if spare > 0.0 { erlang_c_waits / spare * (peakedness + cv2) / 2.0 } else { f64::INFINITY });
    }
    all
}

#[cfg(test)]
mod tests {
    use super::*;

    fn offered(load: f64, pipeline_depth: u32) -> Offered {
        Offered { load, peakedness: 1.0, cv2: 1.0, pipeline_depth, price: 0.01, flows_per_idle_time: 1e4 }
    }

    #[test]
    fn queueing_delay_is_the_expected_maximum() {
        assert_eq!(queueing_delay(0, 1.0), 0.0);
        assert!(
            (queueing_delay(1, 1.0) - 0.5).abs() < 1e-9 && (queueing_delay(2, 1.0) - 5.0 / 6.0).abs() < 1e-9
        );
        assert!(
            (queueing_delay(31, 1.0) - queueing_delay(32, 1.0)).abs() < 0.04,
            "no step where the formula changes"
        );
    }

    /// Compared with the explicit sum over states: `delay_saved` must equal the difference of the mean
    /// delays.
    #[test]
    fn delay_saved_is_the_difference_of_mean_delays() {
        for (load, peakedness) in [(0.3, 1.0), (2.0, 1.0), (9.0, 1.0), (5.0, 3.0)] {
            let p = in_flight(load, peakedness);
            assert!((p.iter().sum::<f64>() - 1.0).abs() < 1e-6);
            let mean: f64 = p.iter().enumerate().map(|(n, p)| n as f64 * p).sum();
            assert!((mean - load).abs() < 1e-3 * load, "{mean} of {load}");
            let mut at_least = p.clone();
            (0..p.len() - 1).rev().for_each(|n| at_least[n] += at_least[n + 1]);
            for c in 1..8usize {
                let delay = |c: usize| -> f64 {
                    p.iter().enumerate().map(|(n, p)| p * queueing_delay((n / c) as u32, 1.5)).sum()
                };
                let right = delay(c) - delay(c + 1);
                assert!((delay_saved(c, &at_least, 1.5) - right).abs() < 2e-3, "{load} {c}");
            }
        }
    }

    #[test]
    fn single_flow_connections_have_erlang_c_delays() {
        // M/M/1 at load 0.5: wait = rho / (1 - rho) = 1; M/M/2 at load 1: C = 1/3, wait = 1/3.
        let w = erlang_c_waits(0.5, 1.0, 1.0, 3);
        assert!((w[1] - 1.0).abs() < 1e-9, "{w:?}");
        assert!((erlang_c_waits(1.0, 1.0, 1.0, 2)[2] - 1.0 / 3.0).abs() < 1e-9);
    }

    #[test]
    fn connections_are_the_load_plus_a_square_root_margin() {
        for (load, pipeline_depth, least, most) in [
            (0.01, 32, 1, 1),
            (0.5, 32, 2, 3),
            (1.0, 32, 3, 5),
            (10.0, 32, 14, 20),
            (100.0, 32, 110, 135),
            (0.5, 1, 2, 4),
            (10.0, 1, 13, 18),
            (100.0, 1, 108, 125),
            (10_000.0, 32, 10_200, 10_400),
        ] {
            let n = connections_worth_holding(&offered(load, pipeline_depth));
            assert!((least..=most).contains(&n), "{n} for {load} at {pipeline_depth}");
        }
    }

    #[test]
    fn connections_fall_with_price_and_disuse_and_rise_with_bursts() {
        let at = |change: fn(&mut Offered)| {
            let mut o = offered(4.0, 32);
            change(&mut o);
            connections_worth_holding(&o)
        };
        let usual = at(|_| {});
        assert!(at(|o| o.price = 0.1) < usual && at(|o| o.price = 10.0) == 1);
        assert!(at(|o| o.peakedness = 4.0) > usual);
        assert!(at(|o| o.flows_per_idle_time = 4.0) < usual && at(|o| o.flows_per_idle_time = 0.5) == 0);
        // Connections without which the load cannot be carried are held at any price.
        let mut one = offered(4.0, 1);
        one.price = 1e9;
        assert_eq!(connections_worth_holding(&one), 5);
        let mut deep = offered(64.0, 8);
        deep.price = 1e9;
        assert_eq!(connections_worth_holding(&deep), 12, "64 and four roots by eights");
        for load in [f64::NAN, f64::INFINITY, -1.0, 0.0] {
            assert_eq!(connections_worth_holding(&offered(load, 32)), 0);
        }
    }
}
