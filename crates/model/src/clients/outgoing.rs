//! A try of a request as a memcache meta command.

use std::io::Write;

use crate::Micros;
use crate::arrivals::{Arrival, Class, RequestId};

/// A command to write on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutgoingRequest {
    /// The try's id.
    pub id: RequestId,
    /// The planned request.
    pub arrival: Arrival,
    /// Number of the try, from 0.
    pub attempt: u8,
    /// How long the client still waits for the response.
    pub wait: Micros,
    /// Whether the command carries `r=1`: it is not the first try, and its population marks retries.
    pub marked_retry: bool,
}

impl OutgoingRequest {
    /// The command line with its CRLF. For a write, the value of `arrival.size` bytes and another CRLF must
    /// follow.
    pub fn line(&self, class: &Class) -> Vec<u8> {
        let mut line = Vec::with_capacity(96);
        let key = self.arrival.key.0;
        // Writing to a `Vec` cannot fail.
        let _ = match class.write {
            true => write!(line, "ms {key:016x} {}", self.arrival.size),
            false => write!(line, "mg {key:016x} v"),
        };
        let wait = (self.wait / 1000).max(1);
        let _ = write!(line, " O{:016x} Pc={},d={wait}", self.id.0, class.name);
        if self.arrival.once != 0 {
            let _ = write!(line, ",k={:016x}", self.arrival.once);
        }
        line.extend_from_slice(if self.marked_retry { b",r=1\r\n" } else { b"\r\n" });
        line
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::keys::Key;

    #[test]
    fn command_lines_match_protocol() {
        let arrival = Arrival {
            number: 0,
            at: 0,
            population: 0,
            source: 0,
            class: 0,
            key: Key(0x7f3a_9c21_e0b4_d655),
            size: 5,
            once: 0x5c0f_6e1a_2b3d_4c59,
        };
        let id = RequestId(0x9b1f_03aa_5c7e_2d41);
        let put = OutgoingRequest { id, arrival, attempt: 0, wait: 480_900, marked_retry: false };
        let class = |name: &str, write| Class { name: name.into(), write, ..Class::default() };
        let read =
            OutgoingRequest { arrival: Arrival { once: 0, ..arrival }, marked_retry: true, wait: 300, ..put };
        for (ask, class, line) in [
            (
                put,
                class("put", true),
                "ms 7f3a9c21e0b4d655 5 O9b1f03aa5c7e2d41 Pc=put,d=480,k=5c0f6e1a2b3d4c59\r\n",
            ),
            (read, class("read", false), "mg 7f3a9c21e0b4d655 v O9b1f03aa5c7e2d41 Pc=read,d=1,r=1\r\n"),
        ] {
            assert_eq!(String::from_utf8_lossy(&ask.line(&class)), line);
        }
    }
}
