//! Tests of the decisions through their interface: normal operation and each known failure mode.

mod common;
use common::*;
use lapisrudder::*;

#[test]
fn a_key_stays_with_its_server() {
    let mut lb = TestBalancer::with_servers(5);
    for key in 0..50 {
        let first = lb.hit(key);
        assert!((0..5).all(|_| lb.hit(key) == first));
    }
}

#[test]
fn balancers_of_different_seeds_agree_and_use_all_servers() {
    let list: Vec<Listed> = (1..=5).map(listed).collect();
    let mut one = TestBalancer::new(settings(), list.clone());
    let mut two =
        TestBalancer { balancer: Balancer::new(99, settings(), 0), ..TestBalancer::new(settings(), vec![]) };
    two.update_servers(Scope::Full, list);
    let mut used = std::collections::BTreeSet::new();
    for key in 0..200 {
        let server = one.hit(key);
        assert_eq!(server, two.hit(key));
        used.insert(server);
    }
    assert_eq!(used.len(), 5);
}

#[test]
fn a_key_over_the_high_mark_moves_to_a_server_under_the_low_one() {
    let mut lb = TestBalancer::with_servers(4);
    let first = lb.hit(1);
    let servers: Vec<ServerId> = (0..12).filter_map(|_| lb.read(1).1).collect();
    assert_eq!(servers[0], first);
    assert!(servers.iter().any(|s| *s != first), "the mark test never fired");
}

#[test]
fn a_server_that_leaves_moves_only_its_own_keys() {
    let mut lb = TestBalancer::with_servers(5);
    let before: Vec<ServerId> = (0..100).map(|key| lb.hit(key)).collect();
    let gone = before[0];
    lb.update_servers(Scope::Changes, vec![Listed { stage: Stage::Gone, ..listed(gone.0) }]);
    for (key, was) in before.iter().enumerate() {
        let now = lb.hit(key as u64);
        assert!(if *was == gone { now != gone } else { now == *was });
    }
}

#[test]
fn nothing_new_goes_to_a_draining_server() {
    let mut lb = TestBalancer::with_servers(2);
    lb.update_servers(Scope::Changes, vec![Listed { stage: Stage::Draining, ..listed(1) }]);
    assert!((0..50).all(|key| lb.hit(key) == ServerId(2)));
}

#[test]
fn a_retry_does_not_change_the_key_table() {
    let mut lb = TestBalancer::with_servers(4);
    let home = lb.hit(1);
    let (id, _) = lb.read(1);
    let again = sent_to(&lb.end_attempt(id, 0, home, Outcome::Full)).expect("a retry");
    assert_ne!(again, home);
    lb.end_attempt(id, 1, again, Outcome::Served);
    assert_eq!(lb.hit(1), home);
}

#[test]
fn an_unsafe_request_that_may_have_run_is_never_repeated_nor_refused() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Broken] {
        let mut lb = TestBalancer::with_servers(4);
        let (id, actions) = lb.request(1, 2, true);
        let server = sent_to(&actions).expect("sent");
        let actions = lb.end_attempt(id, 0, server, outcome);
        assert!(failed(&actions) && !refused(&actions) && sent_to(&actions).is_none(), "{outcome:?}");
    }
    let mut lb = TestBalancer::with_servers(4);
    let (id, actions) = lb.request(1, 2, true);
    let server = sent_to(&actions).expect("sent");
    assert!(sent_to(&lb.end_attempt(id, 0, server, Outcome::ConnectFailed)).is_some());
}

#[test]
fn a_keyed_request_is_repeated_only_inside_its_window() {
    for (wait, repeated) in [(100 * MS, true), (1_100 * MS, false)] {
        let mut lb = TestBalancer::with_servers(4);
        let (id, actions) = lb.request(1, 1, false);
        let server = sent_to(&actions).expect("sent");
        // The server is known as the key's holder, so that the failure does not count as the origin's.
        lb.end_attempt(id, 0, server, Outcome::Served);
        let (id, actions) = lb.request(1, 1, false);
        let server = sent_to(&actions).expect("sent");
        lb.now += wait;
        let actions = lb.end_attempt(id, 0, server, Outcome::Broken);
        assert_eq!(sent_to(&actions).is_some(), repeated);
        assert_eq!(failed(&actions), !repeated);
    }
}

