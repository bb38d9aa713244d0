//! Random sequences of events at a balancer; the four rules are checked on the actions that it returns.

mod common;
use common::*;
use lapisrudder::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

/// A random event. `End`: an attempt in flight ends. `Leave`: a client leaves before its final answer. `List`:
/// discovery reports a server. `Lost`: the subscription to discovery breaks. `Unknown`: an attempt of a request
/// that the balancer does not know ends.
#[derive(Clone, Debug)]
enum Step {
    Request { key: u64, class: usize, write: bool },
    End { pick: usize, outcome: usize },
    Leave { pick: usize },
    Wait { ms: i64 },
    List { server: u64, stage: usize, restarts: bool },
    Lost,
    Unknown { id: u64, server: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0u64..20, 0usize..4, any::<bool>()).prop_map(|(key, class, write)| Step::Request { key, class, write }),
        6 => (any::<usize>(), 0usize..9).prop_map(|(pick, outcome)| Step::End { pick, outcome }),
        1 => any::<usize>().prop_map(|pick| Step::Leave { pick }),
        4 => (1i64..400).prop_map(|ms| Step::Wait { ms }),
        1 => (1u64..8, 0usize..3, any::<bool>()).prop_map(|(server, stage, restarts)| Step::List { server, stage, restarts }),
        1 => Just(Step::Lost),
        1 => (1_000u64..2_000, 0u64..9).prop_map(|(id, server)| Step::Unknown { id, server }),
    ]
}

const OUTCOMES: [Outcome; 9] = [
    Outcome::Served,
    Outcome::Error,
    Outcome::Full,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Broken,
    Outcome::Cancelled,
    Outcome::NeverSent,
    Outcome::Miss,
];

struct Attempt {
    server: ServerId,
    at: Micros,
    until: Micros,
    end: Option<Outcome>,
    /// Another attempt was sent while this one might have run: the repeat window begins with this one,
    /// however it ends.
    repeated: bool,
}

/// A request as the test has seen it.
struct Request {
    class: usize,
    due: Micros,
    /// Answered finally, or its client has left.
    over: bool,
    attempts: Vec<Attempt>,
    /// Retries that a miss allows, which are free.
    after_miss: usize,
    /// Retries that count against the budget.
    counted: usize,
}

impl Attempt {
    /// Whether it is in flight, or ended without proof that it never ran.
    fn may_run(&self) -> bool {
        use Outcome::*;
        !matches!(self.end, Some(Full | ConnectFailed | NeverSent | Miss))
    }
}

/// The environment of the balancer: it executes the steps and checks each action against the rules.
struct World {
    lb: TestBalancer,
    settings: Settings,
    /// Whether each server may be sent new attempts.
    live: BTreeMap<u64, bool>,
    /// When attempts were sent to each cold server.
    cold: BTreeMap<u64, Vec<Micros>>,
    requests: BTreeMap<u64, Request>,
    wakes: Vec<Micros>,
    /// Requests served so far.
    served: usize,
    /// Times of new requests, for the budget.
    taken: Vec<Micros>,
    /// Times of retries, for the budget.
    retries: Vec<Micros>,
}

impl World {
    fn new(settings: Settings) -> World {
        let mut list: Vec<Listed> =
            (1..=5).map(|s| Listed { zone: s as u32 % 2, cell: s as u32 % 3, ..listed(s) }).collect();
        list.push(Listed { kind: 1, ..listed(100) });
        let live = list.iter().map(|l| (l.server.0, true)).collect();
        World {
            lb: TestBalancer::new(settings.clone(), list),
            settings,
            live,
            cold: BTreeMap::new(),
            requests: BTreeMap::new(),
            wakes: Vec::new(),
            served: 0,
            taken: Vec::new(),
            retries: Vec::new(),
        }
    }

