//! What is read from clients: commands, taken from the input as far as their client may have more pending, and
//! commands with large values, which are received apart as far as there is room for them.

use super::{
    ClientEvent, CloseReason, NOT_READY, READY_LINE, READY_REQUEST, STALL_THRESHOLD, State, VirtualServer,
    error, recount,
};
use crate::net::client::{Client, Slot};
use crate::net::receiving::{Receiving, UploadRead};
use lapisrudder::{Micros, RequestId};
use lapisrudder_codec::memcache::{self, Command, MAX_LINE, OwnedRequest, Request, SetCommand};
use lapisrudder_io::Probe;
use lapisrudder_limits::memory_account::HeldBytes;
use lapisrudder_limits::upload::Upload;
use rustc_hash::FxHashMap;
use tracing::info;

/// What was taken from the input of a client.
struct Taken {
    /// Number of bytes.
    bytes: usize,
    /// The last request.
    newest: Option<RequestId>,
}

impl VirtualServer {
    /// Reads once from a client that may have more.
    pub(super) fn read(&mut self, id: u64, scratch: &mut [u8], now: Micros) -> State {
        let Some(client) = self.clients.get_mut(&id).filter(|c| c.unread) else { return State::Open };
        // Without this check the requests of a client that has left would be sent to servers, since nothing
        // is read that reports its end.
        if client.is_read_blocked() {
            client.note_blocked(now);
            // The end of the connection arrives behind all that the client has sent.
            let left = match client.may_read_ahead() {
                true => client.read_ahead(scratch, self.account.room_for_input()),
                false => Probe::Unknown,
            };
            return match if left == Probe::Unknown { client.has_left() } else { left } {
                Probe::Yes => State::Closed(CloseReason::PeerEnded),
                Probe::No | Probe::Unknown => State::Open,
            };
        }
        // The client may have left while its connection waited to be accepted, or while the process was
        // stalled: its requests must not be sent to servers.
        let waited = client.is_fresh() || now - self.last_read > STALL_THRESHOLD;
        match if waited { client.has_left() } else { Probe::No } {
            Probe::No => {}
            Probe::Yes => return State::Closed(CloseReason::PeerEnded),
            Probe::Unknown => return State::Open,
        }
        let came_after = client.came_after(self.came_after);
        if client.receiving.is_some() {
            return self.read_upload(id, scratch, came_after, now);
        }
        let Some(buffer) = client.read(scratch, now) else { return State::Closed(CloseReason::PeerEnded) };
        let Taken { bytes, .. } = self.take_commands(id, buffer, came_after, OwnedRequest::copy_of);
        self.keep_rest(id, &buffer[bytes..], now);
        State::Open
    }

    /// Reads more of a command that is received apart. Its time counts from when its last byte can have
    /// arrived at the earliest, also if it was not read until there was room.
    fn read_upload(&mut self, id: u64, scratch: &mut [u8], came_after: Micros, now: Micros) -> State {
        let Some(client) = self.clients.get_mut(&id) else { return State::Open };
        match client.read_upload(scratch, &self.account, came_after, now) {
            UploadRead::Incomplete => {}
            UploadRead::Ended => return State::Closed(CloseReason::PeerEnded),
            UploadRead::Refused => {
                let retry_ms = self.admission.refuse_without_room(now, client.conn);
                let line = format!("SERVER_ERROR busy {retry_ms}\r\n");
                client.slots.push_back(Slot::Ready(line.into_bytes()));
            }
            UploadRead::Malformed => {
                client.slots.push_back(Slot::Ready(error("bad data chunk")));
                client.count_error();
                client.stop_taking();
            }
            UploadRead::Complete(command) => {
                let own = |request: &Request, _: &[u8]| OwnedRequest::in_buffer(request, &command);
                let Taken { newest, .. } = self.take_commands(id, &command, came_after, own);
                if let Some(request) = newest {
                    let uploads = Upload::taken(command.len());
                    self.upload_bytes.insert(request, uploads);
                    self.account.replace(HeldBytes::default(), HeldBytes { uploads, ..HeldBytes::default() });
                }
            }
        }
        State::Open
    }