/// When the first attempt turns out to be a miss, the repeat window must not start again at the hedged
/// attempt.
#[test]
fn the_repeat_window_starts_at_the_first_attempt_that_was_hedged() {
    for (wait, repeated) in [(490 * MS, true), (510 * MS, false)] {
        let mut lb = aside();
        let (id, actions) = lb.request(1, 1, false);
        let first = sent_to(&actions).expect("sent");
        let second = sent_to(&lb.advance_and_wake(300 * MS)).expect("a hedged attempt");
        assert_ne!(second, first);
        lb.now += wait;
        let actions = lb.end_attempt(id, 0, first, Outcome::Miss);
        assert_eq!(sent_to(&actions).is_some(), repeated, "{wait}");
        assert!(!refused(&actions) && !failed(&actions), "the hedged attempt is still in flight");
    }
    // If no attempt may have run, the request may be sent again.
    let mut lb = aside();
    let (id, actions) = lb.request(1, 1, false);
    let first = sent_to(&actions).expect("sent");
    lb.now += 1_200 * MS;
    assert_eq!(sent_to(&lb.end_attempt(id, 0, first, Outcome::Miss)), Some(ORIGIN));
}

/// A first attempt that waits for a connection while a hedged attempt runs must not be sent after servers
/// have forgotten the hedged one.
#[test]
fn a_keyed_read_must_begin_before_a_hedged_attempt_is_forgotten() {
    let begins = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::Send { begin, .. } => Some(*begin),
            _ => None,
        })
    };
    let mut lb = aside();
    let (id, actions) = lb.request(1, 1, false);
    // Of a window of one second the time for a stall and for the network delay is kept in reserve.
    assert_eq!(begins(&actions), Some(lb.now + 800 * MS));
    let first = sent_to(&actions).expect("sent");
    lb.now += 400 * MS;
    // An attempt that never ran does not count: the window starts at the next attempt.
    let actions = lb.end_attempt(id, 0, first, Outcome::ConnectFailed);
    assert_eq!(begins(&actions), Some(lb.now + 800 * MS));
    // No hedged attempt goes out beside an attempt at the origin, which may wait for capacity there.
    assert_eq!(begins(&lb.request(2, 1, true).1), Some(Micros::MAX));
    assert_eq!(begins(&lb.request(3, 0, false).1), Some(Micros::MAX), "safe");
}

#[test]
fn a_keyed_repeat_stays_in_its_group() {
    let mut settings = settings();
    settings.classes[1].group = Group::Zone;
    let list = (1..=4).map(|s| Listed { zone: s as u32, ..listed(s) }).collect();
    let mut lb = TestBalancer::new(settings, list);
    let (id, actions) = lb.request(1, 1, false);
    let server = sent_to(&actions).expect("sent");
    assert!(failed(&lb.end_attempt(id, 0, server, Outcome::Broken)));
}

#[test]
fn no_ready_server_means_a_refusal() {
    let mut lb = TestBalancer::with_servers(0);
    let (_, actions) = lb.request(1, 2, true);
    assert!(refused(&actions));
}

/// A new, empty server would attract every new key at once.
#[test]
fn a_cold_server_gets_only_its_share() {
    let mut lb = TestBalancer::with_servers(4);
    for key in 0..400 {
        lb.now += 10 * MS;
        lb.hit(key);
    }
    lb.update_servers(Scope::Changes, vec![Listed { since: Some(lb.now), ..listed(9) }]);
    let mut cold = 0;
    for key in 1_000..1_400 {
        lb.now += 10 * MS;
        cold += i32::from(lb.hit_after(key, NEUTRAL_LATENCY) == ServerId(9));
    }
    // Each of the others gets 25 per second; its share is a fifth of that, growing to 0.36 after 4 s: about
    // 28.
    assert!((5..=40).contains(&cold), "{cold}");
    // With answers in time it gets more, up to the load of the others: 20 per second.
    let mut more = 0;
    for key in 2_000..2_400 {
        lb.now += 10 * MS;
        more += i32::from(lb.hit(key) == ServerId(9));
    }
    assert!((60..=110).contains(&more), "{more}");
}

/// Requests for the keys of a silent server must not wait there until the clients give up.
#[test]
fn keys_of_a_silent_server_go_elsewhere_until_it_answers() {
    let mut lb = TestBalancer::with_servers(4);
    let home = lb.hit(1);
    let (id, _) = lb.read(1);
    let actions = lb.advance_and_wake(400 * MS);
    let other = sent_to(&actions).expect("a hedged attempt");
    assert_ne!(other, home);
    let (_, detour) = lb.read(1);
    assert_ne!(detour, Some(home));
    lb.end_attempt(id, 0, home, Outcome::Served);
    assert_eq!(lb.read(1).1, Some(home));
}

/// The ejection of all servers must not leave the fleet empty.
#[test]
fn requests_are_still_sent_when_all_servers_are_ejected() {
    let mut lb = TestBalancer::with_servers(3);
    for key in 0..30 {
        let (id, server) = lb.read(key);
        let mut next = server;
        for attempt in 0..3 {
            let Some(server) = next else { break };
            next = sent_to(&lb.end_attempt(id, attempt, server, Outcome::ConnectFailed));
        }
        assert!(server.is_some());
    }
}

