use super::*;
use crate::flow::Call;
use crate::request::Request;
use lapisrudder_codec::memcache::{OwnedRequest, RequestParts};
use lapisrudder_decisions::{Key, RequestId};
use std::sync::Arc;

const MEMBER: ServerId = ServerId(1);

/// A pool of one member, whose first connection is coming up, and what a flow needs.
struct Desk {
    pool: Pool,
    deadlines: Deadlines,
    at: SocketAddr,
    call: Arc<Call>,
}

impl Desk {
    /// Sends so many flows of one transaction.
    fn new(origin: bool, flows: u32) -> Desk {
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
        let mut desk = Desk {
            pool: Pool::new(limits),
            deadlines: Deadlines::default(),
            at: ([127, 0, 0, 1], 1).into(),
            call: Arc::new(Call::new(request)),
        };
        desk.pool.list(MEMBER, desk.at, origin, Stage::Live, &mut desk.deadlines);
        desk.send(0, 0);
        if flows > 1 {
            desk.comes_up(0);
            (1..flows).for_each(|n| desk.send(n, 0));
        }
        desk
    }

    fn send(&mut self, attempt: u32, now: Micros) {
        let id = FlowId { request: RequestId(1), attempt };
        let flow =
            Flow { id, call: self.call.clone(), until: Micros::MAX, begin_by: Micros::MAX, moved: false };
        self.pool.send(MEMBER, flow, now, &mut self.deadlines);
    }

    fn comes_up(&mut self, id: u64) {
        self.pool.connected(Conn(id), 0, &mut self.deadlines);
        self.carry_out();
    }

    /// Ends the turn: all is written that is ordered. Gives the connections written to, and whether a look was asked.
    fn carry_out(&mut self) -> Vec<(Conn, bool)> {
        let mut written = Vec::new();
        while self.pool.write_out(0, &mut self.deadlines) {
            for order in std::mem::take(&mut self.pool.orders) {
                if let Order::Write { conn, look } = order {
                    self.pool.transmitted(conn, self.waits(conn).len());
                    written.push((conn, look));
                }
            }
        }
        written
    }

    fn waits(&self, conn: Conn) -> Vec<u8> {
        self.pool.transmit(conn).flatten().copied().collect()
    }

    fn answer(&mut self, id: u64, bytes: &str) -> (bool, usize) {
        let mut count = 0;
        let of_use = self.pool.received(Conn(id), bytes.as_bytes(), false, 0, &mut self.deadlines, |_, _| {
            count += 1;
            true
        });
        (of_use, count)
    }

    fn outcomes(&self) -> Vec<Outcome> {
        self.pool.lost.iter().map(|(_, outcome)| *outcome).collect()
    }
}

#[test]
fn a_flow_that_has_waited_is_not_begun_if_it_may_no_longer_go() {
    let ends = |happens: fn(&mut Desk)| {
        let mut desk = Desk::new(false, 1);
        happens(&mut desk);
        desk.comes_up(0);
        desk.outcomes()
    };
    assert_eq!(ends(|_| {}), []);
    assert_eq!(ends(|desk| assert!(desk.call.answer())), [Outcome::NeverSent]);
    assert_eq!(
        ends(|desk| desk.pool.list(MEMBER, desk.at, false, Stage::Draining, &mut desk.deadlines)),
        [Outcome::NeverSent]
    );
    assert_eq!(ends(|desk| desk.pool.gone(MEMBER, &mut desk.deadlines)), [Outcome::NeverSent]);
}

#[test]
fn a_drain_takes_back_what_has_not_begun_and_leaves_what_has() {
    let mut desk = Desk::new(false, 2);
    assert!(desk.pool.write_out(0, &mut desk.deadlines));
    // Behind a full socket: the first byte of the second flow has gone.
    desk.pool.limits.multiplex = 3;
    desk.send(2, 0);
    assert_eq!(desk.pool.transmit(Conn(0)).count(), 2);
    desk.pool.transmitted(Conn(0), 1);
    desk.pool.list(MEMBER, desk.at, false, Stage::Draining, &mut desk.deadlines);
    desk.pool.writable(Conn(0));
    desk.carry_out();
    assert_eq!(desk.outcomes(), [Outcome::NeverSent]);
    assert_eq!(desk.answer(0, "EN O9\r\nEN O9\r\n"), (true, 2), "the first two are answered");
}