    /// Takes the complete commands at the start of a buffer, as far as the client may have more pending. `own`
    /// makes a request that outlives the buffer, from the bytes of its command.
    fn take_commands(
        &mut self,
        id: u64,
        buffer: &[u8],
        came_after: Micros,
        own: impl Fn(&Request, &[u8]) -> Option<OwnedRequest>,
    ) -> Taken {
        let mut taken = Taken { bytes: 0, newest: None };
        // Room for the answers to the commands that are taken here, which is not counted yet.
        let mut expected = 0;
        while let Some(client) = self.clients.get_mut(&id).filter(|client| client.can_take_command()) {
            let rest = &buffer[taken.bytes..];
            match memcache::parse_command(rest) {
                Ok(None) => break,
                Err(what) => {
                    client.slots.push_back(Slot::Ready(error(what)));
                    client.count_error();
                    client.stop_taking();
                    // After this error the start of the next command is unknown.
                    taken.bytes = buffer.len();
                }
                Ok(Some((command, used))) => {
                    taken.bytes += used;
                    match command {
                        Command::Request(request) => {
                            // The first of a series can be sent as it comes, and a receipt is small.
                            let small = client.slots.is_empty() || request.write;
                            let answer = if small { 0 } else { self.answer_size.expected() };
                            expected += answer;
                            client.has_answer_room =
                                self.account.fits(expected + self.answer_size.expected());
                            let command = own(&request, &rest[..used]);
                            let number = self.take_request(id, command, answer, came_after);
                            taken.newest = Some(number);
                        }
                        Command::Ready => self.take_ready_call(id),
                        Command::Quit => client.stop_taking(),
                        Command::Bad(what) => {
                            client.slots.push_back(Slot::Ready(error(what)));
                            client.count_error();
                        }
                    }
                }
            }
        }
        taken
    }

    /// Takes a request, with room for `expected` bytes of its answer.
    fn take_request(
        &mut self,
        id: u64,
        command: Option<OwnedRequest>,
        expected: usize,
        came_after: Micros,
    ) -> RequestId {
        self.next_request += 1;
        let number = RequestId(self.next_request);
        if let Some(client) = self.clients.get_mut(&id) {
            client.slots.push_back(Slot::Waiting { request: number, expected });
        }
        if let Some(command) = command {
            self.events.push_back(ClientEvent::Command { client: id, request: number, command, came_after });
        }
        number
    }

    /// Answers `mn`, or has it wait until the node is ready.
    fn take_ready_call(&mut self, id: u64) {
        let line = match self.standby {
            Some(_) => Some(NOT_READY),
            None => self.ready.then_some(READY_LINE),
        };
        let Some(client) = self.clients.get_mut(&id) else { return };
        if let Some(line) = line {
            return client.slots.push_back(Slot::Ready(line.to_vec()));
        }
        client.slots.push_back(Slot::Waiting { request: RequestId(READY_REQUEST), expected: 0 });
        self.awaiting_ready.push(id);
    }

    /// Keeps what was not taken of a client's input. The beginning of a command with a large value, or of any
    /// command without room for it, is received apart from here on.
    fn keep_rest(&mut self, id: u64, rest: &[u8], now: Micros) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if !client.can_take_command() {
            // Complete commands may be left over, for which no edge-triggered event will come.
            client.unread = true;
            client.forget_arrival();
            return client.keep_rest(rest);
        }
        let more = rest.len().saturating_sub(client.counted.input);
        let upload = match SetCommand::at_start(rest) {
            Some(command) if command.is_large() => {
                let wait_ms = command.wait_ms().unwrap_or(0);
                let client_wait = Micros::try_from(wait_ms.saturating_mul(1000)).unwrap_or(Micros::MAX);
                Upload::new(command.length, rest.len(), now, client_wait)
            }
            Some(command) if rest.len() > MAX_LINE && !self.account.fits(more) => {
                Upload::refused(command.length, rest.len())
            }
            _ => return client.keep_rest(rest),
        };
        let waits = upload.is_waiting();
        let total = upload.missing() + rest.len();
        let receiving = Receiving::new(upload, rest).unwrap_or_else(|e| {
            info!("no address space for a command of {total} bytes: {e}");
            Receiving::refused(total, rest)
        });
        client.receive_apart(receiving, now);
        client.keep_rest(&[]);
        recount(&mut self.account, client);
        if waits {
            self.waiting_uploads.push(id);
            self.grant_uploads(now);
        }
    }

    /// Reserves room for commands that wait for it.
    pub(super) fn grant_uploads(&mut self, now: Micros) {
        let needs = |clients: &FxHashMap<u64, Client>, id| clients.get(&id)?.room_waited_for();
        while let Some(id) = self.waiting_uploads.grant(&self.account, |id| needs(&self.clients, id)) {
            let Some(client) = self.clients.get_mut(&id) else { continue };
            client.reserve_upload(now);
            recount(&mut self.account, client);
            self.touched.push(id);
        }
    }
}
