//! A connection to a pool member and the server-side flows on it, as the protocol has them: no socket.

use crate::deadlines::Key;
use crate::flow::{Flow, FlowId};
use lapisrudder_codec::http;
use lapisrudder_codec::memcache::{self, Answer, MAX_BUFFERED_VALUE, MAX_LINE, MAX_VALUE, ReadNote};
use lapisrudder_decisions::permit::{Begin, Denial, Violations};
use lapisrudder_decisions::{Micros, Outcome, RequestId, ServerId};
use std::collections::VecDeque;
use std::net::SocketAddr;
use tracing::warn;

/// Buffers larger than this are given back once empty.
const KEPT: usize = 4 << 10;
/// Bytes of answers that are not whole at the most. Guards memory: a peer may send on and on where nothing is due.
const HELD: usize = 2 * (MAX_LINE + MAX_BUFFERED_VALUE + 2);
/// So many bytes at first are put behind a part of an answer, to see whether it is whole with them.
const STEP: usize = 4 << 10;

/// A connection is given nothing new for this long after an answer that does not name its request: all of the origin's, and
/// refusals and failures of others. Danger: an answer may come twice, the second one some milliseconds late (4 were seen). Who
/// asked next on the connection was given the value of the one before, or told that it never ran.
pub(crate) const SETTLES: Micros = 20_000;

/// The time that an attempt tells its server is worked out anew if it has waited so long to be written.
const TOLD_FOR: Micros = 20_000;

/// What comes of a flow on a connection.
pub(crate) enum Heard<'a> {
    /// Its answer, or the head of one whose value follows.
    Answer(Answer<'a>),
    /// A piece of that value.
    Piece(&'a [u8]),
    /// All of it has come.
    End(Option<ReadNote>),
}

/// How far a flow was when nobody waited for it any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Abandoned {
    /// Nothing of it was written.
    Unbegun,
    /// Some of it was; the rest goes out if the connection lives on.
    Begun,
    /// All of it was.
    Sent,
}

/// The value of the first flow comes in pieces.
struct Body {
    left: usize,
    /// Of the line end behind it.
    tail: &'static [u8],
    note: Option<ReadNote>,
    keep: bool,
}

/// A flow on a connection. Its answer comes after those of the flows before it.
struct Place {
    flow: Flow,
    /// Its bytes, of which `written` are; empty once all are.
    bytes: Vec<u8>,
    written: usize,
    /// Nobody waits for it any more; its answer is read and dropped.
    abandoned: bool,
    /// When it was put here.
    put: Micros,
    /// When the time that it tells its server was worked out.
    told: Micros,
}

impl Place {
    /// Whether it may begin.
    fn permit(&self, now: Micros, server_open: bool) -> Result<(), Denial> {
        let Flow { call, until, begin_by, .. } = &self.flow;
        Begin { now, owed: !call.answered(), until: *until, begin_by: *begin_by, server_open }.check()
    }
}

/// Checks that what is written may begin, at the write itself.
pub(crate) struct WriteChecks<'a> {
    pub now: Micros,
    pub server_open: bool,
    pub violations: &'a mut Violations,
    /// Attempts whose first byte was written, and whether they were allowed to begin.
    pub begun: &'a mut Vec<(FlowId, Result<(), Denial>)>,
}

pub(crate) struct Connection {
    pub server: ServerId,
    pub endpoint: SocketAddr,
    pub origin: bool,
    pub up: bool,
    /// The time to be up by, or the end of its idle time.
    pub deadline: Option<Key>,
    input: Vec<u8>,
    /// Room for the bytes of the next flow.
    spare: Vec<u8>,
    places: VecDeque<Place>,
    body: Option<Body>,
    /// Nothing is to be read: the value's client takes no more for now.
    pub held: bool,
    /// It has brought an answer.
    proven: bool,
    /// The request that its last answer named, and whether that was a write.
    named: (Vec<u8>, bool),
    /// When its last answer came, if that did not name its request.
    pub unnamed: Option<Micros>,
    /// An answer that named no request came right behind another: either may have been a second copy. Before an answer names
    /// the request that is due no refusal proves anything, and nothing new goes on it.
    pub doubtful: bool,
    /// Nothing new goes on it before then: what still comes would be taken for the answer.
    pub settles: Option<Micros>,
    /// It is to be seen to at the end of the turn.
    pub queued: bool,
}