#[test]
fn a_flow_leaves_a_connection_that_died_while_idle_and_a_new_id_gets_none_of_the_old() {
    let mut desk = Desk::new(false, 1);
    desk.comes_up(0);
    assert_eq!(desk.answer(0, "EN O9 h0\r\n"), (true, 1));
    assert!(desk.pool.connections[&Conn(0)].idle());
    desk.send(1, 0);
    // Before the write the host looks, and finds that it is over.
    assert!(desk.pool.write_out(0, &mut desk.deadlines));
    assert_eq!(desk.pool.orders.pop_back(), Some(Order::Write { conn: Conn(0), look: true }));
    desk.pool.close(Conn(0), 0, &mut desk.deadlines);
    assert!(desk.pool.lost.is_empty() && desk.pool.members[&MEMBER].waiting.len() == 1);
    assert!(desk.pool.connections.keys().eq([&Conn(1)]), "a new one is on its way");
    desk.pool.gone(MEMBER, &mut desk.deadlines);
    assert!(desk.pool.members.is_empty() && desk.pool.connections.is_empty());
    assert_eq!(desk.pool.orders, [Order::Close { conn: Conn(0) }], "its host never heard of the other");
    desk.pool.list(ServerId(2), desk.at, false, Stage::Live, &mut desk.deadlines);
    let id = FlowId { request: RequestId(1), attempt: 2 };
    let flow = Flow { id, call: desk.call.clone(), until: Micros::MAX, begin_by: Micros::MAX, moved: false };
    desk.pool.send(ServerId(2), flow, 0, &mut desk.deadlines);
    assert!(desk.pool.connections.keys().eq([&Conn(2)]));
    assert_eq!(desk.deadlines.next(), Some(1), "and no deadline of the old ones is left");
}

#[test]
fn a_flow_moves_once_and_only_where_nothing_of_it_was_sent() {
    for (sent, outcomes) in [(0, vec![]), (1, vec![Outcome::ConnectFailed]), (99, vec![Outcome::Broken])] {
        let mut desk = Desk::new(false, 1);
        desk.comes_up(0);
        desk.answer(0, "EN O9 h0\r\n");
        desk.send(1, 0);
        desk.pool.transmitted(Conn(0), sent);
        desk.pool.close(Conn(0), 0, &mut desk.deadlines);
        assert_eq!(desk.outcomes(), outcomes, "{sent} bytes sent");
        // The one that moved goes on a new connection, which dies before its first byte, too.
        desk.pool.connected(Conn(1), 0, &mut desk.deadlines);
        desk.pool.close(Conn(1), 0, &mut desk.deadlines);
        let outcomes = if sent == 0 { vec![Outcome::ConnectFailed] } else { outcomes };
        assert_eq!(desk.outcomes(), outcomes);
    }
}

#[test]
fn nothing_goes_behind_a_flow_that_stalls_and_another_connection_takes_its_place() {
    let mut desk = Desk::new(false, 1);
    desk.comes_up(0);
    desk.pool.limits.in_all = 2;
    desk.send(1, 1);
    assert_eq!(desk.pool.connections[&Conn(0)].load(9, 0), Some((2, 0)), "behind the first, which is young");
    desk.send(2, 2);
    assert_eq!(desk.pool.connections.len(), 2);
    assert_eq!(desk.pool.members[&MEMBER].waiting.len(), 1);
}

#[test]
fn nothing_is_written_behind_another_on_a_connection_to_the_origin() {
    for (origin, behind) in [(false, 2), (true, 1)] {
        let desk = Desk::new(origin, 2);
        assert_eq!(desk.pool.connections[&Conn(0)].load(9, 0), Some((behind, 0)));
        assert_eq!(desk.pool.members[&MEMBER].waiting.len(), 2 - behind);
    }
}

/// Guards those who ask next against an answer that comes twice, the second one late.
#[test]
fn where_an_answer_named_no_request_nothing_new_goes_before_it_has_settled_and_then_what_waits() {
    let ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    for (origin, whole, settles) in [
        (false, "EN O9\r\n", false),
        (false, "VA 1 O9 h1\r\nv\r\n", false),
        (false, "SERVER_ERROR busy\r\n", true),
        (false, "SERVER_ERROR failed\r\n", true),
        (true, ok, true),
    ] {
        let mut desk = Desk::new(origin, 1);
        desk.comes_up(0);
        assert_eq!(desk.answer(0, whole), (true, 1));
        desk.send(1, SETTLES - 1);
        assert_eq!(desk.pool.connections[&Conn(0)].flows(), usize::from(!settles), "{whole}");
        if settles {
            desk.pool.on_deadline(Conn(0), SETTLES, &mut desk.deadlines);
            assert_eq!(desk.pool.connections[&Conn(0)].flows(), 1, "what waited");
        }
    }
}

