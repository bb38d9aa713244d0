//! The protocol of discovery: one watch after another on one connection, as long as discovery answers. No
//! I/O, no clock.

use lapisrudder_codec::http;
use lapisrudder_decisions::Micros;
use std::collections::VecDeque;
use std::fmt::Display;
use std::net::SocketAddr;
use tracing::{info, warn};

/// Discovery answers a watch after this long if nothing has changed. Only then is a discovery noticed that
/// has stopped answering: a change that it did not report counts as known 6 s after it fell silent, and the
/// next call, made up to 0.5 s later and queued at the service for up to 2 s, must be answered by then. With
/// 4 s, nodes learned of a drain up to 6.5 s after the silence began, even without a queue.
const HOLD_TIME: Micros = 2_500_000;
/// How much longer than the hold time an answer is awaited. A reported change counts as known 2 s after the
/// hold time.
const ANSWER_GRACE: Micros = 1_500_000;
/// How much longer than the hold time the first answer on a connection is awaited. One service answers a
/// whole fleet one call after another, and accepted calls queue for up to 2 s. With a shorter timeout the
/// service worked off calls that had been given up, while the nodes made new ones: with a hundred nodes five
/// lists per second were discarded and one arrived. Nor may it be longer, since the first call may be the one
/// that is never answered.
const FIRST_ANSWER_GRACE: Micros = 3_500_000;
/// Hold time of the first watch on a connection. With the full hold time and the longer wait for the first
/// answer, a discovery that stopped answering was noticed only after 9 s, and a drain that it did not report
/// counts as known after 6 s.
const FIRST_HOLD: Micros = 500_000;
/// A discovery that lags behind has caught up after this long, since it detects a failed machine within 12 s.
/// One that still reports an older list has restarted its version numbers, and its list is accepted.
/// Otherwise nodes to which a failing discovery last reported that all members are gone would refuse every
/// request.
const CATCH_UP_TIMEOUT: Micros = 15_000_000;
/// Longer answers are not read.
const MAX_ANSWER_BYTES: usize = 4 << 20;
const PATH: &str = "/catalog/members";

/// What the host of a [`Watch`] has to do, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchOrder {
    /// Start to connect; there is no other connection.
    Connect {
        /// Address of discovery.
        to: SocketAddr,
    },
    /// Write the bytes of [`Watch::transmit`] as far as the socket takes them, and the rest when it is
    /// writable again.
    Write,
    /// Close the connection.
    Close,
}

/// The result of a call to discovery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent<T> {
    /// A list, as the host decoded it. The next call has been started.
    List(T),
    /// A complete list that is older than an earlier one, from this address or another: this discovery lags
    /// behind, or has restarted its version numbers. What it says of draining and removed members is out of
    /// date.
    Outdated(T),
    /// The call failed. The host decides when to call again.
    Failed,
}

/// An answer of discovery, as the host decoded it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryAnswer<T> {
    /// The version of the list after this answer.
    pub revision: u64,
    /// The answer is the complete list, and not only the changes.
    pub all: bool,
    /// The list.
    pub list: T,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Link {
    Down,
    Connecting,
    Up,
}

/// The watch on the list of members. The host owns the connection, decodes the lists, and decides when to
/// start a call.
#[derive(Debug)]
pub struct Watch {
    at: SocketAddr,
    link: Link,
    /// Number of calls on this connection.
    calls: u32,
    output: Vec<u8>,
    sent: usize,
    input: Vec<u8>,
    /// Deadline of the pending call.
    deadline: Option<Micros>,
    /// Version of the current list; with `None` the next call asks for the complete list.
    revision: Option<u64>,
    /// The highest version of any list received.
    newest: Option<u64>,
    /// Time since which all lists have been older than that.
    old_since: Option<Micros>,
    /// Failed calls since the last success.
    failed: u32,
    orders: VecDeque<WatchOrder>,
}

