//! The socket to discovery: carries out the orders of the watch, and reports the results to it.

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

/// A connect that finds a resource of this machine exhausted is retried for this long before the call fails.
const CONNECT_RETRY_TIME: Duration = Duration::from_millis(500);

/// An update of the list, or the failure of a call.
#[derive(Clone, Debug)]
pub enum DiscoveryUpdate {
    /// A list from discovery.
    List {
        /// Whether it is complete, contains the changes, or is out of date.
        scope: Scope,
        /// The members in it.
        targets: Vec<Target>,
    },
    /// A call failed; the current list remains valid.
    Failed,
}

/// The watch on the list of members.
pub struct Discovery<D: ReadinessHandler> {
    watch: Watch,
    handle: LoopHandle<'static, D>,
    owner: D::Owner,
    socket: Option<Socket<D>>,
    up: bool,
    /// A connect that is retried because a resource is exhausted, and when it was first tried.
    pending_connect: Option<(SocketAddr, Instant)>,
    /// A read or write failed temporarily and has to be retried: the event loop does not report the socket
    /// again.
    retry_pending: bool,
    updates: VecDeque<DiscoveryUpdate>,
}

impl<D: ReadinessHandler> Discovery<D> {
    /// A watch on the discovery at this address; `revision` is the version of the current list. `owner`
    /// identifies the socket to the event loop's [`ReadinessHandler`].
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
            pending_connect: None,
            retry_pending: false,
            updates: VecDeque::new(),
        }
    }

    /// Address of discovery.
    pub fn address(&self) -> SocketAddr {
        self.watch.address()
    }

    /// Version of the current list.
    pub fn revision(&self) -> Option<u64> {
        self.watch.revision()
    }

    /// Moves to another address, and requests the complete list there.
    pub fn move_to(&mut self, at: SocketAddr, now: Micros) {
        self.watch.move_to(at, now);
        self.run_orders();
    }

    /// Starts a call, unless one is pending.
    pub fn watch(&mut self, now: Micros) {
        self.watch.begin(now);
        self.run_orders();
    }

    /// The next update, in order of arrival.
    pub fn poll_update(&mut self) -> Option<DiscoveryUpdate> {
        self.updates.pop_front()
    }

    /// Time at which [`Discovery::wake`] is due.
    pub fn next_wake(&self) -> Option<Micros> {
        self.watch.next_wake()
    }

    /// Gives up a call that was not answered in time.
    pub fn wake(&mut self, now: Micros) {
        let event = self.watch.wake(now);
        self.queue_update(event);
        self.run_orders();
    }

    /// The socket is ready. `options` has the names of the zones and kinds that the list uses.
    pub fn on_ready(&mut self, scratch: &mut [u8], options: &Options, now: Micros) {
        self.retry_pending |= self.socket.as_mut().is_some_and(|socket| !socket.ensure_enabled());
        if let Some(socket) = self.socket.as_ref().filter(|_| !self.up) {
            match socket.connecting() {
                Connecting::Up => self.up = true,
                Connecting::InProgress => return,
                Connecting::Unknown => return self.retry_pending = true,
                Connecting::Failed(e) => return self.broken(format!("cannot connect: {e}")),
            }
            self.watch.connected();
        } else {
            self.watch.writable();
        }
        self.run_orders();
        let decode = |body: &mut [u8]| {
            let list = MemberList::decode(body, options)?;
            let scope = if list.all { Scope::Full } else { Scope::Changes };
            let (revision, all) = (list.revision, list.all);
            Ok::<_, ListError>(DiscoveryAnswer {
                revision,
                all,
                list: DiscoveryUpdate::List { scope, targets: list.targets },
            })
        };
        // Stops when the socket is replaced: the next call may go out on a new connection.
        while let Some(socket) = self.socket.as_ref().filter(|_| self.up) {
            let event = match socket.read(scratch) {
                Read::NotReady => return,
                Read::Later(_) => return self.retry_pending = true,
                Read::Bytes(n) => {
                    self.watch.received(now, scratch.get(..n).unwrap_or_default(), false, decode)
                }
                Read::End => self.watch.received(now, &[], true, decode),
                Read::Broken(e) => self.watch.broken(format!("cannot read: {e}")),
            };
            self.queue_update(event);
            self.run_orders();
        }
    }

    fn broken(&mut self, what: String) {
        let event = self.watch.broken(what);
        self.queue_update(event);
        self.run_orders();
    }

    fn queue_update(&mut self, event: Option<WatchEvent<DiscoveryUpdate>>) {
        self.updates.extend(event.map(|event| match event {
            WatchEvent::List(list) => list,
            WatchEvent::Outdated(DiscoveryUpdate::List { targets, .. }) => {
                DiscoveryUpdate::List { scope: Scope::Remembered, targets }
            }
            WatchEvent::Outdated(DiscoveryUpdate::Failed) | WatchEvent::Failed => DiscoveryUpdate::Failed,
        }));
    }

    fn run_orders(&mut self) {
        while let Some(order) = self.watch.poll_order() {
            match order {
                WatchOrder::Connect { to } => self.open(to, Instant::now()),
                WatchOrder::Write => self.write(),
                WatchOrder::Close => {
                    (self.socket, self.up, self.pending_connect, self.retry_pending) =
                        (None, false, None, false);
                }
            }
        }
    }

    fn open(&mut self, to: SocketAddr, since: Instant) {
        let reason = match connect(to) {
            Opened::Begun(stream) => {
                let mut socket = Socket::edge(stream, &self.handle, self.owner);
                self.retry_pending = !socket.ensure_enabled();
                (self.socket, self.up) = (Some(socket), false);
                return;
            }
            Opened::Exhausted(_) if since.elapsed() < CONNECT_RETRY_TIME => {
                return self.pending_connect = Some((to, since));
            }
            Opened::Exhausted(scarce) => format!("cannot connect: out of {scarce:?}"),
            Opened::Failed(e) => format!("cannot connect: {e}"),
        };
        let event = self.watch.broken(reason);
        self.queue_update(event);
    }

    /// A connect waits for a resource of this machine that is exhausted, such as descriptors.
    pub fn lacks_resource(&self) -> bool {
        self.pending_connect.is_some()
    }

    /// A call has to be retried by [`Discovery::retry`].
    pub fn needs_retry(&self) -> bool {
        self.retry_pending || self.pending_connect.is_some()
    }

    /// Retries calls that failed temporarily.
    pub fn retry(&mut self, scratch: &mut [u8], options: &Options, now: Micros) {
        if let Some((to, since)) = self.pending_connect.take() {
            self.open(to, since);
            self.run_orders();
        }
        if std::mem::take(&mut self.retry_pending) {
            self.on_ready(scratch, options, now);
        }
    }

    /// Reads again at the next retry: the event loop may have lost a readiness event.
    pub fn recheck(&mut self) {
        self.retry_pending = self.socket.is_some();
    }

    fn write(&mut self) {
        while let Some(socket) = self.socket.as_ref().filter(|_| !self.watch.transmit().is_empty()) {
            match socket.write(&[IoSlice::new(self.watch.transmit())]) {
                Written::Full => return,
                Written::Later(_) => return self.retry_pending = true,
                Written::Bytes(n) => self.watch.transmitted(n),
                Written::Broken(e) => {
                    let event = self.watch.broken(format!("cannot write: {e}"));
                    return self.queue_update(event);
                }
            }
        }
    }
}
