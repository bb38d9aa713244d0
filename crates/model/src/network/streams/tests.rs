use proptest::prelude::*;

use super::*;
use crate::mix::Spread;
use crate::network::Delay;

const CLIENT: Host = Host(0);
const SERVER: Host = Host(1);

fn network(split: Split, change: impl FnOnce(&mut NetworkPlan)) -> Network {
    let delay = |base, jitter| Delay { base, jitter: Spread::Even(0, jitter) };
    let links = LinksPlan { zones: vec![0, 1], near: delay(50, 0), far: delay(1000, 800), pairs: Vec::new() };
    let mut plan = NetworkPlan { links, split, buffer: 1 << 20, short_writes: false, bandwidth: None };
    change(&mut plan);
    Network::new(plan, 5)
}

/// All deliveries until the given time, with their times.
fn until(net: &mut Network, end: Micros) -> Vec<(Micros, Delivery)> {
    let mut seen = Vec::new();
    while let Some(at) = net.next().filter(|at| *at <= end) {
        while let Some(delivery) = net.poll(at.max(0)) {
            seen.push((at, delivery));
        }
    }
    seen
}

fn bytes(seen: &[(Micros, Delivery)], side: Side) -> Vec<u8> {
    let data = seen.iter().filter_map(|(_, delivery)| match delivery {
        Delivery::Data(_, at, bytes) if *at == side => Some(bytes.to_vec()),
        _ => None,
    });
    data.flatten().collect()
}

/// Opens a connection that is established by time 10,000, with nothing else in flight.
fn open(net: &mut Network) -> Conn {
    let conn = net.connect(0, CLIENT, SERVER);
    let seen = until(net, 10_000);
    let accepted = Delivery::Accepted { conn, from: CLIENT, to: SERVER };
    assert!(seen.len() == 2 && seen[0].1 == accepted && seen[1].1 == Delivery::Opened(conn), "{seen:?}");
    assert!((1000..=1800).contains(&seen[0].0) && (2000..=3600).contains(&seen[1].0), "{seen:?}");
    conn
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// However writes are split, accepted in part and delayed, each side gets all of the other's bytes in
    /// order and then FIN, and the connection is removed.
    #[test]
    fn all_bytes_arrive_in_order(
        writes in proptest::collection::vec((0i64..3000, any::<bool>(), 1usize..400), 1..40),
        split in prop_oneof![Just(Split::Whole), (1usize..50).prop_map(Split::AtMost), (1usize..90).prop_map(Split::Random)],
        buffer in 1usize..2000,
        short in any::<bool>(),
        cut in 0usize..40,
    ) {
        let mut net = network(split, |plan| {
            plan.buffer = buffer;
            plan.short_writes = short;
            plan.bandwidth = Some(1_000_000);
        });
        let conn = open(&mut net);
        let mut now = 10_000;
        let mut wanted = [Vec::new(), Vec::new()];
        let mut waiting = [Vec::new(), Vec::new()];
        let mut got = [Vec::new(), Vec::new()];
        let mut fault = None;
        let mut last = 0;
        let sides = [Side::Client, Side::Server];
        let write = |(n, (gap, client, len)): (usize, &(i64, bool, usize))| {
            (*gap, Some((usize::from(!client), vec![n as u8; *len])))
        };
        let mut steps: Vec<_> = writes.iter().enumerate().map(write).collect();
        steps.push((60_000_000, None));
        for (n, (gap, write)) in steps.into_iter().enumerate() {
            if n == cut && write.is_some() {
                fault = Some(net.begin(HostSet::Any, HostSet::Host(SERVER), true, Fault::Cut(Heal::Resume)));
            } else if n == cut + 5 || write.is_none() {
                fault.take().into_iter().for_each(|fault| net.end(now, fault));
            }
            let end = now + gap;
            loop {
                for (i, side) in sides.into_iter().enumerate() {
                    let taken = net.send(now, conn, side, &waiting[i]);
                    waiting[i].drain(..taken);
                }
                let Some(at) = net.next().filter(|at| *at <= end) else { break };
                prop_assert!(at >= now, "an arrival is due before the present time");
                now = at;
                while let Some(delivery) = net.poll(now) {
                    if let Delivery::Data(_, side, bytes) = delivery {
                        prop_assert!(now >= last);
                        last = now;
                        got[usize::from(side == Side::Client)].extend_from_slice(&bytes);
                    }
                }
            }
            now = end;
            if let Some((from, bytes)) = write {
                wanted[from].extend_from_slice(&bytes);
                waiting[from].extend_from_slice(&bytes);
            }
        }
        let lens = |x: &[Vec<u8>; 2]| (x[0].len(), x[1].len());
        prop_assert!(got == wanted, "{:?} {:?} {:?}", lens(&got), lens(&wanted), lens(&waiting));
        sides.into_iter().for_each(|side| net.shut(now, conn, side));
        let ends: Vec<Delivery> = until(&mut net, now + 10_000).into_iter().map(|seen| seen.1).collect();
        prop_assert!(ends.contains(&Delivery::End(conn, Side::Client)) && ends.contains(&Delivery::End(conn, Side::Server)));
        prop_assert_eq!(net.connections(), 0);
    }
}

