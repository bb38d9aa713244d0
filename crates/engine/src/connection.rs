//! A connection to a pool member and the server-side flows on it: the state of the protocol, without the
//! socket.

use crate::deadlines::Key;
use crate::flow::{Flow, FlowId};
use lapisrudder_codec::http;
use lapisrudder_codec::memcache::{self, Answer, MAX_BUFFERED_VALUE, MAX_LINE, MAX_VALUE, ReadNote};
use lapisrudder_decisions::permit::{Begin, Denial, Violations};
use lapisrudder_decisions::{Micros, Outcome, RequestId, ServerId};
use std::collections::VecDeque;
use std::net::SocketAddr;
use tracing::warn;

/// A buffer that has grown beyond this is not kept for reuse.
const MAX_RETAINED_CAPACITY: usize = 4 << 10;
/// Maximum number of buffered bytes of incomplete answers: a peer may send endlessly although no answer is
/// pending.
const MAX_BUFFERED: usize = 2 * (MAX_LINE + MAX_BUFFERED_VALUE + 2);
/// This many new bytes are first appended to an incomplete answer, to see whether they complete it; then
/// twice as many each time.
const FIRST_STEP: usize = 4 << 10;

/// No new flow is assigned to a connection for this long after an answer that does not name its request: all
/// answers of the origin, and refusals and failures of other members. An answer may arrive twice, the second
/// copy some milliseconds late (4 ms were seen); the next request on the connection would get the value of
/// the one before, or be reported as not run.
pub(crate) const SETTLE_TIME: Micros = 20_000;

/// The remaining time that an attempt states to its server is recomputed if the attempt has waited for this
/// long to be written.
const MAX_WAIT_AGE: Micros = 20_000;

/// A part of the answer to a flow.
pub(crate) enum AnswerPart<'a> {
    /// A complete answer, or the head of one whose value follows in pieces.
    Answer(Answer<'a>),
    /// A piece of that value.
    Piece(&'a [u8]),
    /// The value is complete.
    End(Option<ReadNote>),
}

/// How much of a flow was written when it was abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Abandoned {
    /// No byte was written.
    Unbegun,
    /// A part was written; the rest is still written if the connection stays open.
    Begun,
    /// It was written completely.
    Sent,
}

/// State of the first flow's value while it is passed on in pieces.
struct Body {
    left: usize,
    /// What remains of the line end that follows the value.
    tail: &'static [u8],
    note: Option<ReadNote>,
    keep: bool,
}

/// A flow on a connection. Answers arrive in the order of the slots.
struct Slot {
    flow: Flow,
    /// The bytes of the flow, the first `written` of which have been written; empty once all are.
    bytes: Vec<u8>,
    written: usize,
    /// No client waits for the flow any more; its answer is read and dropped.
    abandoned: bool,
    /// When the flow was assigned to the connection.
    assigned_at: Micros,
    /// When `bytes` was composed, with the time that remained then.
    composed_at: Micros,
}

impl Slot {
    /// Whether the flow may begin.
    fn permit(&self, now: Micros, server_open: bool) -> Result<(), Denial> {
        let Flow { shared, until, begin_by, .. } = &self.flow;
        Begin { now, pending: !shared.answered(), until: *until, begin_by: *begin_by, server_open }.check()
    }
}

