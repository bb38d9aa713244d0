//! Clients that hold only so many connections, on a virtual clock: what early closing gains, and what it costs.

use lapisrudder_limits::{
    Activity, Admission, ConnId, Intake, Micros, Order, RequestInfo, Resources, Settings, Ticket, Verdict,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Connections that clients may hold together.
const ROOM: usize = 128;
/// What a request takes at the node, and what a word takes on the way if it is near.
const SERVICE: Micros = 12_000;
const NEAR: Micros = 1_000;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happens {
    /// A client wants an answer; the number is its own.
    Wants(usize),
    /// A client's request reaches the node on its connection.
    Reaches(usize, ConnId),
    Answered(usize, ConnId, Ticket),
    /// The node's close reaches the client, and the client's the node.
    Hears(usize, ConnId),
    Gone(ConnId),
    Wake,
}

#[derive(Default, Debug)]
struct Seen {
    wanted: u32,
    served: u32,
    found_none: u32,
    /// Connections closed early, and those closes that crossed a request.
    closed: u32,
    crossed: u32,
    /// Requests for which a connection had to be opened anew.
    opened: u32,
}

struct Day {
    limits: Admission,
    random: SmallRng,
    queue: BTreeSet<(Micros, u64, Happens)>,
    count: u64,
    /// The connection of each client, as the client sees it.
    has: BTreeMap<usize, ConnId>,
    /// Closed by the node, but the client does not know yet.
    closing: BTreeMap<ConnId, usize>,
    of: BTreeMap<ConnId, usize>,
    seen: Seen,
    /// Mean gap of each client that keeps asking; none for those that ask once.
    gaps: Vec<f64>,
    wakes_at: Option<Micros>,
    way: Micros,
}

impl Day {
    fn new(settings: &str, gaps: Vec<f64>) -> Day {
        let settings: Settings = toml::from_str(settings).unwrap();
        let mut limits = Admission::new(settings, 5, 0).unwrap();
        let there =
            Resources { connections: 258, clients_room: ROOM, in_flight: 20_000, ..Resources::default() };
        limits.set_resources(0, &there);
        Day {
            limits,
            random: SmallRng::seed_from_u64(9),
            queue: BTreeSet::new(),
            count: 0,
            has: BTreeMap::new(),
            closing: BTreeMap::new(),
            of: BTreeMap::new(),
            seen: Seen::default(),
            gaps,
            wakes_at: None,
            way: NEAR,
        }
    }

    fn at(&mut self, when: Micros, what: Happens) {
        self.count += 1;
        self.queue.insert((when, self.count, what));
    }

    fn draw(&mut self, mean: f64) -> Micros {
        (-mean * (1.0 - self.random.random::<f64>()).ln()) as Micros
    }

    fn connect(&mut self, now: Micros, client: usize) -> Option<ConnId> {
        // The client's side counts what it believes to hold.
        if self.has.len() >= ROOM {
            return None;
        }
        self.seen.opened += 1;
        let verdict = self.limits.on_accepted(now, "10.0.0.1".parse().unwrap(), true);
        let Verdict::Keep { conn } = verdict else { panic!("{verdict:?}: there is room at the node") };
        self.has.insert(client, conn);
        self.of.insert(conn, client);
        Some(conn)
    }

    fn run(mut self, until: Micros) -> Seen {
        while let Some((now, _, what)) = self.queue.pop_first().filter(|(now, ..)| *now < until) {
            match what {
                Happens::Wants(client) => {
                    self.seen.wanted += 1;
                    match self.has.get(&client).copied().or_else(|| self.connect(now, client)) {
                        Some(conn) => self.at(now + self.way, Happens::Reaches(client, conn)),
                        None => self.seen.found_none += 1,
                    }
                }
                Happens::Reaches(client, conn) => {
                    if self.closing.contains_key(&conn) {
                        self.limits.on_request_crossed(now, conn);
                        // Sent once more on a new connection.
                        self.has.remove(&client);
                        if let Some(conn) = self.connect(now, client) {
                            self.at(now + self.way, Happens::Reaches(client, conn));
                        }
                    } else {
                        let facts =
                            RequestInfo { worth: 5.0, left: 480_000, bytes: 60, ..RequestInfo::default() };
                        match self.limits.request(now, conn, &facts) {
                            Intake::Take { ticket } => {
                                self.at(now + SERVICE, Happens::Answered(client, conn, ticket));
                            }
                            Intake::Refuse { why, .. } => panic!("{why}"),
                        }
                    }
                }
                Happens::Answered(client, conn, ticket) => {
                    self.limits.ended(now, ticket, true);
                    self.limits.set_activity(now, conn, Activity::Idle);
                    self.seen.served += 1;
                    if let Some(mean) = self.gaps.get(client).copied() {
                        let gap = self.draw(mean);
                        self.at(now + gap, Happens::Wants(client));
                    }
                }
                Happens::Hears(client, conn) => {
                    if self.has.get(&client) == Some(&conn) {
                        self.has.remove(&client);
                    }
                    self.at(now + self.way, Happens::Gone(conn));
                }
                Happens::Gone(conn) => {
                    self.closing.remove(&conn);
                    self.limits.on_closed(now, conn);
                }
                Happens::Wake => self.wakes_at = None,
            }
            while let Some(order) = self.limits.poll(now) {
                let Order::Close { conn, .. } = order else { panic!("{order:?}") };
                let client = self.of[&conn];
                self.closing.insert(conn, client);
                self.at(now + self.way, Happens::Hears(client, conn));
            }
            if let Some(due) = self.limits.due().map(|due| due.max(now + 1))
                && self.wakes_at.is_none_or(|at| due < at)
            {
                self.wakes_at = Some(due);
                self.at(due, Happens::Wake);
            }
        }
        let (closed, crossed) = self.limits.crossings();
        (self.seen.closed, self.seen.crossed) = (closed as u32, crossed as u32);
        self.seen
    }
}

/// The recorded incident: so many requests a second, each by a client that asks once and keeps its connection.
fn incident(settings: &str, per_s: usize) -> Seen {
    let mut day = Day::new(settings, Vec::new());
    let mut now = 0;
    for client in 0..20 * per_s {
        now += day.draw(1e6 / per_s as f64);
        day.at(now, Happens::Wants(client));
    }
    day.run(20_000_000)
}

#[test]
fn clients_that_ask_once_and_keep_their_connection_no_longer_keep_others_out() {
    let strict = incident("[keep]\nearliest_ms = 2000", 300);
    let learnt = incident("", 300);
    let part = |s: &Seen| f64::from(s.served) / f64::from(s.wanted);
    println!("strict {:.3} {strict:?}\nlearnt {:.3} {learnt:?}", part(&strict), part(&learnt));
    assert!(part(&strict) < 0.25, "one for each connection and 2 s: {strict:?}");
    assert!(part(&learnt) > 0.93, "all but those of the first moment: {learnt:?}");
    assert_eq!(learnt.crossed, 0);
}

/// A day with so many clients that keep asking, with mean gaps from 0.05 to 1.5 s.
fn usual(clients: usize) -> Day {
    let gap = |i: usize| 50_000.0 * 30f64.powf(i as f64 / (clients - 1) as f64);
    let mut day = Day::new("", (0..clients).map(gap).collect());
    (0..clients).for_each(|client| day.at(client as Micros * 3_000, Happens::Wants(client)));
    day
}

#[test]
fn clients_that_keep_asking_keep_their_connections() {
    let seen = usual(100).run(60_000_000);
    let anew = f64::from(seen.opened) / f64::from(seen.wanted);
    let crossing = f64::from(seen.crossed) / f64::from(seen.closed.max(1));
    println!("opened anew {anew:.4}, crossing {crossing:.4} {seen:?}");
    assert!(seen.wanted > 10_000 && seen.found_none == 0, "{seen:?}");
    assert!(anew < 0.06, "{anew:.3} of requests needed a new connection: {seen:?}");
    assert!(crossing < 0.02 + 3.0 / f64::from(seen.closed.max(1)), "{crossing:.3}: {seen:?}");
}

#[test]
fn both_kinds_together_share_the_room() {
    // 40 clients that keep asking beside 200 a second that ask once.
    let mut day = usual(40);
    let mut now = 0;
    for client in 1000..7000 {
        now += day.draw(1e6 / 200.0);
        day.at(now, Happens::Wants(client));
    }
    let seen = day.run(30_000_000);
    println!("{seen:?}");
    assert!(f64::from(seen.found_none) < 0.05 * f64::from(seen.wanted), "{seen:?}");
    assert!(f64::from(seen.crossed) <= 0.02 * f64::from(seen.closed) + 3.0, "{seen:?}");
}

#[test]
fn closes_that_cross_requests_on_a_long_way_back_off() {
    // The way takes 0.1 s: whoever asks within that of a close crosses it.
    let mut day = usual(124);
    day.way = 100_000;
    let seen = day.run(60_000_000);
    println!("long way {seen:?}");
    // 3 are borne (4 with the one that tells) for each of the 5 doublings up to 2 s, and for each time it eases.
    let bound = 0.02 * f64::from(seen.closed) + 4.0 * (5.0 + 2.0);
    assert!(seen.crossed > 0 && f64::from(seen.crossed) <= bound, "{seen:?}");
}
