//! How clients' connections leave this process: let go between requests in a drain, or handed over to another process.

use super::{NOT_READY, News, READY, VirtualServer};
use crate::net::client::{Client, Slot};
use crate::net::deadlines::{Deadline, Deadlines};
use lapisrudder::time_limits::MAX_STALL;
use lapisrudder::{Micros, RequestId};
use lapisrudder_io::Stream;
use lapisrudder_limits::drain::{Drain, Phase, Release};
use std::os::fd::OwnedFd;

/// So much of a command goes along with its connection to another process at the most.
const HANDED_INPUT: usize = 64 << 10;
/// The arrival of who was here before a drain was called for.
const EARLIER: Micros = Micros::MIN / 2;
/// How often connections are looked at that are to be let go: a hundredth of the time that they have.
const LOOK_ROUND: Micros = 15_000;

impl VirtualServer {
    /// Another process takes all new connections from here on, and those there are as they come free.
    pub fn yield_clients(&mut self, deadlines: &mut Deadlines) {
        deadlines.remove(self.paused.take());
        self.accepting = false;
        self.keep_listening();
        self.ends = None;
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
        let came_after = now - MAX_STALL;
        let Some(id) = self.arrived(stream, peer, came_after, now, deadlines) else { return };
        if let Some(client) = self.clients.get_mut(&id) {
            client.has_come(came_after);
            (client.input, client.since_arrival) = (input, Micros::MIN);
            self.admission.spoke(now, client.conn);
            self.touched.push(id);
        }
    }

    /// Operators have told the node to drain, at that time, or to serve again. A repeated call changes nothing.
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
        for id in std::mem::take(&mut self.asked_ready) {
            self.answer(id, RequestId(READY), &[NOT_READY], now);
        }
        let ids: Vec<u64> = self.clients.keys().copied().collect();
        for id in ids {
            self.close_in_time(id, EARLIER, deadlines);
        }
        deadlines.add(drain.empties_queue_at(), Deadline::EmptyQueue);
        self.let_go(now, deadlines);
    }

    /// Operators have told the node to drain.
    pub fn is_standby(&self) -> bool {
        self.standby.is_some()
    }

    /// It answers `mn` with a yes.
    pub fn says_ready(&self) -> bool {
        self.ready && !self.is_standby()
    }

    /// New requests are refused: the drain is nearly over.
    pub fn refuses(&self, now: Micros) -> bool {
        self.standby.is_some_and(|drain| drain.refuses(now))
    }

    /// The process must end soon: clients' connections go at once, each between requests.
    pub(super) fn begin_end(&mut self, now: Micros, deadlines: &mut Deadlines) {
        if self.ends.is_none() {
            self.ends = Some(Drain::at_once(now));
            self.let_go(now, deadlines);
        }
    }

    /// Sets the time by which a connection that arrived then is closed, if the node drains.
    pub(super) fn close_in_time(&mut self, id: u64, arrived: Micros, deadlines: &mut Deadlines) {
        let Some(drain) = self.standby else { return };
        if let Some(client) = self.clients.get_mut(&id) {
            client.close_by = drain.closes(arrived);
            self.watch(id, deadlines);
        }
    }

    /// Who waits to be accepted is taken now, so that it is told in time, however short descriptors are.
    pub fn empty_queue(&mut self, now: Micros, deadlines: &mut Deadlines) {
        if self.is_standby() && self.accepting {
            self.resume(deadlines);
            self.take_all(now, deadlines);
        }
    }

    /// Lets go the connections whose time has come.
    pub fn let_go(&mut self, now: Micros, deadlines: &mut Deadlines) {
        let drains = [self.standby, self.ends];
        if drains == [None, None] {
            return;
        }
        let release = |(id, client): (&u64, &mut Client)| {
            let phases = drains.iter().flatten().map(|drain| drain.phase(*id, client.since_arrival, now));
            let phase = phases.max().unwrap_or(Phase::Before);
            let release =
                if phase == Phase::Before { Release::Stays } else { phase.release(client.drain_state()) };
            (release != Release::Stays).then_some((*id, release))
        };
        let released: Vec<_> = self.clients.iter_mut().filter_map(release).collect();
        for (id, release) in released {
            match release {
                Release::Stays => {}
                Release::Read => self.touched.push(id),
                Release::Close => self.part(id, now, deadlines),
                Release::Expire => self.expire(id),
                Release::Finish => self.clients.get_mut(&id).into_iter().for_each(Client::finish),
                Release::Fail => self.fail(id),
            }
        }
        deadlines.remove(self.round.take());
        self.round = Some(deadlines.add(now + LOOK_ROUND, Deadline::LetGo));
    }

    /// What is owed on a connection fails, and it closes. A value that is being passed on goes on.
    fn fail(&mut self, id: u64) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let owed = client.slots.iter().filter_map(|slot| match slot {
            Slot::Waiting(request) if request.0 != READY => Some(News::DrainOver { request: *request }),
            _ => None,
        });
        self.news.extend(owed);
        client.finish();
    }
}