/// Unlimited retries would amplify an overload.
#[test]
fn retries_are_bounded_by_a_budget() {
    let mut lb = TestBalancer::with_servers(20);
    let mut retries = 0;
    for key in 0..400 {
        let (id, server) = lb.read(key);
        let Some(server) = server else { continue };
        if let Some(second) = sent_to(&lb.end_attempt(id, 0, server, Outcome::Full)) {
            retries += 1;
            if let Some(third) = sent_to(&lb.end_attempt(id, 1, second, Outcome::Full)) {
                retries += 1;
                lb.end_attempt(id, 2, third, Outcome::Full);
            }
        }
    }
    assert!(retries <= 100, "{retries}");
}

fn aside() -> TestBalancer {
    let settings = Settings { mode: Mode::Aside, origin_kind: Some(1), ..settings() };
    let mut list: Vec<Listed> = (1..=3).map(listed).collect();
    list.push(Listed { kind: 1, ..listed(100) });
    TestBalancer::new(settings, list)
}

const ORIGIN: ServerId = ServerId(100);

#[test]
fn misses_and_writes_go_to_the_origin() {
    let mut lb = aside();
    let (id, server) = lb.read(1);
    let server = server.expect("sent");
    assert_ne!(server, ORIGIN);
    assert_eq!(sent_to(&lb.end_attempt(id, 0, server, Outcome::Miss)), Some(ORIGIN));
    assert_eq!(sent_to(&lb.request(2, 1, true).1), Some(ORIGIN));
    assert!((0..100).all(|key| lb.read(key).1 != Some(ORIGIN)));
}

/// Reads that wait for the fetch of another request must not wait forever.
#[test]
fn reads_waiting_for_a_fetch_continue_when_it_ends() {
    let mut lb = aside();
    let (id, server) = lb.read(1);
    let server = server.expect("sent");
    lb.end_attempt(id, 0, server, Outcome::Miss);
    let (_, joined) = lb.read(1);
    assert_eq!(joined, None);
    assert_eq!(sent_to(&lb.end_attempt(id, 1, ORIGIN, Outcome::Served)), Some(server));
}

/// An overloaded origin stops answering. Reads over its limit wait, and still get an answer in time.
#[test]
fn origin_concurrency_is_bounded_and_held_reads_are_answered() {
    let mut lb = aside();
    let (mut out, mut held) = (Vec::new(), 0);
    for key in 0..40 {
        let (id, server) = lb.read(key);
        match sent_to(&lb.end_attempt(id, 0, server.expect("sent"), Outcome::Miss)) {
            Some(_) => out.push(id),
            None => held += 1,
        }
    }
    assert!(out.len() <= 20 && held > 0, "{} out, {held} held", out.len());
    assert!(sent_to(&lb.end_attempt(out[0], 1, ORIGIN, Outcome::Served)).is_some());
    let mut answered = 0;
    for _ in 0..20 {
        let actions = lb.advance_and_wake(100 * MS);
        answered += actions.iter().filter(|a| matches!(a, Action::Refuse { .. })).count();
    }
    assert!(answered >= held - 2, "{answered} of {held}");
}

/// The time-outs of an unreachable server say nothing about the origin, and must not hold misses back.
#[test]
fn time_outs_of_a_silent_server_do_not_lower_the_origin_limit() {
    let mut lb = TestBalancer::with_servers(4);
    for key in 0..8 {
        let (id, server) = lb.read(key);
        lb.now += 100 * MS;
        let Some(server) = server else { continue };
        lb.end_attempt_with_note(id, 0, server, Outcome::TimedOut, None);
    }
    lb.now += 10 * S;
    assert!((100..105).all(|key| lb.read(key).1.is_some()), "misses are held back");
}

/// If answers don't distinguish hits from fetches, the slow tail of latency must not count as a queue at the
/// origin.
#[test]
fn slow_answers_within_target_do_not_lower_the_origin_limit() {
    let mut lb = TestBalancer::with_servers(20);
    let mut sent = 0;
    for key in 0..600 {
        lb.now += 500 * MS;
        let (id, server) = lb.read(key);
        let Some(server) = server else { continue };
        sent += 1;
        let took = if key % 5 == 0 { 450 * MS } else { 30 * MS };
        let (outcome, report) = (Outcome::Served, Vec::new());
        lb.event(Event::Ended(Ended {
            request: id,
            attempt: 0,
            server,
            took,
            outcome,
            note: None,
            finished: true,
            report,
        }));
        // Four attempts stay in flight.
        if key % 100 == 0 && key < 400 {
            lb.read(1_000 + key);
        }
    }
    assert!(sent > 550, "{sent} of 600 sent");
}

