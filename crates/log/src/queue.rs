//! A bounded queue of lines, and the thread that writes them to the stream. A thread that logs never waits.

use crate::layer::{Shared, log_dropped, log_suppressed};
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TryRecvError, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};
use tracing::Dispatch;
use tracing_subscriber::fmt::MakeWriter;

/// Maximum number of queued lines, and of their bytes: memory stays bounded if the stream is not read.
const MAX_LINES: usize = 1024;
const MAX_BYTES: usize = 256 << 10;
/// For how long the end of the program waits until its last lines are written.
const FINISH_TIMEOUT: Duration = Duration::from_millis(200);
/// For how long the start of the writer thread is retried.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Stack size of the writer thread: small, since it only writes, and formats a line now and then.
const STACK_BYTES: usize = 256 << 10;

enum Message {
    Line(Vec<u8>),
    /// Recheck when suppressed lines are due.
    Wake,
    /// No more lines follow; signal the sender once all are written.
    Finish(SyncSender<()>),
}

/// The sending end of the queue.
#[derive(Clone)]
pub(crate) struct Queue {
    sender: SyncSender<Message>,
    counts: Arc<Counts>,
}

#[derive(Default)]
struct Counts {
    /// Bytes of queued lines.
    bytes: AtomicUsize,
    /// Lines that were dropped because the queue was full, and not yet reported.
    dropped: AtomicU64,
}

/// The receiving end of the queue.
pub(crate) struct Writer {
    receiver: Receiver<Message>,
    counts: Arc<Counts>,
}

pub(crate) fn queue() -> (Queue, Writer) {
    let (sender, receiver) = sync_channel(MAX_LINES);
    let counts = Arc::<Counts>::default();
    (Queue { sender, counts: counts.clone() }, Writer { receiver, counts })
}

impl Queue {
    fn push(&self, line: &[u8]) {
        let length = line.len();
        let waiting = self.counts.bytes.fetch_add(length, Ordering::Relaxed) + length;
        let sent = waiting <= MAX_BYTES && self.sender.try_send(Message::Line(one_line(line))).is_ok();
        if !sent {
            self.counts.bytes.fetch_sub(length, Ordering::Relaxed);
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Makes the writer thread recheck what is due. If the queue is full this is not needed: the thread
    /// rechecks once it has written the queued lines.
    pub(crate) fn wake(&self) {
        let _ = self.sender.try_send(Message::Wake);
    }

    /// Waits until all lines are written, for at most [`FINISH_TIMEOUT`].
    pub(crate) fn finish(&self) {
        let deadline = Instant::now() + FINISH_TIMEOUT;
        let (done, done_receiver) = sync_channel(1);
        let mut message = Message::Finish(done);
        while let Err(e) = self.sender.try_send(message) {
            let (TrySendError::Full(back) | TrySendError::Disconnected(back)) = e;
            if Instant::now() >= deadline {
                return;
            }
            message = back;
            thread::sleep(Duration::from_millis(5));
        }
        let _ = done_receiver.recv_timeout(deadline.saturating_duration_since(Instant::now()));
    }
}

/// Replaces line ends within a line by spaces. An event may quote what a peer sent, line ends included, but
/// must stay one line.
fn one_line(line: &[u8]) -> Vec<u8> {
    let mut line = line.to_vec();
    if let Some((_, inner)) = line.split_last_mut() {
        inner.iter_mut().filter(|b| matches!(b, b'\n' | b'\r')).for_each(|b| *b = b' ');
    }
    line
}

/// The formatter writes a complete line at a time.
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
    /// Starts the writer thread.
    pub(crate) fn start(
        self,
        out: impl Write + Send + 'static,
        shared: Arc<Shared>,
        dispatch: Dispatch,
    ) -> io::Result<()> {
        let builder = || thread::Builder::new().name("log".into()).stack_size(STACK_BYTES);
        lapisrudder_io::spawn(START_TIMEOUT, builder, move || self.run(out, &shared, &dispatch))
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
                    // An error is ignored: there is nowhere to report it.
                    let _ = lapisrudder_io::write_line(&mut out, &line);
                    self.counts.bytes.fetch_sub(line.len(), Ordering::Relaxed);
                }
                Message::Wake => {}
                Message::Finish(done) => {
                    let _ = out.flush();
                    let _ = done.send(());
                    return;
                }
            }
        }
    }

    /// Called when the queue is empty: logs what is due, and waits for the next message. `None` once all
    /// senders are gone.
    fn wait(&self, shared: &Shared, dispatch: &Dispatch) -> Option<Message> {
        let dropped = self.counts.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            log_dropped(dispatch, dropped);
        }
        let now = shared.now();
        let expired = shared.limiter().take_expired(now);
        log_suppressed(dispatch, expired);
        let next = shared.limiter().next_due();
        let Some(next) = next else { return self.receiver.recv().ok() };
        let wait = Duration::from_micros(next.saturating_sub(now).max(0) as u64);
        match self.receiver.recv_timeout(wait) {
            Ok(message) => Some(message),
            Err(RecvTimeoutError::Timeout) => Some(Message::Wake),
            Err(RecvTimeoutError::Disconnected) => None,
        }
    }
}
