//! Retries of system calls that failed with a transient error, for which the event loop will report no
//! readiness.

use super::Node;
use crate::net::Owner;
use crate::net::fleet::Fleet;
use crate::net::management::Management;
use crate::net::requests::AnswerSink;
use crate::net::takeover::{Link, TakeoverListener};
use lapisrudder_host::RETRY_INTERVAL;
use std::time::Duration;

impl Node {
    /// Whether any call has to be retried.
    pub(super) fn needs_retry(&self) -> bool {
        let links = [&self.predecessor, &self.pending_successor];
        let link = links.into_iter().flatten().chain(self.successor.as_ref().map(|s| &s.link));
        self.members.needs_retry()
            || self.discovery.needs_retry()
            || self.management.as_ref().is_some_and(Management::needs_retry)
            || self.fleet.as_ref().is_some_and(Fleet::needs_retry)
            || self.takeover_listener.as_ref().is_some_and(|listener| !listener.is_enabled())
            || link.into_iter().any(Link::needs_retry)
    }

    /// Retries the calls that failed with a transient error.
    pub(super) fn retry_failed_calls(&mut self) {
        let now = self.clock.now();
        let Node { members, scratch, engine, server, requests, .. } = self;
        members.retry(scratch, engine, &mut AnswerSink { server, requests, now }, now);
        if self.discovery.lacks_resource() {
            self.engine.give_up_idle_connection();
        }
        self.discovery.retry(&mut self.scratch, &self.options, now);
        self.handle_discovery_updates();
        self.management.iter_mut().for_each(Management::retry);
        self.fleet.iter_mut().for_each(Fleet::retry);
        self.server.update_listener_interest();
        self.takeover_listener.iter_mut().for_each(TakeoverListener::ensure_enabled);
        if self.predecessor.as_ref().is_some_and(Link::needs_retry) {
            self.read_predecessor(now);
        }
        let successor = self.successor.as_ref().map(|s| &s.link).or(self.pending_successor.as_ref());
        if successor.is_some_and(Link::needs_retry) {
            self.read_successor(now);
        }
    }

    /// Rechecks all sockets after the event loop has failed: edge-triggered events are reported once, and
    /// some may be lost.
    pub fn recheck_all(&mut self) {
        self.server.recheck_all();
        self.members.recheck_all();
        self.discovery.recheck();
        self.management.iter_mut().for_each(Management::recheck_all);
        self.fleet.iter_mut().for_each(Fleet::recheck_all);
        let links = [&mut self.predecessor, &mut self.pending_successor];
        links.into_iter().flatten().for_each(Link::recheck);
        self.successor.iter_mut().for_each(|s| s.link.recheck());
        // While the event loop keeps failing it reports no new connections, so the listeners are polled.
        for owner in
            [Owner::Listener, Owner::Management, Owner::TakeoverListener, Owner::Fleet, Owner::FleetView]
        {
            self.ready(owner);
        }
    }

    pub(super) fn until_next(&self) -> Option<Duration> {
        if !self.server.resumed.is_empty() {
            return Some(Duration::ZERO);
        }
        let retry = self.needs_retry().then_some(RETRY_INTERVAL);
        let retry_in = retry.into_iter().chain(self.server.retry_in()).min();
        let next = self.until_next_deadline();
        let retry_in = retry_in.map(|wait| Duration::from_micros(wait.max(0) as u64));
        retry_in.into_iter().chain(next).min()
    }
}
