use super::*;
use crate::flow::SharedRequest;
use crate::request::Request;
use lapisrudder_codec::memcache::{OwnedRequest, RequestParts};
use lapisrudder_decisions::{Key, RequestId};
use std::sync::Arc;

const MEMBER: ServerId = ServerId(1);

/// A pool with one member, to which the first connection is being established, and the parts of a flow.
struct Fixture {
    pool: Pool,
    deadlines: Deadlines,
    at: SocketAddr,
    shared: Arc<SharedRequest>,
}

impl Fixture {
    /// Sends this many flows of one transaction.
    fn new(origin: bool, flows: u32) -> Fixture {
        let limits = Limits {
            connect_timeout: 1,
            idle: 1,
            multiplex: 2,
            per_member: 1,
            idle_per_member: 1.0,
            to_origin: 1,
            to_origin_per_member: 0.0,
            in_all: 1,
        };
        let parts = RequestParts { key: b"k", id: b"9", class: b"r", wait_ms: 1, ..RequestParts::default() };
        let command = OwnedRequest::compose(&parts).unwrap();
        let request = Request::new(command, Key(1), 0, 9);
        let mut fixture = Fixture {
            pool: Pool::new(limits),
            deadlines: Deadlines::default(),
            at: ([127, 0, 0, 1], 1).into(),
            shared: Arc::new(SharedRequest::new(request)),
        };
        fixture.pool.update_member(MEMBER, fixture.at, origin, Stage::Live, &mut fixture.deadlines);
        fixture.send(0, 0);
        if flows > 1 {
            fixture.establish(0);
            (1..flows).for_each(|n| fixture.send(n, 0));
        }
        fixture
    }

    fn send(&mut self, attempt: u32, now: Micros) {
        let id = FlowId { request: RequestId(1), attempt };
        let flow =
            Flow { id, shared: self.shared.clone(), until: Micros::MAX, begin_by: Micros::MAX, moved: false };
        self.pool.send(MEMBER, flow, now, &mut self.deadlines);
    }

    fn establish(&mut self, id: u64) {
        self.pool.connected(Conn(id), 0, &mut self.deadlines);
        self.flush();
    }

    /// Ends the iteration: carries out all writes. Returns the connections written to, and whether a check
    /// was ordered first.
    fn flush(&mut self) -> Vec<(Conn, bool)> {
        let mut written = Vec::new();
        while self.pool.flush_next(0, &mut self.deadlines) {
            for order in std::mem::take(&mut self.pool.orders) {
                if let Order::Write { conn, probe } = order {
                    self.pool.transmitted(conn, self.unwritten(conn).len());
                    written.push((conn, probe));
                }
            }
        }
        written
    }

    fn unwritten(&self, conn: Conn) -> Vec<u8> {
        self.pool.transmit(conn).flatten().copied().collect()
    }

    fn answer(&mut self, id: u64, bytes: &str) -> (bool, usize) {
        let mut count = 0;
        let usable = self.pool.received(Conn(id), bytes.as_bytes(), false, 0, &mut self.deadlines, |_, _| {
            count += 1;
            true
        });
        (usable, count)
    }

    fn lost_outcomes(&self) -> Vec<Outcome> {
        self.pool.lost.iter().map(|(_, outcome)| *outcome).collect()
    }
}

#[test]
fn a_waiting_flow_does_not_begin_if_it_may_no_longer_be_sent() {
    let outcomes = |event: fn(&mut Fixture)| {
        let mut fixture = Fixture::new(false, 1);
        event(&mut fixture);
        fixture.establish(0);
        fixture.lost_outcomes()
    };
    assert_eq!(outcomes(|_| {}), []);
    assert_eq!(outcomes(|fixture| assert!(fixture.shared.answer())), [Outcome::NeverSent]);
    assert_eq!(
        outcomes(|fixture| fixture.pool.update_member(
            MEMBER,
            fixture.at,
            false,
            Stage::Draining,
            &mut fixture.deadlines
        )),
        [Outcome::NeverSent]
    );
    assert_eq!(
        outcomes(|fixture| fixture.pool.remove_member(MEMBER, &mut fixture.deadlines)),
        [Outcome::NeverSent]
    );
}

