//! Clients and network together on a virtual clock, with nodes that answer every request; an example of a
//! driver.

use std::collections::{BTreeMap, HashMap};

use lapisrudder_model::Micros;
use lapisrudder_model::arrivals::{Class, Digest, Load, Population, RequestId};
use lapisrudder_model::clients::{
    Clients, ClientsPlan, ConnId, ConnectFailure, End, Event, FrontPlan, Habits, Health, NodeId,
    NodeSelection, Order, Reply, RequestRecord, Tally,
};
use lapisrudder_model::mix::Spread;
use lapisrudder_model::network::{
    Conn, ConnectOutcome, Delay, Delivery, Fault, FaultId, Heal, Host, HostSet, LinksPlan, Network,
    NetworkPlan, Side, Split,
};
use lapisrudder_model::profile::Profile;

const S: Micros = 1_000_000;
const CLIENTS: Host = Host(0);

/// A scheduled action of the test world.
enum Action {
    /// A node writes these bytes.
    Answer(Conn, Vec<u8>),
    Begin(HostSet, Fault),
    End,
    Kill(Host),
}

struct World {
    clients: Clients,
    net: Network,
    /// Network connection of each client connection, and the reverse.
    conns: HashMap<ConnId, Conn>,
    names: HashMap<Conn, ConnId>,
    /// Received bytes of incomplete lines, by connection and side.
    received: HashMap<(Conn, Side), Vec<u8>>,
    agenda: BTreeMap<(Micros, u64), Action>,
    made: u64,
    faults: Vec<FaultId>,
    stories: Vec<RequestRecord>,
}

fn world(split: Split, seed: u64) -> World {
    let class =
        Class { name: "read".into(), give_up: S, latency_target: S / 4, worth: 1.0, ..Class::default() };
    let population = Population { sources: 50, rate: Profile::constant(400.0), ..Population::default() };
    let delay = |base| Delay { base, jitter: Spread::Exponential(200.0) };
    let health = Some(Health { every: S / 2, notice: 3 * S / 2 });
    let plan = ClientsPlan {
        load: Load { span: 10 * S, classes: vec![class], populations: vec![population] },
        habits: vec![Habits { try_timeout_share: (0.3, 0.3), connect_timeout: S / 5, ..Habits::default() }],
        front: FrontPlan {
            zones: vec![0, 0],
            selection: NodeSelection::Any,
            health,
            linger: Spread::Fixed(0),
        },
        max_connections_per_node: Some(100),
    };
    let links = LinksPlan { zones: vec![0; 3], near: delay(300), far: delay(2000), pairs: Vec::new() };
    let net = NetworkPlan { links, split, buffer: 4096, short_writes: false, bandwidth: None };
    World {
        clients: Clients::new(plan, seed).unwrap(),
        net: Network::new(net, seed),
        conns: HashMap::new(),
        names: HashMap::new(),
        received: HashMap::new(),
        agenda: BTreeMap::new(),
        made: 0,
        faults: Vec::new(),
        stories: Vec::new(),
    }
}

impl World {
    fn plan(&mut self, at: Micros, what: Action) {
        self.made += 1;
        self.agenda.insert((at, self.made), what);
    }

    fn order(&mut self, now: Micros, order: Order) {
        match order {
            Order::Open { conn, node, .. } => {
                let on = self.net.connect(now, CLIENTS, Host(node.0 + 1));
                self.conns.insert(conn, on);
                self.names.insert(on, conn);
            }
            Order::Send(conn, ask) => {
                let line = ask.line(&self.clients.classes()[0]);
                assert_eq!(self.net.send(now, self.conns[&conn], Side::Client, &line), line.len());
                self.clients.handle(now, Event::Written(conn, ask.id));
            }
            Order::Close(conn) => {
                if let Some(on) = self.conns.remove(&conn) {
                    self.net.close(now, on, Side::Client);
                }
            }
            Order::Probe(node) => {
                let up = self.net.links().connect(0, CLIENTS, Host(node.0 + 1)) == ConnectOutcome::Opens;
                self.clients.handle(now, Event::Probed(node, up));
            }
            Order::Finished(story) => self.stories.push(*story),
            Order::Late(..) | Order::Unsolicited(..) => {
                panic!("{order:?}: no request shares a connection here")
            }
        }
    }

    fn delivery(&mut self, now: Micros, delivery: Delivery) {
        let over = |this: &mut Self, conn: Conn, event: fn(ConnId) -> Event| {
            if let Some(name) = this.names.remove(&conn)
                && this.conns.remove(&name).is_some()
            {
                this.clients.handle(now, event(name));
            }
        };
        match delivery {
            Delivery::Opened(conn) => self.clients.handle(now, Event::Opened(self.names[&conn])),
            Delivery::Refused(conn) => {
                over(self, conn, |name| Event::OpenFailed(name, ConnectFailure::Refused))
            }
            Delivery::Data(conn, side, bytes) => {
                let mut received = self.received.remove(&(conn, side)).unwrap_or_default();
                received.extend_from_slice(&bytes);
                while let Some(end) = received.windows(2).position(|pair| pair == b"\r\n") {
                    let line: Vec<u8> = received.drain(..end + 2).collect();
                    self.line(now, conn, side, &String::from_utf8(line).unwrap());
                }
                self.received.insert((conn, side), received);
            }
            Delivery::End(conn, Side::Client) | Delivery::Reset(conn, Side::Client) => {
                over(self, conn, Event::Closed);
            }
            Delivery::End(conn, Side::Server) => self.net.close(now, conn, Side::Server),
            _ => {}
        }
    }

