//! Wrong and outdated server lists, drains, and the budget for retries and hedged attempts.

mod common;
use common::*;
use lapisrudder::*;

/// A balancer of six servers for which `Gone` in a list is only advice.
fn gone_as_advice() -> TestBalancer {
    let settings = Settings { gone_is_advice: true, ..settings() };
    TestBalancer::new(settings, (1..=6).map(listed).collect())
}

/// A list entry of a server at this stage.
fn at(stage: Stage, server: u64) -> Listed {
    Listed { stage, ..listed(server) }
}

/// Fails if a wrong list, in which all servers are gone although they serve, takes the keys from them.
#[test]
fn servers_listed_as_gone_keep_serving_their_keys_where_gone_is_advice() {
    let mut lb = gone_as_advice();
    let homes: Vec<ServerId> = (0..40).map(|k| lb.hit(k)).collect();
    lb.update_servers(Scope::Full, vec![]);
    assert_eq!((0..40).map(|k| lb.hit(k)).collect::<Vec<_>>(), homes);
    lb.update_servers(Scope::Changes, (1..=6).map(|s| at(Stage::Gone, s)).collect());
    assert_eq!((0..40).map(|k| lb.hit(k)).collect::<Vec<_>>(), homes);
}

/// Fails if a request is sent to a server that is listed as gone where that is binding.
#[test]
fn a_server_listed_as_gone_gets_nothing_where_gone_is_binding() {
    let mut lb = TestBalancer::with_servers(1);
    lb.hit(1);
    lb.update_servers(Scope::Full, vec![]);
    assert_eq!(lb.read(1).1, None);
}

/// Fails if a server that is listed as gone and refuses connections is tried as often as one that is listed
/// as live.
#[test]
fn a_failing_server_listed_as_gone_is_retried_less_often() {
    let attempts_at_dead = |gone: bool| {
        let mut lb = gone_as_advice();
        let dead = lb.hit(1);
        if gone {
            lb.update_servers(Scope::Changes, vec![at(Stage::Gone, dead.0)]);
        }
        let mut tried = 0;
        for _ in 0..200 {
            lb.now += 20 * MS;
            let (id, server) = lb.read(1);
            let server = server.expect("sent");
            let dial = if server == dead { Outcome::ConnectFailed } else { Outcome::Served };
            tried += usize::from(server == dead);
            let actions = lb.end_attempt(id, 0, server, dial);
            if let Some(second) = sent_to(&actions) {
                lb.end_attempt(id, 1, second, Outcome::Served);
            }
        }
        tried
    };
    assert!(
        attempts_at_dead(true) < attempts_at_dead(false),
        "{} {}",
        attempts_at_dead(true),
        attempts_at_dead(false)
    );
}

/// Fails if an outdated list that names a drained server as live lifts the drain; only a later start time
/// does.
#[test]
fn a_drain_is_lifted_by_a_restart_and_not_by_an_old_list() {
    let mut lb = gone_as_advice();
    let server = lb.hit(1);
    lb.update_servers(Scope::Changes, vec![at(Stage::Draining, server.0)]);
    lb.update_servers(Scope::Full, vec![]);
    lb.now += 90 * S;
    lb.update_servers(Scope::Full, (1..=6).map(listed).collect());
    assert_ne!(lb.hit(1), server);
    assert_ne!(lb.hit(2_000), server);
    lb.now += S;
    let since = Some(lb.now);
    lb.update_servers(Scope::Changes, vec![Listed { since, ..listed(server.0) }]);
    lb.now += 30 * S;
    assert!((0..60).any(|k| lb.hit(3_000 + k) == server));
    // An even older list names an earlier start time, which is neither an update nor a restart.
    lb.update_servers(Scope::Changes, vec![at(Stage::Draining, server.0)]);
    lb.update_servers(Scope::Changes, vec![Listed { since: Some(S / 2), ..listed(server.0) }]);
    assert!((0..60).all(|k| lb.hit(4_000 + k) != server));
}

