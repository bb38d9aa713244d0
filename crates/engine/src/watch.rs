//! Discovery as a protocol: one watch after another on one connection, as long as it answers. No socket, no clock.

use lapisrudder_codec::http;
use lapisrudder_decisions::Micros;
use std::collections::VecDeque;
use std::fmt::Display;
use std::net::SocketAddr;
use tracing::{info, warn};

/// A watch is answered after this long, news or none. Short, since a silent discovery is noticed only then: what it misses counts
/// as told 6 s after it fell silent, and by then the next call must have been answered. That is asked for up to half a second
/// later, and waits in turn for up to 2 s. Danger: at 4 s a drain was heard of up to 6.5 s after the silence, if nobody waited.
const HOLD: Micros = 2_500_000;
/// How much longer an answer is waited for. What is told counts as told 2 s after the hold.
const GRACE: Micros = 1_500_000;
/// How much longer the first answer on a connection is waited for. Danger: one service answers a whole fleet in turn,
/// and calls that it takes in wait for up to 2 s. Given up sooner each was worked through for nobody and made anew: of a
/// hundred nodes five lists a second were thrown away and one came. No longer either: the first call may be the one that falls silent.
const IN_TURN: Micros = 3_500_000;
/// The first watch on a connection is answered after this long. Danger: waited for in turn and held as long as others, one
/// that fell silent was noticed 9 s later, and a drain that it missed counts as told 6 s after that silence.
const FIRST_HOLD: Micros = 500_000;
/// A discovery that lags behind has caught up after this long, and tells what has changed: a machine's silence is noticed
/// within 12 s. One that still says the same counts anew, and what it says holds. Danger: nodes that were told by a
/// discovery in its last moments that all had gone would refuse everything.
const CATCHES_UP: Micros = 15_000_000;
/// Answers longer than this are not read.
const LONGEST: usize = 4 << 20;
const PATH: &str = "/catalog/members";

/// What the host of a [`Watch`] is to do, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchOrder {
    /// Begin to connect; there is no other connection.
    Connect {
        /// Where to.
        to: SocketAddr,
    },
    /// Write what [`Watch::transmit`] gives, as far as it is taken; the rest when the connection takes more.
    Write,
    /// Close the connection.
    Close,
}

/// What a call to discovery brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchNews<T> {
    /// A list, as the host decoded it. The next call is out already.
    List(T),
    /// The same, and it is whole, but older than one that came before, here or at another address: a discovery that
    /// lags behind, or counts anew. What it says of who drains or has gone is no news.
    Old(T),
    /// The call failed. When to ask again is not decided here.
    Failed,
}

/// An answer of discovery, as the host decoded it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Told<T> {
    /// The version of the list that it brings to.
    pub revision: u64,
    /// It is all of the list, and not only what changed.
    pub all: bool,
    /// The list.
    pub list: T,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Link {
    Down,
    Coming,
    Up,
}

/// The watch on the list of members. Its host owns the connection, decodes the lists, and says when to begin.
#[derive(Debug)]
pub struct Watch {
    at: SocketAddr,
    link: Link,
    /// Calls made on this connection.
    calls: u32,
    output: Vec<u8>,
    sent: usize,
    input: Vec<u8>,
    /// A call is out until then.
    deadline: Option<Micros>,
    /// The list in hand; `None` asks for all of it.
    revision: Option<u64>,
    /// The latest version that any list had.
    newest: Option<u64>,
    /// Since when lists have been older than that.
    old_since: Option<Micros>,
    /// Calls that failed since the last that did not.
    failed: u32,
    orders: VecDeque<WatchOrder>,
}

impl Watch {
    /// Of the discovery there. `revision` is that of the list in hand, which the first call continues.
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

    /// Where discovery is.
    pub fn address(&self) -> SocketAddr {
        self.at
    }

    /// The version of the list in hand.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Goes to another address. Guards against a call to the old one that hangs: it is dropped, and all of the
    /// list is asked for at once, since nobody knows that versions count the same there.
    pub fn move_to(&mut self, at: SocketAddr, now: Micros) {
        self.close();
        (self.at, self.revision, self.deadline) = (at, None, None);
        self.begin(now);
    }

