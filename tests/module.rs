//! Tests of the decisions through the interface: the ordinary path and each danger met so far.

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
fn a_retry_leaves_the_entry_alone() {
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
fn a_keyed_request_is_repeated_only_while_it_is_remembered() {
    for (wait, repeated) in [(100 * MS, true), (1_100 * MS, false)] {
        let mut lb = TestBalancer::with_servers(4);
        let (id, actions) = lb.request(1, 1, false);
        let server = sent_to(&actions).expect("sent");
        // Learned as a holder before, so that the failure is not taken for the origin's.
        lb.end_attempt(id, 0, server, Outcome::Served);
        let (id, actions) = lb.request(1, 1, false);
        let server = sent_to(&actions).expect("sent");
        lb.now += wait;
        let actions = lb.end_attempt(id, 0, server, Outcome::Broken);
        assert_eq!(sent_to(&actions).is_some(), repeated);
        assert_eq!(failed(&actions), !repeated);
    }
}

/// Danger: the window counted anew from a copy once the first attempt turned out to be a miss.
#[test]
fn a_keyed_requests_window_counts_from_the_first_attempt_that_was_repeated_while_it_was_out() {
    for (wait, repeated) in [(490 * MS, true), (510 * MS, false)] {
        let mut lb = aside();
        let (id, actions) = lb.request(1, 1, false);
        let first = sent_to(&actions).expect("sent");
        let second = sent_to(&lb.advance_and_wake(300 * MS)).expect("a copy");
        assert_ne!(second, first);
        lb.now += wait;
        let actions = lb.end_attempt(id, 0, first, Outcome::Miss);
        assert_eq!(sent_to(&actions).is_some(), repeated, "{wait}");
        assert!(!refused(&actions) && !failed(&actions), "the copy is still out");
    }
    // Where nothing may have run any more the request is free to go.
    let mut lb = aside();
    let (id, actions) = lb.request(1, 1, false);
    let first = sent_to(&actions).expect("sent");
    lb.now += 1_200 * MS;
    assert_eq!(sent_to(&lb.end_attempt(id, 0, first, Outcome::Miss)), Some(ORIGIN));
}

/// Danger: a first attempt waited for a connection while its copy ran, and went out when that was forgotten.
#[test]
fn a_keyed_read_that_waits_may_not_go_out_long_after_a_copy_of_it_could() {
    let begins = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::Send { begin, .. } => Some(*begin),
            _ => None,
        })
    };
    let mut lb = aside();
    let (id, actions) = lb.request(1, 1, false);
    // A hold-up and the way to the server are left of a window of a second.
    assert_eq!(begins(&actions), Some(lb.now + 800 * MS));
    let first = sent_to(&actions).expect("sent");
    lb.now += 400 * MS;
    // What never ran is forgotten by nobody: the window is the next attempt's own.
    let actions = lb.end_attempt(id, 0, first, Outcome::ConnectFailed);
    assert_eq!(begins(&actions), Some(lb.now + 800 * MS));
    // No copy goes out beside an attempt at the origin, which may wait for its room.
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

/// Danger: a fresh empty server draws every new key at once.
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
    // 25 a second go to each of the others; a fifth of that, growing to 0.36 after 4 s, is its part: about 28.
    assert!((5..=40).contains(&cold), "{cold}");
    // Once it has shown that it bears more it gets more, up to what others get: 20 a second.
    let mut more = 0;
    for key in 2_000..2_400 {
        lb.now += 10 * MS;
        more += i32::from(lb.hit(key) == ServerId(9));
    }
    assert!((60..=110).contains(&more), "{more}");
}

/// Danger: a silent server holds its keys' requests until the clients give up.
#[test]
fn a_silent_servers_keys_take_a_detour_and_come_back() {
    let mut lb = TestBalancer::with_servers(4);
    let home = lb.hit(1);
    let (id, _) = lb.read(1);
    let actions = lb.advance_and_wake(400 * MS);
    let other = sent_to(&actions).expect("a second copy");
    assert_ne!(other, home);
    let (_, detour) = lb.read(1);
    assert_ne!(detour, Some(home));
    lb.end_attempt(id, 0, home, Outcome::Served);
    assert_eq!(lb.read(1).1, Some(home));
}