    fn check(&mut self, actions: Vec<Action>) {
        let now = self.lb.now;
        for action in actions {
            match action {
                Action::Send { request, server, until, .. } => {
                    assert_eq!(
                        self.live.get(&server.0),
                        Some(&true),
                        "sent to {server:?}, which is not live"
                    );
                    let record = self.requests.get_mut(&request.0).expect("a known request");
                    assert!(!record.over, "sent after the final answer");
                    assert!((record.attempts.len() as u32) < self.settings.max_attempts);
                    let out = record.attempts.iter().any(|t| t.end.is_none());
                    assert!(self.settings.second_copies || !out, "two attempts in flight at a time");
                    let effect = self.settings.classes.get(record.class).map(|c| c.effect);
                    let may_run = record.attempts.iter().any(Attempt::may_run);
                    record.attempts.iter_mut().for_each(|t| t.repeated |= t.may_run());
                    for t in record.attempts.iter().filter(|t| may_run && t.repeated) {
                        match effect {
                            Some(Effect::Safe) => {}
                            Some(Effect::Keyed) => {
                                assert!(now - t.at <= self.settings.classes[record.class].repeat_window);
                            }
                            _ => panic!("an unsafe request was sent twice"),
                        }
                    }
                    let misses = record.attempts.iter().filter(|t| t.end == Some(Outcome::Miss)).count();
                    if !record.attempts.is_empty() {
                        record.after_miss += 1;
                        if record.after_miss > misses {
                            record.after_miss -= 1;
                            record.counted += 1;
                        }
                    }
                    if let Some(b) = self.settings.budget.filter(|_| record.counted > 0) {
                        self.retries.extend((0..record.counted).map(|_| now));
                        record.counted = 0;
                        let inside = |times: &[Micros]| times.iter().filter(|t| now - **t < b.span).count();
                        let most = b.free + b.share * inside(&self.taken) as f64;
                        assert!(inside(&self.retries) as f64 <= most, "more retries than the budget allows");
                    }
                    record.attempts.push(Attempt {
                        server,
                        at: now,
                        until: until.min(record.due),
                        end: None,
                        repeated: false,
                    });
                    if let Some(sends) = self.cold.get_mut(&server.0) {
                        sends.push(now);
                    }
                }
                Action::Refuse { request, .. } => {
                    let record = self.requests.get_mut(&request.0).expect("a known request");
                    assert!(!std::mem::replace(&mut record.over, true), "two final answers");
                    let effect = self.settings.classes.get(record.class).map(|c| c.effect);
                    let may_run = record.attempts.iter().any(Attempt::may_run);
                    assert!(
                        !may_run || matches!(effect, Some(Effect::Safe)),
                        "refused a request that may have run"
                    );
                }
                Action::Fail { request } => {
                    let record = self.requests.get_mut(&request.0).expect("a known request");
                    assert!(!std::mem::replace(&mut record.over, true), "two final answers");
                }
                Action::Wake { after } => self.wakes.push(now + after),
                Action::Cancel { .. } | Action::Watch => {}
            }
        }
        self.check_in_flight();
    }

    /// The balancer's count of attempts in flight at each server is right: each attempt raises it once and
    /// lowers it once, however it ends and whatever the list says about the server meanwhile.
    fn check_in_flight(&self) {
        let mut out: BTreeMap<ServerId, f64> = (1..=8).map(|s| (ServerId(s), 0.0)).collect();
        for t in self.requests.values().flat_map(|s| &s.attempts).filter(|t| t.end.is_none()) {
            *out.entry(t.server).or_default() += 1.0;
        }
        for (server, out) in out {
            let counted = self.lb.balancer.in_flight(server);
            assert_eq!(counted, out, "{server:?}: {out} in flight, but {counted} counted");
        }
    }

    fn end(&mut self, request: u64, attempt: usize, outcome: Outcome) {
        let record = self.requests.get_mut(&request).expect("known");
        record.attempts[attempt].end = Some(outcome);
        record.over |= outcome == Outcome::Served;
        let (server, finished) = (record.attempts[attempt].server, record.over);
        self.served += usize::from(outcome == Outcome::Served);
        let took = (self.lb.now - record.attempts[attempt].at).max(0);
        let actions = self.lb.event(Event::Ended(Ended {
            request: RequestId(request),
            attempt: attempt as u32,
            server,
            took,
            outcome,
            note: None,
            finished,
            report: vec![],
        }));
        self.check(actions);
    }

    /// Advances time as the caller would, with wake-ups and time-outs, and checks that each request has its
    /// final answer by its deadline.
    fn advance(&mut self, to: Micros) {
        while self.lb.now < to {
            self.lb.now = (self.lb.now + 5 * MS).min(to);
            let now = self.lb.now;
            if self.wakes.iter().any(|w| *w <= now) {
                self.wakes.retain(|w| *w > now);
                let actions = self.lb.event(Event::Wake);
                self.check(actions);
            }
            let expired: Vec<(u64, usize)> = self
                .requests
                .iter()
                .flat_map(|(id, s)| s.attempts.iter().enumerate().map(move |(n, t)| (*id, n, t)))
                .filter(|(_, _, t)| t.end.is_none() && t.until <= now)
                .map(|(id, n, _)| (id, n))
                .collect();
            for (id, n) in expired {
                self.end(id, n, Outcome::TimedOut);
            }
            let unanswered = self.requests.iter().find(|(_, s)| !s.over && now > s.due + 10 * MS);
            assert!(unanswered.is_none(), "no final answer for request {:?}", unanswered.map(|(id, _)| id));
        }
    }

