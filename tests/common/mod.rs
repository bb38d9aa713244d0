//! A balancer on a hand-turned clock, for the tests of the module.
#![allow(dead_code)]

use lapisrudder::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
/// An answer after a third of the aim: neither quick enough to show that its server bears more, nor late.
pub const TELLS_NOTHING: Micros = 170 * MS;

pub struct Desk {
    pub balancer: Balancer,
    pub now: Micros,
    pub next: u64,
}

pub fn class(effect: Effect) -> Class {
    Class { latency_target: 500 * MS, worth: 1.0, effect, repeat_window: S, ..Class::default() }
}

/// Classes 0, 1, 2 are safe, keyed, unsafe.
pub fn settings() -> Settings {
    Settings {
        classes: vec![class(Effect::Safe), class(Effect::Keyed), class(Effect::Unsafe)],
        over_share_worth: 1.0,
        siblings: 3,
        ask_within: 10 * S,
        max_attempts: 3,
        may_cancel: true,
        second_copies: true,
        max_retry_after: S,
        start_capacity: 0.2,
        cold: 20 * S,
        tip_multiple: 3.0,
        tip_window: S,
        ..Settings::default()
    }
}

pub fn listed(server: u64) -> Listed {
    Listed { server: ServerId(server), weight: 1.0, ..Listed::default() }
}

impl Desk {
    pub fn new(settings: Settings, list: Vec<Listed>) -> Desk {
        let mut desk = Desk { balancer: Balancer::new(7, settings, 0), now: S, next: 0 };
        desk.event(Event::Servers { scope: Scope::Remembered, list });
        desk
    }

    pub fn of(servers: u64) -> Desk {
        Desk::new(settings(), (1..=servers).map(listed).collect())
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.balancer.handle(self.now, event, &mut out);
        out
    }

    pub fn list(&mut self, scope: Scope, list: Vec<Listed>) -> Vec<Action> {
        self.event(Event::Servers { scope, list })
    }

    pub fn request(&mut self, key: u64, class: usize, write: bool) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let request = RequestId(self.next);
        let new = NewRequest {
            request,
            key: Some(Key(key)),
            write,
            class,
            tenant: 0,
            hint: None,
            repeated: false,
            due: self.now + 2 * S,
            reserve: 0,
        };
        (request, self.event(Event::Request(new)))
    }

    /// A safe read; gives the server it was sent to.
    pub fn read(&mut self, key: u64) -> (RequestId, Option<ServerId>) {
        let (id, actions) = self.request(key, 0, false);
        (id, sent_to(&actions))
    }

    pub fn ended(&mut self, id: RequestId, attempt: u32, server: ServerId, outcome: Outcome) -> Vec<Action> {
        self.ended_noted(id, attempt, server, outcome, Some(CacheNote::Hit))
    }

    /// The first attempt has ended so long after it was sent.
    pub fn ended_after(
        &mut self,
        request: RequestId,
        server: ServerId,
        outcome: Outcome,
        took: Micros,
    ) -> Vec<Action> {
        let note = (outcome == Outcome::Served).then_some(CacheNote::Hit);
        let end = Ended { request, attempt: 0, server, took, outcome, note, finished: true, report: vec![] };
        self.event(Event::Ended(end))
    }

    pub fn ended_noted(
        &mut self,
        request: RequestId,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
        note: Option<CacheNote>,
    ) -> Vec<Action> {
        let finished = outcome == Outcome::Served;
        let took = 20 * MS;
        let report = Vec::new();
        self.event(Event::Ended(Ended { request, attempt, server, took, outcome, note, finished, report }))
    }

    /// A read that is served at once.
    pub fn hit(&mut self, key: u64) -> ServerId {
        let (id, server) = self.read(key);
        let server = server.expect("sent");
        self.ended(id, 0, server, Outcome::Served);
        server
    }

    /// The same, served after so long.
    pub fn hit_after(&mut self, key: u64, took: Micros) -> ServerId {
        let (id, server) = self.read(key);
        let server = server.expect("sent");
        self.ended_after(id, server, Outcome::Served, took);
        server
    }

    pub fn wake_after(&mut self, after: Micros) -> Vec<Action> {
        self.now += after;
        self.event(Event::Wake)
    }
}

pub fn sent_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}