#[test]
fn a_drain_removes_flows_that_have_not_begun_and_keeps_the_others() {
    let mut fixture = Fixture::new(false, 2);
    assert!(fixture.pool.flush_next(0, &mut fixture.deadlines));
    // The socket is full after the first byte of the second flow.
    fixture.pool.limits.multiplex = 3;
    fixture.send(2, 0);
    assert_eq!(fixture.pool.transmit(Conn(0)).count(), 2);
    fixture.pool.transmitted(Conn(0), 1);
    fixture.pool.update_member(MEMBER, fixture.at, false, Stage::Draining, &mut fixture.deadlines);
    fixture.pool.writable(Conn(0));
    fixture.flush();
    assert_eq!(fixture.lost_outcomes(), [Outcome::NeverSent]);
    assert_eq!(fixture.answer(0, "EN O9\r\nEN O9\r\n"), (true, 2), "the first two are answered");
}

#[test]
fn a_flow_moves_off_a_connection_that_closed_while_idle_and_a_new_member_gets_none_of_the_old() {
    let mut fixture = Fixture::new(false, 1);
    fixture.establish(0);
    assert_eq!(fixture.answer(0, "EN O9 h0\r\n"), (true, 1));
    assert!(fixture.pool.connections[&Conn(0)].is_idle());
    fixture.send(1, 0);
    // Before the write the host checks the connection, and finds that it has ended.
    assert!(fixture.pool.flush_next(0, &mut fixture.deadlines));
    assert_eq!(fixture.pool.orders.pop_back(), Some(Order::Write { conn: Conn(0), probe: true }));
    fixture.pool.close(Conn(0), 0, &mut fixture.deadlines);
    assert!(fixture.pool.lost.is_empty() && fixture.pool.members[&MEMBER].waiting.len() == 1);
    assert!(fixture.pool.connections.keys().eq([&Conn(1)]), "a new one is being established");
    fixture.pool.remove_member(MEMBER, &mut fixture.deadlines);
    assert!(fixture.pool.members.is_empty() && fixture.pool.connections.is_empty());
    assert_eq!(
        fixture.pool.orders,
        [Order::Close { conn: Conn(0) }],
        "the host was not yet ordered to open the other"
    );
    fixture.pool.update_member(ServerId(2), fixture.at, false, Stage::Live, &mut fixture.deadlines);
    let id = FlowId { request: RequestId(1), attempt: 2 };
    let flow =
        Flow { id, shared: fixture.shared.clone(), until: Micros::MAX, begin_by: Micros::MAX, moved: false };
    fixture.pool.send(ServerId(2), flow, 0, &mut fixture.deadlines);
    assert!(fixture.pool.connections.keys().eq([&Conn(2)]));
    assert_eq!(fixture.deadlines.next(), Some(1), "closed connections leave no deadline");
}

#[test]
fn a_flow_moves_only_once_and_only_if_no_byte_was_sent() {
    for (sent, lost_outcomes) in [(0, vec![]), (1, vec![Outcome::ConnectFailed]), (99, vec![Outcome::Broken])]
    {
        let mut fixture = Fixture::new(false, 1);
        fixture.establish(0);
        fixture.answer(0, "EN O9 h0\r\n");
        fixture.send(1, 0);
        fixture.pool.transmitted(Conn(0), sent);
        fixture.pool.close(Conn(0), 0, &mut fixture.deadlines);
        assert_eq!(fixture.lost_outcomes(), lost_outcomes, "{sent} bytes sent");
        // The flow that moved is assigned to a new connection, which closes before its first byte too.
        fixture.pool.connected(Conn(1), 0, &mut fixture.deadlines);
        fixture.pool.close(Conn(1), 0, &mut fixture.deadlines);
        let lost_outcomes = if sent == 0 { vec![Outcome::ConnectFailed] } else { lost_outcomes };
        assert_eq!(fixture.lost_outcomes(), lost_outcomes);
    }
}

