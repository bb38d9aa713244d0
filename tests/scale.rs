//! Fleets of many balancers, each of which sees little traffic: what one of them may do must add up to a
//! bound over all.

mod common;
use common::*;
use lapisrudder::*;

/// Settings of a balancer that is one of `siblings`.
fn one_of(siblings: u32) -> Settings {
    Settings { siblings, ..settings() }
}

fn fleet(servers: u64) -> Vec<Listed> {
    (1..=servers).map(listed).collect()
}

/// One balancer per sibling, all with the same servers.
fn balancers(siblings: u32, servers: u64) -> Vec<TestBalancer> {
    (0..siblings)
        .map(|n| {
            let balancer = Balancer::new(u64::from(n), one_of(siblings), 0);
            let mut lb = TestBalancer { balancer, now: S, next: 0 };
            lb.update_servers(Scope::Full, fleet(servers));
            lb
        })
        .collect()
}

/// Ends the first attempt after `took`, with the note that the cache had the key.
fn end_after(
    lb: &mut TestBalancer,
    id: RequestId,
    server: ServerId,
    took: Micros,
    outcome: Outcome,
) -> Vec<Action> {
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

/// Fails if the retry budgets saved up at many balancers together overload servers that only pause.
#[test]
fn first_retries_of_all_balancers_are_bounded() {
    for siblings in [1, 4, 64, 500] {
        let mut copies = 0;
        for lb in &mut balancers(siblings, 5) {
            for key in 0..100 {
                lb.hit(key);
            }
            for key in 0..100 {
                let (id, server) = lb.read(key);
                let actions = end_after(lb, id, server.expect("sent"), MS, Outcome::Full);
                let Some(second) = sent_to(&actions) else { continue };
                copies += 1;
                lb.end_attempt(id, 1, second, Outcome::Served);
            }
        }
        // A hundred requests at each balancer earn fifteen retries; on top of that sixty over all, or one at
        // each.
        let limit = 15 * siblings + 60.max(siblings);
        assert!((15 * siblings..=limit).contains(&copies), "{siblings} balancers sent {copies}");
    }
}

/// Fails if the attempts of all balancers at a failing origin add up to many times its capacity.
#[test]
fn attempts_of_all_balancers_at_a_failing_origin_are_bounded() {
    for siblings in [4, 64, 500] {
        let mode = Settings { mode: Mode::Aside, origin_kind: Some(1), ..one_of(siblings) };
        let mut list = fleet(3);
        list.push(Listed { kind: 1, ..listed(100) });
        let mut lb = TestBalancer::new(mode, list);
        let (mut late, mut sent) = (0, 0);
        for key in 0..400 {
            lb.now += 50 * MS;
            let (id, server) = lb.read(key);
            let actions = end_after(&mut lb, id, server.expect("sent"), MS, Outcome::Miss);
            let queued = lb.event(Event::Wake);
            // Also the attempts that are sent because another one has ended, which frees its slot.
            let mut actions: std::collections::VecDeque<Action> = actions.into_iter().chain(queued).collect();
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
        // In the last ten seconds all balancers together have only a few attempts of 0.1 s each in flight.
        let in_flight = f64::from(late * siblings) * 0.1 / 10.0;
        assert!(in_flight <= f64::from(siblings.min(4)) * 10.0 + 10.0, "{siblings}: {in_flight}");
        assert!(late > 0 || siblings > 64, "no attempt reached the origin in the second half");
    }
}

/// Fails if random bursts count as over the quota where a balancer's share of it is under one request a
/// second.
#[test]
fn a_burst_within_a_tenants_share_is_not_over_quota() {
    let tenants = vec![Tenant { quota_per_s: 100.0 }];
    let limits = Settings { tenants, over_share_worth: 0.05, ..one_of(200) };
    let mut lb = TestBalancer::new(limits, fleet(3));
    let mut refusals = 0;
    for burst in 0..20 {
        lb.now = S + burst * 10 * S;
        for key in 0..4 {
            let (id, actions) = lb.request(key, 0, false);
            refusals += usize::from(refused(&actions));
            if let Some(server) = sent_to(&actions) {
                end_after(&mut lb, id, server, 400 * MS, Outcome::Served);
            }
        }
    }
    assert_eq!(refusals, 0);
    let more = (0..40).filter(|key| refused(&lb.request(*key, 0, false).1)).count();
    assert!(more > 20, "{more}");
}

/// Fails if a balancer with less than one request in flight, which never reaches the high mark, keeps sending
/// to an overloaded server.
#[test]
fn late_answers_move_keys_off_a_server_for_a_while() {
    let mut lb = TestBalancer::with_servers(8);
    let home = lb.hit(1);
    for key in 0..40 {
        lb.hit(key);
    }
    lb.now += 60 * S;
    let (id, server) = lb.read(1);
    assert_eq!(server, Some(home));
    end_after(&mut lb, id, home, 450 * MS, Outcome::Served);
    assert_ne!(lb.read(1).1, Some(home));
    lb.now += 120 * S;
    let back = (1_000..1_200).filter(|key| lb.hit(*key) == home).count();
    assert!(back > 5, "{back}");
}

/// Fails if small servers get as many keys as large ones and are overloaded where the list gives no weights.
#[test]
fn a_slow_kind_gets_fewer_keys_and_balancers_agree_on_them() {
    let list: Vec<Listed> = (1..=40).map(|s| Listed { kind: (s % 2) as u32, ..listed(s) }).collect();
    let mut pair = balancers(2, 0);
    for lb in &mut pair {
        lb.update_servers(Scope::Full, list.clone());
        for key in 0..300 {
            lb.now += 100 * MS;
            let (id, server) = lb.read(key);
            let server = server.expect("sent");
            let took = if server.0 % 2 == 0 { 20 * MS } else { 45 * MS };
            end_after(lb, id, server, took, Outcome::Served);
        }
    }
    let [one, two] = &mut pair[..] else { unreachable!() };
    let (mut slow, mut same) = (0, 0);
    for key in 1_000..1_200 {
        let server = one.hit(key);
        slow += usize::from(server.0 % 2 == 1);
        same += usize::from(two.hit(key) == server);
    }
    assert!((5..75).contains(&slow), "{slow} of 200 keys at the slow kind");
    assert!(same > 160, "{same} of 200 keys at the same server");
}

/// Fails if the few requests that each balancer sends to a cold server add up to hundreds.
#[test]
fn a_cold_servers_load_from_all_balancers_is_bounded() {
    for (siblings, each) in [(4, 250), (64, 16), (500, 2)] {
        let mut all = balancers(siblings, 9);
        let started = 11 * S;
        let (mut cold, mut warm) = (0u32, 0u32);
        for (n, lb) in all.iter_mut().enumerate() {
            // One balancer in eight gets six times the traffic of the others.
            let each = if n % 8 == 0 { each * 6 } else { each };
            for n_request in 0..2 * each {
                lb.now = S + n_request as Micros * 10 * S / each as Micros;
                if n_request == each {
                    lb.update_servers(Scope::Changes, vec![Listed { since: Some(started), ..listed(10) }]);
                }
                let server = lb.hit_after(10_000 + n_request as u64 * 7_919 + n as u64, NEUTRAL_LATENCY);
                cold += u32::from(server == ServerId(10));
                warm += u32::from(n_request >= each && server != ServerId(10));
            }
        }
        // The cold server's share grows from 0.2 to 0.6 of a warm server's in these ten seconds.
        let peer = f64::from(warm) / 9.0;
        assert!(f64::from(cold) < 0.8 * peer, "{siblings}: {cold} against {peer}");
    }
}

/// Fails if a key with more traffic than one server can take overloads its server: balancers have to spread
/// it over servers, while each of them keeps to one.
#[test]
fn a_key_hotter_than_a_server_is_spread_over_balancers() {
    let mut homes = std::collections::BTreeSet::new();
    let mut cool = std::collections::BTreeSet::new();
    for seed in 0..60 {
        let list = fleet(40);
        let mut lb = TestBalancer { balancer: Balancer::new(seed, one_of(60), 0), now: S, next: 0 };
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