    /// Begins a call, unless one is out.
    pub fn begin(&mut self, now: Micros) {
        if self.deadline.is_none() {
            if self.old_since.is_some_and(|since| now - since >= CATCHES_UP) {
                (self.revision, self.newest, self.old_since) = (None, None, None);
            }
            let grace = if self.link == Link::Up { GRACE } else { IN_TURN };
            self.deadline = Some(now + self.hold().unwrap_or(0) + grace);
            self.call();
        }
    }

    /// How long the next call may wait for news; a call for all of the list does not.
    fn hold(&self) -> Option<Micros> {
        let longest = if self.link == Link::Up { HOLD } else { FIRST_HOLD };
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
                (self.link, self.calls) = (Link::Coming, 1);
                self.orders.push_back(WatchOrder::Connect { to: self.at });
            }
            Link::Coming => {}
            Link::Up => self.orders.push_back(WatchOrder::Write),
        }
    }

    /// What is to be done next.
    pub fn poll_order(&mut self) -> Option<WatchOrder> {
        self.orders.pop_front()
    }

    /// The connect has come up.
    pub fn connected(&mut self) {
        if self.link == Link::Coming {
            self.link = Link::Up;
            self.writable();
        }
    }

    /// The connection may be written to again.
    pub fn writable(&mut self) {
        if self.link == Link::Up && self.sent < self.output.len() {
            self.orders.push_back(WatchOrder::Write);
        }
    }

    /// What is to be written.
    pub fn transmit(&self) -> &[u8] {
        self.output.get(self.sent..).unwrap_or_default()
    }

    /// So many bytes of that were taken.
    pub fn transmitted(&mut self, bytes: usize) {
        self.sent += bytes;
    }

    /// The connect failed, or the connection was reset or cannot be written to: `what` tells.
    pub fn broken<T>(&mut self, what: impl Display) -> Option<WatchNews<T>> {
        let kept = self.link == Link::Up && self.calls > 1 && self.input.is_empty();
        self.close();
        self.deadline?;
        if kept {
            // It was kept from an earlier call and may have been closed meanwhile; a new one is tried once.
            self.call();
            return None;
        }
        Some(self.fail(what))
    }

    /// Bytes have come; `ended` tells that no more will. `decode` reads what discovery has answered.
    pub fn received<T, E: Display>(
        &mut self,
        now: Micros,
        bytes: &[u8],
        ended: bool,
        decode: impl FnOnce(&mut [u8]) -> Result<Told<T>, E>,
    ) -> Option<WatchNews<T>> {
        if self.deadline.is_none() {
            // Nothing is asked: it closed an idle connection, or spoke out of turn.
            self.close();
            return None;
        }
        self.input.extend_from_slice(bytes);
        let (status, keep, mut body) = match http::parse_response(&self.input, ended, LONGEST) {
            Ok(Some((response, _))) => (response.status, response.keep_alive, response.body.into_owned()),
            Ok(None) if ended => return self.broken("it closed the connection"),
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
            // Danger: changes of long ago would undo what has been told since. Nobody knows what lies between.
            Ok(Told { revision, all: false, .. }) if self.revision > Some(revision) => {
                self.revision = None;
                Some(self.fail(format_args!("changes up to version {revision}, older than the list in hand")))
            }
            Ok(Told { revision, all, list }) => {
                let old = all && self.newest > Some(revision);
                if old {
                    self.old_since.get_or_insert(now);
                } else if self.newest <= Some(revision) {
                    (self.newest, self.old_since) = (Some(revision), None);
                }
                self.revision = Some(revision);
                let failed = std::mem::take(&mut self.failed);
                if failed > 0 {
                    info!(about = %self.at, failed, "discovery: answers again");
                }
                // A watch goes on only if the next call comes at once.
                self.deadline = None;
                self.begin(now);
                Some(if old { WatchNews::Old(list) } else { WatchNews::List(list) })
            }
            Err(what) => {
                // The same version would only bring the same answer: next time all of the list.
                self.revision = None;
                Some(self.fail(format_args!("bad list, the old one is kept: {what}")))
            }
        }
    }

    /// When [`Watch::wake`] is due.
    pub fn next_wake(&self) -> Option<Micros> {
        self.deadline
    }

    /// Gives up a call that is not answered in time.
    pub fn wake<T>(&mut self, now: Micros) -> Option<WatchNews<T>> {
        self.deadline.filter(|at| *at <= now)?;
        Some(self.fail("no answer in time"))
    }

    fn fail<T>(&mut self, what: impl Display) -> WatchNews<T> {
        self.failed += 1;
        warn!(about = %self.at, "discovery: {what}");
        self.close();
        self.deadline = None;
        WatchNews::Failed
    }

    fn close(&mut self) {
        if self.link == Link::Down {
            return;
        }
        self.link = Link::Down;
        let unheard = self.orders.iter().any(|order| matches!(order, WatchOrder::Connect { .. }));
        self.orders.retain(|order| *order == WatchOrder::Close);
        if !unheard {
            self.orders.push_back(WatchOrder::Close);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WHOLE: &str = "GET /catalog/members HTTP/1.1";

    fn list(revision: u64) -> String {
        answer(&revision.to_string())
    }

    /// A version, of changes if `+` is behind it.
    fn answer(body: &str) -> String {
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    }

    /// A watch with the connection that its orders make.
    struct Desk(Watch);

    impl Desk {
        fn new() -> Desk {
            let mut watch = Watch::new(([127, 0, 0, 1], 9).into(), None);
            watch.begin(0);
            Desk(watch)
        }

        fn orders(&mut self) -> Vec<WatchOrder> {
            std::iter::from_fn(|| self.0.poll_order()).collect()
        }

        /// Writes what is ordered; the first line of it.
        fn asks(&mut self) -> String {
            let text = String::from_utf8_lossy(self.0.transmit()).into_owned();
            self.0.transmitted(text.len());
            text.lines().next().unwrap_or_default().into()
        }

        fn comes(&mut self, now: Micros, text: &str, ended: bool) -> Option<WatchNews<u64>> {
            self.0.received(now, text.as_bytes(), ended, |body| {
                let body = String::from_utf8_lossy(body);
                let number = body.trim_end_matches('+').parse::<u64>();
                number.map(|n| Told { revision: n, all: !body.ends_with('+'), list: n })
            })
        }
    }

    #[test]
    fn one_watch_follows_another_at_once_and_a_kept_connection_is_tried_anew_once() {
        let mut desk = Desk::new();
        let connect = WatchOrder::Connect { to: ([127, 0, 0, 1], 9).into() };
        assert_eq!(desk.orders(), [connect]);
        desk.0.connected();
        assert_eq!((desk.orders(), desk.asks().starts_with(WHOLE)), (vec![WatchOrder::Write], true));
        let text = list(7);
        let (first, last) = text.split_at(20);
        assert_eq!(desk.comes(5, first, false), None);
        assert_eq!(desk.comes(5, last, false), Some(WatchNews::List(7)));
        assert_eq!(desk.orders(), [WatchOrder::Write]);
        assert!(desk.asks().contains("?from=7&hold_ms=2500"));
        assert_eq!(desk.0.next_wake(), Some(5 + HOLD + GRACE));
        // It closes the kept connection: once more on a new one, then the call has failed.
        assert_eq!(desk.comes(6, "", true), None);
        assert_eq!(desk.orders(), [WatchOrder::Close, connect]);
        assert!(desk.asks().contains("from=7"));
        assert_eq!(desk.0.broken::<u64>("refused"), Some(WatchNews::Failed));
        assert_eq!((desk.orders(), desk.0.next_wake()), (vec![WatchOrder::Close], None));
    }

    #[test]
    fn a_call_fails_once_and_what_comes_unasked_ends_the_connection() {
        let bad = list(1).replace("\r\n\r\n1", "\r\n\r\nx");
        let down = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
        for (text, ended) in [(bad.as_str(), false), (down, false), ("no HTTP\r\n\r\n", false), ("", true)] {
            let mut desk = Desk::new();
            desk.0.connected();
            desk.orders();
            assert_eq!(desk.comes(1, text, ended), Some(WatchNews::Failed), "{text:?}");
            assert_eq!(desk.orders(), [WatchOrder::Close]);
            assert_eq!(desk.comes(2, text, ended), None);
            assert_eq!(desk.0.wake::<u64>(i64::MAX), None, "no call is out");
        }
        let mut desk = Desk::new();
        assert_eq!(desk.0.wake::<u64>(IN_TURN - 1), None);
        assert_eq!(desk.0.wake::<u64>(IN_TURN), Some(WatchNews::Failed));
        assert_eq!(desk.orders(), [], "its host never heard of the connection");
    }

    /// Guards a service that answers a whole fleet in turn: what it has taken in is worked through, heard or not.
    #[test]
    fn a_list_in_hand_is_continued_and_the_first_answer_is_waited_for_in_turn() {
        let mut desk = Desk(Watch::new(([127, 0, 0, 1], 9).into(), Some(0)));
        desk.0.begin(0);
        desk.0.connected();
        assert!(desk.asks().contains("?from=0&hold_ms=500"), "the first list there is has version 0");
        assert_eq!(desk.0.wake::<u64>(IN_TURN), None);
        assert_eq!(desk.comes(IN_TURN, &list(1), false), Some(WatchNews::List(1)));
        assert!(desk.asks().contains("?from=1&hold_ms=2500"));
        assert_eq!(desk.0.next_wake(), Some(IN_TURN + HOLD + GRACE), "later ones come at once or not at all");
    }

    /// Guards drains: what a watch misses that has fallen silent counts as told 6 s after that, on whichever connection; the next
    /// call is made up to half a second later, and what it waits in turn for, up to 2 s, is to be over half a second after those 6.
    #[test]
    fn a_silent_watch_is_given_up_soon_enough_to_hear_within_six_seconds_what_it_missed() {
        for calls in 0..2 {
            let mut desk = Desk(Watch::new(([127, 0, 0, 1], 9).into(), Some(1)));
            desk.0.begin(0);
            desk.0.connected();
            (0..calls).for_each(|_| _ = desk.comes(0, &list(1), false));
            assert_eq!(desk.0.wake::<u64>(4_000_000), Some(WatchNews::Failed), "call {calls}");
        }
    }

    /// Guards drains: an old list calls what has been told to drain live, and old changes undo what came after.
    #[test]
    fn what_is_older_than_what_came_before_is_told_apart_wherever_it_comes_from() {
        let mut desk = Desk::new();
        desk.0.connected();
        assert_eq!(desk.comes(1, &list(7), false), Some(WatchNews::List(7)));
        assert_eq!(desk.comes(2, &answer("7+"), false), Some(WatchNews::List(7)), "nothing has changed");
        assert_eq!(desk.comes(3, &answer("9+"), false), Some(WatchNews::List(9)));
        // It has moved, and the other one lags behind, or counts anew: from there on its own versions go up.
        desk.0.move_to(([127, 0, 0, 2], 9).into(), 4);
        desk.0.connected();
        assert_eq!(desk.comes(5, &list(8), false), Some(WatchNews::Old(8)));
        assert_eq!(desk.comes(6, &answer("8+"), false), Some(WatchNews::List(8)));
        assert_eq!(desk.comes(7, &list(8), false), Some(WatchNews::Old(8)));
        assert_eq!(desk.comes(8, &list(10), false), Some(WatchNews::List(10)));
        // One that stays behind for long counts anew: all is asked for once more, and what it says holds.
        let mut desk = Desk(Watch::new(([127, 0, 0, 1], 9).into(), Some(90)));
        desk.0.begin(0);
        desk.0.connected();
        assert_eq!(desk.comes(1, &list(3), false), Some(WatchNews::Old(3)));
        assert_eq!(desk.comes(CATCHES_UP, &answer("3+"), false), Some(WatchNews::List(3)));
        assert!(desk.asks().contains("from=3"));
        assert_eq!(desk.comes(CATCHES_UP + 1, &answer("4+"), false), Some(WatchNews::List(4)));
        desk.orders();
        assert!(desk.asks().starts_with(WHOLE));
        assert_eq!(desk.comes(CATCHES_UP + 2, &list(4), false), Some(WatchNews::List(4)));
        assert!(desk.asks().contains("from=4"));
        assert_eq!(desk.comes(CATCHES_UP + 3, &list(3), false), Some(WatchNews::Old(3)));
        // Changes that end before the list in hand: all is asked for.
        let mut desk = Desk(Watch::new(([127, 0, 0, 1], 9).into(), Some(10)));
        desk.0.begin(8);
        desk.0.connected();
        desk.orders();
        assert_eq!(desk.comes(9, &answer("6+"), false), Some(WatchNews::Failed));
        desk.0.begin(10);
        assert!(desk.asks().starts_with(WHOLE), "and not from any version");
        desk.0.connected();
        assert_eq!(desk.comes(11, &list(6), false), Some(WatchNews::Old(6)));
    }
}