#[test]
fn no_flow_is_assigned_behind_a_stalled_one_and_a_new_connection_is_opened() {
    let mut fixture = Fixture::new(false, 1);
    fixture.establish(0);
    fixture.pool.limits.in_all = 2;
    fixture.send(1, 1);
    assert_eq!(
        fixture.pool.connections[&Conn(0)].load(9, 0),
        Some((2, 0)),
        "behind the first, which has not stalled"
    );
    fixture.send(2, 2);
    assert_eq!(fixture.pool.connections.len(), 2);
    assert_eq!(fixture.pool.members[&MEMBER].waiting.len(), 1);
}

#[test]
fn a_connection_to_the_origin_carries_one_flow() {
    for (origin, behind) in [(false, 2), (true, 1)] {
        let fixture = Fixture::new(origin, 2);
        assert_eq!(fixture.pool.connections[&Conn(0)].load(9, 0), Some((behind, 0)));
        assert_eq!(fixture.pool.members[&MEMBER].waiting.len(), 2 - behind);
    }
}

/// An answer may arrive twice, the second copy late: the next request must not get it.
#[test]
fn after_an_answer_that_names_no_request_a_connection_settles_before_the_next_flow() {
    let ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    for (origin, reply, settles) in [
        (false, "EN O9\r\n", false),
        (false, "VA 1 O9 h1\r\nv\r\n", false),
        (false, "SERVER_ERROR busy\r\n", true),
        (false, "SERVER_ERROR failed\r\n", true),
        (true, ok, true),
    ] {
        let mut fixture = Fixture::new(origin, 1);
        fixture.establish(0);
        assert_eq!(fixture.answer(0, reply), (true, 1));
        fixture.send(1, SETTLE_TIME - 1);
        assert_eq!(fixture.pool.connections[&Conn(0)].flows(), usize::from(!settles), "{reply}");
        if settles {
            fixture.pool.on_deadline(Conn(0), SETTLE_TIME, &mut fixture.deadlines);
            assert_eq!(fixture.pool.connections[&Conn(0)].flows(), 1, "the waiting flow");
        }
    }
}

#[test]
fn answers_may_arrive_in_any_pieces_and_all_flows_of_an_iteration_are_one_write() {
    let value = "v".repeat(9000);
    let all = format!("VA 9000 O9 h1\r\n{value}\r\nEN O9\r\n");
    for cut in [0, 1, 12, 16, 5000, 9016, 9017, 9018, all.len() - 1, all.len()] {
        let mut fixture = Fixture::new(false, 2);
        assert_eq!(fixture.flush(), [(Conn(0), false)]);
        let (first, last) = all.split_at(cut);
        let ((_, one), (usable, two)) = (fixture.answer(0, first), fixture.answer(0, last));
        assert_eq!((one + two, usable), (2, true), "cut at {cut}");
    }
}

#[test]
fn the_answer_to_an_abandoned_flow_is_dropped_and_the_next_flow_gets_its_own() {
    let mut fixture = Fixture::new(false, 2);
    assert_eq!(fixture.flush(), [(Conn(0), false)]);
    let abandoned = FlowId { request: RequestId(1), attempt: 0 };
    assert!(!fixture.pool.abandon(MEMBER, abandoned, false, 0, &mut fixture.deadlines), "it was sent");
    assert_eq!(fixture.pool.connections[&Conn(0)].load(9, 0), None, "nothing goes behind it");
    assert_eq!(fixture.answer(0, "EN O9\r\nEN O9\r\n"), (true, 1));
}

/// A flow that was half written behind another was reported as never sent when it was abandoned, although the
/// rest of it was still written: its effect could come twice.
#[test]
fn a_half_written_flow_counts_as_never_sent_only_if_its_connection_closes() {
    for (written, force_close, never_sent, lives) in [
        (0, false, true, true),
        (0, true, true, true),
        (1, false, false, true),
        (1, true, true, false),
        (99, false, false, true),
        (99, true, false, false),
    ] {
        let mut fixture = Fixture::new(false, 1);
        fixture.establish(0);
        fixture.send(1, 0);
        assert!(fixture.pool.flush_next(0, &mut fixture.deadlines));
        fixture.pool.transmitted(Conn(0), written);
        let abandoned = FlowId { request: RequestId(1), attempt: 1 };
        let unsent = fixture.pool.abandon(MEMBER, abandoned, force_close, 0, &mut fixture.deadlines);
        let case = format!("{written} bytes written, force close: {force_close}");
        assert_eq!(unsent, never_sent, "{case}");
        assert_eq!(fixture.pool.connections.contains_key(&Conn(0)), lives, "{case}");
        assert_eq!(
            fixture.unwritten(Conn(0)).is_empty(),
            written != 1 || !lives,
            "{case}: the rest still goes out"
        );
        let neighbours = if lives { vec![] } else { vec![Outcome::Broken] };
        assert_eq!(fixture.lost_outcomes(), neighbours, "{case}");
    }
}

