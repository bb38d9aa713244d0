//! The way of lines to the stream: a bounded queue, and a thread that writes. Whoever logs never waits.

use crate::gate::{Shared, tell_dropped, tell_held};
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TryRecvError, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};
use tracing::Dispatch;
use tracing_subscriber::fmt::MakeWriter;

/// Lines, and bytes of them, that wait at most. Guards memory where nobody reads.
const MOST_LINES: usize = 1024;
const MOST_BYTES: usize = 256 << 10;
/// The end of a program waits so long for its last lines.
const FAREWELL: Duration = Duration::from_millis(200);
/// The thread that writes is tried to be had for this long.
const START_PATIENCE: Duration = Duration::from_secs(10);
/// The thread needs little: it writes, and formats a line now and then.
const STACK: usize = 256 << 10;

enum Message {
    Line(Vec<u8>),
    /// Look again at what is due.
    Wake,
    /// All is said; tell here once it is written.
    Finish(SyncSender<()>),
}

/// The end that lines go in at.
#[derive(Clone)]
pub(crate) struct Queue {
    sender: SyncSender<Message>,
    counts: Arc<Counts>,
}

#[derive(Default)]
struct Counts {
    /// Bytes that wait.
    bytes: AtomicUsize,
    /// Lines that found no room and have not been told of.
    dropped: AtomicU64,
}

/// The other end.
pub(crate) struct Writer {
    receiver: Receiver<Message>,
    counts: Arc<Counts>,
}

pub(crate) fn queue() -> (Queue, Writer) {
    let (sender, receiver) = sync_channel(MOST_LINES);
    let counts = Arc::<Counts>::default();
    (Queue { sender, counts: counts.clone() }, Writer { receiver, counts })
}

impl Queue {
    fn push(&self, line: &[u8]) {
        let length = line.len();
        let waiting = self.counts.bytes.fetch_add(length, Ordering::Relaxed) + length;
        let sent = waiting <= MOST_BYTES && self.sender.try_send(Message::Line(one_line(line))).is_ok();
        if !sent {
            self.counts.bytes.fetch_sub(length, Ordering::Relaxed);
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Makes the thread look at what is due. If there is no room it looks anyway, once it has written what waits.
    pub(crate) fn wake(&self) {
        let _ = self.sender.try_send(Message::Wake);
    }

    /// Waits until all is written, but not for long.
    pub(crate) fn finish(&self) {
        let until = Instant::now() + FAREWELL;
        let (tell, told) = sync_channel(1);
        let mut message = Message::Finish(tell);
        while let Err(e) = self.sender.try_send(message) {
            let (TrySendError::Full(back) | TrySendError::Disconnected(back)) = e;
            if Instant::now() >= until {
                return;
            }
            message = back;
            thread::sleep(Duration::from_millis(5));
        }
        let _ = told.recv_timeout(until.saturating_duration_since(Instant::now()));
    }
}

/// Guards the promise of one line an event: what others sent may be told, and may have line ends in it.
fn one_line(line: &[u8]) -> Vec<u8> {
    let mut line = line.to_vec();
    if let Some((_, inner)) = line.split_last_mut() {
        inner.iter_mut().filter(|b| matches!(b, b'\n' | b'\r')).for_each(|b| *b = b' ');
    }
    line
}

/// The formatter gives a whole line at a time.
impl Write for &Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.push(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Queue {
    type Writer = &'a Queue;

    fn make_writer(&'a self) -> &'a Queue {
        self
    }
}

impl Writer {
    /// Begins to write, on a thread of its own.
    pub(crate) fn start(
        self,
        out: impl Write + Send + 'static,
        shared: Arc<Shared>,
        dispatch: Dispatch,
    ) -> io::Result<()> {
        let builder = || thread::Builder::new().name("log".into()).stack_size(STACK);
        lapisrudder_io::spawn(START_PATIENCE, builder, move || self.run(out, &shared, &dispatch))
    }

    fn run(self, mut out: impl Write, shared: &Shared, dispatch: &Dispatch) {
        loop {
            let message = match self.receiver.try_recv() {
                Ok(message) => message,
                Err(TryRecvError::Disconnected) => return,
                Err(TryRecvError::Empty) => match self.wait(shared, dispatch) {
                    Some(message) => message,
                    None => return,
                },
            };
            match message {
                Message::Line(line) => {
                    // Nobody can be told that this failed.
                    let _ = lapisrudder_io::write_line(&mut out, &line);
                    self.counts.bytes.fetch_sub(line.len(), Ordering::Relaxed);
                }
                Message::Wake => {}
                Message::Finish(tell) => {
                    let _ = out.flush();
                    let _ = tell.send(());
                    return;
                }
            }
        }
    }

    /// Everything is written: tells what is due, and waits for more. `None` once nobody can log any more.
    fn wait(&self, shared: &Shared, dispatch: &Dispatch) -> Option<Message> {
        let dropped = self.counts.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            tell_dropped(dispatch, dropped);
        }
        let now = shared.now();
        let over = shared.cap().over(now);
        tell_held(dispatch, over);
        let next = shared.cap().next();
        let Some(next) = next else { return self.receiver.recv().ok() };
        let wait = Duration::from_micros(next.saturating_sub(now).max(0) as u64);
        match self.receiver.recv_timeout(wait) {
            Ok(message) => Some(message),
            Err(RecvTimeoutError::Timeout) => Some(Message::Wake),
            Err(RecvTimeoutError::Disconnected) => None,
        }
    }
}