impl Connection {
    pub(crate) fn new(server: ServerId, endpoint: SocketAddr, origin: bool) -> Connection {
        Connection {
            server,
            endpoint,
            origin,
            up: false,
            deadline: None,
            input: Vec::new(),
            spare: Vec::new(),
            places: VecDeque::new(),
            body: None,
            held: false,
            proven: false,
            named: (Vec::new(), false),
            unnamed: None,
            doubtful: false,
            settles: None,
            queued: false,
        }
    }

    /// It may be given a flow of its own.
    pub(crate) fn ready(&self) -> bool {
        self.idle() && self.settles.is_none()
    }

    pub(crate) fn idle(&self) -> bool {
        self.up && self.places.is_empty()
    }

    /// The flow whose turn it is was put here before that time.
    pub(crate) fn stalls(&self, before: Micros) -> bool {
        self.places.front().is_some_and(|p| p.put < before)
    }

    /// Flows on it, if another may go behind them, and how long the first has been here, negated. Guards against
    /// a connection whose answers have stopped: where one stalls, or was given up, nothing new waits.
    pub(crate) fn load(&self, most: usize, stalled: Micros) -> Option<(usize, Micros)> {
        let takes = self.up
            && self.body.is_none()
            && self.settles.is_none()
            && !self.doubtful
            && self.places.len() < most
            && self.places.iter().all(|p| !p.abandoned);
        let first = self.places.front().map_or(0, |p| -p.put);
        (takes && !self.stalls(stalled)).then_some((self.places.len(), first))
    }

    /// A large value comes on it: nothing else does until its end.
    pub(crate) fn streams(&self) -> bool {
        self.body.is_some()
    }

    /// Flows that somebody waits for, all places, and bytes held.
    pub(crate) fn audit(&self) -> (usize, usize, usize) {
        let unwritten: usize = self.places.iter().map(|p| p.bytes.len()).sum();
        let carried = self.places.iter().filter(|p| !p.abandoned).count();
        (carried, self.places.len(), unwritten + self.input.len())
    }

    /// It was given its first flow in this turn, and may be given another.
    pub(crate) fn shares(&self, most: usize) -> bool {
        let unbegun = |p: &Place| p.written == 0 && !p.bytes.is_empty() && !p.abandoned;
        self.queued && !self.places.is_empty() && self.places.len() < most && self.places.iter().all(unbegun)
    }

    pub(crate) fn carries(&self, flow: FlowId) -> bool {
        self.places.iter().any(|p| p.flow.id == flow)
    }

    /// All of a flow on it is written.
    pub(crate) fn is_sent(&self, flow: FlowId) -> bool {
        self.places.iter().any(|p| p.flow.id == flow && p.bytes.is_empty())
    }

    /// Some flow on it that somebody waits for is written whole.
    pub(crate) fn expects_wanted(&self) -> bool {
        self.places.iter().any(|p| !p.abandoned && p.bytes.is_empty())
    }

    /// Nobody waits for anything on it.
    pub(crate) fn is_useless(&self) -> bool {
        !self.places.is_empty() && self.places.iter().all(|p| p.abandoned)
    }

    /// Puts a flow behind the others; it is written at the end of the turn.
    pub(crate) fn put(&mut self, flow: Flow, now: Micros) {
        let mut bytes = std::mem::take(&mut self.spare);
        self.compose(&flow, now, &mut bytes);
        self.places.push_back(Place { flow, bytes, written: 0, abandoned: false, put: now, told: now });
    }