/// Fails if an outdated complete list, which discovery may send after it moved, reopens a server that was
/// reported as draining or gone.
#[test]
fn an_old_complete_list_reopens_no_closed_server_where_gone_is_binding() {
    for stage in [Stage::Draining, Stage::Gone] {
        let mut lb = TestBalancer::with_servers(2);
        lb.update_servers(Scope::Changes, vec![at(stage, 1)]);
        lb.now += 20 * S;
        lb.update_servers(Scope::Remembered, (1..=2).map(listed).collect());
        assert!((0..60).all(|k| lb.hit(k) == ServerId(2)), "{stage:?}: an old list is no update");
        // A newer update reopens the server, and so does a later start time in an old list.
        lb.update_servers(Scope::Changes, vec![listed(1)]);
        assert!((100..160).any(|k| lb.hit(k) == ServerId(1)), "{stage:?}");
        lb.update_servers(Scope::Changes, vec![at(stage, 1)]);
        let since = Some(lb.now);
        lb.update_servers(Scope::Remembered, vec![Listed { since, ..listed(1) }, listed(2)]);
        lb.now += 30 * S;
        assert!((200..260).any(|k| lb.hit(k) == ServerId(1)), "{stage:?}: the server has restarted");
    }
}

/// Fails if servers that are no longer in the list are kept for good.
#[test]
fn servers_that_stay_unlisted_are_forgotten() {
    let mut lb = gone_as_advice();
    lb.update_servers(Scope::Full, vec![listed(1)]);
    lb.now += 61 * S;
    lb.update_servers(Scope::Full, vec![listed(1)]);
    assert!((0..60).all(|k| lb.hit(k) == ServerId(1)));
}

/// Fails if retries and hedged attempts exceed the budget in some window, above all at a window's edge.
#[test]
fn retries_and_hedged_attempts_keep_to_the_budget_in_every_window() {
    for (free, share, span) in
        [(3.0, 0.1, 2 * S), (0.0, 0.5, S), (1.0, -4.0, S), (2.0, 0.2, 0), (0.0, f64::NAN, S)]
    {
        let budget = Budget { free, share, span };
        let settings = Settings { budget: Some(budget), max_attempts: 6, ..settings() };
        let mut lb = TestBalancer::new(settings, (1..=20).map(listed).collect());
        let (mut requests, mut retries): (Vec<Micros>, Vec<Micros>) = (vec![], vec![]);
        for step in 0..600 {
            lb.now += if step % 150 == 149 { 3 * S } else { 17 * MS };
            requests.push(lb.now);
            let (id, mut server) = lb.read(step % 40);
            let mut attempt = 0;
            while let Some(s) = server {
                server = sent_to(&lb.end_attempt(id, attempt, s, Outcome::Full));
                attempt += 1;
                if server.is_some() {
                    retries.push(lb.now);
                    let inside = |t: &[Micros]| t.iter().filter(|t| lb.now - **t < span).count() as f64;
                    let share = if share > 0.0 { share } else { 0.0 };
                    assert!(inside(&retries) <= free + share * inside(&requests));
                }
            }
        }
        assert!(retries.len() > 20 || free + share < 0.4 || span == 0 || !share.is_finite() || share < 0.0);
    }
}

/// Fails if a broken network path to a zone is found out server by server, with failed attempts at each of
/// them.
#[test]
fn keys_move_to_the_near_zone_while_the_path_to_another_fails_and_move_back() {
    let list: Vec<Listed> = (1..=40).map(|s| Listed { zone: s as u32 % 2, ..listed(s) }).collect();
    let mut lb = TestBalancer::new(settings(), list);
    let far = |s: ServerId| s.0 % 2 == 1;
    let homes: Vec<ServerId> = (0..200).map(|k| lb.hit(k)).collect();
    lb.now += 60 * S;
    let mut tried_far = 0;
    for n in 0..400 {
        lb.now += 10 * MS;
        let (id, Some(server)) = lb.read(n % 200) else { continue };
        let outcome = if far(server) { Outcome::ConnectFailed } else { Outcome::Served };
        tried_far += usize::from(far(server));
        if let Some(second) = sent_to(&lb.end_attempt(id, 0, server, outcome)) {
            lb.end_attempt(id, 1, second, if far(second) { Outcome::ConnectFailed } else { Outcome::Served });
        }
    }
    assert!(tried_far < 30, "{tried_far} of about 200");
    lb.now += 60 * S;
    let back = (0..200).filter(|k| lb.hit(*k) == homes[*k as usize]).count();
    assert!(back > 180, "{back}");
}
