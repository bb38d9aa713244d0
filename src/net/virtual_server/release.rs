//! How clients' connections leave this process: released between requests in a drain, or handed over to
//! another process.

use super::{ClientEvent, NOT_READY, READY_REQUEST, VirtualServer};
use crate::net::client::{Client, Slot};
use crate::net::deadlines::{Deadline, Deadlines};
use lapisrudder::time_limits::MAX_STALL;
use lapisrudder::{Micros, RequestId};
use lapisrudder_io::Stream;
use lapisrudder_limits::drain::{Drain, DrainAction, Phase};
use lapisrudder_limits::memory_account::HeldBytes;
use std::os::fd::OwnedFd;

/// Maximum bytes of an incomplete command that are handed over with its connection.
const MAX_TRANSFER_INPUT: usize = 64 << 10;
/// Arrival time of connections that were there before the call to drain.
const BEFORE_DRAIN: Micros = Micros::MIN / 2;
/// Interval at which draining connections are checked for their release: a hundredth of the 1.5 s within
/// which idle ones are released.
const RELEASE_INTERVAL: Micros = 15_000;

impl VirtualServer {
    /// Another process accepts all new connections from here on, and gets the existing ones as they become
    /// idle.
    pub fn yield_clients(&mut self, deadlines: &mut Deadlines) {
        deadlines.remove(self.paused.take());
        self.accepting = false;
        self.update_listener_interest();
        self.final_drain = None;
    }

    /// That process is gone: this one accepts again and keeps its connections.
    pub fn reclaim_clients(&mut self) {
        for (id, client) in self.clients.iter_mut().filter(|(_, c)| c.leaving) {
            client.leaving = false;
            self.touched.push(*id);
        }
        self.begin_accepting();
    }

    /// Removes up to `max` idle connections for the other process, each with what was read of its next
    /// command. Connections that can be handed over but have pending answers take no further commands.
    pub fn take_transferable(
        &mut self,
        max: usize,
        now: Micros,
        deadlines: &mut Deadlines,
    ) -> Vec<(OwnedFd, Vec<u8>)> {
        for client in self.clients.values_mut() {
            client.leaving = client.input_len() <= MAX_TRANSFER_INPUT && client.receiving.is_none();
        }
        let free: Vec<u64> =
            self.clients.iter().filter(|(_, c)| c.can_leave()).map(|(id, _)| *id).take(max).collect();
        let leave = |id| {
            let mut client = self.clients.remove(&id)?;
            let (conn, counted, deadline) = (client.conn, client.counted, client.deadline.take());
            match client.into_parts() {
                Ok(parts) => {
                    self.account.replace(counted, HeldBytes::default());
                    self.by_conn.remove(&conn);
                    self.admission.on_closed(now, conn);
                    deadlines.remove(deadline);
                    Some(parts)
                }
                // The connection is kept and retried: closing it would lose a request that may have arrived
                // on it.
                Err(mut client) => {
                    client.deadline = deadline;
                    self.clients.insert(id, *client);
                    self.retries.push(id);
                    None
                }
            }
        };
        free.into_iter().filter_map(leave).collect()
    }

    /// Takes a connection that another process had, or that could not be handed over.
    pub fn adopt(&mut self, stream: OwnedFd, input: Vec<u8>, now: Micros, deadlines: &mut Deadlines) {
        let Ok(stream) = Stream::adopt(stream.into()) else { return };
        let Ok(peer) = stream.peer() else { return };
        // The read buffer must be able to hold the incomplete command.
        if input.len() > MAX_TRANSFER_INPUT {
            return;
        }
        // The other process may have been stalled before it sent the connection.
        let came_after = now - MAX_STALL;
        let Some(id) = self.on_accepted(stream, peer, came_after, now, deadlines) else { return };
        if let Some(client) = self.clients.get_mut(&id) {
            client.mark_readable(came_after);
            (client.input, client.arrived_at) = (input, Micros::MIN);
            self.admission.on_close_aborted(now, client.conn);
            self.touched.push(id);
        }
    }