    fn execute(&mut self, step: Step) {
        match step {
            Step::Request { key, class, write } => {
                let due = self.lb.now + 2 * S;
                let id = self.lb.next + 1;
                self.requests.insert(
                    id,
                    Request { class, due, over: false, attempts: vec![], after_miss: 0, counted: 0 },
                );
                self.taken.push(self.lb.now);
                let (_, actions) = self.lb.request(key, class, write);
                self.check(actions);
            }
            Step::End { pick, outcome } => {
                let out: Vec<(u64, usize)> = self
                    .requests
                    .iter()
                    .flat_map(|(id, s)| s.attempts.iter().enumerate().map(move |(n, t)| (*id, n, t.end)))
                    .filter(|(_, _, end)| end.is_none())
                    .map(|(id, n, _)| (id, n))
                    .collect();
                if !out.is_empty() {
                    let (id, n) = out[pick % out.len()];
                    self.end(id, n, OUTCOMES[outcome]);
                }
            }
            Step::Leave { pick } => {
                let open: Vec<u64> =
                    self.requests.iter().filter(|(_, s)| !s.over).map(|(id, _)| *id).collect();
                if !open.is_empty() {
                    let id = open[pick % open.len()];
                    self.requests.get_mut(&id).expect("known").over = true;
                    let actions = self.lb.event(Event::ClientLeft { request: RequestId(id) });
                    self.check(actions);
                }
            }
            Step::Wait { ms } => self.advance(self.lb.now + ms * MS),
            Step::List { server, stage, restarts } => {
                let stage = [Stage::Live, Stage::Draining, Stage::Gone][stage];
                let since = (restarts && stage == Stage::Live).then_some(self.lb.now);
                match since {
                    Some(_) => self.cold.insert(server, vec![]),
                    None if self.settings.gone_is_advice => None,
                    None => self.cold.remove(&server), // listed as warm, or not to be used at all
                };
                let was = self.live.get(&server).copied();
                let may = match (self.settings.gone_is_advice, stage) {
                    (false, _) => stage == Stage::Live,
                    (true, Stage::Draining) => false,
                    (true, Stage::Live) => since.is_some() || was.unwrap_or(true),
                    (true, Stage::Gone) => was.unwrap_or(false),
                };
                if stage != Stage::Gone || was.is_some() {
                    self.live.insert(server, may);
                }
                let actions =
                    self.lb.update_servers(Scope::Changes, vec![Listed { stage, since, ..listed(server) }]);
                self.check(actions);
            }
            Step::Lost => {
                let actions = self.lb.update_servers(Scope::Lost, vec![]);
                self.check(actions);
            }
            Step::Unknown { id, server } => {
                let actions = self.lb.end_attempt(RequestId(id), 0, ServerId(server), Outcome::Served);
                assert!(actions.is_empty());
            }
        }
    }

    /// A cold server gets no more attempts in an overload window than a warm server could have served,
    /// bounded here by all requests served so far plus four.
    fn check_cold(&self) {
        for (server, sends) in &self.cold {
            for (n, at) in sends.iter().enumerate() {
                let window = sends[..=n].iter().filter(|t| at - **t < self.settings.tip_window).count();
                assert!(
                    window <= self.served + 4,
                    "cold server {server} was overloaded: {window} attempts in a window"
                );
            }
        }
    }
}

fn check_rules(change: impl Fn(&mut Settings)) {
    let mut settings = settings();
    settings.must_ask = true;
    change(&mut settings);
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner =
        TestRunner::new_with_rng(Config { cases: 150, failure_persistence: None, ..Config::default() }, rng);
    let steps = prop::collection::vec(step(), 1..250);
    runner
        .run(&steps, |steps| {
            let mut world = World::new(settings.clone());
            steps.into_iter().for_each(|s| world.execute(s));
            world.advance(world.lb.now + 3 * S);
            world.check_cold();
            Ok(())
        })
        .unwrap();
}

#[test]
fn rules_hold_in_through_mode() {
    check_rules(|_| {});
}

#[test]
fn rules_hold_in_aside_mode() {
    check_rules(|s| (s.mode, s.origin_kind) = (Mode::Aside, Some(1)));
}

#[test]
fn rules_hold_without_hedged_attempts() {
    check_rules(|s| s.second_copies = false);
}

#[test]
fn rules_hold_with_a_retry_budget_where_gone_is_advice() {
    for free in [0.0, 2.0] {
        check_rules(|s| {
            s.budget = Some(Budget { free, share: 0.1, span: 700 * MS });
            s.gone_is_advice = true;
            (s.mode, s.origin_kind) = (Mode::Aside, Some(1));
        });
        check_rules(|s| {
            s.budget = Some(Budget { free, share: 0.3, span: 2 * S });
            s.gone_is_advice = true;
        });
    }
}