/// Requests over their tenant's share would delay those inside theirs in the origin's queue.
#[test]
fn requests_over_a_share_are_not_held_for_the_origin() {
    let tenants = vec![Tenant { quota_per_s: 0.0 }, Tenant { quota_per_s: 1e6 }];
    let settings = Settings { tenants, over_share_worth: 0.1, ..settings() };
    let mut lb = TestBalancer::new(settings, (1..=20).map(listed).collect());
    let mut answers = [(0, 0); 2];
    for key in 0..200 {
        lb.next += 1;
        let tenant = key as usize % 2;
        let actions = lb.event(Event::Request(NewRequest {
            request: RequestId(lb.next),
            key: Some(Key(key)),
            write: false,
            class: 0,
            tenant,
            hint: None,
            repeated: false,
            due: lb.now + 2 * S,
            reserve: 0,
        }));
        answers[tenant].0 += i32::from(sent_to(&actions).is_some());
        answers[tenant].1 += i32::from(refused(&actions));
    }
    assert!(answers[0].1 > 50 && answers[1].1 == 0, "{answers:?}");
}

/// A tenant over its share must not take capacity from tenants inside theirs.
#[test]
fn requests_over_a_share_are_shed_only_under_load() {
    // With a low worth they are shed earlier than with half the worth.
    for (took, over_share_worth, sheds) in [
        (20 * MS, 0.05, false),
        (900 * MS, 0.05, true),
        (180 * MS, 0.05, true),
        (180 * MS, 0.5, false),
        (900 * MS, 0.5, true),
    ] {
        let tenants = vec![Tenant { quota_per_s: 3.0 }];
        let mut lb = TestBalancer::new(
            Settings { tenants, over_share_worth, ..settings() },
            (1..=3).map(listed).collect(),
        );
        let mut refusals = 0;
        for key in 0..100 {
            let (request, actions) = lb.request(key % 5, 0, false);
            refusals += usize::from(refused(&actions));
            let Some(server) = sent_to(&actions) else { continue };
            lb.event(Event::Ended(Ended {
                request,
                attempt: 0,
                server,
                took,
                outcome: Outcome::Served,
                note: Some(CacheNote::Hit),
                finished: true,
                report: vec![],
            }));
        }
        assert_eq!(refusals > 50, sheds, "{refusals}");
    }
}

/// An overload sustains itself unless requests are shed; if all were shed, no answer would show its end.
#[test]
fn under_overload_a_part_of_all_requests_is_shed_until_it_ends() {
    let mut lb = TestBalancer::with_servers(3);
    let mut refusals = |took| {
        let mut refusals = 0;
        for key in 0..200 {
            let (request, actions) = lb.request(key % 5, 0, false);
            refusals += usize::from(refused(&actions));
            let Some(server) = sent_to(&actions) else { continue };
            let (outcome, note) = (Outcome::Served, Some(CacheNote::Hit));
            lb.event(Event::Ended(Ended {
                request,
                attempt: 0,
                server,
                took,
                outcome,
                note,
                finished: true,
                report: vec![],
            }));
        }
        refusals
    };
    assert_eq!(refusals(20 * MS), 0);
    assert!((50..190).contains(&refusals(1_500 * MS)));
    refusals(20 * MS);
    assert_eq!(refusals(20 * MS), 0);
}

/// A time-out comes earlier than the client's, to leave time for a stall. Without adding that reserve it
/// would count for less overload, and too little would be shed.
#[test]
fn a_time_out_counts_with_its_reserve() {
    let refusals = |took, reserve| {
        let mut lb = TestBalancer::with_servers(3);
        let mut refusals = 0;
        for key in 0..400 {
            lb.next += 1;
            let request = RequestId(lb.next);
            let new = NewRequest {
                request,
                key: Some(Key(key % 5)),
                write: false,
                class: 0,
                tenant: 0,
                hint: None,
                repeated: false,
                due: lb.now + took,
                reserve,
            };
            let actions = lb.event(Event::Request(new));
            refusals += usize::from(refused(&actions));
            let Some(server) = sent_to(&actions) else { continue };
            // Every other request is served, so that no server counts as silent.
            match key % 2 {
                0 => lb.end_first_attempt_after(request, server, Outcome::Served, 400 * MS),
                _ => lb.end_first_attempt_after(request, server, Outcome::TimedOut, took),
            };
        }
        refusals
    };
    let sheds = refusals(600 * MS, 110 * MS);
    assert!(sheds > refusals(600 * MS, 0), "{sheds} {}", refusals(600 * MS, 0));
    assert_eq!(sheds, refusals(710 * MS, 0));
}

#[test]
fn a_lost_watch_is_reopened_in_time() {
    let mut settings = settings();
    settings.must_ask = true;
    let mut lb = TestBalancer::new(settings, vec![]);
    for _ in 0..10 {
        let actions = lb.update_servers(Scope::Lost, vec![]);
        assert!(!actions.contains(&Action::Watch), "not at once");
        let actions = lb.advance_and_wake(4 * S);
        assert!(actions.contains(&Action::Watch));
    }
}

