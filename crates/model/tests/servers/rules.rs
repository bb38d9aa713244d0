//! Each rule of a server in a minimal case, with results calculated by hand.

use lapisrudder_model::Micros;
use lapisrudder_model::origin::Origin;
use lapisrudder_model::server::*;
use lapisrudder_model::value::{IdempotencyKey, Key, Maker, Receipt, Uid};

use super::harness::*;

const SECOND: Micros = 1_000_000;

/// A cache server with one core and one slot, after the given change.
fn single(change: impl FnOnce(&mut Machine)) -> CacheConfig {
    let mut machine = Machine { cores: 1, slots: 1, waiting_room: 100, ..Machine::default() };
    change(&mut machine);
    CacheConfig { machine, ..CacheConfig::default() }
}

fn ask(rig: &mut Rig<impl Storage>, now: Micros, conn: u64, id: u64, work_us: f64) -> Vec<Order> {
    rig.at(now, Event::Request(read(conn, id, id, work_us)))
}

fn write(conn: u64, id: u64, key: u64, keyed: u64) -> Event {
    let keyed = Some(IdempotencyKey(keyed));
    Event::Request(Request { kind: Kind::Write, size: 500, keyed, ..read(conn, id, key, 100.0) })
}

fn fault(rig: &mut Rig<impl Storage>, now: Micros, fault: Fault) -> Vec<Act> {
    acts(&rig.at(now, Event::Fault(fault)))
}

fn closed(conn: u64, kind: CloseKind) -> Act {
    Act::Close(ConnId(conn), kind)
}

#[test]
fn a_cold_server_crashes_above_the_threshold_and_stays_down() {
    // Capacity 0.25 (warm-up is negligible) x 3 x 2 s allows 1.5 s of work in any 2 s.
    let tip = Some(OverloadThreshold { multiple: 3.0, window_us: 2 * SECOND });
    let warm_up = WarmUp { start: 0.25, full_after_us: 1_000_000 * SECOND, full_after_work_us: None, tip };
    let config = CacheConfig { warm_up, ..single(|m| m.waiting_room = 2) };
    // Time of the sixteenth request of 0.1 s of work after fifteen at 0, whether the server is warm, whether
    // it crashes.
    for (at, warm, crashes) in
        [(0, false, true), (2 * SECOND - 1, false, true), (2 * SECOND, false, false), (0, true, false)]
    {
        let server = CacheServer::new(&config, Uid(1), 1, warm, 0).unwrap();
        let mut rig = Rig { server, now: 0 };
        rig.connect(0..1);
        for id in 0..15 {
            ask(&mut rig, 0, 0, id, 1e5);
        }
        let overload_ratio = rig.server.stats(0).overload_ratio;
        assert!(
            (overload_ratio - if warm { 0.0 } else { 1.0 }).abs() < 1e-6,
            "rejected requests count: {overload_ratio}"
        );
        assert_eq!(rig.server.state(), State::Up);
        let orders = acts(&ask(&mut rig, at, 0, 15, 1e5));
        assert_eq!(orders.contains(&Act::Crashed), crashes, "at {at}, warm {warm}");
        if crashes {
            assert_eq!(orders[orders.len() - 2..], [Act::Crashed, closed(0, CloseKind::Rst)]);
            let late = at + 100 * SECOND;
            assert_eq!(acts(&rig.at(late, Event::Connect(ConnId(1)))), [Act::Refused(ConnId(1))]);
            assert_eq!(acts(&ask(&mut rig, late, 0, 16, 1.0)), [closed(0, CloseKind::Rst)]);
            assert_eq!(fault(&mut rig, late, Fault::Restart { uid: Some(Uid(9)) }), []);
            rig.connect(2..3);
            let stats = rig.server.stats(late);
            assert_eq!((stats.warm_share, stats.overload_ratio, stats.overload_crashes), (0.25, 0.0, 1));
        }
    }
}