#[test]
fn a_cut_is_silent_and_heals_as_configured() {
    let ask = b"ask".as_slice();
    let cases = [
        // After the cut: the bytes of a write made during it that arrive, whether the connection and a
        // connect made meanwhile are reset, and whether that connect succeeds.
        (Heal::Resume, ask.to_vec(), false, true),
        (Heal::Stay, Vec::new(), false, false),
        (Heal::Reset, Vec::new(), true, false),
    ];
    for (heal, arrives, reset, connects) in cases {
        let mut net = network(Split::Whole, |_| {});
        let conn = open(&mut net);
        let id = net.begin(HostSet::Host(SERVER), HostSet::Any, true, Fault::Cut(heal));
        assert_eq!(net.send(10_000, conn, Side::Client, ask), 3, "the sender notices nothing");
        let late = net.connect(10_000, CLIENT, SERVER);
        assert_eq!(until(&mut net, 60_000_000), [], "{heal:?}");
        net.end(60_000_000, id);
        let seen = until(&mut net, 61_000_000);
        assert_eq!(bytes(&seen, Side::Server), arrives, "{heal:?}");
        let has = |delivery| seen.iter().any(|seen| seen.1 == delivery);
        assert_eq!(has(Delivery::Reset(conn, Side::Client)), reset, "{heal:?}: {seen:?}");
        assert_eq!(has(Delivery::Reset(late, Side::Client)), reset, "{heal:?}: {seen:?}");
        assert_eq!(has(Delivery::Opened(late)), connects, "{heal:?}: {seen:?}");
        // Nothing was sent in the other direction during the cut: it works, unless a machine has lost its
        // state.
        net.send(61_000_000, conn, Side::Server, b"answer");
        let seen = until(&mut net, 62_000_000);
        assert_eq!(bytes(&seen, Side::Client).is_empty(), reset, "{heal:?}: {seen:?}");
    }
}

#[test]
fn a_cut_of_one_direction_leaves_the_other_intact() {
    let mut net = network(Split::Whole, |_| {});
    let conn = open(&mut net);
    net.begin(HostSet::Host(SERVER), HostSet::Host(CLIENT), false, Fault::Cut(Heal::Stay));
    net.send(10_000, conn, Side::Client, b"ask");
    net.send(10_000, conn, Side::Server, b"answer");
    let seen = until(&mut net, 1_000_000);
    assert_eq!((bytes(&seen, Side::Server), bytes(&seen, Side::Client)), (b"ask".to_vec(), Vec::new()));
}

