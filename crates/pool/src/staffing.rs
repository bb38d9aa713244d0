//! How many connections an offered load is worth.
//!
//! The load is in flight (Little 1961: arrivals a second times seconds each). Where a connection carries many flows,
//! whose answers come in order, the number in flight is that of an infinite server: Poisson, or negative binomial
//! where arrivals come in bursts (variance over mean above 1; peakedness). A flow that finds `k` others ahead on the
//! least busy connection waits for the slowest of them. For exponential times of mean 1 that is longer than its own
//! by `H(k+1) - 1` (the maximum of `k+1` has mean `H(k+1)`, the harmonic number); times of another spread scale by
//! `(1 + cv^2) / 2`, as residual times do. Where a connection carries one flow the delay is that of M/M/c (Erlang C),
//! with the same factor (Lee and Longton 1959).
//!
//! A connection is worth having while it saves more delay than holding it costs. That gives the square-root rule
//! (Halfin and Whitt 1981; Borst, Mandelbaum, Reiman 2004: load plus a margin that grows as its root, by the prices)
//! without its asymptotics, which do not hold for the small numbers here.

/// Beyond this load the root formula is used.
const LARGE: f64 = 4096.0;
/// Its factor: a flow finds no idle connection about once in 3,000 times.
const LARGE_MARGIN: f64 = 3.4;

/// What is to be carried, and what it is worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offered {
    /// Mean flows in flight.
    pub load: f64,
    /// Variance of that number over its mean, 1 or above.
    pub peaked: f64,
    /// Squared coefficient of variation of a flow's time.
    pub cv2: f64,
    /// Flows on one connection at a time.
    pub at_once: u32,
    /// What holding one more connection costs: relative slowing of all flows of this node at this member.
    pub price: f64,
    /// Flows within the time that an idle connection is kept.
    pub flows_in_life: f64,
}

/// Extra time of a flow behind `ahead` others, relative to a flow's own mean time.
pub fn behind(ahead: u32, cv2: f64) -> f64 {
    let harmonic: f64 = match ahead {
        0 => 0.0,
        // H(k+1) - 1.
        k if k < 32 => (2..=k + 1).map(|i| 1.0 / f64::from(i)).sum(),
        k => f64::from(k + 1).ln() + 0.5772 - 1.0,
    };
    harmonic * (1.0 + cv2) / 2.0
}