#[test]
fn capacity_rises_with_time_or_with_work() {
    // A request of 1 s of work. By time: the integral of 0.25 + 0.75 t / 20 is 1 at 3.2216 s. By work:
    // s' = 0.25 + 0.75 s / 10 gives s = (e^(0.075 t) - 1) / 0.3, which is 1 at ln(1.3) / 0.075 = 3.4982 s.
    for (work, full_after_us, end) in [(None, 20 * SECOND, 3.2216), (Some(1e7), 100_000 * SECOND, 3.4982)] {
        let warm_up = WarmUp { start: 0.25, full_after_us, full_after_work_us: work, tip: None };
        let mut rig = cache(&CacheConfig { warm_up, ..single(|_| ()) });
        fault(&mut rig, 0, Fault::Restart { uid: None });
        rig.connect(0..1);
        ask(&mut rig, 0, 0, 1, 1e6);
        let at = when(&rig.run_to(10 * SECOND))[0].0 as f64 / 1e6;
        assert!((at / end - 1.0).abs() < 2e-3, "{work:?}: {at}, expected {end}");
    }
}

#[test]
fn answers_of_a_connection_keep_their_order() {
    // Cores, maximum of requests at once on a connection, connections of a request of 100 µs and one of 10
    // µs; times and ids of the answers.
    for (cores, at_once, conns, ends) in [
        (2, 32, [0, 0], [(100, 1), (100, 2)]),
        (2, 1, [0, 0], [(100, 1), (110, 2)]),
        (2, 32, [0, 1], [(10, 2), (100, 1)]),
        (1, 32, [0, 1], [(20, 2), (110, 1)]),
    ] {
        let mut rig = cache(&single(|m| {
            (m.cores, m.slots) = (cores, 2);
            m.connections.at_once = at_once;
        }));
        rig.connect(0..2);
        ask(&mut rig, 0, conns[0], 1, 100.0);
        ask(&mut rig, 0, conns[1], 2, 10.0);
        assert_eq!(when(&rig.run_to(1000)), ends, "{cores} cores, {at_once} at once, on {conns:?}");
    }
}

#[test]
fn a_full_queue_and_a_passed_deadline_give_busy() {
    for (busy_work_us, turned_away) in [(0.0, 0), (20.0, 40)] {
        let mut rig = cache(&single(|m| {
            (m.waiting_room, m.drops_expired, m.busy_work_us) = (1, true, busy_work_us);
        }));
        rig.connect(0..3);
        ask(&mut rig, 0, 0, 1, 100.0);
        rig.at(0, Event::Request(Request { left_us: Some(100), ..read(1, 2, 2, 100.0) }));
        let mut orders = ask(&mut rig, 0, 2, 3, 100.0);
        orders.extend(rig.run_to(1000));
        // Rejecting the third shares the core with the first; the second is then rejected alone.
        let first = 100 + busy_work_us as i64;
        let expected = [
            (turned_away, 3, Answer::Busy(BusyReason::Full)),
            (first, 1, Answer::Miss { fetch_in_progress: false }),
            (first + busy_work_us as i64, 2, Answer::Busy(BusyReason::Expired)),
        ];
        assert_eq!(answers(&orders), expected);
    }
}

#[test]
fn a_clock_that_steps_back_is_ignored() {
    let mut rig = cache(&single(|_| ()));
    rig.connect(0..1);
    ask(&mut rig, 0, 0, 1, 100.0);
    assert_eq!(when(&rig.run_to(150)), [(100, 1)]);
    // The last time given to the server is 100, from its last poll.
    rig.server.handle(20, Event::Connect(ConnId(1)));
    assert_eq!(rig.server.poll(30), Some(Order { at: 100, act: Act::Accepted(ConnId(1)) }));
}

#[test]
fn no_request_overtakes_the_waiting_queue() {
    let mut rig = cache(&single(|m| (m.drops_expired, m.connections.at_once) = (true, 1)));
    rig.connect(0..3);
    ask(&mut rig, 0, 0, 1, 100.0);
    rig.at(0, Event::Request(Request { left_us: Some(50), ..read(1, 2, 2, 100.0) }));
    // The third is unread behind the second, and read when that is rejected: a slot is free then, and the
    // fourth waits.
    ask(&mut rig, 0, 1, 3, 100.0);
    ask(&mut rig, 0, 2, 4, 100.0);
    assert_eq!(when(&rig.run_to(1000)), [(100, 1), (100, 2), (200, 4), (300, 3)]);
}

