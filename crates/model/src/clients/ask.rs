//! A try as it goes on the wire.

use std::io::Write;

use crate::Micros;
use crate::arrivals::{Arrival, Class, RequestId};

/// One command to write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The try's id.
    pub id: RequestId,
    /// The request as planned.
    pub arrival: Arrival,
    /// Which try it is, from 0.
    pub attempt: u8,
    /// How long the client waits from now on.
    pub wait: Micros,
    /// A further try of a population that marks those.
    pub again: bool,
}

impl Ask {
    /// The command line with its CRLF. A write's value of `arrival.size` bytes and another CRLF follow.
    pub fn line(&self, class: &Class) -> Vec<u8> {
        let mut line = Vec::with_capacity(96);
        let key = self.arrival.key.0;
        // Writing to a vector cannot fail.
        let _ = match class.write {
            true => write!(line, "ms {key:016x} {}", self.arrival.size),
            false => write!(line, "mg {key:016x} v"),
        };
        let wait = (self.wait / 1000).max(1);
        let _ = write!(line, " O{:016x} Pc={},d={wait}", self.id.0, class.name);
        if self.arrival.once != 0 {
            let _ = write!(line, ",k={:016x}", self.arrival.once);
        }
        line.extend_from_slice(if self.again { b",r=1\r\n" } else { b"\r\n" });
        line
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::keys::Key;

    #[test]
    fn lines_are_those_of_the_protocol() {
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
        let put = Ask { id, arrival, attempt: 0, wait: 480_900, again: false };
        let class = |name: &str, write| Class { name: name.into(), write, ..Class::default() };
        let read = Ask { arrival: Arrival { once: 0, ..arrival }, again: true, wait: 300, ..put };
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
