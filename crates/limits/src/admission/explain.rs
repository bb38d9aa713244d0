//! Explains in plain lines what would happen to a source's connection and request in a given situation, and
//! why. Decides nothing and changes nothing.

use super::Admission;
use crate::keep_alive::{CLASSES, ONCE, UNUSED};
use crate::orders::{Explanation, Reason, Situation};
use crate::reserve::{Availability, Pool};
use crate::settings::MAX_CONNECTIONS;
use std::net::IpAddr;

/// Names of the connection classes, for output.
const CLASS_NAMES: [&str; CLASSES] = [
    "never used",
    "used once",
    "used often, gaps up to 0.1 s",
    "used often, gaps up to 0.4 s",
    "used often, gaps up to 1.6 s",
    "used often, longer gaps",
];

impl Admission {
    /// What would happen to a new connection and a request from an address, and why. Shares are given as if
    /// all other connections belonged to sources within their own share.
    pub fn explain(&self, address: IpAddr, situation: &Situation) -> Explanation {
        let info = self.directory.look_up(address);
        let known = info.known || situation.token;
        let mut lines = Vec::new();
        let kind = if known { "a known client" } else { "not a known client" };
        lines.push(format!("{address} counts as source {}, weight {}, {kind}", info.source, info.weight));
        match situation.stage {
            0 => {}
            1 => lines.push("stage 1 (lean): idle connections close early, nothing is lent".into()),
            2 => lines.push("stage 2 (guarded): only known clients may connect".into()),
            _ => lines.push(
                "stage 3 (closed): no client may connect, only known clients' requests are taken".into(),
            ),
        }
        self.explain_connection(&mut lines, known, info.weight, situation);
        self.explain_request(&mut lines, known, info.weight, situation);
        self.explain_idle(&mut lines, situation);
        Explanation { lines }
    }

    fn explain_connection(&self, lines: &mut Vec<String>, known: bool, weight: u32, now: &Situation) {
        let caps = &self.settings.caps;
        let limit = match caps.connections {
            0 => self.resources.connections,
            cap => cap.min(self.resources.connections),
        }
        .min(MAX_CONNECTIONS);
        for (rate, what) in [
            (caps.connects_per_s, "in total"),
            (caps.connects_per_s_per_source * f64::from(weight), "from this source"),
        ] {
            if rate > 0.0 {
                lines.push(format!("a new connection is refused beyond {rate} a second {what}"));
            }
        }
        let own = caps.connections_per_source * weight as usize;
        if now.stage >= 3 || now.stage == 2 && !known {
            lines.push(format!("a new connection is refused: {}", Reason::Exhausted));
        } else if own > 0 && now.source_connections >= own {
            lines.push(format!(
                "a new connection closes an idle one of its source, or is refused: {}",
                Reason::SourceConnections
            ));
        } else if now.connections < limit {
            lines.push(format!("a new connection is kept: {} of {limit} are held", now.connections));
        } else {
            lines.push(format!(
                "a new connection needs a slot: all {limit} are held. It evicts, in this order:"
            ));
            lines.push("  a connection of which only the close remains".into());
            lines.push("  one past its time whose next request is unlikely, of any source".into());
            let share = limit as f64 / (now.connections.max(1) as f64 / now.source_connections.max(1) as f64);
            lines.push(format!(
                "  the least likely to be used again, of the source furthest over its share (this source holds {}, its share is about {share:.0})",
                now.source_connections
            ));
            lines.push("  the least likely to be used again of all".into());
            let reserve = self.settings.known.connections;
            if known && reserve > 0 {
                lines.push(format!(
                    "  any idle one of unknown clients, while known clients hold fewer than {reserve}"
                ));
            }
            lines.push(format!(
                "  or else it waits, and is refused after {} ms",
                self.accept_wait_limit() / 1000
            ));
        }
    }