#[test]
fn requests_of_closed_connections_continue_or_are_dropped() {
    // One request in work and one waiting, both connections closed at 10; end of a third request of 100 µs,
    // and the counters.
    for (abandoned, end, client_gone, dropped) in
        [(Abandoned::GoesOn, 300, 2, 0), (Abandoned::DropWaiting, 200, 1, 1), (Abandoned::Drop, 110, 0, 2)]
    {
        let mut rig = cache(&single(|m| m.abandoned = abandoned));
        rig.connect(0..3);
        for conn in 0..3 {
            ask(&mut rig, 0, conn, conn, 100.0);
        }
        for conn in 0..2 {
            assert_eq!(rig.at(10, Event::Hangup(ConnId(conn))), []);
        }
        assert_eq!(when(&rig.run_to(1000)), [(end, 2)], "{abandoned:?}");
        let stats = rig.server.stats(1000);
        assert_eq!(
            (stats.client_gone, stats.dropped, stats.answered, stats.held),
            (client_gone, dropped, 1, 0)
        );
    }
}

#[test]
fn a_pause_stops_work_reading_and_idle_closes() {
    let mut rig = cache(&single(|m| {
        m.waiting_room = 0;
        m.connections.idle_us = Some(300);
    }));
    rig.connect(0..3);
    ask(&mut rig, 0, 0, 1, 100.0);
    fault(&mut rig, 50, Fault::Pause { until: 1000 });
    assert_eq!(ask(&mut rig, 60, 1, 2, 10.0), [], "not even rejected");
    assert_eq!(rig.at(70, Event::Connect(ConnId(9)))[0].act, Act::Accepted(ConnId(9)), "the backlog accepts");
    let orders = rig.run_to(2000);
    assert_eq!(answers(&orders)[0], (1000, 2, Answer::Busy(BusyReason::Full)));
    assert_eq!(when(&orders)[1], (1050, 1));
    let closes: Vec<_> = orders.iter().filter(|o| matches!(o.act, Act::Close(..))).map(|o| o.at).collect();
    assert_eq!(
        closes,
        [1000, 1000, 1300, 1350],
        "idle connections at the end of the pause, used ones 300 µs after their last answer"
    );
}

#[test]
fn spontaneous_pauses_take_their_share_of_time() {
    let pauses = Pauses { every: Dist::Exp(900.0), length: Dist::Fixed(100.0), grow: 0.0 };
    let mut rig = cache(&single(|m| m.pauses = Some(pauses)));
    rig.connect(0..1);
    ask(&mut rig, 0, 0, 1, 9e6);
    let at = when(&rig.run_to(60 * SECOND))[0].0 as f64;
    assert!((at / 1e7 - 1.0).abs() < 0.02, "nine tenths of the time are available: {at}");
}

#[test]
fn idle_connections_close_as_configured() {
    for kind in [CloseKind::Fin, CloseKind::Rst, CloseKind::Silent] {
        let mut rig =
            cache(&single(|m| (m.connections.idle_us, m.connections.idle_close) = (Some(500), kind)));
        rig.connect(0..2);
        ask(&mut rig, 100, 0, 1, 50.0);
        let orders = rig.run_to(5000);
        let closes: Vec<_> = orders.iter().filter(|o| matches!(o.act, Act::Close(..))).collect();
        assert_eq!(
            closes,
            [&Order { at: 500, act: closed(1, kind) }, &Order { at: 650, act: closed(0, kind) }]
        );
        assert_eq!(
            acts(&ask(&mut rig, 5000, 0, 2, 1.0)),
            [closed(0, CloseKind::Rst)],
            "a later request is answered by a reset"
        );
        assert_eq!((rig.server.stats(5000).idle_closed, rig.server.stats(5000).connections), (2, 0));
    }
}