    /// Handles a complete line: a node answers 5 ms later with a line that holds the id, which a client takes
    /// as the answer.
    fn line(&mut self, now: Micros, conn: Conn, side: Side, line: &str) {
        let id = line.split(' ').find_map(|word| word.strip_prefix('O')).unwrap().trim_end();
        if side == Side::Server {
            self.plan(now + 5000, Action::Answer(conn, format!("HD O{id}\r\n").into_bytes()));
        } else {
            let id = RequestId(u64::from_str_radix(id, 16).unwrap());
            self.clients.handle(now, Event::Answered(self.names[&conn], Some(id), Reply::Served));
        }
    }

    fn act(&mut self, now: Micros, what: Action) {
        match what {
            Action::Answer(conn, bytes) => {
                self.net.send(now, conn, Side::Server, &bytes);
            }
            Action::Begin(to, fault) => {
                let id = self.net.begin(HostSet::Any, to, true, fault);
                self.faults.push(id);
            }
            Action::End => self.faults.drain(..).for_each(|id| self.net.end(now, id)),
            Action::Kill(host) => self.net.kill(now, host),
        }
    }

    /// Runs to the end. Returns the stories of all requests, their digest, and the number of connections that
    /// no client holds.
    fn run(mut self) -> (Vec<RequestRecord>, Digest, usize) {
        let node = |n| HostSet::Host(Host(n));
        self.plan(2 * S, Action::Begin(node(1), Fault::Cut(Heal::Stay)));
        self.plan(4 * S, Action::End);
        self.plan(6 * S, Action::Kill(Host(2)));
        self.plan(6 * S, Action::Begin(node(2), Fault::Refuse));
        self.plan(7 * S, Action::End);
        self.clients.begin(S / 10);
        let mut now = 0;
        while now < 20 * S {
            loop {
                if let Some(order) = self.clients.poll(now) {
                    self.order(now, order);
                } else if let Some(delivery) = self.net.poll(now) {
                    self.delivery(now, delivery);
                } else if let Some(due) = self.agenda.first_entry().filter(|due| due.key().0 <= now) {
                    let what = due.remove();
                    self.act(now, what);
                } else {
                    break;
                }
            }
            let agenda = self.agenda.first_key_value().map(|due| due.0.0);
            let next = [agenda, self.clients.next(), self.net.next()].into_iter().flatten().min();
            now = next.map_or(20 * S, |next| next.max(now));
        }
        assert!(self.clients.done(), "every request has an end");
        let mut digest = Digest::default();
        self.stories.iter().for_each(|story| digest.update(format!("{story:?}").as_bytes()));
        let left = self.net.connections() - self.clients.connections();
        (self.stories, digest, left)
    }
}

#[test]
fn runs_repeat_exactly_and_only_faults_cause_retries() {
    for split in [Split::Whole, Split::Random(20)] {
        let (stories, digest, left) = world(split, 3).run();
        assert_eq!(digest, world(split, 3).run().1);
        assert_ne!(digest, world(split, 4).run().1);
        // After a cut, an end can keep a connection that the other end has closed.
        assert!(left <= 250, "{left} connections that no client holds");
        let mut tally = Tally::default();
        stories.iter().for_each(|story| tally.add(story));
        // 400 requests per second for 10 s, within four standard deviations.
        assert!(tally.requests.abs_diff(4000) < 253 && tally.goodput() > 0.9, "{tally:?}");
        // A request without a fault takes one try; those in the cut or at the killed node take more, or fail.
        let hurt = |story: &&RequestRecord| story.tries.len() > 1 || story.end != End::Served;
        let seconds: Vec<Micros> = stories.iter().filter(hurt).map(|story| story.due / S).collect();
        let in_second = |n| seconds.iter().filter(|second| **second == n).count();
        assert!(in_second(2) > 20 && in_second(6) > 1, "{seconds:?}");
        assert_eq!([0, 4, 8, 9].map(in_second), [0; 4]);
        assert!(stories.iter().all(|story| story.ended_at - story.due <= S));
    }
}

#[test]
fn a_node_is_used_again_once_it_answers() {
    let (stories, ..) = world(Split::Whole, 5).run();
    let by = |node, from: Micros, to: Micros| {
        let first = |story: &&RequestRecord| {
            (from..to).contains(&story.due) && story.tries[0].node == Some(NodeId(node))
        };
        stories.iter().filter(first).count()
    };
    assert!(by(0, 0, 2 * S) > 100 && by(0, 37 * S / 10, 4 * S) == 0 && by(0, 6 * S, 7 * S) > 100);
}
