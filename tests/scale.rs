//! Many balancers that each see little: what one is allowed must add up to a bound over all of them.

mod common;
use common::*;
use lapisrudder::*;

fn at_scale(siblings: u32) -> Settings {
    Settings { siblings, ..settings() }
}

fn fleet(servers: u64) -> Vec<Listed> {
    (1..=servers).map(listed).collect()
}

fn desks(siblings: u32, servers: u64) -> Vec<TestBalancer> {
    (0..siblings)
        .map(|n| {
            let balancer = Balancer::new(u64::from(n), at_scale(siblings), 0);
            let mut lb = TestBalancer { balancer, now: S, next: 0 };
            lb.update_servers(Scope::Full, fleet(servers));
            lb
        })
        .collect()
}

/// An answer after `took`.
fn answer(lb: &mut TestBalancer, id: RequestId, server: ServerId, took: Micros, outcome: Outcome) -> Vec<Action> {
    lb.event(Event::Ended(Ended {
        request: id,
        attempt: 0,
        server,
        took,
        outcome,
        note: Some(CacheNote::Hit),
        finished: outcome == Outcome::Served,
        report: vec![],
    }))
}

/// Danger: retries saved up at each balancer jam a fleet that merely pauses.
#[test]
fn first_retries_of_all_balancers_are_bounded() {
    for siblings in [1, 4, 64, 500] {
        let mut copies = 0;
        for lb in &mut desks(siblings, 5) {
            for key in 0..100 {
                lb.hit(key);
            }
            for key in 0..100 {
                let (id, server) = lb.read(key);
                let actions = answer(lb, id, server.expect("sent"), MS, Outcome::Full);
                let Some(second) = sent_to(&actions) else { continue };
                copies += 1;
                lb.end_attempt(id, 1, second, Outcome::Served);
            }
        }
        // A hundred requests at each earn fifteen; beyond that sixty over all, or one at each.
        let most = 15 * siblings + 60.max(siblings);
        assert!((15 * siblings..=most).contains(&copies), "{siblings} balancers sent {copies}");
    }
}

/// Danger: the attempts at the origin of each balancer add up to many times what it bears.
#[test]
fn attempts_at_a_failing_origin_add_up_to_a_bound() {
    for siblings in [4, 64, 500] {
        let mode = Settings { mode: Mode::Aside, origin_kind: Some(1), ..at_scale(siblings) };
        let mut list = fleet(3);
        list.push(Listed { kind: 1, ..listed(100) });
        let mut lb = TestBalancer::new(mode, list);
        let (mut late, mut sent) = (0, 0);
        for key in 0..400 {
            lb.now += 50 * MS;
            let (id, server) = lb.read(key);
            let actions = answer(&mut lb, id, server.expect("sent"), MS, Outcome::Miss);
            let held = lb.event(Event::Wake);
            // Also what is sent because another attempt has ended: an attempt that never ends holds its room.
            let mut actions: std::collections::VecDeque<Action> = actions.into_iter().chain(held).collect();
            while let Some(action) = actions.pop_front() {
                let Action::Send { request, server: ServerId(100), .. } = action else { continue };
                (sent, late) = (sent + 1, late + u32::from(key >= 200));
                let outcome = if sent < 3 { Outcome::Served } else { Outcome::Error };
                let server = ServerId(100);
                let (took, note) = (100 * MS, None);
                let end = Ended {
                    request,
                    attempt: 1,
                    server,
                    took,
                    outcome,
                    note,
                    finished: sent < 3,
                    report: vec![],
                };
                actions.extend(lb.event(Event::Ended(end)));
            }
        }
        // In the last ten seconds all together keep no more than a few in flight of 0.1 s each.
        let in_flight = f64::from(late * siblings) * 0.1 / 10.0;
        assert!(in_flight <= f64::from(siblings.min(4)) * 10.0 + 10.0, "{siblings}: {in_flight}");
        assert!(late > 0 || siblings > 64, "starved");
    }
}

/// Danger: at a share of under one request a second, chance alone made half of the work surplus.
#[test]
fn a_run_of_requests_inside_a_share_is_not_taken_for_surplus() {
    let tenants = vec![Tenant { quota_per_s: 100.0 }];
    let limits = Settings { tenants, over_share_worth: 0.05, ..at_scale(200) };
    let mut lb = TestBalancer::new(limits, fleet(3));
    let mut refusals = 0;
    for burst in 0..20 {
        lb.now = S + burst * 10 * S;
        for key in 0..4 {
            let (id, actions) = lb.request(key, 0, false);
            refusals += usize::from(refused(&actions));
            if let Some(server) = sent_to(&actions) {
                answer(&mut lb, id, server, 400 * MS, Outcome::Served);
            }
        }
    }
    assert_eq!(refusals, 0);
    let more = (0..40).filter(|key| refused(&lb.request(*key, 0, false).1)).count();
    assert!(more > 20, "{more}");
}