/// Danger: suspicion of everybody must not empty the fleet.
#[test]
fn when_all_look_bad_requests_still_go_out() {
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

/// Danger: retries multiply an overload.
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
fn a_miss_goes_to_the_origin_and_so_do_writes() {
    let mut lb = aside();
    let (id, server) = lb.read(1);
    let server = server.expect("sent");
    assert_ne!(server, ORIGIN);
    assert_eq!(sent_to(&lb.end_attempt(id, 0, server, Outcome::Miss)), Some(ORIGIN));
    assert_eq!(sent_to(&lb.request(2, 1, true).1), Some(ORIGIN));
    assert!((0..100).all(|key| lb.read(key).1 != Some(ORIGIN)));
}

/// Danger: reads that wait for another one's fetch were once left waiting for ever.
#[test]
fn joined_reads_go_on_when_the_fetch_ends() {
    let mut lb = aside();
    let (id, server) = lb.read(1);
    let server = server.expect("sent");
    lb.end_attempt(id, 0, server, Outcome::Miss);
    let (_, joined) = lb.read(1);
    assert_eq!(joined, None);
    assert_eq!(sent_to(&lb.end_attempt(id, 1, ORIGIN, Outcome::Served)), Some(server));
}

/// Danger: a pushed origin stops. What it can't take waits, and still gets its answer in time.
#[test]
fn the_origin_gets_a_bounded_number_and_held_reads_are_answered() {
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

/// Danger: a server out of reach says nothing of the origin; its silence once held all misses back.
#[test]
fn a_silent_servers_time_outs_do_not_shrink_the_origins_room() {
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

/// Danger: a tenant over its share takes the service of those inside theirs.
/// Danger: where nobody tells hits from fetches, the slow tail of the work looked like a queue at the origin.
#[test]
fn slow_answers_inside_the_aim_do_not_hold_reads_back_where_fetches_are_not_told() {
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
        // Four stay out.
        if key % 100 == 0 && key < 400 {
            lb.read(1_000 + key);
        }
    }
    assert!(sent > 550, "{sent} of 600 sent");
}

/// Danger: surplus in the queue for the origin starves those inside their share.
#[test]
fn surplus_is_not_held_for_the_origin() {
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

#[test]
fn over_share_work_is_shed_only_in_a_shortage() {
    // Surplus that is worth little goes earlier than surplus that is worth half.
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

/// Danger: a jam feeds itself; and were all shed in it, no answer would tell of its end.
#[test]
fn in_a_jam_part_of_all_work_is_shed_until_it_is_over() {
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

/// Danger: a time-out that comes sooner, so that the answer is in time after a hold-up, showed less of a jam: less was shed.
#[test]
fn a_time_out_counts_for_as_long_as_its_client_would_have_waited() {
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
            // Every other one is served, so that no server looks silent.
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
fn a_lost_list_is_asked_for_again_in_time() {
    let mut settings = settings();
    settings.must_ask = true;
    let mut lb = TestBalancer::new(settings, vec![]);
    for _ in 0..10 {
        let actions = lb.update_servers(Scope::Lost, vec![]);
        assert!(!actions.contains(&Action::Watch), "at once");
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

/// Danger: servers that turn one tenant away as full look like an origin that can take no more.
#[test]
fn attempts_turned_away_do_not_shrink_the_origins_room() {
    let mut lb = TestBalancer::with_servers(20);
    for key in 0..200 {
        lb.now += 200 * MS;
        let (id, Some(server)) = lb.read(key) else { panic!("held at {key}") };
        if let Some(second) = sent_to(&lb.end_attempt(id, 0, server, Outcome::Full)) {
            lb.end_attempt_with_note(id, 1, second, Outcome::Served, None);
        }
    }
    let room = (0..12).filter(|k| lb.read(1_000 + k).1.is_some()).count();
    assert_eq!(room, 12);
}

/// Danger: requests that fail at once wherever they go look like an origin that can take no more.
#[test]
fn requests_that_fail_at_once_do_not_shrink_the_origins_room() {
    let mut lb = TestBalancer::with_servers(20);
    for key in 0..300 {
        lb.now += 200 * MS;
        let (id, Some(server)) = lb.read(key) else { panic!("held at {key}") };
        let outcome = if key % 2 == 0 { Outcome::Error } else { Outcome::Served };
        if let Some(second) = sent_to(&lb.end_attempt_with_note(id, 0, server, outcome, None)) {
            lb.end_attempt_with_note(id, 1, second, Outcome::Error, None);
        }
    }
    let room = (0..12).filter(|k| lb.read(1_000 + k).1.is_some()).count();
    assert_eq!(room, 12);
}

/// Danger: where connections break now and then, every break sent all keys of a good server on a detour.
#[test]
fn a_server_is_suspect_only_after_breaks_in_a_row() {
    let mut lb = TestBalancer::with_servers(5);
    let home = lb.hit(1);
    (0..20).for_each(|_| _ = lb.hit(1));
    for outcome in [Outcome::Broken, Outcome::ConnectFailed, Outcome::Broken] {
        let (id, server) = lb.read(1);
        assert_eq!(server, Some(home), "one break is not its server's");
        let retry = sent_to(&lb.end_attempt(id, 0, home, outcome));
        assert_eq!(retry, Some(home), "which holds the key");
        lb.end_attempt(id, 1, home, Outcome::Served);
    }
    for _ in 0..2 {
        let (id, _) = lb.read(1);
        (0..3).for_each(|attempt| _ = lb.end_attempt(id, attempt, home, Outcome::Broken));
    }
    assert_ne!(lb.read(1).1, Some(home));
}

/// Danger: no other server has what the origin has, and a connection that broke is no sign of its load.
#[test]
fn a_fetch_or_a_write_that_broke_is_tried_again_at_the_origin() {
    let mut lb = aside();
    // Requests pay for the further attempts.
    (10..40).for_each(|key| _ = lb.hit(key));
    let (id, server) = lb.read(1);
    lb.end_attempt(id, 0, server.expect("sent"), Outcome::Miss);
    assert_eq!(sent_to(&lb.end_attempt(id, 1, ORIGIN, Outcome::Broken)), Some(ORIGIN));
    for outcome in [Outcome::Broken, Outcome::ConnectFailed] {
        let (id, _) = lb.request(2, 1, true);
        assert_eq!(sent_to(&lb.end_attempt(id, 0, ORIGIN, outcome)), Some(ORIGIN));
    }
}

/// Danger: reads that wait for another's fetch would wait on if the origin left the list meanwhile.
#[test]
fn reads_that_joined_a_fetch_go_on_though_the_origin_has_left_the_list() {
    let mut lb = aside();
    let (id, server) = lb.read(1);
    lb.end_attempt(id, 0, server.expect("sent"), Outcome::Miss);
    let (_, actions) = lb.request(1, 0, false);
    assert!(actions.iter().all(|a| matches!(a, Action::Wake { .. })), "it waits: {actions:?}");
    lb.update_servers(Scope::Full, (1..=3).map(listed).collect());
    assert!(sent_to(&lb.end_attempt(id, 1, ORIGIN, Outcome::Served)).is_some());
}

/// Danger: where half of the servers were out of the tie at any time, keys had other homes at each balancer.
#[test]
fn balancers_agree_on_new_keys_though_their_loads_differ() {
    let list: Vec<Listed> = (1..=9).map(listed).collect();
    let mut pair = [TestBalancer::new(settings(), list.clone()), TestBalancer::new(settings(), list)];
    // Requests in flight, at other servers for either balancer.
    let far = |lb: &mut TestBalancer, from: u64| (from..from + 18).for_each(|key| _ = lb.read(key));
    far(&mut pair[0], 1_000);
    far(&mut pair[1], 2_000);
    let same = (0..200).filter(|key| pair[0].hit(*key) == pair[1].hit(*key)).count();
    assert!(same > 180, "{same}");
}

/// Sends reads that miss until the origin takes no more of them; gives those that it took.
fn fill_origin(lb: &mut TestBalancer, keys: std::ops::Range<u64>) -> Vec<RequestId> {
    let mut miss = |key| {
        let (id, server) = lb.read(key);
        let actions =
            lb.end_attempt_with_note(id, 0, server.expect("sent"), Outcome::Miss, Some(CacheNote::Fetched));
        (sent_to(&actions) == Some(ORIGIN)).then_some(id)
    };
    keys.map_while(&mut miss).collect()
}

/// Danger: writes, few and worth most, waited behind all the reads that miss.
#[test]
fn a_write_goes_to_the_origin_past_held_reads() {
    let mut lb = aside();
    assert!(fill_origin(&mut lb, 0..1000).len() < 1000);
    assert_eq!(sent_to(&lb.request(5000, 1, true).1), Some(ORIGIN));
    let writes = (6000..7000).filter(|key| sent_to(&lb.request(*key, 1, true).1).is_some()).count();
    assert!(writes < 100, "{writes}");
}

/// Danger: a cut for each late answer held misses back though the origin was idle.
#[test]
fn one_late_answer_of_many_does_not_cut_the_origins_room() {
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
    // One of those held has taken a place.
    assert!(after + 1 >= taken.len(), "{after} of {}", taken.len());
}

/// Danger: a path that loses some looked like a queue; the misses held back came again, and it stayed so.
#[test]
fn attempts_lost_on_the_way_do_not_cut_the_origins_room_and_a_queue_does() {
    // So many of ten attempts are lost; the others are served at once. Gives how many the origin then gets.
    let room = |lost: usize| {
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
    let (calm, lossy, stopped) = (room(0), room(2), room(10));
    assert!(lossy >= calm / 2 && stopped < 6, "{calm}, {lossy}, {stopped}");
}

/// Attempts that actions send for any of these requests.
fn sends(actions: &[Action], of: &[RequestId]) -> Vec<(RequestId, ServerId)> {
    let sent = actions.iter().filter_map(|a| match a {
        Action::Send { request, server, .. } => Some((*request, *server)),
        _ => None,
    });
    sent.filter(|(request, _)| of.contains(request)).collect()
}

/// Danger: reads held for one key each fetched it anew when there was room again.
#[test]
fn held_reads_of_a_key_share_one_fetch() {
    for through in [false, true] {
        let mut lb = if through { TestBalancer::with_servers(3) } else { aside() };
        // A read that needs a fetch: told whether it went out for that, or is held.
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
        // Room for some: the key that most wait for comes first, and takes one attempt.
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

/// Danger: in a large fleet each node meets a server seldom, and a zone that is lost answers nothing: its time-outs were
/// taken for a jam of all, and nine in ten requests were turned away though two zones had room.
#[test]
fn time_outs_of_silent_servers_are_no_jam() {
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

/// Danger: with most servers replaced at once, a cold one got a part of what a server carries on the mean over all, as
/// if the cold ones carried as much as the warm, and warmed the slower the more of them there were.
#[test]
fn cold_servers_get_their_part_of_what_warm_ones_carry_however_many_are_cold() {
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
    // Four warm ones carry up to 50 a second each; a fifth of that, growing to half after 6 s.
    let (one, many) = (share(1), share(8));
    assert!(many > 0.6 * one, "one gets {one}, each of eight {many}");
}

/// Danger: what a balancer has met of a server changed where it placed keys that were new to it, for good: each had
/// homes of its own, and caches held a key as often.
#[test]
fn a_new_keys_home_does_not_depend_on_who_is_suspect() {
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
    assert!(detours > 0, "it is suspect");
    lb.now += 30 * S;
    let (id, _) = lb.read(0);
    lb.end_attempt(id, 0, bad, Outcome::Served);
    let agree = (1..60).filter(|&key| lb.hit(key) == homes[key as usize]).count();
    assert_eq!(agree, 59);
}

/// Danger: a jam of the caches turned away writes, which are worth most and go to the origin alone.
#[test]
fn in_a_jam_writes_for_the_origin_and_reads_for_cold_servers_are_not_shed() {
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
    assert!(shed > 60 && cold > 0, "{shed} shed, {cold} to the cold one");
}

/// Danger: requests held for an origin that had left the list waited on for half of their aim, for nothing.
#[test]
fn what_is_held_for_an_origin_is_answered_at_once_when_it_has_gone() {
    let mut lb = aside();
    let out = fill_origin(&mut lb, 0..200);
    // Its connections live on, but one more answer makes room.
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
    // So is what misses from here on, a write too; and what is out still ends.
    let (id, server) = lb.read(400);
    assert!(refused(&lb.end_attempt(id, 0, server.expect("sent"), Outcome::Miss)));
    assert!(refused(&lb.request(401, 1, true).1));
    for id in out {
        lb.end_attempt(id, 1, ORIGIN, Outcome::Served);
    }
    assert_eq!(lb.balancer.audit().load, 0.0);
}

/// Danger: a server that left the list with something out and came back began at nothing in flight; the end of what was
/// out before then took away the count of what was sent since.
#[test]
fn a_server_that_leaves_and_returns_keeps_count_of_what_it_has_in_flight() {
    for (scope, back) in [
        (Scope::Changes, listed(1)),
        (Scope::Full, listed(1)),
        (Scope::Changes, Listed { since: Some(S), ..listed(1) }),
    ] {
        let mut lb = TestBalancer::with_servers(1);
        let (first, server) = lb.read(1);
        let server = server.expect("sent");
        lb.update_servers(Scope::Full, vec![]);
        assert_eq!(lb.read(2).1, None, "it is gone");
        lb.update_servers(scope, vec![back.clone()]);
        lb.now += 30 * S;
        let (second, _) = lb.read(3);
        assert_eq!(lb.balancer.in_flight(server), 2.0, "{back:?}");
        lb.end_attempt(first, 0, server, Outcome::Served);
        assert_eq!(lb.balancer.in_flight(server), 1.0, "the second is still out");
        lb.end_attempt(second, 0, server, Outcome::Broken);
        assert_eq!(lb.balancer.in_flight(server), 0.0);
    }
}

/// The article's dynamic request: one whose cost hint is far over the usual counts 2 while it is out.
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