impl Watch {
    /// A watch on the discovery at this address. `revision` is the version of the current list, from which
    /// the first call continues.
    pub fn new(at: SocketAddr, revision: Option<u64>) -> Watch {
        Watch {
            at,
            link: Link::Down,
            calls: 0,
            output: Vec::new(),
            sent: 0,
            input: Vec::new(),
            deadline: None,
            revision,
            newest: revision,
            old_since: None,
            failed: 0,
            orders: VecDeque::new(),
        }
    }

    /// Address of discovery.
    pub fn address(&self) -> SocketAddr {
        self.at
    }

    /// Version of the current list.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Moves to another address. A pending call to the old address is dropped, as it may hang, and the
    /// complete list is requested at once, since version numbers of the two may not be comparable.
    pub fn move_to(&mut self, at: SocketAddr, now: Micros) {
        self.close();
        (self.at, self.revision, self.deadline) = (at, None, None);
        self.begin(now);
    }

    /// Starts a call, unless one is pending.
    pub fn begin(&mut self, now: Micros) {
        if self.deadline.is_none() {
            if self.old_since.is_some_and(|since| now - since >= CATCH_UP_TIMEOUT) {
                (self.revision, self.newest, self.old_since) = (None, None, None);
            }
            let grace = if self.link == Link::Up { ANSWER_GRACE } else { FIRST_ANSWER_GRACE };
            self.deadline = Some(now + self.hold().unwrap_or(0) + grace);
            self.call();
        }
    }

    /// How long discovery may hold the next call; a call for the complete list is not held.
    fn hold(&self) -> Option<Micros> {
        let longest = if self.link == Link::Up { HOLD_TIME } else { FIRST_HOLD };
        self.revision.map(|_| longest)
    }

    fn call(&mut self) {
        let path = match self.revision.zip(self.hold()) {
            Some((revision, hold)) => format!("{PATH}?from={revision}&hold_ms={}", hold / 1000),
            None => PATH.to_string(),
        };
        self.output.clear();
        http::write_get(&path, self.at, &mut self.output);
        (self.sent, self.calls) = (0, self.calls + 1);
        self.input.clear();
        match self.link {
            Link::Down => {
                (self.link, self.calls) = (Link::Connecting, 1);
                self.orders.push_back(WatchOrder::Connect { to: self.at });
            }
            Link::Connecting => {}
            Link::Up => self.orders.push_back(WatchOrder::Write),
        }
    }

    /// The next order for the host.
    pub fn poll_order(&mut self) -> Option<WatchOrder> {
        self.orders.pop_front()
    }

    /// The connection is established.
    pub fn connected(&mut self) {
        if self.link == Link::Connecting {
            self.link = Link::Up;
            self.writable();
        }
    }

    /// The connection can be written to again.
    pub fn writable(&mut self) {
        if self.link == Link::Up && self.sent < self.output.len() {
            self.orders.push_back(WatchOrder::Write);
        }
    }

    /// The bytes to be written.
    pub fn transmit(&self) -> &[u8] {
        self.output.get(self.sent..).unwrap_or_default()
    }

    /// The socket has taken this many bytes of [`Watch::transmit`].
    pub fn transmitted(&mut self, bytes: usize) {
        self.sent += bytes;
    }

    /// The connect failed, or the connection was reset or cannot be written to, as described by `what`.
    pub fn broken<T>(&mut self, what: impl Display) -> Option<WatchEvent<T>> {
        let kept = self.link == Link::Up && self.calls > 1 && self.input.is_empty();
        self.close();
        self.deadline?;
        if kept {
            // The connection was kept from an earlier call and may have been closed since; a new one is tried
            // once.
            self.call();
            return None;
        }
        Some(self.fail(what))
    }

