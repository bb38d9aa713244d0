//! Random event orders at a balancer; the four rules are checked from outside.

mod common;
use common::*;
use lapisrudder::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

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

struct Try {
    server: ServerId,
    at: Micros,
    until: Micros,
    end: Option<Outcome>,
    /// Something was sent after it while it might have run: the window counts from it, whatever comes of it later.
    repeated: bool,
}

struct Seen {
    class: usize,
    due: Micros,
    over: bool,
    tries: Vec<Try>,
    /// Sends paid by misses, and those that count against the budget.
    beyond: usize,
    counted: usize,
}

impl Try {
    /// Running, or ended without proof that it never ran.
    fn may_run(&self) -> bool {
        use Outcome::*;
        !matches!(self.end, Some(Full | ConnectFailed | NeverSent | Miss))
    }
}

/// The world outside the balancer: it plays the steps and holds the rules against each action.
struct World {
    lb: TestBalancer,
    settings: Settings,
    live: BTreeMap<u64, bool>,
    cold: BTreeMap<u64, Vec<Micros>>,
    seen: BTreeMap<u64, Seen>,
    wakes: Vec<Micros>,
    warm_served: usize,
    /// Times of requests taken and of sends after a request's first, for the budget.
    taken: Vec<Micros>,
    further: Vec<Micros>,
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
            seen: BTreeMap::new(),
            wakes: Vec::new(),
            warm_served: 0,
            taken: Vec::new(),
            further: Vec::new(),
        }
    }

    fn check(&mut self, actions: Vec<Action>) {
        let now = self.lb.now;
        for action in actions {
            match action {
                Action::Send { request, server, until, .. } => {
                    assert_eq!(self.live.get(&server.0), Some(&true), "sent to {server:?}, not live");
                    let seen = self.seen.get_mut(&request.0).expect("a known request");
                    assert!(!seen.over, "sent after the end");
                    assert!((seen.tries.len() as u32) < self.settings.max_attempts);
                    let out = seen.tries.iter().any(|t| t.end.is_none());
                    assert!(self.settings.second_copies || !out, "two copies");
                    let effect = self.settings.classes.get(seen.class).map(|c| c.effect);
                    let may_run = seen.tries.iter().any(Try::may_run);
                    seen.tries.iter_mut().for_each(|t| t.repeated |= t.may_run());
                    for t in seen.tries.iter().filter(|t| may_run && t.repeated) {
                        match effect {
                            Some(Effect::Safe) => {}
                            Some(Effect::Keyed) => {
                                assert!(now - t.at <= self.settings.classes[seen.class].repeat_window);
                            }
                            _ => panic!("an unsafe request went out twice"),
                        }
                    }
                    let misses = seen.tries.iter().filter(|t| t.end == Some(Outcome::Miss)).count();
                    if !seen.tries.is_empty() {
                        seen.beyond += 1;
                        if seen.beyond > misses {
                            seen.beyond -= 1;
                            seen.counted += 1;
                        }
                    }
                    if let Some(b) = self.settings.budget.filter(|_| seen.counted > 0) {
                        self.further.extend((0..seen.counted).map(|_| now));
                        seen.counted = 0;
                        let inside = |times: &[Micros]| times.iter().filter(|t| now - **t < b.span).count();
                        let most = b.free + b.share * inside(&self.taken) as f64;
                        assert!(inside(&self.further) as f64 <= most, "over the budget");
                    }
                    seen.tries.push(Try {
                        server,
                        at: now,
                        until: until.min(seen.due),
                        end: None,
                        repeated: false,
                    });
                    if let Some(sends) = self.cold.get_mut(&server.0) {
                        sends.push(now);
                    }
                }
                Action::Refuse { request, .. } => {
                    let seen = self.seen.get_mut(&request.0).expect("a known request");
                    assert!(!std::mem::replace(&mut seen.over, true), "two final answers");
                    let effect = self.settings.classes.get(seen.class).map(|c| c.effect);
                    let may_run = seen.tries.iter().any(Try::may_run);
                    assert!(!may_run || matches!(effect, Some(Effect::Safe)), "refused what may have run");
                }
                Action::Fail { request } => {
                    let seen = self.seen.get_mut(&request.0).expect("a known request");
                    assert!(!std::mem::replace(&mut seen.over, true), "two final answers");
                }
                Action::Wake { after } => self.wakes.push(now + after),
                Action::Cancel { .. } | Action::Watch => {}
            }
        }
        self.counts();
    }

    /// Each server's count in flight is that of the attempts out there: raised once and lowered once for each, whatever
    /// ends it and whatever the list says of the server meanwhile.
    fn counts(&self) {
        let mut out: BTreeMap<ServerId, f64> = (1..=8).map(|s| (ServerId(s), 0.0)).collect();
        for t in self.seen.values().flat_map(|s| &s.tries).filter(|t| t.end.is_none()) {
            *out.entry(t.server).or_default() += 1.0;
        }
        for (server, out) in out {
            let counted = self.lb.balancer.in_flight(server);
            assert_eq!(counted, out, "{server:?}: {out} are out, and {counted} are counted");
        }
    }

    fn end(&mut self, request: u64, attempt: usize, outcome: Outcome) {
        let seen = self.seen.get_mut(&request).expect("known");
        seen.tries[attempt].end = Some(outcome);
        seen.over |= outcome == Outcome::Served;
        let (server, finished) = (seen.tries[attempt].server, seen.over);
        self.warm_served += usize::from(outcome == Outcome::Served);
        let took = (self.lb.now - seen.tries[attempt].at).max(0);
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

    /// Lets time pass as the caller would: wake-ups, time-outs, and an answer owed by each deadline.
    fn pass(&mut self, to: Micros) {
        while self.lb.now < to {
            self.lb.now = (self.lb.now + 5 * MS).min(to);
            let now = self.lb.now;
            if self.wakes.iter().any(|w| *w <= now) {
                self.wakes.retain(|w| *w > now);
                let actions = self.lb.event(Event::Wake);
                self.check(actions);
            }
            let expired: Vec<(u64, usize)> = self
                .seen
                .iter()
                .flat_map(|(id, s)| s.tries.iter().enumerate().map(move |(n, t)| (*id, n, t)))
                .filter(|(_, _, t)| t.end.is_none() && t.until <= now)
                .map(|(id, n, _)| (id, n))
                .collect();
            for (id, n) in expired {
                self.end(id, n, Outcome::TimedOut);
            }
            let owed = self.seen.iter().find(|(_, s)| !s.over && now > s.due + 10 * MS);
            assert!(owed.is_none(), "no final answer for request {:?}", owed.map(|(id, _)| id));
        }
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::Request { key, class, write } => {
                let due = self.lb.now + 2 * S;
                let id = self.lb.next + 1;
                self.seen.insert(id, Seen { class, due, over: false, tries: vec![], beyond: 0, counted: 0 });
                self.taken.push(self.lb.now);
                let (_, actions) = self.lb.request(key, class, write);
                self.check(actions);
            }
            Step::End { pick, outcome } => {
                let out: Vec<(u64, usize)> = self
                    .seen
                    .iter()
                    .flat_map(|(id, s)| s.tries.iter().enumerate().map(move |(n, t)| (*id, n, t.end)))
                    .filter(|(_, _, end)| end.is_none())
                    .map(|(id, n, _)| (id, n))
                    .collect();
                if !out.is_empty() {
                    let (id, n) = out[pick % out.len()];
                    self.end(id, n, OUTCOMES[outcome]);
                }
            }
            Step::Leave { pick } => {
                let open: Vec<u64> = self.seen.iter().filter(|(_, s)| !s.over).map(|(id, _)| *id).collect();
                if !open.is_empty() {
                    let id = open[pick % open.len()];
                    self.seen.get_mut(&id).expect("known").over = true;
                    let actions = self.lb.event(Event::ClientLeft { request: RequestId(id) });
                    self.check(actions);
                }
            }
            Step::Wait { ms } => self.pass(self.lb.now + ms * MS),
            Step::List { server, stage, restarts } => {
                let stage = [Stage::Live, Stage::Draining, Stage::Gone][stage];
                let since = (restarts && stage == Stage::Live).then_some(self.lb.now);
                match since {
                    Some(_) => self.cold.insert(server, vec![]),
                    None if self.settings.gone_is_advice => None,
                    None => self.cold.remove(&server), // listed as warm, or not to be sent to at all
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

    /// A cold server gets no more than a warm one could have carried, and two to begin with.
    fn check_cold(&self) {
        for (server, sends) in &self.cold {
            for (n, at) in sends.iter().enumerate() {
                let window = sends[..=n].iter().filter(|t| at - **t < self.settings.tip_window).count();
                assert!(window <= self.warm_served + 4, "server {server} was pushed: {window} in a window");
            }
        }
    }
}

fn hold(change: impl Fn(&mut Settings)) {
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
            steps.into_iter().for_each(|s| world.play(s));
            world.pass(world.lb.now + 3 * S);
            world.check_cold();
            Ok(())
        })
        .unwrap();
}

#[test]
fn through() {
    hold(|_| {});
}

#[test]
fn aside() {
    hold(|s| (s.mode, s.origin_kind) = (Mode::Aside, Some(1)));
}

#[test]
fn without_second_copies() {
    hold(|s| s.second_copies = false);
}

#[test]
fn with_a_budget_and_doubted_servers() {
    for free in [0.0, 2.0] {
        hold(|s| {
            s.budget = Some(Budget { free, share: 0.1, span: 700 * MS });
            s.gone_is_advice = true;
            (s.mode, s.origin_kind) = (Mode::Aside, Some(1));
        });
        hold(|s| {
            s.budget = Some(Budget { free, share: 0.3, span: 2 * S });
            s.gone_is_advice = true;
        });
    }
}
