//! What a balancer may have in flight at the origin before it has learned anything of it. No I/O, no clock.

use crate::interface::{Key, Mode, ServerId, Settings};
use crate::state::chance;
use lapisrudder_limits::follow;

/// Attempts in flight to begin with: here, over all balancers, and for each server. Danger: the origin is built for the
/// misses of the whole fleet. With a number that did not grow with it, 100 balancers of 60 servers held back one read in
/// six of a calm start, and the origin had 25 in flight (docs/design/large-fleet.md).
const START: f64 = 20.0;
const ALL: f64 = 60.0;
const EACH: f64 = 5.0;
/// The least over all. Danger: six at each of hundreds of balancers, and never under one, push over what they guard.
const LEAST: f64 = 4.0;
/// What a balancer's own turn at the origin is drawn by.
const TURN: ServerId = ServerId(1);

/// Half of the shortest aim is for the origin; the other half is for the way and for what went before.
pub(crate) fn at_origin(settings: &Settings, servers: f64, own: ServerId) -> follow::Settings {
    let nodes = f64::from(settings.siblings.max(1));
    let aim = settings.classes.iter().map(|c| c.aim).min().unwrap_or(1_000_000);
    follow::Settings {
        start: START.min(ALL.max(EACH * servers) / nodes),
        least: (LEAST / nodes).min(1.0),
        patience: aim / 2,
        phase: (settings.mode == Mode::Aside).then(|| chance(Key(own.0), TURN)),
        ..follow::Settings::default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_room_at_the_origin_grows_with_the_servers_and_not_with_the_balancers() {
        for (siblings, servers, each) in [
            (1, 10.0, 20.0),
            (3, 10.0, 20.0),
            (3, 60.0, 20.0),
            (100, 10.0, 0.6),
            (100, 60.0, 3.0),
            (300, 60.0, 1.0),
        ] {
            let settings = Settings { siblings, ..Settings::default() };
            assert_eq!(at_origin(&settings, servers, ServerId(7)).start, each, "{siblings} and {servers}");
        }
    }
}