/// A flow that may no longer be sent is discarded unless it is written completely: while it waits, behind
/// another flow, or half written.
#[test]
fn discarding_stops_a_flow_unless_it_is_written_completely() {
    let repeat = FlowId { request: RequestId(1), attempt: 1 };
    for (written, discarded, lives) in [(0, true, true), (1, true, false), (99, false, true)] {
        let mut fixture = Fixture::new(false, 1);
        fixture.establish(0);
        fixture.send(1, 0);
        assert!(fixture.pool.flush_next(0, &mut fixture.deadlines));
        fixture.pool.transmitted(Conn(0), written);
        assert_eq!(
            fixture.pool.discard_unsent(MEMBER, repeat, 0, &mut fixture.deadlines),
            discarded,
            "{written}"
        );
        assert_eq!(fixture.pool.connections.contains_key(&Conn(0)), lives, "{written}");
        assert_eq!(fixture.unwritten(Conn(0)), b"", "{written}");
    }
    let mut fixture = Fixture::new(false, 1);
    let unwritten = FlowId { attempt: 0, ..repeat };
    assert!(fixture.pool.discard_unsent(MEMBER, unwritten, 0, &mut fixture.deadlines));
    assert!(fixture.pool.members[&MEMBER].waiting.is_empty());
}

/// Three connects that found no descriptor on this machine made their member suspect.
#[test]
fn a_connect_without_a_descriptor_leaves_its_flow_unsent_or_behind_others() {
    let mut fixture = Fixture::new(false, 1);
    fixture.pool.not_opened(Conn(0), 0, &mut fixture.deadlines);
    assert_eq!(fixture.lost_outcomes(), [Outcome::NeverSent]);
    assert_eq!((fixture.pool.connections.len(), fixture.deadlines.len()), (0, 0));
    let mut fixture = Fixture::new(false, 1);
    fixture.establish(0);
    (fixture.pool.limits.per_member, fixture.pool.limits.in_all) = (2, 2);
    fixture.send(1, 0);
    fixture.pool.not_opened(Conn(1), 0, &mut fixture.deadlines);
    assert_eq!((fixture.lost_outcomes(), fixture.pool.connections[&Conn(0)].flows()), (vec![], 2));
}

#[test]
fn unasked_input_closes_a_connection_and_buffered_bytes_are_limited() {
    let mut fixture = Fixture::new(false, 1);
    fixture.establish(0);
    assert_eq!(fixture.answer(0, "EN O9\r\nEN O9\r\n"), (false, 1), "one was asked for");
    assert!(fixture.pool.connections.is_empty());
    // The last byte of the request waits behind a full socket, and the member sends without end.
    let mut fixture = Fixture::new(false, 1);
    fixture.pool.connected(Conn(0), 0, &mut fixture.deadlines);
    fixture.pool.transmitted(Conn(0), 1);
    let bytes = "x".repeat(1 << 16);
    let taken = (0..8).take_while(|_| fixture.answer(0, &bytes).0).count();
    assert_eq!((taken, fixture.lost_outcomes()), (2, vec![Outcome::ConnectFailed]));
}