    /// Begins the drain that operators have called for at time `called`, or ends it. A repeated call changes
    /// nothing.
    pub fn set_standby(&mut self, called: Option<Micros>, now: Micros, deadlines: &mut Deadlines) {
        match called {
            Some(called) if self.standby.is_none() => {
                self.begin_standby(Drain::standby(called), now, deadlines)
            }
            Some(_) => {}
            None => {
                self.standby = None;
                self.clients.values_mut().for_each(|client| client.close_by = None);
            }
        }
    }

    fn begin_standby(&mut self, drain: Drain, now: Micros, deadlines: &mut Deadlines) {
        self.standby = Some(drain);
        for id in std::mem::take(&mut self.awaiting_ready) {
            self.answer(id, RequestId(READY_REQUEST), &[NOT_READY], now);
        }
        let ids: Vec<u64> = self.clients.keys().copied().collect();
        for id in ids {
            self.set_drain_deadline(id, BEFORE_DRAIN, deadlines);
        }
        deadlines.add(drain.accept_backlog_at(), Deadline::DrainAcceptQueue);
        self.release_due(now, deadlines);
    }

    /// Whether operators have the node drain.
    pub fn is_standby(&self) -> bool {
        self.standby.is_some()
    }

    /// Whether `mn` is answered with a yes.
    pub fn answers_ready(&self) -> bool {
        self.ready && !self.is_standby()
    }

    /// Whether new requests are refused, because the drain is nearly over.
    pub fn refuses(&self, now: Micros) -> bool {
        self.standby.is_some_and(|drain| drain.refuses(now))
    }

    /// Begins the last drain, before the process ends: each connection is released between requests.
    pub(super) fn begin_final_drain(&mut self, now: Micros, deadlines: &mut Deadlines) {
        if self.final_drain.is_none() {
            self.final_drain = Some(Drain::immediate(now));
            self.release_due(now, deadlines);
        }
    }

    /// Sets the time by which a connection that arrived at `arrived` is closed, if the node drains.
    pub(super) fn set_drain_deadline(&mut self, id: u64, arrived: Micros, deadlines: &mut Deadlines) {
        let Some(drain) = self.standby else { return };
        if let Some(client) = self.clients.get_mut(&id) {
            client.close_by = drain.close_deadline(arrived);
            self.update_deadline(id, deadlines);
        }
    }

    /// Accepts all waiting connections now, however scarce descriptors are, so that each gets an answer
    /// within the drain.
    pub fn drain_accept_queue(&mut self, now: Micros, deadlines: &mut Deadlines) {
        if self.is_standby() && self.accepting {
            self.resume(deadlines);
            self.accept_all(now, deadlines);
        }
    }

    /// Acts on the connections whose drain phase asks for it.
    pub fn release_due(&mut self, now: Micros, deadlines: &mut Deadlines) {
        let drains = [self.standby, self.final_drain];
        if drains == [None, None] {
            return;
        }
        let action = |(id, client): (&u64, &mut Client)| {
            let phases = drains.iter().flatten().map(|drain| drain.phase(*id, client.arrived_at, now));
            let phase = phases.max().unwrap_or(Phase::Before);
            let action =
                if phase == Phase::Before { DrainAction::Keep } else { phase.action(client.drain_state()) };
            (action != DrainAction::Keep).then_some((*id, action))
        };
        let actions: Vec<_> = self.clients.iter_mut().filter_map(action).collect();
        for (id, action) in actions {
            match action {
                DrainAction::Keep => {}
                DrainAction::Read => self.touched.push(id),
                DrainAction::Close => self.close_gracefully(id, now, deadlines),
                DrainAction::Expire => self.expire(id),
                DrainAction::Finish => self.clients.get_mut(&id).into_iter().for_each(Client::stop_taking),
                DrainAction::Fail => self.fail_pending(id),
            }
        }
        deadlines.remove(self.next_release.take());
        self.next_release = Some(deadlines.add(now + RELEASE_INTERVAL, Deadline::ReleaseDue));
    }

    /// Fails the pending requests of a connection, and closes it afterwards. A value that is being streamed
    /// continues.
    fn fail_pending(&mut self, id: u64) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let pending = client.slots.iter().filter_map(|slot| match slot {
            Slot::Waiting { request, .. } if request.0 != READY_REQUEST => {
                Some(ClientEvent::DrainOver { request: *request })
            }
            _ => None,
        });
        self.events.extend(pending);
        client.stop_taking();
    }
}