    fn explain_request(&self, lines: &mut Vec<String>, known: bool, weight: u32, now: &Situation) {
        let caps = &self.settings.caps;
        for (rate, what) in [
            (caps.requests_per_s, "in total"),
            (caps.requests_per_s_per_source * f64::from(weight), "from this source"),
        ] {
            if rate > 0.0 {
                lines.push(format!("a request is refused beyond {rate} a second {what}"));
            }
        }
        let (limit, reserve) = (self.slots.capacity, self.slots.reserve);
        let held = now.in_flight as u64;
        let pool = Pool { capacity: limit, reserve, committed: held, lent: 0, known: 0 };
        let own = caps.in_flight_per_source * weight as usize;
        let verdict = if now.stage >= 3 && !known {
            format!("is refused: {}", Reason::Exhausted)
        } else if own > 0 && now.source_in_flight >= own {
            format!("is refused: {}", Reason::SourceInFlight)
        } else if known {
            match pool.for_known(1) {
                Availability::Fits => format!("is taken: {held} of {limit} are in flight"),
                _ => format!(
                    "is taken if a request with a lent slot can be recalled for it, else refused: {}",
                    Reason::InFlight
                ),
            }
        } else {
            match pool.for_others(1, false) {
                Availability::Fits if held as f64 > self.settings.overload.knee * limit as f64 => {
                    format!("is taken unless its worth is among the lowest: {held} of {limit} are in flight")
                }
                Availability::Fits => format!("is taken: {held} of {limit} are in flight"),
                Availability::Reserved => {
                    format!("is taken only if it may be refused later, else refused: {}", Reason::Reserved)
                }
                _ => format!("is refused: {}", Reason::InFlight),
            }
        };
        lines.push(format!("a request {verdict}"));
    }

    fn explain_idle(&self, lines: &mut Vec<String>, now: &Situation) {
        let keep = &self.settings.keep;
        lines.push(format!(
            "its connection is closed after {} ms without a request, {} ms with part of a command, {} ms idle after an answer",
            keep.silent_close_ms, keep.unfinished_close_ms, keep.idle_close_ms
        ));
        if now.stopping {
            lines.push("the node is stopping: no used connection is closed for being idle".into());
            return;
        }
        let early = match self.client_connection_limit() {
            Some(limit) => {
                format!("more than {:.0} used connections are held", (keep.early_from * limit as f64).floor())
            }
            None => "all connection slots are held and a new connection is worth more".into(),
        };
        let earliest = self.reuse.earliest(ONCE) / 1000;
        lines.push(format!("after {earliest} ms idle it may be closed early while {early}"));
        for (class, name) in CLASS_NAMES.iter().enumerate().skip(UNUSED) {
            let probability = |ms: i64| self.reuse.worth(class, ms * 1000) * 100.0;
            lines.push(format!(
                "  {name}: probability of a request soon: {:.0}% at first, {:.0}% after 0.3 s, {:.0}% after 1 s idle",
                probability(0),
                probability(300),
                probability(1000)
            ));
        }
    }
}

#[cfg(test)]
mod tests {
    use crate::{Admission, Resources, Settings, Situation};

    #[test]
    fn explanations_name_the_decision_and_its_reason() {
        let text = "[known]\nprefixes = ['10.9.0.0/16']\nin_flight = 4\n[caps]\nconnections_per_source = 3";
        let mut admission = Admission::new(toml::from_str::<Settings>(text).unwrap(), 1, 0).unwrap();
        let resources = Resources { connections: 10, clients_room: 8, in_flight: 20, ..Resources::default() };
        admission.set_resources(0, &resources);
        let calm = Situation { connections: 5, in_flight: 3, ..Situation::default() };
        let full = Situation { connections: 10, in_flight: 16, ..calm };
        for (address, situation, says) in [
            ("192.0.2.1", calm, "a new connection is kept: 5 of 10"),
            ("192.0.2.1", Situation { source_connections: 3, ..calm }, "closes an idle one of its source"),
            ("192.0.2.1", full, "needs a slot: all 10 are held"),
            ("192.0.2.1", full, "what is left is reserved for known clients"),
            ("10.9.1.1", full, "a request is taken"),
            ("10.9.1.1", Situation { stage: 2, ..calm }, "a new connection is kept"),
            ("192.0.2.1", Situation { stage: 2, ..calm }, "a new connection is refused"),
            ("192.0.2.1", Situation { stopping: true, ..calm }, "the node is stopping"),
            ("192.0.2.1", calm, "while more than 3 used connections are held"),
        ] {
            let lines = admission.explain(address.parse().unwrap(), &situation).to_string();
            assert!(lines.contains(says), "{says:?} is not in:\n{lines}");
        }
    }
}
