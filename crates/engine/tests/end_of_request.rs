//! Each state of an attempt, combined with the end of its request by the host and with each later event: no
//! byte of the request is written any more. In memory, on a virtual clock.

use lapisrudder_codec::memcache::{OwnedRequest, RequestParts};
use lapisrudder_decisions::{Class, Key, Listed, Micros, Mode, RequestId, Scope, ServerId, Settings};
use lapisrudder_engine::{Answer, Config, Conn, Engine, Limits, Member, Order, Request};

const ORIGIN: u64 = 9;
const MS: Micros = 1_000;

/// The state of an attempt when its request ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Its connection is being established.
    Connecting,
    /// It is assigned to a connection, and not written.
    Unwritten,
    HalfWritten,
    /// It has been written completely.
    Sent,
    /// The same, and its hedging delay has passed: a second copy is in flight.
    Hedged,
    /// A first server has missed, and the next attempt has been ordered.
    Missed,
}

/// The event after the end of the request.
#[derive(Clone, Copy, Debug)]
enum Later {
    ConnectsComeUp,
    Miss,
    Busy,
    Failed,
    Close,
    Writable,
    Time,
}

const STATES: [State; 6] =
    [State::Connecting, State::Unwritten, State::HalfWritten, State::Sent, State::Hedged, State::Missed];
const LATER: [Later; 7] = [
    Later::ConnectsComeUp,
    Later::Miss,
    Later::Busy,
    Later::Failed,
    Later::Close,
    Later::Writable,
    Later::Time,
];

/// A host that writes as many bytes as the test allows.
struct Host {
    engine: Engine,
    now: Micros,
    /// Connections, and whether they are established.
    conns: Vec<(Conn, bool)>,
    /// Number of bytes that sockets still take.
    send_space: usize,
    written: usize,
    /// Connects succeed at once.
    connects: bool,
    ended: bool,
}

impl Host {
    fn new(may_cancel: bool) -> Host {
        let class = Class { latency_target: 20 * MS, worth: 1.0, ..Class::default() };
        let settings = Settings {
            classes: vec![class],
            mode: Mode::Aside,
            origin_kind: Some(1),
            max_attempts: 3,
            siblings: 1,
            may_cancel,
            second_copies: true,
            ..Settings::default()
        };
        let limits =
            Limits { connect_timeout: 50 * MS, in_all: 9, per_member: 2, to_origin: 2, ..Limits::default() };
        let mut engine = Engine::new(Config { settings, limits, ..Config::default() }, 0);
        let member = |id: u64| {
            let listed = Listed {
                server: ServerId(id),
                kind: u32::from(id == ORIGIN),
                weight: 1.0,
                ..Listed::default()
            };
            Member { listed, endpoint: ([127, 0, 0, 1], id as u16).into() }
        };
        engine.listed(Scope::Full, [1, 2, ORIGIN].map(member).into());
        Host { engine, now: 0, conns: Vec::new(), send_space: 0, written: 0, connects: true, ended: false }
    }

    fn ask(&mut self) {
        let parts =
            RequestParts { key: b"k", id: b"a", class: b"r", wait_ms: 900, ..RequestParts::default() };
        let command = OwnedRequest::compose(&parts).unwrap();
        self.engine.take(self.now, RequestId(1), Request::new(command, Key(1), 0, 900 * MS)).unwrap();
    }

    fn iterate(&mut self) {
        self.engine.wake(self.now);
        while let Some(order) = self.engine.poll_order(self.now) {
            match order {
                Order::Connect { conn, .. } => {
                    self.conns.push((conn, self.connects));
                    if self.connects {
                        self.engine.connected(self.now, conn);
                    }
                }
                Order::Write { conn, .. } => {
                    let open = !self.ended;
                    self.engine.check_write(self.now, conn, |_| open);
                    let bytes: usize = self.engine.transmit(conn).map(<[u8]>::len).sum();
                    let taken = bytes.min(self.send_space);
                    self.send_space -= taken;
                    self.written += taken;
                    self.engine.transmitted(conn, taken);
                }
                Order::Close { conn } => self.conns.retain(|(other, _)| *other != conn),
                _ => {}
            }
        }
    }

    fn advance(&mut self, time: Micros) {
        let until = self.now + time;
        while let Some(next) = self.engine.next_wake().filter(|next| *next <= until) {
            self.now = self.now.max(next);
            self.iterate();
        }
        self.now = until;
        self.iterate();
    }

    fn up(&self) -> Vec<Conn> {
        self.conns.iter().filter(|(_, up)| *up).map(|(conn, _)| *conn).collect()
    }

    fn answer(&mut self, bytes: &[u8]) {
        for conn in self.up() {
            let mut none = |_: RequestId, _: &Request, answer: Answer| panic!("{answer:?}");
            self.engine.received(self.now, conn, bytes, &mut none);
        }
        self.iterate();
    }

    fn bring_to(&mut self, state: State) {
        self.connects = state != State::Connecting;
        self.send_space = match state {
            State::Connecting | State::Unwritten => 0,
            State::HalfWritten => 7,
            State::Sent | State::Hedged | State::Missed => usize::MAX,
        };
        self.ask();
        self.iterate();
        match state {
            State::Hedged => self.advance(200 * MS),
            State::Missed => {
                // The socket of the next attempt is full.
                self.send_space = 0;
                self.answer(b"EN Oa\r\n");
            }
            _ => {}
        }
    }

    fn apply(&mut self, later: Later) {
        self.now += MS;
        match later {
            Later::ConnectsComeUp => {
                let coming: Vec<Conn> =
                    self.conns.iter().filter(|(_, up)| !up).map(|(conn, _)| *conn).collect();
                self.conns.iter_mut().for_each(|(_, up)| *up = true);
                coming.into_iter().for_each(|conn| self.engine.connected(self.now, conn));
            }
            Later::Miss => self.answer(b"EN Oa\r\n"),
            Later::Busy => self.answer(b"SERVER_ERROR busy\r\n"),
            Later::Failed => self.answer(b"SERVER_ERROR failed\r\n"),
            Later::Close => {
                let all: Vec<Conn> = self.conns.iter().map(|(conn, _)| *conn).collect();
                all.into_iter().for_each(|conn| self.engine.broken(self.now, conn));
            }
            Later::Writable => self.up().into_iter().for_each(|conn| self.engine.writable(conn)),
            Later::Time => {}
        }
        self.iterate();
        self.advance(2_000 * MS);
    }
}

/// Attempts that waited, or followed another, were sent for a request that its host had ended, in a
/// combination of states that no test covered.
#[test]
fn no_byte_of_a_request_is_written_after_its_end() {
    for may_cancel in [true, false] {
        for state in STATES {
            for later in LATER {
                let case = format!("{state:?}, {later:?}, may cancel: {may_cancel}");
                let mut host = Host::new(may_cancel);
                host.bring_to(state);
                let before = host.written;
                assert_eq!(before == 0, matches!(state, State::Connecting | State::Unwritten), "{case}");
                assert!(host.engine.is_open(RequestId(1)), "{case}");
                assert!(host.engine.client_left(host.now, RequestId(1)), "{case}");
                (host.ended, host.send_space, host.connects) = (true, usize::MAX, true);
                host.iterate();
                host.apply(later);
                assert_eq!(host.written, before, "{case}");
                assert_eq!((host.engine.open_count(), host.engine.denied()), (0, 0), "{case}");
            }
        }
    }
}