#[test]
fn the_connection_table_has_a_limit_and_a_cost() {
    let mut rig = cache(&single(|m| {
        m.connections.cap = 2;
        m.connections.full_loss = 0.5;
        m.connections.handshake_work_us = 100.0;
        m.connections.handshake_wait_us = 30;
    }));
    rig.connect(0..1);
    ask(&mut rig, 0, 0, 1, 75.0);
    // Half full: speed 0.75. The handshake takes 133.3 µs, then come the wait of 30 µs and the request with
    // 100 µs.
    assert_eq!(when(&rig.run_to(1000)), [(264, 1)]);
    rig.connect(1..2);
    assert_eq!(acts(&rig.at(1000, Event::Connect(ConnId(2)))), [Act::Refused(ConnId(2))]);
    rig.run_to(2000);
    // Full: speed 0.5.
    ask(&mut rig, 2000, 1, 2, 75.0);
    assert_eq!(when(&rig.run_to(3000)), [(2150, 2)]);
    rig.at(3000, Event::Hangup(ConnId(0)));
    fault(&mut rig, 3000, Fault::FullTable(true));
    assert_eq!(acts(&rig.at(3000, Event::Connect(ConnId(3)))), [Act::Refused(ConnId(3))]);
    fault(&mut rig, 3000, Fault::FullTable(false));
    rig.connect(4..5);
    let stats = rig.server.stats(3000);
    assert_eq!((stats.accepted, stats.not_accepted, stats.handshakes, stats.connections), (3, 2, 2, 2));
}

#[test]
fn concurrency_and_slowness_reduce_speed() {
    // Four requests held on one core, with a loss of 0.25 for each above two: speed divided by 1.5, and half
    // speed.
    let mut rig = cache(&single(|m| (m.slots, m.choke) = (4, ConcurrencyPenalty { at: 2.0, loss: 0.25 })));
    rig.connect(0..4);
    fault(&mut rig, 0, Fault::Slow(0.5));
    for conn in 0..4 {
        ask(&mut rig, 0, conn, conn, 100.0);
    }
    let orders = rig.run_to(SECOND);
    assert_eq!(
        when(&orders).iter().map(|a| a.0).max(),
        Some(1200),
        "400 of work at 1/3: {:?}",
        when(&orders)
    );
}

#[test]
fn a_drain_finishes_open_requests() {
    let mut rig = cache(&single(|m| m.drain_closes_idle = true));
    rig.connect(0..3);
    ask(&mut rig, 0, 0, 1, 100.0);
    ask(&mut rig, 0, 1, 2, 100.0);
    assert_eq!(fault(&mut rig, 10, Fault::Drain), [closed(2, CloseKind::Fin)]);
    let busy = ask(&mut rig, 20, 0, 3, 1.0);
    assert_eq!(busy, [], "its rejection waits for the first answer");
    let orders = rig.run_to(1000);
    assert_eq!(when(&orders), [(100, 1), (100, 3), (200, 2)]);
    assert_eq!(answers(&orders)[1].2, Answer::Busy(BusyReason::Draining));
    assert_eq!(
        acts(&orders)[2..],
        [closed(0, CloseKind::Fin), acts(&orders)[3], closed(1, CloseKind::Fin), Act::Drained]
    );
    assert_eq!(rig.server.state(), State::Draining);
}

