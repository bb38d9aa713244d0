//! The relay, which forwards datagrams between processes. Others send to a process through the relay's socket
//! for it.

use super::file::Way;
use crate::Micros;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::collections::{BTreeMap, BinaryHeap};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The maximum number of datagrams that are recorded for a replay.
const MAX_RECORDED: usize = 4000;
/// The longest time that the relay waits for datagrams, after which it polls the sockets of processes added
/// meanwhile too.
const MAX_WAIT: Duration = Duration::from_millis(5);

/// A process and the relay's socket for it.
struct Endpoint {
    /// The address from which the process sends and at which it receives.
    own: SocketAddr,
    /// The socket to which others send datagrams for the process.
    socket: Arc<UdpSocket>,
    /// Bytes that the process has sent since the last query.
    sent: u64,
}

/// A datagram that is to be delivered at a given time.
struct InTransit {
    at: Instant,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

impl PartialEq for InTransit {
    fn eq(&self, other: &InTransit) -> bool {
        self.at == other.at
    }
}
impl Eq for InTransit {}
impl PartialOrd for InTransit {
    fn partial_cmp(&self, other: &InTransit) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for InTransit {
    /// The datagram that is due first is the greatest, so that a max-heap returns it first.
    fn cmp(&self, other: &InTransit) -> std::cmp::Ordering {
        other.at.cmp(&self.at)
    }
}

struct Inner {
    endpoints: Vec<Endpoint>,
    /// By sender and receiver.
    links: BTreeMap<(usize, usize), Way>,
    in_transit: BinaryHeap<InTransit>,
    /// Datagrams that are held back until a fault is over.
    held: Vec<InTransit>,
    /// Sender, receiver and bytes of earlier datagrams.
    recorded: Vec<(usize, usize, Vec<u8>)>,
    rng: ChaCha8Rng,
}

/// The relay and its thread, which ends when the relay is dropped.
pub(super) struct Relay {
    inner: Arc<Mutex<Inner>>,
    over: Arc<AtomicBool>,
    /// The longest delay of the loop since the last query (ms).
    late: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

fn lock(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Relay {
    pub(super) fn start(seed: u64) -> Relay {
        let inner = Arc::new(Mutex::new(Inner {
            endpoints: Vec::new(),
            links: BTreeMap::new(),
            in_transit: BinaryHeap::new(),
            held: Vec::new(),
            recorded: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }));
        let (over, late) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let thread = {
            let (inner, over, late) = (inner.clone(), over.clone(), late.clone());
            std::thread::spawn(move || run_loop(&inner, &over, &late))
        };
        Relay { inner, over, late, thread: Some(thread) }
    }

    /// Adds a process that listens at `own`. Returns the address to which others are to send.
    pub(super) fn add(&self, own: SocketAddr) -> io::Result<SocketAddr> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.set_nonblocking(true)?;
        let at = socket.local_addr()?;
        lock(&self.inner).endpoints.push(Endpoint { own, socket: Arc::new(socket), sent: 0 });
        Ok(at)
    }

    /// Sets the properties of the link from one process to another.
    pub(super) fn set(&self, from: usize, to: usize, link: Way) {
        let mut inner = lock(&self.inner);
        inner.links.insert((from, to), link);
        if !link.hold {
            let (released, held) =
                std::mem::take(&mut inner.held).into_iter().partition(|m| (m.from, m.to) == (from, to));
            inner.held = held;
            inner.in_transit.extend::<Vec<InTransit>>(released);
        }
    }

    /// The number of bytes that each process has sent since the last call.
    pub(super) fn sent(&self) -> Vec<u64> {
        lock(&self.inner).endpoints.iter_mut().map(|endpoint| std::mem::take(&mut endpoint.sent)).collect()
    }

    /// Sends all recorded datagrams again.
    pub(super) fn replay(&self) {
        let mut inner = lock(&self.inner);
        let now = Instant::now();
        let all = inner.recorded.clone();
        inner.in_transit.extend(all.into_iter().map(|(from, to, bytes)| InTransit {
            at: now,
            from,
            to,
            bytes,
        }));
    }

    /// One of the recorded datagrams, selected by `draw`.
    pub(super) fn recorded_datagram(&self, draw: usize) -> Option<Vec<u8>> {
        let inner = lock(&self.inner);
        inner.recorded.get(draw % inner.recorded.len().max(1)).map(|(_, _, bytes)| bytes.clone())
    }

    /// The longest delay of the relay's loop since the last call (ms).
    pub(super) fn late_ms(&self) -> u64 {
        self.late.swap(0, Ordering::Relaxed)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Forwards datagrams until the relay is dropped.
fn run_loop(inner: &Mutex<Inner>, over: &AtomicBool, late: &AtomicU64) {
    let mut last = Instant::now();
    while !over.load(Ordering::Relaxed) {
        let (sockets, wait) = {
            let inner = lock(inner);
            let sockets: Vec<Arc<UdpSocket>> =
                inner.endpoints.iter().map(|endpoint| endpoint.socket.clone()).collect();
            let next = inner.in_transit.peek().map(|m| m.at.saturating_duration_since(Instant::now()));
            (sockets, next.map_or(MAX_WAIT, |next| next.min(MAX_WAIT)))
        };
        let mut fds: Vec<PollFd<'_>> = sockets.iter().map(|s| PollFd::new(&**s, PollFlags::IN)).collect();
        let wait = Timespec { tv_sec: 0, tv_nsec: wait.subsec_nanos().into() };
        // The result is not needed: `forward` reads all sockets, including those that were added meanwhile.
        let _ = poll(&mut fds, Some(&wait));
        let delay = last.elapsed().saturating_sub(MAX_WAIT).as_millis() as u64;
        late.fetch_max(delay, Ordering::Relaxed);
        last = Instant::now();
        lock(inner).forward();
    }
}

impl Inner {
    /// Reads the datagrams that have arrived, and sends those that are due.
    fn forward(&mut self) {
        let mut buffer = vec![0; 66_000];
        for to in 0..self.endpoints.len() {
            while let Some(endpoint) = self.endpoints.get(to) {
                match endpoint.socket.recv_from(&mut buffer) {
                    Ok((bytes, source)) => {
                        let bytes = buffer.get(..bytes).unwrap_or_default().to_vec();
                        // Datagrams from unknown senders are dropped.
                        if let Some(from) = self.endpoints.iter().position(|e| e.own == source) {
                            self.receive(from, to, bytes);
                        }
                    }
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                    // An earlier receiver has ended, which the socket reports as an error.
                    Err(_) => {}
                }
            }
        }
        let now = Instant::now();
        while self.in_transit.peek().is_some_and(|m| m.at <= now) {
            let Some(InTransit { from, to, bytes, .. }) = self.in_transit.pop() else { break };
            if let (Some(from), Some(to)) = (self.endpoints.get(from), self.endpoints.get(to)) {
                let _ = from.socket.send_to(&bytes, to.own);
            }
        }
    }

    /// Schedules a datagram by the properties of its link.
    fn receive(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.endpoints.get_mut(from).into_iter().for_each(|endpoint| endpoint.sent += bytes.len() as u64);
        if self.recorded.len() < MAX_RECORDED {
            self.recorded.push((from, to, bytes.clone()));
        }
        let link = self.links.get(&(from, to)).copied().unwrap_or_default();
        let copies = 1 + usize::from(self.rng.random_bool(link.double));
        for _ in 0..copies {
            if link.cut || self.rng.random_bool(link.loss) {
                continue;
            }
            let mut bytes = bytes.clone();
            if self.rng.random_bool(link.spoil) && !bytes.is_empty() {
                let at = self.rng.random_range(0..bytes.len());
                bytes[at] ^= 1 << self.rng.random_range(0..8);
            }
            let delay = link.delay_ms + self.rng.random_range(0.0..=link.jitter_ms.max(0.0));
            let at = Instant::now() + Duration::from_micros((delay * 1e3) as u64);
            let in_transit = InTransit { at, from, to, bytes };
            if link.hold { self.held.push(in_transit) } else { self.in_transit.push(in_transit) }
        }
    }
}

/// Microseconds since the given time.
pub(super) fn since(begun: Instant) -> Micros {
    begun.elapsed().as_micros() as Micros
}
