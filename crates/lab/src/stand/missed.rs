//! Which servers missed for which request: a value that the origin gives is stored there.

use crate::Micros;
use lapisrudder_model::value::RequestId;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// How long a miss is remembered. Longer than any request lasts.
const KEPT: Micros = 120_000_000;

/// Which servers missed for which request.
#[derive(Debug, Default)]
pub(crate) struct Missed {
    servers: FxHashMap<RequestId, Vec<usize>>,
    since: VecDeque<(Micros, RequestId)>,
}

impl Missed {
    pub(crate) fn add(&mut self, now: Micros, request: RequestId, server: usize) {
        while let Some((_, old)) = self.since.front().filter(|first| first.0 <= now - KEPT) {
            self.servers.remove(old);
            self.since.pop_front();
        }
        let servers = self.servers.entry(request).or_default();
        if servers.is_empty() {
            self.since.push_back((now, request));
        }
        if !servers.contains(&server) {
            servers.push(server);
        }
    }

    /// The origin has answered the request: who missed, in order.
    pub(crate) fn take(&mut self, request: RequestId) -> Vec<usize> {
        self.servers.get_mut(&request).map(std::mem::take).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn misses_are_given_once_and_forgotten_in_time() {
        let mut missed = Missed::default();
        missed.add(0, RequestId(1), 4);
        missed.add(1, RequestId(1), 2);
        missed.add(1, RequestId(1), 4);
        missed.add(2, RequestId(2), 4);
        assert_eq!(missed.take(RequestId(1)), [4, 2]);
        assert!(missed.take(RequestId(1)).is_empty());
        missed.add(KEPT + 2, RequestId(3), 1);
        assert!(missed.take(RequestId(2)).is_empty(), "it is too old");
        assert_eq!(missed.servers.len(), 1);
    }
}