    /// Bytes have arrived; `ended` says that no more will. `decode` parses the body of discovery's answer.
    pub fn received<T, E: Display>(
        &mut self,
        now: Micros,
        bytes: &[u8],
        ended: bool,
        decode: impl FnOnce(&mut [u8]) -> Result<DiscoveryAnswer<T>, E>,
    ) -> Option<WatchEvent<T>> {
        if self.deadline.is_none() {
            // No call is pending: discovery has closed an idle connection, or sent something unasked.
            self.close();
            return None;
        }
        self.input.extend_from_slice(bytes);
        let (status, keep, mut body) = match http::parse_response(&self.input, ended, MAX_ANSWER_BYTES) {
            Ok(Some((response, _))) => (response.status, response.keep_alive, response.body.into_owned()),
            Ok(None) if ended => return self.broken("connection closed before the answer was complete"),
            Ok(None) => return None,
            Err(what) => return Some(self.fail(what)),
        };
        if ended || !keep {
            self.close();
        }
        if status != 200 {
            return Some(self.fail(format_args!("status {status}")));
        }
        match decode(&mut body) {
            // Changes that end before the current list would undo later ones, and those in between are not
            // known.
            Ok(DiscoveryAnswer { revision, all: false, .. }) if self.revision > Some(revision) => {
                self.revision = None;
                Some(self.fail(format_args!("changes up to version {revision}, older than the current list")))
            }
            Ok(DiscoveryAnswer { revision, all, list }) => {
                let old = all && self.newest > Some(revision);
                if old {
                    self.old_since.get_or_insert(now);
                } else if self.newest <= Some(revision) {
                    (self.newest, self.old_since) = (Some(revision), None);
                }
                self.revision = Some(revision);
                let failed = std::mem::take(&mut self.failed);
                if failed > 0 {
                    info!(about = %self.at, failed, "discovery answers again");
                }
                // The next call follows at once, so that no change is missed.
                self.deadline = None;
                self.begin(now);
                Some(if old { WatchEvent::Outdated(list) } else { WatchEvent::List(list) })
            }
            Err(what) => {
                // Another call from the same version would get the same answer: the next one asks for the
                // complete list.
                self.revision = None;
                Some(self.fail(format_args!("malformed list, keeping the current one: {what}")))
            }
        }
    }

    /// Time at which [`Watch::wake`] is due.
    pub fn next_wake(&self) -> Option<Micros> {
        self.deadline
    }

    /// Gives up a call that was not answered in time.
    pub fn wake<T>(&mut self, now: Micros) -> Option<WatchEvent<T>> {
        self.deadline.filter(|at| *at <= now)?;
        Some(self.fail("no answer before the deadline"))
    }

    fn fail<T>(&mut self, what: impl Display) -> WatchEvent<T> {
        self.failed += 1;
        warn!(about = %self.at, "discovery: {what}");
        self.close();
        self.deadline = None;
        WatchEvent::Failed
    }