#[test]
fn answers_are_taken_however_they_are_cut_and_all_flows_of_a_turn_are_one_write() {
    let value = "v".repeat(9000);
    let all = format!("VA 9000 O9 h1\r\n{value}\r\nEN O9\r\n");
    for cut in [0, 1, 12, 16, 5000, 9016, 9017, 9018, all.len() - 1, all.len()] {
        let mut desk = Desk::new(false, 2);
        assert_eq!(desk.carry_out(), [(Conn(0), false)]);
        let (first, last) = all.split_at(cut);
        let ((_, one), (of_use, two)) = (desk.answer(0, first), desk.answer(0, last));
        assert_eq!((one + two, of_use), (2, true), "cut at {cut}");
    }
}

#[test]
fn the_answer_of_a_flow_that_was_given_up_is_read_for_nobody_and_its_neighbour_gets_its_own() {
    let mut desk = Desk::new(false, 2);
    assert_eq!(desk.carry_out(), [(Conn(0), false)]);
    let given_up = FlowId { request: RequestId(1), attempt: 0 };
    assert!(!desk.pool.abandon(MEMBER, given_up, false, 0, &mut desk.deadlines), "it was sent");
    assert_eq!(desk.pool.connections[&Conn(0)].load(9, 0), None, "nothing goes behind it");
    assert_eq!(desk.answer(0, "EN O9\r\nEN O9\r\n"), (true, 1));
}

/// Danger: one that was begun behind another was told as never sent when it was given up, and the rest of it went out
/// all the same: its effect could be had twice.
#[test]
fn what_was_begun_counts_as_never_sent_only_if_its_connection_closes() {
    for (written, called_off, never_sent, lives) in [
        (0, false, true, true),
        (0, true, true, true),
        (1, false, false, true),
        (1, true, true, false),
        (99, false, false, true),
        (99, true, false, false),
    ] {
        let mut desk = Desk::new(false, 1);
        desk.comes_up(0);
        desk.send(1, 0);
        assert!(desk.pool.write_out(0, &mut desk.deadlines));
        desk.pool.transmitted(Conn(0), written);
        let given_up = FlowId { request: RequestId(1), attempt: 1 };
        let unsent = desk.pool.abandon(MEMBER, given_up, called_off, 0, &mut desk.deadlines);
        let case = format!("{written} bytes written, called off: {called_off}");
        assert_eq!(unsent, never_sent, "{case}");
        assert_eq!(desk.pool.connections.contains_key(&Conn(0)), lives, "{case}");
        assert_eq!(desk.waits(Conn(0)).is_empty(), written != 1 || !lives, "{case}: the rest still goes out");
        let neighbours = if lives { vec![] } else { vec![Outcome::Broken] };
        assert_eq!(desk.outcomes(), neighbours, "{case}");
    }
}

/// What may no longer be sent is taken back while any of it is unwritten: waiting, behind another, or half out.
#[test]
fn what_may_no_longer_be_sent_never_comes_whole_and_what_has_goes_on() {
    let repeat = FlowId { request: RequestId(1), attempt: 1 };
    for (written, forgone, lives) in [(0, true, true), (1, true, false), (99, false, true)] {
        let mut desk = Desk::new(false, 1);
        desk.comes_up(0);
        desk.send(1, 0);
        assert!(desk.pool.write_out(0, &mut desk.deadlines));
        desk.pool.transmitted(Conn(0), written);
        assert_eq!(desk.pool.forgo(MEMBER, repeat, 0, &mut desk.deadlines), forgone, "{written}");
        assert_eq!(desk.pool.connections.contains_key(&Conn(0)), lives, "{written}");
        assert_eq!(desk.waits(Conn(0)), b"", "{written}");
    }
    let mut desk = Desk::new(false, 1);
    let waits = FlowId { attempt: 0, ..repeat };
    assert!(desk.pool.forgo(MEMBER, waits, 0, &mut desk.deadlines));
    assert!(desk.pool.members[&MEMBER].waiting.is_empty());
}