#[test]
fn rules_rs_keeps_its_limits() {
    let text = include_str!("../crates/decisions/src/rules.rs");
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 730, "{lines} lines");
    assert!(text.lines().all(|l| l.chars().count() <= 110));
    assert!(text.lines().next().is_some_and(|l| l.contains("src/interface.rs")));
}

/// Servers that reject one tenant must not count as an overloaded origin.
#[test]
fn rejected_attempts_do_not_lower_the_origin_limit() {
    let mut lb = TestBalancer::with_servers(20);
    for key in 0..200 {
        lb.now += 200 * MS;
        let (id, Some(server)) = lb.read(key) else { panic!("held at {key}") };
        if let Some(second) = sent_to(&lb.end_attempt(id, 0, server, Outcome::Full)) {
            lb.end_attempt_with_note(id, 1, second, Outcome::Served, None);
        }
    }
    let sent = (0..12).filter(|k| lb.read(1_000 + k).1.is_some()).count();
    assert_eq!(sent, 12);
}

/// Requests that fail at once at every server must not count as an overloaded origin.
#[test]
fn fast_failures_do_not_lower_the_origin_limit() {
    let mut lb = TestBalancer::with_servers(20);
    for key in 0..300 {
        lb.now += 200 * MS;
        let (id, Some(server)) = lb.read(key) else { panic!("held at {key}") };
        let outcome = if key % 2 == 0 { Outcome::Error } else { Outcome::Served };
        if let Some(second) = sent_to(&lb.end_attempt_with_note(id, 0, server, outcome, None)) {
            lb.end_attempt_with_note(id, 1, second, Outcome::Error, None);
        }
    }
    let sent = (0..12).filter(|k| lb.read(1_000 + k).1.is_some()).count();
    assert_eq!(sent, 12);
}

/// An occasional lost connection must not send all keys of a healthy server to others.
#[test]
fn a_server_is_ejected_only_after_lost_connections_in_a_row() {
    let mut lb = TestBalancer::with_servers(5);
    let home = lb.hit(1);
    (0..20).for_each(|_| _ = lb.hit(1));
    for outcome in [Outcome::Broken, Outcome::ConnectFailed, Outcome::Broken] {
        let (id, server) = lb.read(1);
        assert_eq!(server, Some(home), "one lost connection does not eject");
        let retry = sent_to(&lb.end_attempt(id, 0, home, outcome));
        assert_eq!(retry, Some(home), "the holder of the key");
        lb.end_attempt(id, 1, home, Outcome::Served);
    }
    for _ in 0..2 {
        let (id, _) = lb.read(1);
        (0..3).for_each(|attempt| _ = lb.end_attempt(id, attempt, home, Outcome::Broken));
    }
    assert_ne!(lb.read(1).1, Some(home));
}

/// Only the origin has the data, and a lost connection is no sign of overload there.
#[test]
fn a_fetch_or_write_with_a_lost_connection_is_retried_at_the_origin() {
    let mut lb = aside();
    // These requests earn the retries.
    (10..40).for_each(|key| _ = lb.hit(key));
    let (id, server) = lb.read(1);
    lb.end_attempt(id, 0, server.expect("sent"), Outcome::Miss);
    assert_eq!(sent_to(&lb.end_attempt(id, 1, ORIGIN, Outcome::Broken)), Some(ORIGIN));
    for outcome in [Outcome::Broken, Outcome::ConnectFailed] {
        let (id, _) = lb.request(2, 1, true);
        assert_eq!(sent_to(&lb.end_attempt(id, 0, ORIGIN, outcome)), Some(ORIGIN));
    }
}

/// Reads that wait for a fetch must not wait forever if the origin leaves the list meanwhile.
#[test]
fn reads_waiting_for_a_fetch_continue_after_the_origin_is_unlisted() {
    let mut lb = aside();
    let (id, server) = lb.read(1);
    lb.end_attempt(id, 0, server.expect("sent"), Outcome::Miss);
    let (_, actions) = lb.request(1, 0, false);
    assert!(actions.iter().all(|a| matches!(a, Action::Wake { .. })), "the read waits: {actions:?}");
    lb.update_servers(Scope::Full, (1..=3).map(listed).collect());
    assert!(sent_to(&lb.end_attempt(id, 1, ORIGIN, Outcome::Served)).is_some());
}

/// If only some servers tie as least-connection, each balancer assigns keys to other servers.
#[test]
fn balancers_with_different_loads_agree_on_new_keys() {
    let list: Vec<Listed> = (1..=9).map(listed).collect();
    let mut pair = [TestBalancer::new(settings(), list.clone()), TestBalancer::new(settings(), list)];
    // Requests in flight, at different servers for each balancer.
    let far = |lb: &mut TestBalancer, from: u64| (from..from + 18).for_each(|key| _ = lb.read(key));
    far(&mut pair[0], 1_000);
    far(&mut pair[1], 2_000);
    let same = (0..200).filter(|key| pair[0].hit(*key) == pair[1].hit(*key)).count();
    assert!(same > 180, "{same}");
}

