//! What would happen to a source in a state of affairs, and why, in plain lines. Decides nothing and changes nothing.

use super::Admission;
use crate::keep_alive::{CLASSES, ONCE, UNUSED};
use crate::orders::{Explanation, Situation, Why};
use crate::reserve::{Availability, Pool};
use crate::settings::MAX_CONNECTIONS;
use std::net::IpAddr;

/// Names of the classes, for people.
const NAMES: [&str; CLASSES] = [
    "never used",
    "used once",
    "used often, gaps up to 0.1 s",
    "used often, gaps up to 0.4 s",
    "used often, gaps up to 1.6 s",
    "used often, longer gaps",
];

impl Admission {
    /// What would happen to a connection and a request from an address, and why. Shares are told as if all other
    /// connections were of sources within theirs.
    pub fn explain(&self, address: IpAddr, situation: &Situation) -> Explanation {
        let listed = self.directory.look_up(address);
        let known = listed.known || situation.token;
        let mut lines = Vec::new();
        let who = if known { "a known client" } else { "not a known client" };
        lines.push(format!("{address} counts as source {}, weight {}, {who}", listed.source, listed.weight));
        match situation.stage {
            0 => {}
            1 => lines.push("stage 1 (lean): idle connections close early, nothing is lent".into()),
            2 => lines.push("stage 2 (guarded): only known clients may connect".into()),
            _ => lines
                .push("stage 3 (closed): nobody may connect, only known clients' requests are taken".into()),
        }
        self.explain_connection(&mut lines, known, listed.weight, situation);
        self.explain_request(&mut lines, known, listed.weight, situation);
        self.explain_idle(&mut lines, situation);
        Explanation { lines }
    }

    fn explain_connection(&self, lines: &mut Vec<String>, known: bool, weight: u32, now: &Situation) {
        let caps = &self.settings.caps;
        let most = match caps.connections {
            0 => self.resources.connections,
            cap => cap.min(self.resources.connections),
        }
        .min(MAX_CONNECTIONS);
        for (rate, what) in
            [(caps.connects_per_s, "in all"), (caps.connects_per_s_per_source * f64::from(weight), "from it")]
        {
            if rate > 0.0 {
                lines.push(format!("a new connection is refused beyond {rate} a second {what}"));
            }
        }
        let own = caps.connections_per_source * weight as usize;
        if now.stage >= 3 || now.stage == 2 && !known {
            lines.push(format!("a new connection is refused: {}", Why::RunOut));
        } else if own > 0 && now.source_connections >= own {
            lines.push(format!(
                "a new connection closes an idle one of its source, or is refused: {}",
                Why::SourceConnections
            ));
        } else if now.connections < most {
            lines.push(format!("a new connection is kept: {} of {most} are held", now.connections));
        } else {
            lines.push(format!(
                "a new connection must find room: all {most} are held. It takes the place of, in this order:"
            ));
            lines.push("  one of which only the close remains".into());
            lines.push("  one whose time is over and that is worth next to nothing, whosever it is".into());
            let share = most as f64 / (now.connections.max(1) as f64 / now.source_connections.max(1) as f64);
            lines.push(format!(
                "  the one worth least of the source furthest over its share (this one holds {}, about {share:.0} by its part)",
                now.source_connections
            ));
            lines.push("  the one worth least of all".into());
            let reserve = self.settings.known.connections;
            if known && reserve > 0 {
                lines.push(format!(
                    "  any idle one of the others, while known clients hold fewer than {reserve}"
                ));
            }
            lines
                .push(format!("  or else it waits, and is refused from {} ms on", self.tells_after() / 1000));
        }
    }