/// Danger: three connects that found no descriptor here made their member suspect.
#[test]
fn what_found_no_descriptor_was_never_sent_and_goes_behind_others_where_there_are_any() {
    let mut desk = Desk::new(false, 1);
    desk.pool.not_opened(Conn(0), 0, &mut desk.deadlines);
    assert_eq!(desk.outcomes(), [Outcome::NeverSent]);
    assert_eq!((desk.pool.connections.len(), desk.deadlines.len()), (0, 0));
    let mut desk = Desk::new(false, 1);
    desk.comes_up(0);
    (desk.pool.limits.per_member, desk.pool.limits.in_all) = (2, 2);
    desk.send(1, 0);
    desk.pool.not_opened(Conn(1), 0, &mut desk.deadlines);
    assert_eq!((desk.outcomes(), desk.pool.connections[&Conn(0)].flows()), (vec![], 2));
}

#[test]
fn what_nobody_asked_for_ends_a_connection_and_is_held_within_bounds() {
    let mut desk = Desk::new(false, 1);
    desk.comes_up(0);
    assert_eq!(desk.answer(0, "EN O9\r\nEN O9\r\n"), (false, 1), "one was asked for");
    assert!(desk.pool.connections.is_empty());
    // The last byte of the request waits behind a full socket, and the member talks on and on.
    let mut desk = Desk::new(false, 1);
    desk.pool.connected(Conn(0), 0, &mut desk.deadlines);
    desk.pool.transmitted(Conn(0), 1);
    let bytes = "x".repeat(1 << 16);
    let taken = (0..8).take_while(|_| desk.answer(0, &bytes).0).count();
    assert_eq!((taken, desk.outcomes()), (2, vec![Outcome::ConnectFailed]));
}

#[test]
fn in_a_burst_flows_to_one_member_share_a_connection_up_to_a_number() {
    let mut desk = Desk::new(false, 1);
    desk.pool.limits = Limits { in_all: 99, multiplex: 32, per_member: 99, ..desk.pool.limits };
    (1..60).for_each(|n| desk.send(n, 0));
    (0..60).for_each(|n| desk.comes_up(n));
    (0..60).for_each(|n| assert_eq!(desk.answer(n, "EN O9\r\n"), (true, 1)));
    let writes = |desk: &mut Desk, flows: u32| {
        (0..flows).for_each(|n| desk.send(100 + n, 0));
        let written = desk.carry_out();
        let counts = |(id, _): &(Conn, bool)| desk.pool.connections[id].flows();
        let mut counts: Vec<usize> = written.iter().map(counts).collect();
        counts.sort_unstable();
        for (id, _) in written {
            let count = desk.pool.connections[&id].flows();
            assert_eq!(desk.answer(id.0, &"EN O9\r\n".repeat(count)), (true, count));
        }
        counts
    };
    assert_eq!(writes(&mut desk, 16), vec![1; 16], "each its own");
    assert_eq!(writes(&mut desk, 16 + 16), [vec![1; 15], vec![1, 8, 8]].concat());
    assert_eq!(writes(&mut desk, 16), vec![1; 16], "and so again once the turn is over");
}

/// Guards members' tables: a hundred nodes that each keep a connection to each of sixty members fill them.
#[test]
fn where_many_nodes_share_a_member_only_the_idle_connections_used_last_are_kept() {
    let mut desk = Desk::new(false, 1);
    desk.pool.limits = Limits { in_all: 99, idle: 1_000, idle_per_member: 0.12, ..desk.pool.limits };
    let servers: Vec<ServerId> = (2..=30).map(ServerId).collect();
    for server in &servers {
        desk.pool.list(*server, desk.at, false, Stage::Live, &mut desk.deadlines);
    }
    desk.pool.recount();
    desk.comes_up(0);
    assert_eq!(desk.answer(0, "EN O9\r\n"), (true, 1));
    for (n, server) in (1..).zip(&servers) {
        let id = FlowId { request: RequestId(1), attempt: n };
        let flow =
            Flow { id, call: desk.call.clone(), until: Micros::MAX, begin_by: Micros::MAX, moved: false };
        desk.pool.send(*server, flow, Micros::from(n), &mut desk.deadlines);
        desk.comes_up(u64::from(n));
        desk.pool
            .received(Conn(u64::from(n)), b"EN O9\r\n", false, n.into(), &mut desk.deadlines, |_, _| true);
    }
    let mut kept: Vec<u64> = desk.pool.connections.keys().map(|c| c.0).collect();
    kept.sort_unstable();
    assert_eq!(kept, [26, 27, 28, 29], "0.12 for each of 30 members");
    assert_eq!(desk.deadlines.len(), 4, "no deadline is left of those that went");
}

