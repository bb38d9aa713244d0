//! Operators' calls on nodes' second addresses, each on a thread of its own: a call that is not answered holds nobody up.

use crate::Micros;
use crate::ledger::{Book, Call, NodeNo, OperatorEvent};
use crate::stand::Clock;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

/// An answer is waited for so long.
const PATIENCE: Duration = Duration::from_secs(5);

/// An answer as it came.
struct Told {
    call: u32,
    at: Micros,
    ok: bool,
}

/// The operators of a run.
pub(super) struct Operators {
    clock: Clock,
    book: Book<OperatorEvent>,
    calls: u32,
    tell: Sender<Told>,
    told: Receiver<Told>,
}

impl Operators {
    pub(super) fn new(clock: Clock) -> Operators {
        let (tell, told) = channel();
        Operators { clock, book: Book::default(), calls: 0, tell, told }
    }

    /// Calls a node at that address.
    pub(super) fn call(&mut self, node: usize, at: SocketAddr, asks: Call, line: &'static str) {
        let call = self.calls;
        self.calls += 1;
        self.book.push(self.clock.now(), OperatorEvent::Called { call, node: NodeNo(node as u16), asks });
        let (tell, clock) = (self.tell.clone(), self.clock);
        std::thread::spawn(move || {
            if let Ok(answer) = ask(at, line) {
                // The run may be over.
                let _ = tell.send(Told { call, at: clock.now(), ok: answer.starts_with("ok") });
            }
        });
    }

    /// What was called and answered.
    pub(super) fn finish(mut self) -> Book<OperatorEvent> {
        for Told { call, at, ok } in self.told.try_iter() {
            self.book.push(at, OperatorEvent::Answered { call, ok });
        }
        self.book
    }
}

fn ask(at: SocketAddr, line: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&at, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.write_all(line.as_bytes())?;
    let mut answer = String::new();
    BufReader::new(stream).read_line(&mut answer)?;
    Ok(answer)
}