    fn explain_request(&self, lines: &mut Vec<String>, known: bool, weight: u32, now: &Situation) {
        let caps = &self.settings.caps;
        for (rate, what) in
            [(caps.requests_per_s, "in all"), (caps.requests_per_s_per_source * f64::from(weight), "from it")]
        {
            if rate > 0.0 {
                lines.push(format!("a request is refused beyond {rate} a second {what}"));
            }
        }
        let (most, reserve) = (self.slots.capacity, self.slots.reserve);
        let held = now.in_flight as u64;
        let pool = Pool { capacity: most, reserve, committed: held, lent: 0, known: 0 };
        let own = caps.in_flight_per_source * weight as usize;
        let verdict = if now.stage >= 3 && !known {
            format!("is refused: {}", Why::RunOut)
        } else if own > 0 && now.source_in_flight >= own {
            format!("is refused: {}", Why::SourceInFlight)
        } else if known {
            match pool.for_known(1) {
                Availability::Fits => format!("is taken: {held} of {most} are in flight"),
                _ => format!(
                    "is taken if one that is lent can be refused for it, else refused: {}",
                    Why::InFlight
                ),
            }
        } else {
            match pool.for_others(1, false) {
                Availability::Fits if held as f64 > self.settings.overload.knee * most as f64 => {
                    format!("is taken unless it is among those worth least: {held} of {most} are in flight")
                }
                Availability::Fits => format!("is taken: {held} of {most} are in flight"),
                Availability::Reserved => {
                    format!("is taken only if it may be refused later, else refused: {}", Why::Reserved)
                }
                _ => format!("is refused: {}", Why::InFlight),
            }
        };
        lines.push(format!("a request {verdict}"));
    }

    fn explain_idle(&self, lines: &mut Vec<String>, now: &Situation) {
        let keep = &self.settings.keep;
        lines.push(format!(
            "its connection is closed after {} ms without a request, {} ms with half a command, {} ms idle after an answer",
            keep.silent_close_ms, keep.unfinished_close_ms, keep.idle_close_ms
        ));
        if now.stopping {
            lines.push("the node is stopping: no used connection is closed for being idle".into());
            return;
        }
        let early = match self.clients_room() {
            Some(room) => {
                format!("more than {:.0} used ones are held", (keep.early_from * room as f64).floor())
            }
            None => "all places are held and a newcomer is worth more".into(),
        };
        let earliest = self.worth.earliest(ONCE) / 1000;
        lines.push(format!("from {earliest} ms idle on it may be closed early while {early}"));
        for (class, name) in NAMES.iter().enumerate().skip(UNUSED) {
            let part = |ms: i64| self.worth.of(class, ms * 1000) * 100.0;
            lines.push(format!(
                "  {name}: likely to ask soon {:.0}% at once, {:.0}% after 0.3 s, {:.0}% after 1 s idle",
                part(0),
                part(300),
                part(1000)
            ));
        }
    }
}

#[cfg(test)]
mod tests {
    use crate::{Admission, Resources, Settings, Situation};

    #[test]
    fn the_lines_say_what_would_happen() {
        let text = "[known]\nprefixes = ['10.9.0.0/16']\nin_flight = 4\n[caps]\nconnections_per_source = 3";
        let mut admission = Admission::new(toml::from_str::<Settings>(text).unwrap(), 1, 0).unwrap();
        let there = Resources { connections: 10, clients_room: 8, in_flight: 20, ..Resources::default() };
        admission.set_resources(0, &there);
        let calm = Situation { connections: 5, in_flight: 3, ..Situation::default() };
        let full = Situation { connections: 10, in_flight: 16, ..calm };
        for (address, situation, says) in [
            ("192.0.2.1", calm, "a new connection is kept: 5 of 10"),
            ("192.0.2.1", Situation { source_connections: 3, ..calm }, "closes an idle one of its source"),
            ("192.0.2.1", full, "must find room"),
            ("192.0.2.1", full, "what is left is kept for known clients"),
            ("10.9.1.1", full, "a request is taken"),
            ("10.9.1.1", Situation { stage: 2, ..calm }, "a new connection is kept"),
            ("192.0.2.1", Situation { stage: 2, ..calm }, "a new connection is refused"),
            ("192.0.2.1", Situation { stopping: true, ..calm }, "the node is stopping"),
            ("192.0.2.1", calm, "while more than 3 used ones are held"),
        ] {
            let told = admission.explain(address.parse().unwrap(), &situation).to_string();
            assert!(told.contains(says), "{says:?} is not in:\n{told}");
        }
    }
}
