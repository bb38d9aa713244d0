//! The node as a member of its fleet: events of the membership, budgets that follow the size of the fleet,
//! and the hand-over of the membership from one process of the node to the next.

use super::Node;
use crate::net::fleet::Fleet;
use lapisrudder::Micros;
use lapisrudder::wire::Options;
use lapisrudder_config::Fleet as Section;
use lapisrudder_membership::Inherited;
use lapisrudder_takeover::Message;
use std::os::fd::OwnedFd;
use tracing::warn;

impl Node {
    /// The fleet's part of an event-loop iteration: handles what is due, and divides the shared budgets again
    /// where the number of nodes that count has changed.
    pub(super) fn update_fleet(&mut self) {
        let now = self.clock.now();
        let Some(fleet) = &mut self.fleet else { return };
        fleet.run_due(now);
        if fleet.counted() != self.options.siblings {
            self.apply_fleet_size();
        }
    }

    /// Joins the fleet, with the state of a predecessor if there is one.
    pub(super) fn join_fleet(&mut self, before: Option<(Inherited, OwnedFd)>, now: Micros) {
        let Some(section) = self.fleet_section.clone().filter(|_| self.fleet.is_none()) else { return };
        match Fleet::new(section, &self.name, before, &self.handle, now) {
            Ok(fleet) => self.fleet = Some(fleet),
            // The node serves nevertheless, with shares according to its settings.
            Err(e) => warn!("fleet: cannot join: {e}"),
        }
        self.apply_fleet_size();
    }

    /// Divides the budgets that are shared with other nodes by the number of nodes that count.
    pub(super) fn apply_fleet_size(&mut self) {
        let Some(fleet) = &self.fleet else { return };
        self.options.siblings = fleet.counted();
        self.reconfigure_engine(self.clock.now());
    }

    /// Applies the reloaded section of the operators' file; sets the number of nodes that count in `options`.
    pub(super) fn reload_fleet(&mut self, section: Option<Section>, options: &mut Options, now: Micros) {
        match &mut self.fleet {
            Some(fleet) => {
                self.fleet_section = section.clone().or(self.fleet_section.take());
                fleet.reload(section, now);
                options.siblings = fleet.counted();
            }
            None if section.is_some() && self.fleet_section.is_none() => {
                warn!("reload: fleet: the node joins at its next start only");
            }
            None => {}
        }
    }

    /// Hands the membership to the successor, which serves from here on.
    pub(super) fn hand_over_fleet(&mut self, now: Micros) {
        if let Some(fleet) = self.fleet.take() {
            let handed = fleet.hand_over(now);
            // The socket is closed before the message is sent: the successor listens on the same address as
            // soon as it reads the message.
            drop(fleet);
            match (handed, &mut self.successor) {
                (Ok((inherited, socket)), Some(s)) => s.link.send(&Message::Fleet(inherited), Some(socket)),
                // The successor joins anew when this process has ended.
                (handed, _) => {
                    warn!("takeover: the membership in the fleet was not handed over: {:?}", handed.err())
                }
            }
        }
    }
}