/// Danger: with under one request in flight the marks never fire, and a balancer clings to a jammed server.
#[test]
fn late_answers_move_keys_off_a_server_and_fade() {
    let mut lb = TestBalancer::with_servers(8);
    let home = lb.hit(1);
    for key in 0..40 {
        lb.hit(key);
    }
    lb.now += 60 * S;
    let (id, server) = lb.read(1);
    assert_eq!(server, Some(home));
    answer(&mut lb, id, home, 450 * MS, Outcome::Served);
    assert_ne!(lb.read(1).1, Some(home));
    lb.now += 120 * S;
    let back = (1_000..1_200).filter(|key| lb.hit(*key) == home).count();
    assert!(back > 5, "{back}");
}

/// Danger: where the list tells no sizes, small machines got as much as large ones and jammed.
#[test]
fn a_slow_kind_gets_fewer_keys_and_balancers_agree_on_them() {
    let list: Vec<Listed> = (1..=40).map(|s| Listed { kind: (s % 2) as u32, ..listed(s) }).collect();
    let mut pair = desks(2, 0);
    for lb in &mut pair {
        lb.update_servers(Scope::Full, list.clone());
        for key in 0..300 {
            lb.now += 100 * MS;
            let (id, server) = lb.read(key);
            let server = server.expect("sent");
            let took = if server.0 % 2 == 0 { 20 * MS } else { 45 * MS };
            answer(lb, id, server, took, Outcome::Served);
        }
    }
    let [one, two] = &mut pair[..] else { unreachable!() };
    let (mut slow, mut same) = (0, 0);
    for key in 1_000..1_200 {
        let server = one.hit(key);
        slow += usize::from(server.0 % 2 == 1);
        same += usize::from(two.hit(key) == server);
    }
    assert!((5..75).contains(&slow), "{slow} of 200 at the slow kind");
    assert!(same > 160, "{same} of 200 alike");
}

/// Danger: a cold server's budget of a few at each balancer is hundreds over all.
#[test]
fn a_cold_server_gets_its_share_from_all_balancers_together() {
    for (siblings, each) in [(4, 250), (64, 16), (500, 2)] {
        let mut all = desks(siblings, 9);
        let started = 11 * S;
        let (mut cold, mut warm) = (0u32, 0u32);
        for (n, lb) in all.iter_mut().enumerate() {
            // One in eight carries six times what the others do.
            let each = if n % 8 == 0 { each * 6 } else { each };
            for turn in 0..2 * each {
                lb.now = S + turn as Micros * 10 * S / each as Micros;
                if turn == each {
                    lb.update_servers(Scope::Changes, vec![Listed { since: Some(started), ..listed(10) }]);
                }
                let server = lb.hit_after(10_000 + turn as u64 * 7_919 + n as u64, NEUTRAL_LATENCY);
                cold += u32::from(server == ServerId(10));
                warm += u32::from(turn >= each && server != ServerId(10));
            }
        }
        // Its part grows from 0.2 to 0.6 of a peer's in these ten seconds; three times that is the limit.
        let peer = f64::from(warm) / 9.0;
        assert!(f64::from(cold) < 0.8 * peer, "{siblings}: {cold} against {peer}");
    }
}

/// Danger: a key hotter than one server jams it. Balancers spread it; each keeps to one server.
#[test]
fn a_key_hotter_than_a_server_is_spread_over_balancers() {
    let mut homes = std::collections::BTreeSet::new();
    let mut cool = std::collections::BTreeSet::new();
    for seed in 0..60 {
        let list = fleet(40);
        let mut lb = TestBalancer { balancer: Balancer::new(seed, at_scale(60), 0), now: S, next: 0 };
        lb.update_servers(Scope::Remembered, list);
        for n in 0..120 {
            lb.now += 50 * MS;
            if n % 5 == 0 {
                lb.hit(7);
            }
            lb.hit(1_000 + n % 60);
        }
        let home = lb.hit(7);
        assert_eq!(lb.hit(7), home);
        homes.insert(home);
        cool.insert(lb.hit(1_001));
    }
    assert!((4..=14).contains(&homes.len()), "{} servers", homes.len());
    assert_eq!(cool.len(), 1);
}