#[test]
fn connects_fail_as_the_fault_says() {
    for (fault, wanted) in [
        (Fault::Refuse, Some(Delivery::Refused(Conn(0)))),
        (Fault::ResetNew, Some(Delivery::Reset(Conn(0), Side::Client))),
        (Fault::NeverOpens, None),
        (Fault::LoseNew(1.0), None),
    ] {
        let mut net = network(Split::Whole, |_| {});
        net.begin(HostSet::Any, HostSet::Host(SERVER), false, fault);
        net.connect(0, CLIENT, SERVER);
        let seen = until(&mut net, 100_000_000);
        assert_eq!(
            seen.into_iter().map(|seen| seen.1).collect::<Vec<_>>(),
            Vec::from_iter(wanted.clone()),
            "{fault:?}"
        );
        assert_eq!(net.connections(), usize::from(wanted.is_none()), "{fault:?}");
    }
}

#[test]
fn kills_and_closes_reset_as_sockets_do() {
    let mut net = network(Split::Whole, |_| {});
    let killed = open(&mut net);
    net.kill(10_000, SERVER);
    let seen = until(&mut net, 20_000);
    assert!(
        matches!(seen.as_slice(), [(_, Delivery::Reset(conn, Side::Client))] if *conn == killed),
        "{seen:?}"
    );
    // Closed with unread bytes; closed before the bytes arrive; closed without any.
    for (send, wait, reset) in [(true, 5000, true), (true, 0, true), (false, 0, false)] {
        let mut net = network(Split::Whole, |_| {});
        let conn = open(&mut net);
        net.pause(conn, Side::Server, true);
        if send {
            net.send(10_000, conn, Side::Client, b"ask");
        }
        net.close(10_000 + wait, conn, Side::Server);
        let seen: Vec<Delivery> = until(&mut net, 50_000).into_iter().map(|seen| seen.1).collect();
        assert_eq!(seen.contains(&Delivery::Reset(conn, Side::Client)), reset, "{send} {wait}: {seen:?}");
        assert_eq!(
            seen.contains(&Delivery::End(conn, Side::Client)),
            !reset || wait == 0,
            "{send} {wait}: {seen:?}"
        );
    }
    let mut net = network(Split::Whole, |_| {});
    let conn = open(&mut net);
    net.reset_between(10_000, HostSet::Any, HostSet::Any);
    let seen = until(&mut net, 20_000);
    assert!(seen.len() == 2 && net.connections() == 0, "each side of {conn:?} gets a reset: {seen:?}");
}

#[test]
fn a_paused_reader_fills_the_buffers() {
    let mut net = network(Split::Whole, |plan| plan.buffer = 100);
    let conn = open(&mut net);
    net.pause(conn, Side::Server, true);
    assert_eq!(net.send(10_000, conn, Side::Client, &[1; 250]), 100);
    assert_eq!(net.send(20_000, conn, Side::Client, &[1; 150]), 0);
    assert_eq!(until(&mut net, 50_000), []);
    net.pause(conn, Side::Server, false);
    let seen: Vec<Delivery> = until(&mut net, 60_000).into_iter().map(|seen| seen.1).collect();
    let data = Delivery::Data(conn, Side::Server, Bytes::from_static(&[1; 100]));
    assert_eq!(seen, [data, Delivery::Writable(conn, Side::Client)]);
}

#[test]
fn bandwidth_is_shared_by_a_hosts_connections() {
    let mut net = network(Split::Whole, |plan| plan.bandwidth = Some(1_000_000));
    let conns = [net.connect(0, CLIENT, SERVER), net.connect(0, CLIENT, SERVER)];
    until(&mut net, 10_000);
    assert_eq!(conns.map(|conn| net.send(10_000, conn, Side::Client, &[0; 100_000])), [100_000; 2]);
    let seen = until(&mut net, 10_000_000);
    let last = seen.last().map(|seen| seen.0).unwrap_or(0);
    assert!((211_000..=211_800).contains(&last), "200,000 bytes at a million a second: {last}");
}
