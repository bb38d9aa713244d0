//! How clients' connections leave this process: let go between requests in a drain, or handed over to another process.

use super::{NOT_READY, READY, VirtualServer};
use crate::net::client::Client;
use crate::net::deadlines::{Deadline, Deadlines};
use lapisrudder::time_limits::HOLD_UP;
use lapisrudder::{Micros, RequestId};
use lapisrudder_io::Stream;
use lapisrudder_limits::Activity;
use lapisrudder_limits::drain::{Drain, Release};
use std::os::fd::OwnedFd;

/// So much of a command goes along with its connection to another process at the most.
const HANDED_INPUT: usize = 64 << 10;
/// How often connections are looked at that are to be let go: a hundredth of the time that they have.
const LOOK_ROUND: Micros = 15_000;

impl VirtualServer {
    /// Another process takes all new connections from here on, and those there are as they come free.
    pub fn yield_clients(&mut self, deadlines: &mut Deadlines) {
        deadlines.remove(self.paused.take());
        self.accepting = false;
        self.keep_listening();
        self.drain = None;
    }

    /// That process is gone: all is as before.
    pub fn take_clients_back(&mut self) {
        for (id, client) in self.clients.iter_mut().filter(|(_, c)| c.leaving) {
            client.leaving = false;
            self.touched.push(*id);
        }
        self.begin_accepting();
    }

    /// Connections for the other process, so many at the most, with what was read of their next command. Nothing more
    /// is taken on any other that may go once its answers are out.
    pub fn leavers(
        &mut self,
        most: usize,
        now: Micros,
        deadlines: &mut Deadlines,
    ) -> Vec<(OwnedFd, Vec<u8>)> {
        for client in self.clients.values_mut() {
            client.leaving = client.input.len() <= HANDED_INPUT && client.upload.is_none();
        }
        let free: Vec<u64> =
            self.clients.iter().filter(|(_, c)| c.can_leave()).map(|(id, _)| *id).take(most).collect();
        let leave = |id| {
            let mut client = self.clients.remove(&id)?;
            let (conn, counted, deadline) = (client.conn, client.counted, client.deadline.take());
            match client.into_parts() {
                Ok(parts) => {
                    self.unread -= counted;
                    self.names.remove(&conn);
                    self.admission.left(now, conn);
                    deadlines.remove(deadline);
                    Some(parts)
                }
                // Danger: it was closed with the request that had come on it.
                Err(mut client) => {
                    client.deadline = deadline;
                    self.clients.insert(id, *client);
                    self.later.push(id);
                    None
                }
            }
        };
        free.into_iter().filter_map(leave).collect()
    }

    /// Goes on with a connection that another process had, or could not hand over.
    pub fn adopt(&mut self, stream: OwnedFd, input: Vec<u8>, now: Micros, deadlines: &mut Deadlines) {
        let Ok(stream) = Stream::adopt(stream.into()) else { return };
        let Ok(peer) = stream.peer() else { return };
        // Guards the room for reading, which what is left of a command must fit in.
        if input.len() > HANDED_INPUT {
            return;
        }
        // The process that had it may have been held up before it sent it on.
        let came_after = now - HOLD_UP;
        let Some(id) = self.arrived(stream, peer, came_after, now, deadlines) else { return };
        if let Some(client) = self.clients.get_mut(&id) {
            client.has_come(came_after);
            (client.input, client.since_arrival) = (input, Micros::MIN);
            self.admission.spoke(now, client.conn);
            self.touched.push(id);
        }
    }

    /// Operators tell the node to drain, or to serve again. Again is no harm.
    pub fn set_standby(&mut self, standby: bool, now: Micros, deadlines: &mut Deadlines) {
        if std::mem::replace(&mut self.standby, standby) == standby {
            return;
        }
        if standby {
            for id in std::mem::take(&mut self.asked_ready) {
                self.answer(id, RequestId(READY), &[NOT_READY], now);
            }
            self.begin_drain(Drain::standby(now), now, deadlines);
        } else {
            self.drain = None;
        }
    }

    /// Operators have told the node to drain.
    pub fn is_standby(&self) -> bool {
        self.standby
    }

    /// It answers `mn` with a yes.
    pub fn says_ready(&self) -> bool {
        self.ready && !self.standby
    }

    /// Clients' connections are let go from now on.
    pub(super) fn begin_drain(&mut self, drain: Drain, now: Micros, deadlines: &mut Deadlines) {
        self.drain = Some(drain);
        self.let_go(now, deadlines);
    }

    /// Lets go the connections whose time has come.
    pub fn let_go(&mut self, now: Micros, deadlines: &mut Deadlines) {
        let Some(drain) = self.drain else { return };
        let release = |(id, c): (&u64, &mut Client)| {
            // What has come was asked before the connection closed: it is heard first.
            let unread = c.room() && c.look();
            let activity = if c.upload.is_some() { Activity::Unfinished } else { c.activity() };
            let release = drain.release(*id, c.since_arrival, now, activity);
            // Danger: whole commands that waited behind the room for a pipeline got no answer. Once the drain is over, what is
            // not read goes elsewhere: its client sends it once more.
            let release = if c.is_blind() && !drain.is_over(now) { Release::Stays } else { release };
            (release != Release::Stays).then_some((*id, release, unread))
        };
        let released: Vec<_> = self.clients.iter_mut().filter_map(release).collect();
        for (id, release, unread) in released {
            match release {
                _ if unread && release != Release::Expire => self.touched.push(id),
                Release::Close => self.part(id, now, deadlines),
                Release::Expire => self.expire(id),
                _ => self.clients.get_mut(&id).into_iter().for_each(Client::finish),
            }
        }
        deadlines.remove(self.round.take());
        self.round = Some(deadlines.add(now + LOOK_ROUND, Deadline::LetGo));
    }
}
