//! Discovery on a socket: carries out what the watch orders, and tells it what comes of that.

use crate::{ReadinessHandler, Socket};
use calloop::LoopHandle;
use lapisrudder_config::{ListError, MemberList, Options, Target};
use lapisrudder_decisions::{Micros, Scope};
use lapisrudder_engine::{DiscoveryAnswer, Watch, WatchEvent, WatchOrder};
use lapisrudder_io::{Connecting, Opened, Read, Written, connect};
use std::collections::VecDeque;
use std::io::IoSlice;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A connect that finds nothing to connect with is tried again for so long before the call has failed.
const OPENS_FOR: Duration = Duration::from_millis(500);

/// News of the list, or that a call failed.
#[derive(Clone, Debug)]
pub enum DiscoveryUpdate {
    /// What discovery told.
    List {
        /// All of it, or what changed.
        scope: Scope,
        /// The members named.
        targets: Vec<Target>,
    },
    /// A call failed; the list in hand still holds.
    Failed,
}

/// The watch on the list of members.
pub struct Discovery<D: ReadinessHandler> {
    watch: Watch,
    handle: LoopHandle<'static, D>,
    owner: D::Owner,
    socket: Option<Socket<D>>,
    up: bool,
    /// A connect that found nothing to connect with, and since when it has been tried.
    unopened: Option<(SocketAddr, Instant)>,
    /// A call failed for a moment, and no readiness will tell.
    again: bool,
    news: VecDeque<DiscoveryUpdate>,
}

impl<D: ReadinessHandler> Discovery<D> {
    /// Of the discovery there; `revision` is that of the list in hand. `owner` is what the loop's data is
    /// told when its socket is ready.
    pub fn new(
        at: SocketAddr,
        revision: Option<u64>,
        handle: &LoopHandle<'static, D>,
        owner: D::Owner,
    ) -> Self {
        let watch = Watch::new(at, revision);
        Discovery {
            watch,
            handle: handle.clone(),
            owner,
            socket: None,
            up: false,
            unopened: None,
            again: false,
            news: VecDeque::new(),
        }
    }

    /// Where it is.
    pub fn address(&self) -> SocketAddr {
        self.watch.address()
    }

    /// The version of the list in hand.
    pub fn revision(&self) -> Option<u64> {
        self.watch.revision()
    }

    /// Goes to another address, and asks for all of the list there.
    pub fn move_to(&mut self, at: SocketAddr, now: Micros) {
        self.watch.move_to(at, now);
        self.carry_out();
    }

    /// Begins a watch, unless one is out.
    pub fn watch(&mut self, now: Micros) {
        self.watch.begin(now);
        self.carry_out();
    }

    /// What has come, in order.
    pub fn poll_update(&mut self) -> Option<DiscoveryUpdate> {
        self.news.pop_front()
    }

    /// When [`Discovery::wake`] is due.
    pub fn next_wake(&self) -> Option<Micros> {
        self.watch.next_wake()
    }

    /// Gives up a call that is not answered in time.
    pub fn wake(&mut self, now: Micros) {
        let news = self.watch.wake(now);
        self.tell(news);
        self.carry_out();
    }

    /// Its connection has something to tell. `options` name the zones and kinds of the list.
    pub fn on_ready(&mut self, scratch: &mut [u8], options: &Options, now: Micros) {
        self.again |= self.socket.as_mut().is_some_and(|socket| !socket.ensure_enabled());
        if let Some(socket) = self.socket.as_ref().filter(|_| !self.up) {
            match socket.connecting() {
                Connecting::Up => self.up = true,
                Connecting::Coming => return,
                Connecting::Unknown => return self.again = true,
                Connecting::Failed(e) => return self.broken(format!("cannot connect: {e}")),
            }
            self.watch.connected();
        } else {
            self.watch.writable();
        }
        self.carry_out();
        let decode = |body: &mut [u8]| {
            let list = MemberList::decode(body, options)?;
            let scope = if list.all { Scope::Full } else { Scope::Changes };
            let (revision, all) = (list.revision, list.all);
            Ok::<_, ListError>(DiscoveryAnswer { revision, all, list: DiscoveryUpdate::List { scope, targets: list.targets } })
        };
        // A call that goes out on a new connection ends the reading of the old one.
        while let Some(socket) = self.socket.as_ref().filter(|_| self.up) {
            let news = match socket.read(scratch) {
                Read::NotReady => return,
                Read::Later(_) => return self.again = true,
                Read::Bytes(n) => {
                    self.watch.received(now, scratch.get(..n).unwrap_or_default(), false, decode)
                }
                Read::End => self.watch.received(now, &[], true, decode),
                Read::Broken(e) => self.watch.broken(format!("cannot read: {e}")),
            };
            self.tell(news);
            self.carry_out();
        }
    }

    fn broken(&mut self, what: String) {
        let news = self.watch.broken(what);
        self.tell(news);
        self.carry_out();
    }

    fn tell(&mut self, news: Option<WatchEvent<DiscoveryUpdate>>) {
        self.news.extend(news.map(|news| match news {
            WatchEvent::List(list) => list,
            WatchEvent::Old(DiscoveryUpdate::List { targets, .. }) => DiscoveryUpdate::List { scope: Scope::Remembered, targets },
            WatchEvent::Old(DiscoveryUpdate::Failed) | WatchEvent::Failed => DiscoveryUpdate::Failed,
        }));
    }

    fn carry_out(&mut self) {
        while let Some(order) = self.watch.poll_order() {
            match order {
                WatchOrder::Connect { to } => self.open(to, Instant::now()),
                WatchOrder::Write => self.write(),
                WatchOrder::Close => {
                    (self.socket, self.up, self.unopened, self.again) = (None, false, None, false);
                }
            }
        }
    }

    fn open(&mut self, to: SocketAddr, since: Instant) {
        let why = match connect(to) {
            Opened::Begun(stream) => {
                let mut socket = Socket::edge(stream, &self.handle, self.owner);
                self.again = !socket.ensure_enabled();
                (self.socket, self.up) = (Some(socket), false);
                return;
            }
            Opened::Exhausted(_) if since.elapsed() < OPENS_FOR => return self.unopened = Some((to, since)),
            Opened::Exhausted(lack) => format!("cannot connect for want of {lack:?}"),
            Opened::Failed(e) => format!("cannot connect: {e}"),
        };
        let news = self.watch.broken(why);
        self.tell(news);
    }

    /// Something is to be come back to by [`Discovery::retry`].
    pub fn is_behind(&self) -> bool {
        self.again || self.unopened.is_some()
    }

    /// Comes back to what failed for a moment.
    pub fn retry(&mut self, scratch: &mut [u8], options: &Options, now: Micros) {
        if let Some((to, since)) = self.unopened.take() {
            self.open(to, since);
            self.carry_out();
        }
        if std::mem::take(&mut self.again) {
            self.on_ready(scratch, options, now);
        }
    }

    /// What the loop could have told of its connection may have been lost.
    pub fn look_again(&mut self) {
        self.again = self.socket.is_some();
    }

    fn write(&mut self) {
        while let Some(socket) = self.socket.as_ref().filter(|_| !self.watch.transmit().is_empty()) {
            match socket.write(&[IoSlice::new(self.watch.transmit())]) {
                Written::Full => return,
                Written::Later(_) => return self.again = true,
                Written::Bytes(n) => self.watch.transmitted(n),
                Written::Broken(e) => {
                    let news = self.watch.broken(format!("cannot write: {e}"));
                    return self.tell(news);
                }
            }
        }
    }
}
