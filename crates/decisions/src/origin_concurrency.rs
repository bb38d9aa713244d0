//! Initial concurrency limit of a balancer at the origin, before it has measured anything. No I/O, no clock.

use crate::interface::{Key, Mode, ServerId, Settings};
use crate::state::unit_hash;
use lapisrudder_limits::adaptive_limit;

/// Initial attempts in flight: the limit for one balancer, and the total for all balancers, constant or per
/// server if that is more. The origin is sized for the misses of the whole fleet. With a total that did not
/// grow with the fleet, 100 balancers of 60 servers held back one read in six at a normal start, while the
/// origin had only 25 in flight (docs/design/large-fleet.md).
const MAX_START_PER_NODE: f64 = 20.0;
const START_TOTAL: f64 = 60.0;
const START_PER_SERVER: f64 = 5.0;
/// Minimum for all balancers together. Six at each of hundreds of balancers, or even one at each, overload
/// the origin.
const MIN_TOTAL: f64 = 4.0;
/// Hashed with the balancer's id for its phase, which spreads attempts of balancers with a limit under one.
const PHASE_SALT: ServerId = ServerId(1);

/// Half of the shortest latency target is for the origin; the other half is for the network and for the time
/// before the fetch.
pub(crate) fn initial_settings(settings: &Settings, servers: f64, own: ServerId) -> adaptive_limit::Settings {
    let nodes = f64::from(settings.siblings.max(1));
    let target = settings.classes.iter().map(|c| c.latency_target).min().unwrap_or(1_000_000);
    adaptive_limit::Settings {
        start: MAX_START_PER_NODE.min(START_TOTAL.max(START_PER_SERVER * servers) / nodes),
        min: (MIN_TOTAL / nodes).min(1.0),
        max_latency: target / 2,
        phase: (settings.mode == Mode::Aside).then(|| unit_hash(Key(own.0), PHASE_SALT)),
        ..adaptive_limit::Settings::default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_initial_limit_grows_with_servers_and_not_with_balancers() {
        for (siblings, servers, each) in [
            (1, 10.0, 20.0),
            (3, 10.0, 20.0),
            (3, 60.0, 20.0),
            (100, 10.0, 0.6),
            (100, 60.0, 3.0),
            (300, 60.0, 1.0),
        ] {
            let settings = Settings { siblings, ..Settings::default() };
            assert_eq!(
                initial_settings(&settings, servers, ServerId(7)).start,
                each,
                "{siblings} and {servers}"
            );
        }
    }
}