#[test]
fn a_dead_process_resets_connections_and_a_vanished_machine_is_silent() {
    for silent in [false, true] {
        let mut rig = cache(&single(|_| ()));
        rig.connect(0..2);
        rig.at(0, Event::Fill { key: Key(1), version: 1, size: 100 });
        ask(&mut rig, 0, 0, 1, 100.0);
        let actions =
            if silent { vec![] } else { vec![closed(0, CloseKind::Rst), closed(1, CloseKind::Rst)] };
        assert_eq!(fault(&mut rig, 50, Fault::Kill { silent }), actions);
        let connect = if silent { Act::Ignored(ConnId(2)) } else { Act::Refused(ConnId(2)) };
        assert_eq!(acts(&rig.at(60, Event::Connect(ConnId(2)))), [connect]);
        assert_eq!(ask(&mut rig, 60, 1, 2, 1.0).is_empty(), silent);
        assert_eq!(rig.run_to(1000), []);
        let stats = rig.server.stats(1000);
        assert_eq!((stats.lost, stats.held, stats.work_done_us), (1, 0, 50.0));
        assert_eq!(fault(&mut rig, 1000, Fault::Restart { uid: Some(Uid(2)) }), []);
        assert_eq!(
            acts(&ask(&mut rig, 1000, 1, 3, 1.0)),
            [closed(1, CloseKind::Rst)],
            "a connection of the old process"
        );
        rig.connect(3..4);
        ask(&mut rig, 1000, 3, 1, 10.0);
        assert_eq!(answers(&rig.run_to(1010))[0].2, Answer::Miss { fetch_in_progress: false }, "it is empty");
        assert_eq!(rig.server.uid(), Uid(2));
    }
}

#[test]
fn reads_hit_filled_copies_until_they_are_invalid() {
    let config = CacheConfig { ttl_us: Some(1000), lease_us: 200, ..single(|m| m.per_kib_us = 10.0) };
    let mut rig = cache(&config);
    rig.connect(0..1);
    let mut read_at = |now, event: Option<Event>| {
        if let Some(event) = event {
            assert_eq!(rig.at(now, event), []);
        }
        let mut orders = rig.at(now, Event::Request(read(0, 1, 5, 0.0)));
        orders.extend(rig.run_to(now + 50));
        let order = orders[0];
        let Act::Answer(Answered { answer, note, key: Key(5), .. }) = order.act else { panic!("{order:?}") };
        let version = match answer {
            Answer::Hit { value } => {
                assert_eq!((value.maker, value.size, order.at), (Maker::Cache(Uid(1)), 2048, now + 20));
                Some(value.version)
            }
            _ => None,
        };
        (version, note.unwrap())
    };
    let fill = |version| Some(Event::Fill { key: Key(5), version, size: 2048 });
    let invalidate = |version| Some(Event::Invalidate { key: Key(5), version });
    assert_eq!(read_at(0, None), (None, Note::Miss));
    assert_eq!(read_at(100, None), (None, Note::MissFetchInProgress));
    assert_eq!(read_at(200, None), (None, Note::Miss), "the lease is over");
    assert_eq!(read_at(300, fill(1)), (Some(1), Note::Hit));
    assert_eq!(read_at(400, invalidate(2)), (None, Note::Miss));
    assert_eq!(read_at(500, fill(2)), (Some(2), Note::Hit));
    assert_eq!(read_at(1499, None), (Some(2), Note::Hit));
    assert_eq!(read_at(1550, None), (None, Note::Miss), "expired");
    assert_eq!(read_at(1600, fill(3)), (Some(3), Note::Hit));
    assert_eq!(read_at(1700, Some(Event::Fault(Fault::Flush { share: 1.0, salt: 1 }))), (None, Note::Miss));
}

#[test]
fn the_given_shares_of_requests_fail_or_are_corrupt() {
    let mut rig = cache(&single(|m| m.slots = 100));
    let n = 20_000;
    fault(&mut rig, 0, Fault::Fail(0.2));
    fault(&mut rig, 0, Fault::Spoil { share: 0.1, kinds: NoiseSet::all() });
    fault(&mut rig, 0, Fault::Swallow(0.1));
    let mut seen = [0; Noise::ALL.len()];
    for id in 0..n {
        rig.connect(id..id + 1);
        let now = rig.now + 10;
        ask(&mut rig, now, id, id, 1.0);
        for order in rig.run_to(now + 10) {
            let Act::Answer(answer) = order.act else { continue };
            seen[answer.noise.map_or(0, |noise| noise as usize)] += usize::from(answer.noise.is_some());
        }
        rig.at(now + 10, Event::Hangup(ConnId(id)));
    }
    let stats = rig.server.stats(rig.now);
    let close = |got: u64, share: f64| (got as f64 / n as f64 - share).abs() < 0.01;
    assert!(
        close(stats.failed, 0.2) && close(stats.swallowed, 0.08) && close(stats.corrupted, 0.092),
        "{stats:?}"
    );
    assert!(seen.iter().all(|s| *s > 100), "each kind: {seen:?}");
}