#[test]
fn in_a_burst_flows_share_a_connection_up_to_a_limit() {
    let mut fixture = Fixture::new(false, 1);
    fixture.pool.limits = Limits { in_all: 99, multiplex: 32, per_member: 99, ..fixture.pool.limits };
    (1..60).for_each(|n| fixture.send(n, 0));
    (0..60).for_each(|n| fixture.establish(n));
    (0..60).for_each(|n| assert_eq!(fixture.answer(n, "EN O9\r\n"), (true, 1)));
    let writes = |fixture: &mut Fixture, flows: u32| {
        (0..flows).for_each(|n| fixture.send(100 + n, 0));
        let written = fixture.flush();
        let counts = |(id, _): &(Conn, bool)| fixture.pool.connections[id].flows();
        let mut counts: Vec<usize> = written.iter().map(counts).collect();
        counts.sort_unstable();
        for (id, _) in written {
            let count = fixture.pool.connections[&id].flows();
            assert_eq!(fixture.answer(id.0, &"EN O9\r\n".repeat(count)), (true, count));
        }
        counts
    };
    assert_eq!(writes(&mut fixture, 16), vec![1; 16], "each its own");
    assert_eq!(writes(&mut fixture, 16 + 16), [vec![1; 15], vec![1, 8, 8]].concat());
    assert_eq!(writes(&mut fixture, 16), vec![1; 16], "and again in the next iteration");
}

/// If a hundred nodes each kept a connection to each of sixty members, they would fill the members'
/// connection tables.
#[test]
fn with_many_nodes_only_the_idle_connections_used_last_are_kept() {
    let mut fixture = Fixture::new(false, 1);
    fixture.pool.limits = Limits { in_all: 99, idle: 1_000, idle_per_member: 0.12, ..fixture.pool.limits };
    let servers: Vec<ServerId> = (2..=30).map(ServerId).collect();
    for server in &servers {
        fixture.pool.update_member(*server, fixture.at, false, Stage::Live, &mut fixture.deadlines);
    }
    fixture.pool.recompute_limits();
    fixture.establish(0);
    assert_eq!(fixture.answer(0, "EN O9\r\n"), (true, 1));
    for (n, server) in (1..).zip(&servers) {
        let id = FlowId { request: RequestId(1), attempt: n };
        let flow = Flow {
            id,
            shared: fixture.shared.clone(),
            until: Micros::MAX,
            begin_by: Micros::MAX,
            moved: false,
        };
        fixture.pool.send(*server, flow, Micros::from(n), &mut fixture.deadlines);
        fixture.establish(u64::from(n));
        fixture.pool.received(
            Conn(u64::from(n)),
            b"EN O9\r\n",
            false,
            n.into(),
            &mut fixture.deadlines,
            |_, _| true,
        );
    }
    let mut kept: Vec<u64> = fixture.pool.connections.keys().map(|c| c.0).collect();
    kept.sort_unstable();
    assert_eq!(kept, [26, 27, 28, 29], "0.12 for each of 30 members");
    assert_eq!(fixture.deadlines.len(), 4, "closed connections leave no deadline");
}

#[test]
fn the_connection_limit_of_the_origin_grows_with_the_fleet() {
    let mut fixture = Fixture::new(true, 1);
    fixture.pool.limits = Limits::shared(100, 1, 1, 32, 99);
    let max = |fixture: &mut Fixture, members: u64| {
        for server in 2..2 + members {
            fixture.pool.update_member(
                ServerId(server),
                fixture.at,
                false,
                Stage::Live,
                &mut fixture.deadlines,
            );
        }
        fixture.pool.recompute_limits();
        fixture.pool.max_connections(&fixture.pool.members[&MEMBER])
    };
    assert_eq!((max(&mut fixture, 12), max(&mut fixture, 60)), (2, 4));
}