#[test]
fn connections_to_the_origin_grow_with_the_members_there_are() {
    let mut desk = Desk::new(true, 1);
    desk.pool.limits = Limits::shared(100, 1, 1, 32, 99);
    let most = |desk: &mut Desk, members: u64| {
        for server in 2..2 + members {
            desk.pool.list(ServerId(server), desk.at, false, Stage::Live, &mut desk.deadlines);
        }
        desk.pool.recount();
        desk.pool.most(&desk.pool.members[&MEMBER])
    };
    assert_eq!((most(&mut desk, 12), most(&mut desk, 60)), (2, 4));
}

/// Danger: what lay behind a full socket told its server of time that its client no longer had.
#[test]
fn an_attempt_that_has_waited_to_be_written_tells_the_time_that_is_left() {
    const MS: Micros = 1000;
    let mut desk = Desk::new(false, 0);
    desk.comes_up(0);
    desk.answer(0, "EN O9 h0\r\n");
    let id = FlowId { request: RequestId(1), attempt: 1 };
    let flow = Flow { id, call: desk.call.clone(), until: 500 * MS, begin_by: Micros::MAX, moved: false };
    desk.pool.send(MEMBER, flow, 0, &mut desk.deadlines);
    let told = |desk: &Desk| String::from_utf8(desk.waits(Conn(0))).expect("a command");
    assert!(told(&desk).contains("d=500"), "{}", told(&desk));
    for (now, left) in [(10 * MS, "d=500"), (300 * MS, "d=200"), (499 * MS, "d=1")] {
        desk.pool.writable(Conn(0));
        desk.pool.write_out(now, &mut desk.deadlines);
        assert!(told(&desk).contains(left), "{now}: {}", told(&desk));
    }
    // Once it has begun it goes on as it is.
    desk.pool.transmitted(Conn(0), 1);
    let begun = told(&desk);
    desk.pool.writable(Conn(0));
    desk.pool.write_out(900 * MS, &mut desk.deadlines);
    assert_eq!(told(&desk), begun);
    assert_eq!(desk.pool.violations().total(), 0);
}

/// Danger: an attempt that waited to be written began though its time, or that of what it repeats, was over by then.
#[test]
fn an_attempt_whose_time_is_over_when_it_could_be_written_never_begins() {
    for (until, begin_by) in [(100, Micros::MAX), (1_000, 100)] {
        let mut desk = Desk::new(false, 0);
        desk.comes_up(0);
        desk.answer(0, "EN O9 h0\r\n");
        let id = FlowId { request: RequestId(1), attempt: 1 };
        let flow = Flow { id, call: desk.call.clone(), until, begin_by, moved: false };
        desk.pool.send(MEMBER, flow, 0, &mut desk.deadlines);
        desk.pool.write_out(99, &mut desk.deadlines);
        assert!(!desk.waits(Conn(0)).is_empty() && desk.pool.lost.is_empty());
        desk.pool.writable(Conn(0));
        desk.pool.write_out(100, &mut desk.deadlines);
        assert!(desk.waits(Conn(0)).is_empty());
        assert_eq!(desk.outcomes(), [Outcome::NeverSent]);
    }
}

#[test]
fn what_is_written_though_it_may_not_begin_is_counted() {
    use lapisrudder_decisions::permit::Denial;
    let mut desk = Desk::new(false, 0);
    desk.comes_up(0);
    desk.answer(0, "EN O9 h0\r\n");
    desk.send(1, 0);
    desk.pool.write_out(0, &mut desk.deadlines);
    assert!(desk.call.answer(), "between the order and the write");
    desk.pool.transmitted(Conn(0), 1);
    assert_eq!(desk.pool.violations().found().collect::<Vec<_>>(), [(Denial::NothingOwed, 1)]);
}
