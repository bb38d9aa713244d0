//! The node among the others of its fleet: its turn there, shares that follow, and how its place goes from one process of it to
//! the next.

use super::{Node, limits};
use crate::net::fleet::Fleet;
use lapisrudder::Micros;
use lapisrudder::wire::Options;
use lapisrudder_config::Fleet as Section;
use lapisrudder_membership::Inherited;
use lapisrudder_takeover::Message;
use std::os::fd::OwnedFd;
use tracing::warn;

impl Node {
    /// The fleet's part of the turn: what is due there, and shares among as many as count by now.
    pub(super) fn among_others(&mut self) {
        let now = self.clock.now();
        let Some(fleet) = &mut self.fleet else { return };
        fleet.run_due(now);
        if fleet.counted() != self.options.siblings {
            self.share();
        }
    }

    /// Goes among the others, with what a process before this one hands over, if any.
    pub(super) fn begin_fleet(&mut self, before: Option<(Inherited, OwnedFd)>, now: Micros) {
        let Some(section) = self.fleet_section.clone().filter(|_| self.fleet.is_none()) else { return };
        match Fleet::new(section, &self.name, before, &self.handle, now) {
            Ok(fleet) => self.fleet = Some(fleet),
            // It serves all the same, with shares as the settings say.
            Err(e) => warn!("fleet: this node is not among the others: {e}"),
        }
        self.share();
    }

    /// Budgets that are shared with the other nodes go by the number of them that count.
    pub(super) fn share(&mut self) {
        let Some(fleet) = &self.fleet else { return };
        self.options.siblings = fleet.counted();
        let settings = self.options.on_sockets();
        let limits = limits(&self.options, settings.siblings, self.sockets);
        let places = self.engine.reconfigure(settings, limits);
        self.classes.next(&self.options, &places, self.clock.now());
    }

    /// The operators' file was read again; `options` are to have the number that counts.
    pub(super) fn reload_fleet(&mut self, section: Option<Section>, options: &mut Options, now: Micros) {
        match &mut self.fleet {
            Some(fleet) => {
                self.fleet_section = section.clone().or(self.fleet_section.take());
                fleet.reload(section, now);
                options.siblings = fleet.counted();
            }
            None if section.is_some() && self.fleet_section.is_none() => {
                warn!("reload: fleet: it begins with the next start only");
            }
            None => {}
        }
    }

    /// Another process of this node serves from here on: the others hear that one.
    pub(super) fn yield_fleet(&mut self, now: Micros) {
        if let Some(fleet) = self.fleet.take() {
            let handed = fleet.hand_over(now);
            // Danger: the other one listens where this one did as soon as it hears of it.
            drop(fleet);
            match (handed, &mut self.successor) {
                (Ok((inherited, socket)), Some(s)) => s.link.say(&Message::Fleet(inherited), Some(socket)),
                // The other one begins anew when this one is gone.
                (handed, _) => warn!("takeover: the place in the fleet stays behind: {:?}", handed.err()),
            }
        }
    }
}