    fn close(&mut self) {
        if self.link == Link::Down {
            return;
        }
        self.link = Link::Down;
        let connect_not_taken = self.orders.iter().any(|order| matches!(order, WatchOrder::Connect { .. }));
        self.orders.retain(|order| *order == WatchOrder::Close);
        if !connect_not_taken {
            self.orders.push_back(WatchOrder::Close);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const FULL_LIST: &str = "GET /catalog/members HTTP/1.1";

    fn list(revision: u64) -> String {
        answer(&revision.to_string())
    }

    /// An answer whose body is a version, followed by `+` if it contains only changes.
    fn answer(body: &str) -> String {
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    }

    /// A watch, driven by a test in the place of the host.
    struct Fixture(Watch);

    impl Fixture {
        fn new() -> Fixture {
            let mut watch = Watch::new(([127, 0, 0, 1], 9).into(), None);
            watch.begin(0);
            Fixture(watch)
        }

        fn orders(&mut self) -> Vec<WatchOrder> {
            std::iter::from_fn(|| self.0.poll_order()).collect()
        }

        /// Writes what is ordered, and returns its first line.
        fn request_line(&mut self) -> String {
            let text = String::from_utf8_lossy(self.0.transmit()).into_owned();
            self.0.transmitted(text.len());
            text.lines().next().unwrap_or_default().into()
        }

        fn receive(&mut self, now: Micros, text: &str, ended: bool) -> Option<WatchEvent<u64>> {
            self.0.received(now, text.as_bytes(), ended, |body| {
                let body = String::from_utf8_lossy(body);
                let number = body.trim_end_matches('+').parse::<u64>();
                number.map(|n| DiscoveryAnswer { revision: n, all: !body.ends_with('+'), list: n })
            })
        }
    }

    #[test]
    fn the_next_watch_follows_at_once_and_is_repeated_once_if_the_kept_connection_was_closed() {
        let mut fixture = Fixture::new();
        let connect = WatchOrder::Connect { to: ([127, 0, 0, 1], 9).into() };
        assert_eq!(fixture.orders(), [connect]);
        fixture.0.connected();
        assert_eq!(
            (fixture.orders(), fixture.request_line().starts_with(FULL_LIST)),
            (vec![WatchOrder::Write], true)
        );
        let text = list(7);
        let (first, last) = text.split_at(20);
        assert_eq!(fixture.receive(5, first, false), None);
        assert_eq!(fixture.receive(5, last, false), Some(WatchEvent::List(7)));
        assert_eq!(fixture.orders(), [WatchOrder::Write]);
        assert!(fixture.request_line().contains("?from=7&hold_ms=2500"));
        assert_eq!(fixture.0.next_wake(), Some(5 + HOLD_TIME + ANSWER_GRACE));
        // Discovery closes the kept connection: the call is repeated once on a new one, and then fails.
        assert_eq!(fixture.receive(6, "", true), None);
        assert_eq!(fixture.orders(), [WatchOrder::Close, connect]);
        assert!(fixture.request_line().contains("from=7"));
        assert_eq!(fixture.0.broken::<u64>("refused"), Some(WatchEvent::Failed));
        assert_eq!((fixture.orders(), fixture.0.next_wake()), (vec![WatchOrder::Close], None));
    }

    #[test]
    fn a_call_fails_only_once_and_unasked_input_closes_the_connection() {
        let bad = list(1).replace("\r\n\r\n1", "\r\n\r\nx");
        let down = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
        for (text, ended) in [(bad.as_str(), false), (down, false), ("no HTTP\r\n\r\n", false), ("", true)] {
            let mut fixture = Fixture::new();
            fixture.0.connected();
            fixture.orders();
            assert_eq!(fixture.receive(1, text, ended), Some(WatchEvent::Failed), "{text:?}");
            assert_eq!(fixture.orders(), [WatchOrder::Close]);
            assert_eq!(fixture.receive(2, text, ended), None);
            assert_eq!(fixture.0.wake::<u64>(i64::MAX), None, "no call is pending");
        }
        let mut fixture = Fixture::new();
        assert_eq!(fixture.0.wake::<u64>(FIRST_ANSWER_GRACE - 1), None);
        assert_eq!(fixture.0.wake::<u64>(FIRST_ANSWER_GRACE), Some(WatchEvent::Failed));
        assert_eq!(fixture.orders(), [], "the host was not yet ordered to connect");
    }

    /// The service works off every call that it has accepted, one after another, whether the caller still
    /// waits or not.
    #[test]
    fn the_first_call_continues_from_the_current_list_and_waits_longer() {
        let mut fixture = Fixture(Watch::new(([127, 0, 0, 1], 9).into(), Some(0)));
        fixture.0.begin(0);
        fixture.0.connected();
        assert!(
            fixture.request_line().contains("?from=0&hold_ms=500"),
            "the first list of all has version 0"
        );
        assert_eq!(fixture.0.wake::<u64>(FIRST_ANSWER_GRACE), None);
        assert_eq!(fixture.receive(FIRST_ANSWER_GRACE, &list(1), false), Some(WatchEvent::List(1)));
        assert!(fixture.request_line().contains("?from=1&hold_ms=2500"));
        assert_eq!(
            fixture.0.next_wake(),
            Some(FIRST_ANSWER_GRACE + HOLD_TIME + ANSWER_GRACE),
            "later answers do not queue"
        );
    }

    /// A change that a silent discovery did not report counts as known 6 s after the silence began, on any
    /// connection. The next call is made up to 0.5 s later and may queue for up to 2 s, and has to be
    /// answered within 6.5 s of the silence.
    #[test]
    fn a_silent_watch_is_given_up_within_four_seconds() {
        for calls in 0..2 {
            let mut fixture = Fixture(Watch::new(([127, 0, 0, 1], 9).into(), Some(1)));
            fixture.0.begin(0);
            fixture.0.connected();
            (0..calls).for_each(|_| _ = fixture.receive(0, &list(1), false));
            assert_eq!(fixture.0.wake::<u64>(4_000_000), Some(WatchEvent::Failed), "call {calls}");
        }
    }

    /// An outdated list would report draining members as live, and outdated changes would undo later ones.
    #[test]
    fn a_list_older_than_an_earlier_one_is_recognized_at_any_address() {
        let mut fixture = Fixture::new();
        fixture.0.connected();
        assert_eq!(fixture.receive(1, &list(7), false), Some(WatchEvent::List(7)));
        assert_eq!(
            fixture.receive(2, &answer("7+"), false),
            Some(WatchEvent::List(7)),
            "nothing has changed"
        );
        assert_eq!(fixture.receive(3, &answer("9+"), false), Some(WatchEvent::List(9)));
        // Discovery has moved, and the new instance lags behind or has restarted its versions: its own then
        // go up.
        fixture.0.move_to(([127, 0, 0, 2], 9).into(), 4);
        fixture.0.connected();
        assert_eq!(fixture.receive(5, &list(8), false), Some(WatchEvent::Outdated(8)));
        assert_eq!(fixture.receive(6, &answer("8+"), false), Some(WatchEvent::List(8)));
        assert_eq!(fixture.receive(7, &list(8), false), Some(WatchEvent::Outdated(8)));
        assert_eq!(fixture.receive(8, &list(10), false), Some(WatchEvent::List(10)));
        // An instance that stays behind has restarted its versions: the complete list is requested again and
        // accepted.
        let mut fixture = Fixture(Watch::new(([127, 0, 0, 1], 9).into(), Some(90)));
        fixture.0.begin(0);
        fixture.0.connected();
        assert_eq!(fixture.receive(1, &list(3), false), Some(WatchEvent::Outdated(3)));
        assert_eq!(fixture.receive(CATCH_UP_TIMEOUT, &answer("3+"), false), Some(WatchEvent::List(3)));
        assert!(fixture.request_line().contains("from=3"));
        assert_eq!(fixture.receive(CATCH_UP_TIMEOUT + 1, &answer("4+"), false), Some(WatchEvent::List(4)));
        fixture.orders();
        assert!(fixture.request_line().starts_with(FULL_LIST));
        assert_eq!(fixture.receive(CATCH_UP_TIMEOUT + 2, &list(4), false), Some(WatchEvent::List(4)));
        assert!(fixture.request_line().contains("from=4"));
        assert_eq!(fixture.receive(CATCH_UP_TIMEOUT + 3, &list(3), false), Some(WatchEvent::Outdated(3)));
        // Changes that end before the current list: the complete list is requested.
        let mut fixture = Fixture(Watch::new(([127, 0, 0, 1], 9).into(), Some(10)));
        fixture.0.begin(8);
        fixture.0.connected();
        fixture.orders();
        assert_eq!(fixture.receive(9, &answer("6+"), false), Some(WatchEvent::Failed));
        fixture.0.begin(10);
        assert!(fixture.request_line().starts_with(FULL_LIST), "and not the changes from a version");
        fixture.0.connected();
        assert_eq!(fixture.receive(11, &list(6), false), Some(WatchEvent::Outdated(6)));
    }
}