#[test]
fn no_answer_follows_a_corrupt_cut_or_missing_one() {
    let only = |noise| Fault::Spoil { share: 1.0, kinds: [noise].into_iter().collect() };
    for (injected, answers_sent, closes) in [
        (Fault::Swallow(1.0), 1, 0),
        (only(Noise::OtherId), 1, 0),
        (only(Noise::Cut), 1, 1),
        (only(Noise::Interim), 2, 0),
        (only(Noise::SecondCopy), 2, 0),
    ] {
        let mut rig = cache(&single(|_| ()));
        rig.connect(0..1);
        fault(&mut rig, 0, injected);
        ask(&mut rig, 0, 0, 1, 100.0);
        ask(&mut rig, 0, 0, 2, 100.0);
        let orders = rig.run_to(1000);
        let count = |f: fn(&Act) -> bool| acts(&orders).iter().filter(|act| f(act)).count();
        let actions =
            (count(|a| matches!(a, Act::Answer(_))), count(|a| matches!(a, Act::Close(_, CloseKind::Fin))));
        assert_eq!(actions, (answers_sent, closes), "{injected:?}");
        // Only the last answer on the connection gets extra bytes after it.
        if injected == only(Noise::SecondCopy) {
            assert_eq!(rig.server.stats(1000).corrupted, 1);
        }
    }
}

fn origin(change: impl FnOnce(&mut OriginConfig)) -> Rig<lapisrudder_model::origin::Contents> {
    let mut config = OriginConfig { machine: single(|_| ()).machine, ..OriginConfig::default() };
    change(&mut config);
    Rig { server: Origin::new(&config, Uid(0), 1, 0).unwrap(), now: 0 }
}

#[test]
fn the_origin_has_every_object_and_deduplicates_keyed_writes() {
    let mut rig = origin(|c| c.write_share = 2.0);
    rig.connect(0..1);
    ask(&mut rig, 0, 0, 5, 100.0);
    let orders = rig.run_to(100);
    let [(100, 5, Answer::Hit { value })] = answers(&orders)[..] else { panic!("{orders:?}") };
    let (version, size) = rig.server.object(Key(5));
    assert_eq!((value.version, value.size, value.maker), (version, size, Maker::Origin(Uid(0))));
    assert_eq!(version, 0);
    let receipt = Receipt { key: Key(5), version: 1, maker: Maker::Origin(Uid(0)) };
    for (now, id, first) in [(200, 1, true), (1000, 2, false)] {
        rig.at(now, write(0, id, 5, 77));
        assert_eq!(rig.run_to(now + 199), [], "a write takes twice as long as a read");
        let orders = acts(&rig.run_to(now + 200));
        let effect = orders.iter().any(|act| matches!(act, Act::Effect(e) if e.receipt == receipt));
        let changed = orders.contains(&Act::Changed { key: Key(5), version: 1 });
        assert_eq!((effect, changed), (first, first), "{orders:?}");
        let Act::Answer(Answered { answer, .. }) = orders[orders.len() - 1] else { panic!("{orders:?}") };
        assert_eq!(answer, Answer::Receipt(receipt), "a repeat gets the same receipt");
    }
    assert_eq!(rig.server.object(Key(5)), (1, 500));
    assert_eq!((rig.server.ledger().times(IdempotencyKey(77)), rig.server.ledger().repeats()), (1, 1));
    assert_eq!(acts(&rig.at(2000, Event::Change(Key(5)))), [Act::Changed { key: Key(5), version: 2 }]);
}