    /// The attempt as it is written: it tells its server how long its answer is waited for from now on.
    fn compose(&self, flow: &Flow, now: Micros, bytes: &mut Vec<u8>) {
        let command = &flow.call.request.command;
        bytes.clear();
        bytes.reserve(command.bytes() + 128);
        let wait_ms = ((flow.until - now) / 1000).max(1) as u64;
        if self.origin {
            http::write_request(&command.get(), self.endpoint, wait_ms, bytes);
        } else {
            command.write(wait_ms, bytes);
        }
    }

    /// Tells anew how long answers are waited for where that has waited to be written. Danger: what lay behind a full socket
    /// told its server of time that its client no longer had.
    pub(crate) fn tell_anew(&mut self, now: Micros) {
        let old = |p: &Place| p.written == 0 && !p.bytes.is_empty() && now - p.told > TOLD_FOR;
        let mut places = std::mem::take(&mut self.places);
        for place in places.iter_mut().filter(|p| old(p)) {
            self.compose(&place.flow, now, &mut place.bytes);
            place.told = now;
        }
        self.places = places;
    }

    /// Takes off what may not begin any more: a send counts from its first byte. Gives those that somebody
    /// still waited for.
    pub(crate) fn drop_unbegun(&mut self, now: Micros, server_open: bool, mut dropped: impl FnMut(FlowId)) {
        self.places.retain(|p| {
            let late = p.written == 0 && (p.abandoned || p.permit(now, server_open).is_err());
            if late && !p.abandoned {
                dropped(p.flow.id);
            }
            !late
        });
    }

    /// Takes off what has not begun and has no open request at the host, and tells of it.
    pub(crate) fn deny_unbegun(
        &mut self,
        is_open: impl Fn(RequestId) -> bool,
        mut denied: impl FnMut(FlowId),
    ) {
        self.places.retain(|p| {
            let denies = p.written == 0 && !p.bytes.is_empty() && !is_open(p.flow.id.request);
            if denies {
                denied(p.flow.id);
            }
            !denies
        });
    }

    /// Its peer has spoken on out of turn, while nothing was asked for.
    pub(crate) fn is_stale(&self) -> bool {
        self.is_fresh() && !self.input.is_empty()
    }

    /// What is to be written next begins a flow, and nothing is due before it. Guards against a flow that would
    /// count as sent, and fail: the peer may have closed, or spoken out of turn, and nobody has told of it yet.
    pub(crate) fn is_fresh(&self) -> bool {
        self.places.front().is_some_and(|p| p.written == 0 && !p.bytes.is_empty())
    }

    /// Flows on it, those that nobody waits for any more included.
    pub(crate) fn flows(&self) -> usize {
        self.places.len()
    }

    /// Answers are due: some flow has begun.
    pub(crate) fn expects(&self) -> bool {
        self.places.front().is_some_and(|p| p.written > 0)
    }

    /// What is to be written, in order.
    pub(crate) fn transmit(&self) -> impl Iterator<Item = &[u8]> {
        self.places.iter().filter_map(|p| p.bytes.get(p.written..)).filter(|rest| !rest.is_empty())
    }

    /// So many bytes of that were written.
    pub(crate) fn transmitted(&mut self, mut bytes: usize, checks: &mut WriteChecks) {
        for place in self.places.iter_mut().filter(|p| !p.bytes.is_empty()) {
            let taken = bytes.min(place.bytes.len() - place.written);
            if place.written == 0 && taken > 0 {
                let permitted = place.permit(checks.now, checks.server_open);
                checks.violations.note(permitted);
                checks.begun.push((place.flow.id, permitted));
            }
            place.written += taken;
            bytes -= taken;
            if place.written < place.bytes.len() {
                return;
            }
            let mut bytes = std::mem::take(&mut place.bytes);
            if bytes.capacity() <= KEPT {
                bytes.clear();
                self.spare = bytes;
            }
        }
    }

