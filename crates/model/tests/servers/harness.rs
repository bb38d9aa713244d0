//! Runs one server on a virtual clock.

use lapisrudder_model::Micros;
use lapisrudder_model::server::*;
use lapisrudder_model::value::{Key, RequestId, Uid};

pub struct Rig<K> {
    pub server: Server<K>,
    pub now: Micros,
}

/// A warm cache server.
pub fn cache(config: &CacheConfig) -> Rig<Cache> {
    Rig { server: CacheServer::new(config, Uid(1), 1, true, 0).unwrap(), now: 0 }
}

/// A read with its work in µs.
pub fn read(conn: u64, id: u64, key: u64, work_us: f64) -> Request {
    Request {
        conn: ConnId(conn),
        id: RequestId(id),
        key: Key(key),
        kind: Kind::Read,
        class: 0,
        size: 0,
        keyed: None,
        left_us: None,
        work_us: Some(work_us),
    }
}

impl<K: Storage> Rig<K> {
    /// Handles an event at the given time; returns all orders until then.
    pub fn at(&mut self, now: Micros, event: Event) -> Vec<Order> {
        let mut orders = self.run_to(now);
        self.server.handle(now, event);
        orders.extend(self.drain());
        orders
    }

    pub fn drain(&mut self) -> Vec<Order> {
        std::iter::from_fn(|| self.server.poll(self.now)).collect()
    }

    /// Polls at each due time up to the given time; returns all orders.
    pub fn run_to(&mut self, until: Micros) -> Vec<Order> {
        let mut orders = Vec::new();
        while let Some(due) = self.server.next().filter(|due| *due <= until) {
            assert!(due >= self.now, "due times go back: {due} after {}", self.now);
            self.now = due;
            orders.extend(self.drain());
        }
        self.now = until;
        orders
    }

    pub fn connect(&mut self, conns: std::ops::Range<u64>) {
        for conn in conns {
            assert_eq!(acts(&self.at(self.now, Event::Connect(ConnId(conn)))), [Act::Accepted(ConnId(conn))]);
        }
    }
}

pub fn acts(orders: &[Order]) -> Vec<Act> {
    orders.iter().map(|order| order.act).collect()
}

/// Time, request and answer of each answer.
pub fn answers(orders: &[Order]) -> Vec<(Micros, u64, Answer)> {
    let answer = |order: &Order| match order.act {
        Act::Answer(a) => Some((order.at, a.request.0, a.answer)),
        _ => None,
    };
    orders.iter().filter_map(answer).collect()
}

/// Time and request of each answer.
pub fn when(orders: &[Order]) -> Vec<(Micros, u64)> {
    answers(orders).into_iter().map(|(at, request, _)| (at, request)).collect()
}