#[test]
fn a_failed_write_may_have_been_carried_out() {
    for (ran, effects) in [(0.0, 0), (1.0, 1)] {
        let mut rig = origin(|c| (c.machine.fail_share, c.machine.failed_writes_ran) = (1.0, ran));
        rig.connect(0..1);
        rig.at(0, write(0, 1, 5, 77));
        let orders = rig.run_to(1000);
        assert_eq!(answers(&orders)[0].2, Answer::Failed);
        assert_eq!(rig.server.ledger().times(IdempotencyKey(77)), effects);
    }
}

#[test]
fn an_overloaded_origin_stops_and_resumes() {
    // The threshold is twice the capacity for 1 s, that is 2 s of work.
    let tip = OverloadThreshold { multiple: 2.0, window_us: SECOND };
    for resets in [false, true] {
        let over = OverloadOutage { tip, down: Dist::Fixed(3e6), resets, most: 1 };
        let mut rig = origin(|c| c.overdriven = Some(over));
        rig.connect(0..1);
        assert_eq!(ask(&mut rig, 0, 0, 1, 2e6), [], "at the threshold, not above");
        let actions = acts(&ask(&mut rig, 500_000, 0, 2, 1.0));
        let until = 500_000 + 3 * SECOND;
        assert_eq!(actions[0], Act::Stopped { until });
        assert_eq!(actions.get(1), resets.then_some(&closed(0, CloseKind::Rst)));
        assert_eq!(rig.run_to(until - 1), []);
        let refused = Act::Refused(ConnId(1));
        let accepted = Act::Accepted(ConnId(1));
        assert_eq!(
            acts(&rig.at(until - 1, Event::Connect(ConnId(1)))),
            [if resets { refused } else { accepted }]
        );
        let later = rig.run_to(until + 10 * SECOND);
        let ends = if resets { vec![] } else { vec![(until + 1_500_000, 1), (until + 1_500_001, 2)] };
        assert_eq!(when(&later), ends);
        rig.connect(2..3);
        let again = ask(&mut rig, until + 20 * SECOND, 2, 3, 1e7);
        assert_eq!(again, [], "at most one stop is configured");
    }
}

#[test]
fn servers_of_a_group_deduplicate_each_others_writes() {
    let config = CacheConfig { writes: Writes::CarryOut, ..single(|_| ()) };
    let (mut one, mut two) = (cache(&config), cache(&config));
    one.connect(0..1);
    two.connect(0..1);
    one.at(0, write(0, 1, 5, 77));
    for order in one.run_to(1000) {
        if let Act::Effect(Effect { keyed: Some(keyed), receipt, class, .. }) = order.act {
            two.at(order.at, Event::Learn { keyed, receipt, class });
        }
    }
    two.at(1000, write(0, 2, 5, 77));
    let receipt = Receipt { key: Key(5), version: 1, maker: Maker::Cache(Uid(1)) };
    assert_eq!(answers(&two.run_to(2000)), [(1100, 2, Answer::Receipt(receipt))]);
    assert_eq!((one.server.ledger().effects(), two.server.ledger().effects()), (1, 0));
}

#[test]
fn each_invalid_setting_is_named() {
    type Spoil = fn(&mut CacheConfig);
    let bad: [(&str, Spoil); 8] = [
        ("cores", |c| c.machine.cores = 0),
        ("speed", |c| c.machine.speed = f64::NAN),
        ("classes", |c| c.machine.classes.clear()),
        ("connections.idle_us", |c| c.machine.connections.idle_us = Some(0)),
        ("warm_up.start", |c| c.warm_up.start = 0.0),
        ("warm_up.tip", |c| c.warm_up.tip = Some(OverloadThreshold { multiple: 3.0, window_us: 0 })),
        ("classes.work", |c| c.machine.classes[0].work = Dist::Exp(-1.0)),
        ("attempt_cv", |c| c.machine.attempt_cv = -1.0),
    ];
    for (field, change) in bad {
        let mut config = CacheConfig::default();
        change(&mut config);
        assert_eq!(CacheServer::new(&config, Uid(1), 1, true, 0).err().map(|e| e.field), Some(field));
    }
}
