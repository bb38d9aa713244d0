//! The ways between processes: a socket for each, which others send to, and which hands on what they send.

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

/// Datagrams that are kept to be said again.
const KEPT: usize = 4000;
/// The relay looks up at least this often, so that a process that was added is heard.
const TURN: Duration = Duration::from_millis(5);

/// One end: a process, and the socket that stands for it.
struct End {
    /// Where the process sends from and hears.
    own: SocketAddr,
    /// Where others send to it.
    socket: Arc<UdpSocket>,
    sent: u64,
}

/// A datagram on its way.
struct Moving {
    at: Instant,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

impl PartialEq for Moving {
    fn eq(&self, other: &Moving) -> bool {
        self.at == other.at
    }
}
impl Eq for Moving {}
impl PartialOrd for Moving {
    fn partial_cmp(&self, other: &Moving) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Moving {
    /// The first to go is the greatest.
    fn cmp(&self, other: &Moving) -> std::cmp::Ordering {
        other.at.cmp(&self.at)
    }
}

struct Inner {
    ends: Vec<End>,
    ways: BTreeMap<(usize, usize), Way>,
    moving: BinaryHeap<Moving>,
    held: Vec<Moving>,
    kept: Vec<(usize, usize, Vec<u8>)>,
    rng: ChaCha8Rng,
}

/// The relay and its thread, which ends with it.
pub(super) struct Relay {
    inner: Arc<Mutex<Inner>>,
    over: Arc<AtomicBool>,
    late: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

fn lock(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Relay {
    pub(super) fn start(seed: u64) -> Relay {
        let inner = Arc::new(Mutex::new(Inner {
            ends: Vec::new(),
            ways: BTreeMap::new(),
            moving: BinaryHeap::new(),
            held: Vec::new(),
            kept: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }));
        let (over, late) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let thread = {
            let (inner, over, late) = (inner.clone(), over.clone(), late.clone());
            std::thread::spawn(move || turns(&inner, &over, &late))
        };
        Relay { inner, over, late, thread: Some(thread) }
    }

    /// Takes a process in that is at `own`; gives the address that others are to send to.
    pub(super) fn add(&self, own: SocketAddr) -> io::Result<SocketAddr> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.set_nonblocking(true)?;
        let at = socket.local_addr()?;
        lock(&self.inner).ends.push(End { own, socket: Arc::new(socket), sent: 0 });
        Ok(at)
    }

    /// What the way from one to another does from here on.
    pub(super) fn set(&self, from: usize, to: usize, way: Way) {
        let mut inner = lock(&self.inner);
        inner.ways.insert((from, to), way);
        if !way.hold {
            let (free, held) =
                std::mem::take(&mut inner.held).into_iter().partition(|m| (m.from, m.to) == (from, to));
            inner.held = held;
            inner.moving.extend::<Vec<Moving>>(free);
        }
    }

    /// Bytes that each has sent since this was last asked.
    pub(super) fn sent(&self) -> Vec<u64> {
        lock(&self.inner).ends.iter_mut().map(|end| std::mem::take(&mut end.sent)).collect()
    }

    /// Says again what was said before.
    pub(super) fn replay(&self) {
        let mut inner = lock(&self.inner);
        let now = Instant::now();
        let all = inner.kept.clone();
        inner.moving.extend(all.into_iter().map(|(from, to, bytes)| Moving { at: now, from, to, bytes }));
    }

    /// Something that was said before, by chance.
    pub(super) fn an_old_one(&self, draw: usize) -> Option<Vec<u8>> {
        let inner = lock(&self.inner);
        inner.kept.get(draw % inner.kept.len().max(1)).map(|(_, _, bytes)| bytes.clone())
    }

    /// The longest that the relay was late since this was last asked (ms).
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

fn turns(inner: &Mutex<Inner>, over: &AtomicBool, late: &AtomicU64) {
    let mut last = Instant::now();
    while !over.load(Ordering::Relaxed) {
        let (sockets, wait) = {
            let inner = lock(inner);
            let sockets: Vec<Arc<UdpSocket>> = inner.ends.iter().map(|end| end.socket.clone()).collect();
            let next = inner.moving.peek().map(|m| m.at.saturating_duration_since(Instant::now()));
            (sockets, next.map_or(TURN, |next| next.min(TURN)))
        };
        let mut fds: Vec<PollFd<'_>> = sockets.iter().map(|s| PollFd::new(&**s, PollFlags::IN)).collect();
        let wait = Timespec { tv_sec: 0, tv_nsec: wait.subsec_nanos().into() };
        // What is not told of is read in the next turn.
        let _ = poll(&mut fds, Some(&wait));
        let stood = last.elapsed().saturating_sub(TURN).as_millis() as u64;
        late.fetch_max(stood, Ordering::Relaxed);
        last = Instant::now();
        lock(inner).turn();
    }
}

impl Inner {
    /// Reads what has come, and sends what is due.
    fn turn(&mut self) {
        let mut buffer = vec![0; 66_000];
        for to in 0..self.ends.len() {
            while let Some(end) = self.ends.get(to) {
                match end.socket.recv_from(&mut buffer) {
                    Ok((bytes, source)) => {
                        let bytes = buffer.get(..bytes).unwrap_or_default().to_vec();
                        // Who is not known as a sender is nobody's.
                        if let Some(from) = self.ends.iter().position(|e| e.own == source) {
                            self.take(from, to, bytes);
                        }
                    }
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                    // Somebody to whom something was sent is gone.
                    Err(_) => {}
                }
            }
        }
        let now = Instant::now();
        while self.moving.peek().is_some_and(|m| m.at <= now) {
            let Some(Moving { from, to, bytes, .. }) = self.moving.pop() else { break };
            if let (Some(from), Some(to)) = (self.ends.get(from), self.ends.get(to)) {
                let _ = from.socket.send_to(&bytes, to.own);
            }
        }
    }

    fn take(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.ends.get_mut(from).into_iter().for_each(|end| end.sent += bytes.len() as u64);
        if self.kept.len() < KEPT {
            self.kept.push((from, to, bytes.clone()));
        }
        let way = self.ways.get(&(from, to)).copied().unwrap_or_default();
        let copies = 1 + usize::from(self.rng.random_bool(way.double));
        for _ in 0..copies {
            if way.cut || self.rng.random_bool(way.loss) {
                continue;
            }
            let mut bytes = bytes.clone();
            if self.rng.random_bool(way.spoil) && !bytes.is_empty() {
                let at = self.rng.random_range(0..bytes.len());
                bytes[at] ^= 1 << self.rng.random_range(0..8);
            }
            let delay = way.delay_ms + self.rng.random_range(0.0..=way.jitter_ms.max(0.0));
            let at = Instant::now() + Duration::from_micros((delay * 1e3) as u64);
            let moving = Moving { at, from, to, bytes };
            if way.hold { self.held.push(moving) } else { self.moving.push(moving) }
        }
    }
}

/// A time in microseconds since then.
pub(super) fn since(begun: Instant) -> Micros {
    begun.elapsed().as_micros() as Micros
}