/// Checks at the write itself that each flow whose first byte is written may begin.
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
    /// The deadline for the connect, or the end of the settle time or of the idle time.
    pub deadline: Option<Key>,
    input: Vec<u8>,
    /// A buffer for the bytes of the next flow.
    spare: Vec<u8>,
    slots: VecDeque<Slot>,
    body: Option<Body>,
    /// Reading is paused: the client of the large value takes no more for now.
    pub read_paused: bool,
    /// The connection has brought an answer before.
    has_answered: bool,
    /// The request that the last answer named, and whether it was a write.
    last_named: (Vec<u8>, bool),
    /// When the last answer came, if it did not name its request.
    pub last_unnamed: Option<Micros>,
    /// An answer that names no request followed right after another such answer: either may have been a
    /// second copy. Until an answer names the pending request, no refusal on this connection proves that a
    /// request did not run, and no new flow is assigned to it.
    pub ambiguous: bool,
    /// No new flow is assigned before this time: a late copy of the last answer would be taken for its
    /// answer.
    pub settles_at: Option<Micros>,
    /// The connection is to be flushed at the end of the event-loop iteration.
    pub write_pending: bool,
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
            slots: VecDeque::new(),
            body: None,
            read_paused: false,
            has_answered: false,
            last_named: (Vec::new(), false),
            last_unnamed: None,
            ambiguous: false,
            settles_at: None,
            write_pending: false,
        }
    }

    /// It is idle, and a flow may be assigned to it.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_idle() && self.settles_at.is_none()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.up && self.slots.is_empty()
    }

    /// The first flow was assigned before this time, and has no answer yet.
    pub(crate) fn is_stalled(&self, before: Micros) -> bool {
        self.slots.front().is_some_and(|slot| slot.assigned_at < before)
    }

    /// The number of flows on the connection, if another may be assigned behind them, and the negated time at
    /// which the first was assigned. Nothing is assigned behind a flow that stalls or was abandoned: the
    /// answers on this connection may have stopped.
    pub(crate) fn load(&self, max: usize, stalled: Micros) -> Option<(usize, Micros)> {
        let takes = self.up
            && self.body.is_none()
            && self.settles_at.is_none()
            && !self.ambiguous
            && self.slots.len() < max
            && self.slots.iter().all(|slot| !slot.abandoned);
        let first = self.slots.front().map_or(0, |slot| -slot.assigned_at);
        (takes && !self.is_stalled(stalled)).then_some((self.slots.len(), first))
    }

    /// A large value is arriving, and occupies the connection until its end.
    pub(crate) fn is_streaming(&self) -> bool {
        self.body.is_some()
    }

    /// Flows that are not abandoned, all slots, and buffered bytes.
    pub(crate) fn audit(&self) -> (usize, usize, usize) {
        let unwritten: usize = self.slots.iter().map(|slot| slot.bytes.len()).sum();
        let carried = self.slots.iter().filter(|slot| !slot.abandoned).count();
        (carried, self.slots.len(), unwritten + self.input.len())
    }

    /// The connection got its first flow in this event-loop iteration, and may get another.
    pub(crate) fn can_share(&self, max: usize) -> bool {
        let unbegun = |slot: &Slot| slot.written == 0 && !slot.bytes.is_empty() && !slot.abandoned;
        self.write_pending
            && !self.slots.is_empty()
            && self.slots.len() < max
            && self.slots.iter().all(unbegun)
    }

    pub(crate) fn carries(&self, flow: FlowId) -> bool {
        self.slots.iter().any(|slot| slot.flow.id == flow)
    }

    /// The flow is on this connection, and has been written completely.
    pub(crate) fn is_sent(&self, flow: FlowId) -> bool {
        self.slots.iter().any(|slot| slot.flow.id == flow && slot.bytes.is_empty())
    }

    /// At least one flow that is not abandoned has been written completely.
    pub(crate) fn expects_awaited(&self) -> bool {
        self.slots.iter().any(|slot| !slot.abandoned && slot.bytes.is_empty())
    }

    /// All flows on the connection are abandoned.
    pub(crate) fn is_abandoned(&self) -> bool {
        !self.slots.is_empty() && self.slots.iter().all(|slot| slot.abandoned)
    }

    /// Assigns a flow behind the others; it is written at the end of the event-loop iteration.
    pub(crate) fn assign(&mut self, flow: Flow, now: Micros) {
        let mut bytes = std::mem::take(&mut self.spare);
        self.compose(&flow, now, &mut bytes);
        self.slots.push_back(Slot {
            flow,
            bytes,
            written: 0,
            abandoned: false,
            assigned_at: now,
            composed_at: now,
        });
    }

    /// Encodes an attempt, with the time from now on for which its answer is awaited.
    fn compose(&self, flow: &Flow, now: Micros, bytes: &mut Vec<u8>) {
        let command = &flow.shared.request.command;
        bytes.clear();
        bytes.reserve(command.bytes() + 128);
        let wait_ms = ((flow.until - now) / 1000).max(1) as u64;
        if self.origin {
            http::write_request(&command.get(), self.endpoint, wait_ms, bytes);
        } else {
            command.write(wait_ms, bytes);
        }
    }

    /// Encodes unwritten attempts again whose stated time is out of date. A request that waits behind a full
    /// socket would otherwise state more time to its server than its client has left.
    pub(crate) fn refresh_wait(&mut self, now: Micros) {
        let old = |slot: &Slot| {
            slot.written == 0 && !slot.bytes.is_empty() && now - slot.composed_at > MAX_WAIT_AGE
        };
        let mut slots = std::mem::take(&mut self.slots);
        for slot in slots.iter_mut().filter(|slot| old(slot)) {
            self.compose(&slot.flow, now, &mut slot.bytes);
            slot.composed_at = now;
        }
        self.slots = slots;
    }

    /// Removes the flows that may not begin any more; a flow counts as sent from its first byte on. Reports
    /// those that were not abandoned.
    pub(crate) fn drop_unbegun(&mut self, now: Micros, server_open: bool, mut dropped: impl FnMut(FlowId)) {
        self.slots.retain(|slot| {
            let late = slot.written == 0 && (slot.abandoned || slot.permit(now, server_open).is_err());
            if late && !slot.abandoned {
                dropped(slot.flow.id);
            }
            !late
        });
    }

    /// Removes and reports the flows that have not begun and have no open request at the host.
    pub(crate) fn deny_unbegun(
        &mut self,
        is_open: impl Fn(RequestId) -> bool,
        mut denied: impl FnMut(FlowId),
    ) {
        self.slots.retain(|slot| {
            let denies = slot.written == 0 && !slot.bytes.is_empty() && !is_open(slot.flow.id.request);
            if denies {
                denied(slot.flow.id);
            }
            !denies
        });
    }

    /// The peer has sent something while no answer was pending.
    pub(crate) fn has_stray_input(&self) -> bool {
        self.front_is_unsent() && !self.input.is_empty()
    }

    /// The next byte to be written begins a flow, and no answer is pending before it. Before such a write the
    /// host checks the socket: the peer may have closed or sent something unasked that has not been read yet,
    /// and the flow would count as sent, and fail.
    pub(crate) fn front_is_unsent(&self) -> bool {
        self.slots.front().is_some_and(|slot| slot.written == 0 && !slot.bytes.is_empty())
    }

    /// Number of flows on the connection, including abandoned ones.
    pub(crate) fn flows(&self) -> usize {
        self.slots.len()
    }

    /// An answer is pending: the first flow has begun.
    pub(crate) fn expects(&self) -> bool {
        self.slots.front().is_some_and(|slot| slot.written > 0)
    }

    /// The bytes to be written, in order.
    pub(crate) fn transmit(&self) -> impl Iterator<Item = &[u8]> {
        self.slots.iter().filter_map(|slot| slot.bytes.get(slot.written..)).filter(|rest| !rest.is_empty())
    }

    /// The socket has taken this many bytes of [`transmit`](Connection::transmit).
    pub(crate) fn transmitted(&mut self, mut bytes: usize, checks: &mut WriteChecks) {
        for slot in self.slots.iter_mut().filter(|slot| !slot.bytes.is_empty()) {
            let taken = bytes.min(slot.bytes.len() - slot.written);
            if slot.written == 0 && taken > 0 {
                let permitted = slot.permit(checks.now, checks.server_open);
                checks.violations.record(permitted);
                checks.begun.push((slot.flow.id, permitted));
            }
            slot.written += taken;
            bytes -= taken;
            if slot.written < slot.bytes.len() {
                return;
            }
            let mut bytes = std::mem::take(&mut slot.bytes);
            if bytes.capacity() <= MAX_RETAINED_CAPACITY {
                bytes.clear();
                self.spare = bytes;
            }
        }
    }

    /// Takes the answers that are complete with these bytes; `ended` says that no more will arrive. False if
    /// the connection is of no further use. Answers are slices of `bytes`, except one whose first part was
    /// buffered.
    pub(crate) fn received(
        &mut self,
        bytes: &[u8],
        ended: bool,
        now: Micros,
        answered: &mut impl FnMut(&Flow, AnswerPart) -> bool,
    ) -> bool {
        let keep = match self.take(bytes, ended, now, answered) {
            Ok(keep) => keep,
            Err(what) => {
                warn!(about = %self.endpoint, "malformed answer, closing the connection: {what}");
                return false;
            }
        };
        // Bytes that no flow has asked for would be taken for the answer to the next flow.
        let stray = self.slots.front().is_none_or(|slot| slot.written == 0) && !self.input.is_empty();
        let ambiguous = self.ambiguous && self.slots.is_empty();
        keep && !ended && !stray && !ambiguous && !self.is_abandoned()
    }

    fn take(
        &mut self,
        mut bytes: &[u8],
        ended: bool,
        now: Micros,
        answered: &mut impl FnMut(&Flow, AnswerPart) -> bool,
    ) -> Result<bool, &'static str> {
        let (mut keep, mut step) = (true, FIRST_STEP);
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
            input.shrink_to(MAX_RETAINED_CAPACITY);
            self.input = input;
            if self.input.len() > MAX_BUFFERED {
                return Err("the incomplete answer is too long");
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

    /// Takes complete answers off the buffer. Returns the number of bytes taken, and whether the connection
    /// may be kept.
    fn take_answers(
        &mut self,
        buffer: &[u8],
        ended: bool,
        now: Micros,
        answered: &mut impl FnMut(&Flow, AnswerPart) -> bool,
    ) -> Result<(usize, bool), &'static str> {
        let (mut taken, mut keep) = (0, true);
        while let Some(slot) = self.slots.front().filter(|slot| keep && slot.bytes.is_empty()) {
            let rest = &buffer[taken..];
            if let Some(body) = &mut self.body {
                let piece = &rest[..body.left.min(rest.len())];
                if !piece.is_empty() {
                    // The value of an abandoned flow is skipped: other flows wait behind it.
                    self.read_paused = !slot.abandoned && !answered(&slot.flow, AnswerPart::Piece(piece));
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
                if !slot.abandoned {
                    answered(&slot.flow, AnswerPart::End(body.note));
                }
                (keep, self.body, self.read_paused, self.has_answered) = (body.keep, None, false, true);
                self.slots.pop_front();
                continue;
            }
            let command = &slot.flow.shared.request.command;
            let mut pass = |answer| !slot.abandoned && answered(&slot.flow, AnswerPart::Answer(answer));
            taken += if self.origin {
                let response = http::parse_response_or_head(rest, ended, MAX_BUFFERED_VALUE, MAX_VALUE)?;
                let Some((response, used)) = response else { break };
                if response.remaining_body > 0 {
                    let (left, keep) = (response.remaining_body, response.keep_alive);
                    if response.status != 200 || command.is_write() {
                        return Err("body too long");
                    }
                    self.last_unnamed = Some(now);
                    let wanted = pass(Answer::LargeValue { length: left, note: None });
                    self.start_body(Body { left, tail: b"", note: None, keep }, wanted);
                    taken += used;
                    continue;
                }
                (keep, self.last_unnamed) = (response.keep_alive, Some(now));
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
                // A second copy of the last answer, some milliseconds late, is skipped: taken for a bad
                // answer, it would close the connection under the next request.
                let (parsed, copy) = match parsed {
                    Err(what) if !self.last_named.0.is_empty() => (
                        memcache::parse_answer(rest, &self.last_named.0, self.last_named.1).or(Err(what)),
                        true,
                    ),
                    parsed => (parsed, false),
                };
                let Some((answer, used)) = parsed? else { break };
                if copy {
                    if matches!(answer, Answer::LargeValue { .. }) {
                        return Err("second copy of a large answer");
                    }
                    taken += used;
                    continue;
                }
                if let Answer::LargeValue { length, note } = answer {
                    (self.last_unnamed, self.ambiguous) = (None, false);
                    let wanted = pass(answer);
                    self.start_body(Body { left: length, tail: b"\r\n", note, keep: true }, wanted);
                    taken += used;
                    continue;
                }
                let named = !matches!(answer, Answer::Busy | Answer::Failed);
                let close = self.last_unnamed.is_some_and(|at| now - at < SETTLE_TIME);
                self.ambiguous = !named && (self.ambiguous || close);
                self.last_unnamed = Some(now).filter(|_| !named);
                if named {
                    self.last_named.0.clear();
                    self.last_named.0.extend_from_slice(command.id());
                    self.last_named.1 = command.is_write();
                }
                // What looks like a refusal may be a second copy of the last one, and the request may still
                // run. Passed on as a refusal, it would be repeated and have its effect twice.
                pass(if self.ambiguous { Answer::Failed } else { answer });
                used
            };
            self.has_answered = true;
            self.slots.pop_front();
        }
        Ok((taken, keep))
    }

    /// The value of the first flow follows. If it is not wanted, it is read and dropped.
    fn start_body(&mut self, body: Body, wanted: bool) {
        self.body = Some(body);
        self.slots.iter_mut().take(1).for_each(|slot| slot.abandoned |= !wanted);
    }

    /// Stops waiting for a flow, and returns how much of it was written. A flow that has not begun is
    /// removed.
    pub(crate) fn abandon(&mut self, flow: FlowId) -> Abandoned {
        let Some(i) = self.slots.iter().position(|slot| slot.flow.id == flow) else { return Abandoned::Sent };
        if self.slots[i].written == 0 && !self.slots[i].bytes.is_empty() {
            self.slots.remove(i);
            return Abandoned::Unbegun;
        }
        self.slots[i].abandoned = true;
        if self.slots[i].bytes.is_empty() { Abandoned::Sent } else { Abandoned::Begun }
    }

    /// Closes the connection. Each flow that is not abandoned either ends or is returned, to be assigned to
    /// another connection: once only, and only if no byte of it was sent and the connection had worked
    /// before. This way the close of an idle connection does not count as a failure of its member.
    pub(crate) fn close(self) -> impl Iterator<Item = Result<Flow, (FlowId, Outcome)>> {
        let has_answered = self.has_answered;
        self.slots.into_iter().filter(|slot| !slot.abandoned).map(move |slot| match slot {
            slot if slot.bytes.is_empty() => Err((slot.flow.id, Outcome::Broken)),
            slot if slot.written == 0 && has_answered && !slot.flow.moved => {
                Ok(Flow { moved: true, ..slot.flow })
            }
            slot => Err((slot.flow.id, Outcome::ConnectFailed)),
        })
    }
}