/// Sends reads that miss until the origin's limit is reached. Returns the requests sent to the origin.
fn fill_origin(lb: &mut TestBalancer, keys: std::ops::Range<u64>) -> Vec<RequestId> {
    let mut miss = |key| {
        let (id, server) = lb.read(key);
        let actions =
            lb.end_attempt_with_note(id, 0, server.expect("sent"), Outcome::Miss, Some(CacheNote::Fetched));
        (sent_to(&actions) == Some(ORIGIN)).then_some(id)
    };
    keys.map_while(&mut miss).collect()
}

/// Writes are few and have the highest worth: they must not wait behind all missed reads.
#[test]
fn writes_overtake_held_reads_at_the_origin() {
    let mut lb = aside();
    assert!(fill_origin(&mut lb, 0..1000).len() < 1000);
    assert_eq!(sent_to(&lb.request(5000, 1, true).1), Some(ORIGIN));
    let writes = (6000..7000).filter(|key| sent_to(&lb.request(*key, 1, true).1).is_some()).count();
    assert!(writes < 100, "{writes}");
}

/// If each late answer lowered the limit, misses would be held while the origin is idle.
#[test]
fn one_late_answer_does_not_lower_the_origin_limit() {
    let mut lb = aside();
    let taken = fill_origin(&mut lb, 0..1000);
    let ended = |request, took| {
        Event::Ended(Ended {
            request,
            attempt: 1,
            server: ORIGIN,
            took,
            outcome: Outcome::Served,
            note: None,
            finished: true,
            report: Vec::new(),
        })
    };
    lb.now += S;
    for id in &taken[1..] {
        lb.event(ended(*id, 20 * MS));
    }
    lb.event(ended(taken[0], S));
    let after = fill_origin(&mut lb, 10_000..11_000).len();
    // One of the held reads has taken a slot.
    assert!(after + 1 >= taken.len(), "{after} of {}", taken.len());
}

/// A lossy path must not count as a queue at the origin: held misses are retried by clients, and the limit
/// stays low.
#[test]
fn lost_attempts_do_not_lower_the_origin_limit_but_a_queue_does() {
    // Of ten attempts `lost` get no answer; the others are served at once. Returns the attempts in flight at
    // the end.
    let in_flight = |lost: usize| {
        let (mut lb, mut flying, mut count) = (aside(), Vec::new(), 0);
        for step in 0..400 {
            let misses = if step < 390 { 2 } else { 100 };
            let mut actions = Vec::new();
            for key in 0..misses {
                let (id, Some(server)) = lb.read(step * 100 + key) else { continue };
                actions.extend(lb.end_attempt_with_note(
                    id,
                    0,
                    server,
                    Outcome::Miss,
                    Some(CacheNote::Fetched),
                ));
            }
            lb.now += 20 * MS;
            let now = lb.now;
            let over = |(sent, n, _): &mut (Micros, usize, RequestId)| {
                step < 390 && now - *sent >= if *n % 10 < lost { 600 * MS } else { 20 * MS }
            };
            for (sent, n, request) in flying.extract_if(.., over).collect::<Vec<_>>() {
                let outcome = if n % 10 < lost { Outcome::TimedOut } else { Outcome::Served };
                let (took, finished) = (now - sent, outcome == Outcome::Served);
                let (server, note, report) = (ORIGIN, None, Vec::new());
                let end = Ended { request, attempt: 1, server, took, outcome, note, finished, report };
                actions.extend(lb.event(Event::Ended(end)));
            }
            for action in actions {
                if let Action::Send { request, server: ORIGIN, .. } = action {
                    flying.push((now - 20 * MS, count, request));
                    count += 1;
                }
            }
        }
        flying.len()
    };
    let (calm, lossy, stopped) = (in_flight(0), in_flight(2), in_flight(10));
    assert!(lossy >= calm / 2 && stopped < 6, "{calm}, {lossy}, {stopped}");
}

/// The attempts that actions send for any of the requests `of`.
fn sends(actions: &[Action], of: &[RequestId]) -> Vec<(RequestId, ServerId)> {
    let sent = actions.iter().filter_map(|a| match a {
        Action::Send { request, server, .. } => Some((*request, *server)),
        _ => None,
    });
    sent.filter(|(request, _)| of.contains(request)).collect()
}

