//! A balancer with a clock that the test sets, for the tests of the decisions in `lapisrudder`.
#![allow(dead_code)]

use lapisrudder::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
/// A third of the latency target: too slow to show that its server can take more load, and not late.
pub const NEUTRAL_LATENCY: Micros = 170 * MS;

pub struct TestBalancer {
    pub balancer: Balancer,
    /// The time of the next event.
    pub now: Micros,
    /// The id of the latest request.
    pub next: u64,
}

pub fn class(effect: Effect) -> Class {
    Class { latency_target: 500 * MS, worth: 1.0, effect, repeat_window: S, ..Class::default() }
}

/// Settings whose classes 0, 1 and 2 are safe, keyed and unsafe.
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

impl TestBalancer {
    pub fn new(settings: Settings, list: Vec<Listed>) -> TestBalancer {
        let mut lb = TestBalancer { balancer: Balancer::new(7, settings, 0), now: S, next: 0 };
        lb.event(Event::Servers { scope: Scope::Remembered, list });
        lb
    }

    /// With the default settings and the servers 1 to `servers`.
    pub fn with_servers(servers: u64) -> TestBalancer {
        TestBalancer::new(settings(), (1..=servers).map(listed).collect())
    }

    /// Handles an event at the present time; gives the actions that it causes.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.balancer.handle(self.now, event, &mut out);
        out
    }

    /// Reports a server list of discovery.
    pub fn update_servers(&mut self, scope: Scope, list: Vec<Listed>) -> Vec<Action> {
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

    /// Starts a safe read; gives the server that it was sent to.
    pub fn read(&mut self, key: u64) -> (RequestId, Option<ServerId>) {
        let (id, actions) = self.request(key, 0, false);
        (id, sent_to(&actions))
    }

    /// Ends an attempt after 20 ms, with the note that the cache had the key.
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.end_attempt_with_note(id, attempt, server, outcome, Some(CacheNote::Hit))
    }

    /// Ends the first attempt `took` after it was sent.
    pub fn end_first_attempt_after(
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

    /// Ends an attempt after 20 ms, with this note of the cache.
    pub fn end_attempt_with_note(
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

    /// A read that is served after 20 ms; gives the server.
    pub fn hit(&mut self, key: u64) -> ServerId {
        let (id, server) = self.read(key);
        let server = server.expect("sent");
        self.end_attempt(id, 0, server, Outcome::Served);
        server
    }

    /// The same, served after `took`.
    pub fn hit_after(&mut self, key: u64, took: Micros) -> ServerId {
        let (id, server) = self.read(key);
        let server = server.expect("sent");
        self.end_first_attempt_after(id, server, Outcome::Served, took);
        server
    }

    /// Moves the clock on and runs the balancer's timers.
    pub fn advance_and_wake(&mut self, after: Micros) -> Vec<Action> {
        self.now += after;
        self.event(Event::Wake)
    }
}

/// The server of the first attempt that these actions send.
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
