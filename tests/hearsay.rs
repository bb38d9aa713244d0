//! What a balancer is told and what it may spend: wrong lists, drains, the budget of attempts.

mod common;
use common::*;
use lapisrudder::*;

fn advised() -> TestBalancer {
    let settings = Settings { gone_is_advice: true, ..settings() };
    TestBalancer::new(settings, (1..=6).map(listed).collect())
}

fn at(stage: Stage, server: u64) -> Listed {
    Listed { stage, ..listed(server) }
}

/// Danger: a wrong list calls the whole fleet gone while it serves.
#[test]
fn a_fleet_called_gone_goes_on_serving_and_keeps_its_keys() {
    let mut lb = advised();
    let homes: Vec<ServerId> = (0..40).map(|k| lb.hit(k)).collect();
    lb.update_servers(Scope::Full, vec![]);
    assert_eq!((0..40).map(|k| lb.hit(k)).collect::<Vec<_>>(), homes);
    lb.update_servers(Scope::Changes, (1..=6).map(|s| at(Stage::Gone, s)).collect());
    assert_eq!((0..40).map(|k| lb.hit(k)).collect::<Vec<_>>(), homes);
}

/// Where gone binds, nothing is sent to a server that is called gone.
#[test]
fn gone_binds_where_it_is_not_advice() {
    let mut lb = TestBalancer::with_servers(1);
    lb.hit(1);
    lb.update_servers(Scope::Full, vec![]);
    assert_eq!(lb.read(1).1, None);
}

/// A server that the list calls gone and that refuses connections is left alone for longer than another.
#[test]
fn a_doubted_server_is_found_out_by_its_failures() {
    let tried = |gone: bool| {
        let mut lb = advised();
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
    assert!(tried(true) < tried(false), "{} {}", tried(true), tried(false));
}

/// Danger: an old list that comes back calls a drained server live. Only a later start lifts the drain.
#[test]
fn a_drain_outlasts_old_lists_but_not_a_restart() {
    let mut lb = advised();
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
    // An even older list names an earlier start: it is neither news nor a restart.
    lb.update_servers(Scope::Changes, vec![at(Stage::Draining, server.0)]);
    lb.update_servers(Scope::Changes, vec![Listed { since: Some(S / 2), ..listed(server.0) }]);
    assert!((0..60).all(|k| lb.hit(4_000 + k) != server));
}

/// Danger: after a move of discovery an old whole list called a draining server live, and one that had gone.
#[test]
fn where_gone_binds_an_old_list_opens_nothing_that_was_told_to_close() {
    for stage in [Stage::Draining, Stage::Gone] {
        let mut lb = TestBalancer::with_servers(2);
        lb.update_servers(Scope::Changes, vec![at(stage, 1)]);
        lb.now += 20 * S;
        lb.update_servers(Scope::Remembered, (1..=2).map(listed).collect());
        assert!((0..60).all(|k| lb.hit(k) == ServerId(2)), "{stage:?}: an old list is no news");
        // Newer word lifts it, and so does a later start that an old list tells of.
        lb.update_servers(Scope::Changes, vec![listed(1)]);
        assert!((100..160).any(|k| lb.hit(k) == ServerId(1)), "{stage:?}");
        lb.update_servers(Scope::Changes, vec![at(stage, 1)]);
        let since = Some(lb.now);
        lb.update_servers(Scope::Remembered, vec![Listed { since, ..listed(1) }, listed(2)]);
        lb.now += 30 * S;
        assert!((200..260).any(|k| lb.hit(k) == ServerId(1)), "{stage:?}: it has started anew");
    }
}

/// Servers that the list has dropped for good are forgotten.
#[test]
fn doubted_servers_are_forgotten_in_time() {
    let mut lb = advised();
    lb.update_servers(Scope::Full, vec![listed(1)]);
    lb.now += 61 * S;
    lb.update_servers(Scope::Full, vec![listed(1)]);
    assert!((0..60).all(|k| lb.hit(k) == ServerId(1)));
}

/// Danger: attempts beyond a request's first break the stated budget, at a window's edge above all.
#[test]
fn further_attempts_keep_to_the_budget_in_every_window() {
    for (free, share, span) in
        [(3.0, 0.1, 2 * S), (0.0, 0.5, S), (1.0, -4.0, S), (2.0, 0.2, 0), (0.0, f64::NAN, S)]
    {
        let budget = Budget { free, share, span };
        let settings = Settings { budget: Some(budget), max_attempts: 6, ..settings() };
        let mut lb = TestBalancer::new(settings, (1..=20).map(listed).collect());
        let (mut taken, mut further): (Vec<Micros>, Vec<Micros>) = (vec![], vec![]);
        for step in 0..600 {
            lb.now += if step % 150 == 149 { 3 * S } else { 17 * MS };
            taken.push(lb.now);
            let (id, mut server) = lb.read(step % 40);
            let mut attempt = 0;
            while let Some(s) = server {
                server = sent_to(&lb.end_attempt(id, attempt, s, Outcome::Full));
                attempt += 1;
                if server.is_some() {
                    further.push(lb.now);
                    let inside = |t: &[Micros]| t.iter().filter(|t| lb.now - **t < span).count() as f64;
                    let share = if share > 0.0 { share } else { 0.0 };
                    assert!(inside(&further) <= free + share * inside(&taken));
                }
            }
        }
        assert!(further.len() > 20 || free + share < 0.4 || span == 0 || !share.is_finite() || share < 0.0);
    }
}

/// Danger: a slow way to a zone looks like all its servers failing, and each has to be found out anew.
#[test]
fn keys_take_detours_near_while_the_way_to_another_zone_is_bad_and_come_back() {
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