/// Reads that are held for one key must not fetch it several times when the limit allows fetches again.
#[test]
fn held_reads_of_a_key_share_one_fetch() {
    for through in [false, true] {
        let mut lb = if through { TestBalancer::with_servers(3) } else { aside() };
        // A read that needs a fetch; returns the server if it was sent, or none if it is held.
        let fetch = |lb: &mut TestBalancer, key| {
            let (id, server) = lb.read(key);
            let Some(server) = server else { return (id, None) };
            if through {
                return (id, Some(server));
            }
            let actions = lb.end_attempt_with_note(id, 0, server, Outcome::Miss, Some(CacheNote::Fetched));
            (id, sent_to(&actions))
        };
        let taken: Vec<(RequestId, ServerId)> = (0..1_000)
            .map_while(|key| {
                let (id, to) = fetch(&mut lb, key);
                Some((id, to?))
            })
            .collect();
        let same: Vec<RequestId> = (0..3).map(|_| fetch(&mut lb, 5_000).0).collect();
        let other = fetch(&mut lb, 6_000);
        assert_eq!(other.1, None, "held");
        let attempt = u32::from(!through);
        let end = |lb: &mut TestBalancer, (id, server): (RequestId, ServerId)| {
            lb.end_attempt_with_note(id, attempt, server, Outcome::Served, Some(CacheNote::Fetched))
        };
        // With capacity for one, the key with the most waiting reads comes first, and takes one attempt.
        let out = sends(&end(&mut lb, taken[0]), &same);
        assert_eq!(out.len(), 1, "through {through}: {out:?}");
        assert_eq!(out[0].0, same[2], "the newest");
        let after = sends(&end(&mut lb, out[0]), &same);
        let homes: Vec<ServerId> = after.iter().map(|(_, server)| *server).collect();
        assert!(
            homes.len() == 2 && homes.iter().all(|s| *s != ORIGIN && *s == homes[0]),
            "{through} {after:?}"
        );
    }
}

/// In a large fleet each balancer rarely sends to one server, and a failed zone answers nothing. If its
/// time-outs counted as overload of all servers, nine in ten requests would be rejected while two zones have
/// capacity.
#[test]
fn time_outs_of_silent_servers_are_no_overload() {
    let many = Settings { siblings: 100, ..settings() };
    let mut lb = TestBalancer::new(many, (1..=30).map(listed).collect());
    let mut refusals = 0;
    for key in 0..600 {
        lb.now += 70 * MS;
        let (id, actions) = lb.request(key, 0, false);
        refusals += usize::from(refused(&actions));
        let Some(server) = sent_to(&actions) else { continue };
        if server.0 > 20 {
            lb.now += 100 * MS;
            lb.end_first_attempt_after(id, server, Outcome::TimedOut, 2 * S);
        } else {
            lb.end_attempt(id, 0, server, Outcome::Served);
        }
    }
    assert_eq!(refusals, 0);
}

/// With most servers replaced at once, a cold server's share must follow the load of the warm ones and not
/// the mean over all servers. Otherwise cold servers warm up the more slowly the more of them there are.
#[test]
fn a_cold_servers_load_does_not_depend_on_their_number() {
    let share = |cold: u64| {
        let mut lb = TestBalancer::with_servers(4);
        let fresh = (0..cold).map(|s| Listed { since: Some(lb.now), ..listed(100 + s) }).collect();
        lb.update_servers(Scope::Changes, fresh);
        let mut sent = 0;
        for key in 0..1_200 {
            lb.now += 5 * MS;
            sent += i32::from(lb.hit_after(key, NEUTRAL_LATENCY).0 >= 100);
        }
        f64::from(sent) / cold as f64
    };
    // Four warm servers carry up to 50 per second each; the share is a fifth of that, growing to half after 6
    // s.
    let (one, many) = (share(1), share(8));
    assert!(many > 0.6 * one, "one gets {one}, each of eight {many}");
}

/// If ejections changed where a balancer places new keys, balancers would assign keys to different servers
/// for good, and several caches would hold the same key.
#[test]
fn a_new_keys_server_does_not_depend_on_ejections() {
    let mut calm = TestBalancer::with_servers(6);
    let homes: Vec<ServerId> = (0..60).map(|key| calm.hit(key)).collect();
    let mut lb = TestBalancer::with_servers(6);
    let bad = homes[0];
    for key in 1_000..1_400 {
        let (id, server) = lb.read(key);
        let Some(server) = server else { continue };
        lb.end_attempt(id, 0, server, if server == bad { Outcome::ConnectFailed } else { Outcome::Served });
    }
    let detours = (0..60).filter(|&key| homes[key as usize] == bad && lb.hit(key) != bad).count();
    assert!(detours > 0, "the server is ejected");
    lb.now += 30 * S;
    let (id, _) = lb.read(0);
    lb.end_attempt(id, 0, bad, Outcome::Served);
    let agree = (1..60).filter(|&key| lb.hit(key) == homes[key as usize]).count();
    assert_eq!(agree, 59);
}