    /// Takes the answers that are whole with what has come; `ended` tells that no more will. False if the connection
    /// is of no further use. Answers are slices of `bytes`, but for one whose first part came earlier.
    pub(crate) fn received(
        &mut self,
        bytes: &[u8],
        ended: bool,
        now: Micros,
        answered: &mut impl FnMut(&Flow, Heard) -> bool,
    ) -> bool {
        let keep = match self.take(bytes, ended, now, answered) {
            Ok(keep) => keep,
            Err(what) => {
                warn!(about = %self.endpoint, "an answer cannot be read: {what}");
                return false;
            }
        };
        // Guards the next flow: bytes that no flow has asked for would be taken for its answer.
        let stray = self.places.front().is_none_or(|p| p.written == 0) && !self.input.is_empty();
        let doubtful = self.doubtful && self.places.is_empty();
        keep && !ended && !stray && !doubtful && !self.is_useless()
    }

    fn take(
        &mut self,
        mut bytes: &[u8],
        ended: bool,
        now: Micros,
        answered: &mut impl FnMut(&Flow, Heard) -> bool,
    ) -> Result<bool, &'static str> {
        let (mut keep, mut step) = (true, STEP);
        while keep && !self.input.is_empty() && (ended || !bytes.is_empty()) {
            let (more, behind) = bytes.split_at(step.min(bytes.len()));
            let mut input = std::mem::take(&mut self.input);
            let held = input.len();
            input.extend_from_slice(more);
            let taken;
            (taken, keep) = self.take_answers(&input, ended && behind.is_empty(), now, answered)?;
            if taken >= held {
                bytes = &bytes[taken - held..];
                input.clear();
            } else {
                bytes = behind;
                input.drain(..taken);
            }
            input.shrink_to(KEPT);
            self.input = input;
            if self.input.len() > HELD {
                return Err("too long");
            }
            if behind.is_empty() {
                break;
            }
            step *= 2;
        }
        if keep && !bytes.is_empty() {
            let taken;
            (taken, keep) = self.take_answers(bytes, ended, now, answered)?;
            self.input.extend_from_slice(&bytes[taken..]);
        }
        Ok(keep)
    }

    /// Takes whole answers off the buffer. Gives the bytes taken and whether the connection may be kept.
    fn take_answers(
        &mut self,
        buffer: &[u8],
        ended: bool,
        now: Micros,
        answered: &mut impl FnMut(&Flow, Heard) -> bool,
    ) -> Result<(usize, bool), &'static str> {
        let (mut taken, mut keep) = (0, true);
        while let Some(place) = self.places.front().filter(|p| keep && p.bytes.is_empty()) {
            let rest = &buffer[taken..];
            if let Some(body) = &mut self.body {
                let piece = &rest[..body.left.min(rest.len())];
                if !piece.is_empty() {
                    // What nobody waits for is skipped: others wait behind it.
                    self.held = !place.abandoned && !answered(&place.flow, Heard::Piece(piece));
                }
                body.left -= piece.len();
                let line_end = &rest[piece.len()..];
                let line_end = &line_end[..body.tail.len().min(line_end.len())];
                if body.left == 0 && !body.tail.starts_with(line_end) {
                    return Err("bad data chunk");
                }
                taken += piece.len();
                if body.left > 0 || line_end.len() < body.tail.len() {
                    break;
                }
                taken += line_end.len();
                if !place.abandoned {
                    answered(&place.flow, Heard::End(body.note));
                }
                (keep, self.body, self.held, self.proven) = (body.keep, None, false, true);
                self.places.pop_front();
                continue;
            }
            let command = &place.flow.call.request.command;
            let mut pass = |answer| !place.abandoned && answered(&place.flow, Heard::Answer(answer));
            taken += if self.origin {
                let response = http::parse_response_or_head(rest, ended, MAX_BUFFERED_VALUE, MAX_VALUE)?;
                let Some((response, used)) = response else { break };
                if response.remaining_body > 0 {
                    let (left, keep) = (response.remaining_body, response.keep_alive);
                    if response.status != 200 || command.is_write() {
                        return Err("body too long");
                    }
                    self.unnamed = Some(now);
                    let wanted = pass(Answer::LargeValue { length: left, note: None });
                    self.begin(Body { left, tail: b"", note: None, keep }, wanted);
                    taken += used;
                    continue;
                }
                (keep, self.unnamed) = (response.keep_alive, Some(now));
                pass(match response.status {
                    200 if command.is_write() && !memcache::is_receipt(&response.body) => {
                        return Err("bad receipt");
                    }
                    200 if command.is_write() => Answer::Receipt { receipt: &response.body, note: None },
                    200 => Answer::Value { value: &response.body, note: None },
                    503 | 504 if response.declined => Answer::Busy,
                    _ => Answer::Failed,
                });
                used
            } else {
                let parsed = memcache::parse_answer(rest, command.id(), command.is_write());
                // Danger: a second copy, some milliseconds late, cost who asked next this connection.
                let (parsed, copy) = match parsed {
                    Err(what) if !self.named.0.is_empty() => {
                        (memcache::parse_answer(rest, &self.named.0, self.named.1).or(Err(what)), true)
                    }
                    parsed => (parsed, false),
                };
                let Some((answer, used)) = parsed? else { break };
                if copy {
                    if matches!(answer, Answer::LargeValue { .. }) {
                        return Err("a large answer came twice");
                    }
                    taken += used;
                    continue;
                }
                if let Answer::LargeValue { length, note } = answer {
                    (self.unnamed, self.doubtful) = (None, false);
                    let wanted = pass(answer);
                    self.begin(Body { left: length, tail: b"\r\n", note, keep: true }, wanted);
                    taken += used;
                    continue;
                }
                let named = !matches!(answer, Answer::Busy | Answer::Failed);
                let close = self.unnamed.is_some_and(|at| now - at < SETTLES);
                self.doubtful = !named && (self.doubtful || close);
                self.unnamed = Some(now).filter(|_| !named);
                if named {
                    self.named.0.clear();
                    self.named.0.extend_from_slice(command.id());
                    self.named.1 = command.is_write();
                }
                // Danger: the second copy of a refusal was taken for the next flow's, which runs: its effect came twice.
                pass(if self.doubtful { Answer::Failed } else { answer });
                used
            };
            self.proven = true;
            self.places.pop_front();
        }
        Ok((taken, keep))
    }

    /// The value of the first flow follows. It is read past where it is not wanted.
    fn begin(&mut self, body: Body, wanted: bool) {
        self.body = Some(body);
        self.places.iter_mut().take(1).for_each(|place| place.abandoned |= !wanted);
    }

    /// Stops waiting for a flow; tells how far it was. One that has not begun leaves.
    pub(crate) fn abandon(&mut self, flow: FlowId) -> Abandoned {
        let Some(i) = self.places.iter().position(|p| p.flow.id == flow) else { return Abandoned::Sent };
        if self.places[i].written == 0 && !self.places[i].bytes.is_empty() {
            self.places.remove(i);
            return Abandoned::Unbegun;
        }
        self.places[i].abandoned = true;
        if self.places[i].bytes.is_empty() { Abandoned::Sent } else { Abandoned::Begun }
    }

    /// What becomes of the flows on a connection that is over: how they end, or that they may go on another.
    /// They may do so once, and only where nothing of them was sent and the connection had worked before. Guards
    /// the decisions against taking an idle connection's close for a failure of its member.
    pub(crate) fn close(self) -> impl Iterator<Item = Result<Flow, (FlowId, Outcome)>> {
        let proven = self.proven;
        self.places.into_iter().filter(|p| !p.abandoned).map(move |p| match p {
            p if p.bytes.is_empty() => Err((p.flow.id, Outcome::Broken)),
            p if p.written == 0 && proven && !p.flow.moved => Ok(Flow { moved: true, ..p.flow }),
            p => Err((p.flow.id, Outcome::ConnectFailed)),
        })
    }
}