/// Probabilities of so many in flight, from none on, as far as they matter.
fn in_flight(load: f64, peaked: f64) -> Vec<f64> {
    let most = (load + 8.0 * (peaked * load).sqrt() + 8.0 * peaked).ceil() as usize;
    let mut all = Vec::with_capacity(most + 1);
    if peaked > 1.01 {
        // Negative binomial: mean load, variance peaked * load.
        let r = load / (peaked - 1.0);
        let fail = 1.0 - 1.0 / peaked;
        let mut p = (-r * peaked.ln()).exp();
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
    // Guards against underflow at large loads: begin at the mean instead.
    if all.iter().sum::<f64>() < 0.5 {
        let var = (peaked * load).max(1e-9);
        let bell = |n: usize| (-(n as f64 - load).powi(2) / (2.0 * var)).exp();
        let sum: f64 = (0..=most).map(bell).sum();
        return (0..=most).map(|n| bell(n) / sum).collect();
    }
    all
}

/// The number of connections that the load is worth; 0 if none is worth being held.
pub fn worth(offered: &Offered) -> u32 {
    let Offered { load, peaked, at_once, .. } = *offered;
    if !(load > 0.0 && load.is_finite()) || offered.flows_in_life < 1.0 {
        return 0;
    }
    let peaked = peaked.clamp(1.0, 16.0);
    if load > LARGE {
        let all = load + LARGE_MARGIN * (peaked * load).sqrt();
        return all.min(1e9).ceil() as u32;
    }
    let p = in_flight(load, peaked);
    // The share of flows that finds at least so many in flight, and so uses connection number n + 1.
    let mut at_least = p.clone();
    for n in (0..p.len().saturating_sub(1)).rev() {
        at_least[n] += at_least[n + 1];
    }
    let used = |c: usize| at_least.get(c - 1).copied().unwrap_or(0.0) * offered.flows_in_life >= 1.0;
    let most = p.len();
    // As many as carry the load at all.
    let needed = match at_once {
        1 => (load.floor() + 1.0) as usize,
        _ => ((load + 4.0 * (peaked * load).sqrt()) / f64::from(at_once)).ceil().max(1.0) as usize,
    };
    let saves: Box<dyn Fn(usize) -> f64> = match at_once {
        1 => {
            let delays = waits(load, peaked, offered.cv2, most + 1);
            Box::new(move |c| delays.get(c).zip(delays.get(c + 1)).map_or(0.0, |(a, b)| a - b))
        }
        _ => Box::new(|c| saving(c, &at_least, offered.cv2)),
    };
    // The last connection that is worth its price, and used often enough to stay alive.
    let mut best = needed;
    for c in needed..most {
        if used(c + 1) && saves(c) >= offered.price {
            best = c + 1;
        }
    }
    best as u32
}

/// Delay that connection number `c + 1` saves each flow on average, relative to a flow's time: with `c`, a flow that
/// finds from `k c` up to `k c + k - 1` in flight goes one place further back than with `c + 1`.
fn saving(c: usize, at_least: &[f64], cv2: f64) -> f64 {
    let tail = |n: usize| at_least.get(n).copied().unwrap_or(0.0);
    let mut sum = 0.0;
    let mut k = 1;
    while k * c < at_least.len() {
        sum += (tail(k * c) - tail(k * (c + 1))) / (k as f64 + 1.0);
        k += 1;
    }
    sum * (1.0 + cv2) / 2.0
}

/// Mean wait for one of `c` connections that carry one flow each, relative to a flow's time, for each `c` from 0;
/// none where they cannot carry the load.
fn waits(load: f64, peaked: f64, cv2: f64, most: usize) -> Vec<f64> {
    let mut blocked = 1.0; // Erlang B with no server.
    let mut all = vec![f64::INFINITY];
    for c in 1..=most {
        blocked = load * blocked / (c as f64 + load * blocked);
        let spare = c as f64 - load;
        let waits = if spare > 0.0 { blocked / (1.0 - load / c as f64 * (1.0 - blocked)) } else { 1.0 };
        all.push(if spare > 0.0 { waits / spare * (peaked + cv2) / 2.0 } else { f64::INFINITY });
    }
    all
}

#[cfg(test)]
mod tests {
    use super::*;

    fn offered(load: f64, at_once: u32) -> Offered {
        Offered { load, peaked: 1.0, cv2: 1.0, at_once, price: 0.01, flows_in_life: 1e4 }
    }

    #[test]
    fn a_flow_behind_others_waits_for_the_slowest_of_them() {
        assert_eq!(behind(0, 1.0), 0.0);
        assert!((behind(1, 1.0) - 0.5).abs() < 1e-9 && (behind(2, 1.0) - 5.0 / 6.0).abs() < 1e-9);
        assert!((behind(31, 1.0) - behind(32, 1.0)).abs() < 0.04, "no step where the formula changes");
    }

    /// Against the sum over states, written out: the mean extra time with c connections is what `saving` adds up.
    #[test]
    fn what_a_connection_saves_is_the_difference_in_mean_delay() {
        for (load, peaked) in [(0.3, 1.0), (2.0, 1.0), (9.0, 1.0), (5.0, 3.0)] {
            let p = in_flight(load, peaked);
            assert!((p.iter().sum::<f64>() - 1.0).abs() < 1e-6);
            let mean: f64 = p.iter().enumerate().map(|(n, p)| n as f64 * p).sum();
            assert!((mean - load).abs() < 1e-3 * load, "{mean} of {load}");
            let mut at_least = p.clone();
            (0..p.len() - 1).rev().for_each(|n| at_least[n] += at_least[n + 1]);
            for c in 1..8usize {
                let delay = |c: usize| -> f64 {
                    p.iter().enumerate().map(|(n, p)| p * behind((n / c) as u32, 1.5)).sum()
                };
                let right = delay(c) - delay(c + 1);
                assert!((saving(c, &at_least, 1.5) - right).abs() < 2e-3, "{load} {c}");
            }
        }
    }

    #[test]
    fn delays_of_single_flow_connections_are_those_of_erlang_c() {
        // M/M/1 at load 0.5: wait = rho / (1 - rho) = 1; M/M/2 at load 1: C = 1/3, wait = 1/3.
        let w = waits(0.5, 1.0, 1.0, 3);
        assert!((w[1] - 1.0).abs() < 1e-9, "{w:?}");
        assert!((waits(1.0, 1.0, 1.0, 2)[2] - 1.0 / 3.0).abs() < 1e-9);
    }

    #[test]
    fn the_number_is_the_load_and_a_margin_that_grows_as_its_root() {
        for (load, at_once, least, most) in [
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
            let n = worth(&offered(load, at_once));
            assert!((least..=most).contains(&n), "{n} for {load} at {at_once}");
        }
    }

    #[test]
    fn it_falls_with_the_price_rises_with_bursts_and_ends_where_connections_would_die_unused() {
        let at = |change: fn(&mut Offered)| {
            let mut o = offered(4.0, 32);
            change(&mut o);
            worth(&o)
        };
        let usual = at(|_| {});
        assert!(at(|o| o.price = 0.1) < usual && at(|o| o.price = 10.0) == 1);
        assert!(at(|o| o.peaked = 4.0) > usual);
        assert!(at(|o| o.flows_in_life = 4.0) < usual && at(|o| o.flows_in_life = 0.5) == 0);
        // What cannot be carried otherwise is held at any price.
        let mut one = offered(4.0, 1);
        one.price = 1e9;
        assert_eq!(worth(&one), 5);
        let mut deep = offered(64.0, 8);
        deep.price = 1e9;
        assert_eq!(worth(&deep), 12, "64 and four roots by eights");
        for load in [f64::NAN, f64::INFINITY, -1.0, 0.0] {
            assert_eq!(worth(&offered(load, 32)), 0);
        }
    }
}
