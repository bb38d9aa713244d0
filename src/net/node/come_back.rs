//! What is come back to shortly, since a call of the system failed for a moment and no readiness will tell.

use super::Node;
use crate::net::Owner;
use crate::net::fleet::Fleet;
use crate::net::management::Management;
use crate::net::requests::Front;
use crate::net::takeover::{Door, Link};
use lapisrudder_host::COME_BACK;
use std::time::Duration;

impl Node {
    /// Something is to be come back to: a call failed for a moment, and no readiness will tell.
    pub(super) fn is_behind(&self) -> bool {
        let links = [&self.predecessor, &self.knocking];
        let link = links.into_iter().flatten().chain(self.successor.as_ref().map(|s| &s.link));
        self.members.is_behind()
            || self.discovery.is_behind()
            || self.management.as_ref().is_some_and(Management::is_behind)
            || self.fleet.as_ref().is_some_and(Fleet::needs_retry)
            || self.door.as_ref().is_some_and(|door| !door.is_telling())
            || link.into_iter().any(Link::is_behind)
    }

    /// Comes back to what failed for a moment.
    pub(super) fn come_back(&mut self) {
        let now = self.clock.now();
        let Node { members, scratch, engine, server, requests, .. } = self;
        members.retry(scratch, engine, &mut Front { server, requests, now }, now);
        self.discovery.retry(&mut self.scratch, &self.options, now);
        self.discovery_news();
        self.management.iter_mut().for_each(Management::retry);
        self.fleet.iter_mut().for_each(Fleet::retry);
        self.server.keep_listening();
        self.door.iter_mut().for_each(Door::ensure);
        if self.predecessor.as_ref().is_some_and(Link::is_behind) {
            self.hear_predecessor(now);
        }
        let successor = self.successor.as_ref().map(|s| &s.link).or(self.knocking.as_ref());
        if successor.is_some_and(Link::is_behind) {
            self.hear_successor(now);
        }
    }

    /// The loop has failed, and may have lost what it had to tell: edges come once. All is looked at.
    pub fn look_at_all(&mut self) {
        self.server.look_at_all();
        self.members.look_at_all();
        self.discovery.look_again();
        self.management.iter_mut().for_each(Management::look_at_all);
        self.fleet.iter_mut().for_each(Fleet::recheck_all);
        let links = [&mut self.predecessor, &mut self.knocking];
        links.into_iter().flatten().for_each(Link::look_again);
        self.successor.iter_mut().for_each(|s| s.link.look_again());
        // Danger: while the loop only fails, it tells of nobody who comes.
        for owner in [Owner::Listener, Owner::Management, Owner::Door, Owner::Fleet, Owner::Look] {
            self.ready(owner);
        }
    }

    pub(super) fn until_next(&self) -> Option<Duration> {
        if !self.server.resumed.is_empty() {
            return Some(Duration::ZERO);
        }
        let behind = self.is_behind().then_some(COME_BACK);
        let comes_back = behind.into_iter().chain(self.server.comes_back_in()).min();
        let next = self.until_next_deadline();
        let comes_back = comes_back.map(|wait| Duration::from_micros(wait.max(0) as u64));
        comes_back.into_iter().chain(next).min()
    }
}