/// A request that waited behind a full socket stated more time to its server than its client had left.
#[test]
fn an_attempt_that_waited_states_the_time_that_is_left() {
    const MS: Micros = 1000;
    let mut fixture = Fixture::new(false, 0);
    fixture.establish(0);
    fixture.answer(0, "EN O9 h0\r\n");
    let id = FlowId { request: RequestId(1), attempt: 1 };
    let flow =
        Flow { id, shared: fixture.shared.clone(), until: 500 * MS, begin_by: Micros::MAX, moved: false };
    fixture.pool.send(MEMBER, flow, 0, &mut fixture.deadlines);
    let command = |fixture: &Fixture| String::from_utf8(fixture.unwritten(Conn(0))).expect("a command");
    assert!(command(&fixture).contains("d=500"), "{}", command(&fixture));
    for (now, left) in [(10 * MS, "d=500"), (300 * MS, "d=200"), (499 * MS, "d=1")] {
        fixture.pool.writable(Conn(0));
        fixture.pool.flush_next(now, &mut fixture.deadlines);
        assert!(command(&fixture).contains(left), "{now}: {}", command(&fixture));
    }
    // Once its first byte is written it stays as it is.
    fixture.pool.transmitted(Conn(0), 1);
    let begun = command(&fixture);
    fixture.pool.writable(Conn(0));
    fixture.pool.flush_next(900 * MS, &mut fixture.deadlines);
    assert_eq!(command(&fixture), begun);
    assert_eq!(fixture.pool.violations().total(), 0);
}

/// An attempt that had waited to be written began after its own deadline, or after the end of the window for
/// repeats.
#[test]
fn an_attempt_does_not_begin_after_its_deadline() {
    for (until, begin_by) in [(100, Micros::MAX), (1_000, 100)] {
        let mut fixture = Fixture::new(false, 0);
        fixture.establish(0);
        fixture.answer(0, "EN O9 h0\r\n");
        let id = FlowId { request: RequestId(1), attempt: 1 };
        let flow = Flow { id, shared: fixture.shared.clone(), until, begin_by, moved: false };
        fixture.pool.send(MEMBER, flow, 0, &mut fixture.deadlines);
        fixture.pool.flush_next(99, &mut fixture.deadlines);
        assert!(!fixture.unwritten(Conn(0)).is_empty() && fixture.pool.lost.is_empty());
        fixture.pool.writable(Conn(0));
        fixture.pool.flush_next(100, &mut fixture.deadlines);
        assert!(fixture.unwritten(Conn(0)).is_empty());
        assert_eq!(fixture.lost_outcomes(), [Outcome::NeverSent]);
    }
}

#[test]
fn a_flow_written_without_permission_is_counted() {
    use lapisrudder_decisions::permit::Denial;
    let mut fixture = Fixture::new(false, 0);
    fixture.establish(0);
    fixture.answer(0, "EN O9 h0\r\n");
    fixture.send(1, 0);
    fixture.pool.flush_next(0, &mut fixture.deadlines);
    assert!(fixture.shared.answer(), "between the order and the write");
    fixture.pool.transmitted(Conn(0), 1);
    assert_eq!(fixture.pool.violations().found().collect::<Vec<_>>(), [(Denial::NoAnswerPending, 1)]);
}

/// Each of several members had a connection of its own whatever the limit, and the descriptors that belonged to
/// discovery and to clients were in use.
#[test]
fn connections_stay_within_the_limit_where_members_outnumber_it() {
    const MAX: usize = 2;
    let mut fixture = Fixture::new(false, 1);
    fixture.pool.limit_connections(1, MAX, 0, &mut fixture.deadlines);
    let others = [ServerId(2), ServerId(3), ServerId(4)];
    for (attempt, server) in (1..).zip(others) {
        fixture.pool.update_member(server, fixture.at, false, Stage::Live, &mut fixture.deadlines);
        let id = FlowId { request: RequestId(1), attempt };
        let flow = Flow {
            id,
            shared: fixture.shared.clone(),
            until: Micros::MAX,
            begin_by: Micros::MAX,
            moved: false,
        };
        fixture.pool.send(server, flow, 0, &mut fixture.deadlines);
    }
    fixture.pool.recompute_limits();
    assert_eq!(fixture.pool.connections.len(), MAX);
    // Each answer frees a connection, which the next member in order gets.
    for (conn, next) in [(0, Some(others[1])), (1, Some(others[2])), (2, None)] {
        fixture.establish(conn);
        fixture.answer(conn, "EN O9 h0\r\n");
        assert!(fixture.pool.connections.len() <= MAX);
        let opened = fixture.pool.connections.get(&Conn(conn + MAX as u64)).map(|c| c.server);
        assert_eq!(opened, next, "after the answer on connection {conn}");
    }
    assert!(fixture.pool.lost.is_empty());
}