/// Writes have the highest worth and go to the origin only: an overload of the caches must not shed them.
#[test]
fn overload_of_warm_servers_sheds_no_writes_and_no_reads_for_cold_ones() {
    let mut lb = aside();
    lb.update_servers(Scope::Changes, vec![Listed { since: Some(lb.now), ..listed(9) }]);
    for key in 0..300 {
        lb.now += 10 * MS;
        let (request, actions) = lb.request(key, 0, false);
        if let Some(server) = sent_to(&actions) {
            lb.end_first_attempt_after(request, server, Outcome::Served, 1_500 * MS);
        }
    }
    let (mut shed, mut cold) = (0, 0);
    for key in 1_000..1_200 {
        lb.now += 10 * MS;
        let (id, actions) = lb.request(key, 1, true);
        assert_eq!(sent_to(&actions), Some(ORIGIN), "a write");
        lb.end_attempt(id, 0, ORIGIN, Outcome::Served);
        let (id, actions) = lb.request(key, 0, false);
        shed += usize::from(refused(&actions));
        let Some(server) = sent_to(&actions) else { continue };
        cold += usize::from(server == ServerId(9));
        lb.end_first_attempt_after(id, server, Outcome::Served, 1_500 * MS);
    }
    assert!(shed > 60 && cold > 0, "{shed} shed, {cold} to the cold server");
}

/// Requests held for an origin that left the list must not wait in vain for half their latency target.
#[test]
fn held_requests_are_answered_at_once_when_the_origin_is_unlisted() {
    let mut lb = aside();
    let out = fill_origin(&mut lb, 0..200);
    // The origin's limit is reached until an answer arrives.
    let mut held = Vec::new();
    for key in 300..310 {
        let (id, server) = lb.read(key);
        assert_eq!(sent_to(&lb.end_attempt(id, 0, server.expect("sent"), Outcome::Miss)), None, "held");
        held.push(id);
    }
    let actions = lb.update_servers(Scope::Full, (1..=3).map(listed).collect());
    for id in &held {
        let refused = |a: &&Action| matches!(a, Action::Refuse { request, .. } if request == id);
        assert_eq!(actions.iter().filter(refused).count(), 1, "{id:?}: {actions:?}");
    }
    // Later misses and writes are refused, too; attempts in flight still end.
    let (id, server) = lb.read(400);
    assert!(refused(&lb.end_attempt(id, 0, server.expect("sent"), Outcome::Miss)));
    assert!(refused(&lb.request(401, 1, true).1));
    for id in out {
        lb.end_attempt(id, 1, ORIGIN, Outcome::Served);
    }
    assert_eq!(lb.balancer.audit().load, 0.0);
}

/// A server that leaves the list with attempts in flight and returns must not start at zero: the end of the
/// earlier attempts would be subtracted from the count of later ones.
#[test]
fn a_relisted_server_keeps_its_count_in_flight() {
    for (scope, back) in [
        (Scope::Changes, listed(1)),
        (Scope::Full, listed(1)),
        (Scope::Changes, Listed { since: Some(S), ..listed(1) }),
    ] {
        let mut lb = TestBalancer::with_servers(1);
        let (first, server) = lb.read(1);
        let server = server.expect("sent");
        lb.update_servers(Scope::Full, vec![]);
        assert_eq!(lb.read(2).1, None, "the server is gone");
        lb.update_servers(scope, vec![back.clone()]);
        lb.now += 30 * S;
        let (second, _) = lb.read(3);
        assert_eq!(lb.balancer.in_flight(server), 2.0, "{back:?}");
        lb.end_attempt(first, 0, server, Outcome::Served);
        assert_eq!(lb.balancer.in_flight(server), 1.0, "the second is still in flight");
        lb.end_attempt(second, 0, server, Outcome::Broken);
        assert_eq!(lb.balancer.in_flight(server), 0.0);
    }
}

/// The KTCPVS article's dynamic request: one whose cost hint is far above the mean counts as 2 while it is in
/// flight.
#[test]
fn a_request_with_a_heavy_hint_counts_twice_until_it_ends() {
    let mut lb = TestBalancer::with_servers(1);
    let mut ask = |hint: Option<Micros>| {
        lb.next += 1;
        let (request, due) = (RequestId(lb.next), lb.now + S);
        let new = NewRequest {
            request,
            key: Some(Key(1)),
            write: false,
            class: 0,
            tenant: 0,
            hint,
            repeated: false,
            due,
            reserve: 0,
        };
        let server = sent_to(&lb.event(Event::Request(new))).expect("sent");
        let counted = lb.balancer.in_flight(server);
        lb.end_attempt(request, 0, server, Outcome::Served);
        (counted, lb.balancer.in_flight(server))
    };
    assert_eq!(ask(None), (1.0, 0.0));
    (0..20).for_each(|_| assert_eq!(ask(Some(100 * MS)), (1.0, 0.0)));
    assert_eq!(ask(Some(190 * MS)), (1.0, 0.0));
    assert_eq!(ask(Some(400 * MS)), (2.0, 0.0));
}
