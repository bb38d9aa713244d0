use super::*;

const S: Micros = 1_000_000;

/// What the node does, and how long after the connection is established.
type NodeAction = (Micros, fn(ConnId) -> BadEvent);

/// Runs one client of a kind, which starts at time 0. Each connection is established after 1 ms, and the node
/// then does the given actions on it. Returns the number of connections, the verdicts, and the number of
/// connections that the client closed.
fn run(kind: BadKind, node: &[NodeAction]) -> (usize, Vec<Verdict>, usize) {
    let plan = BadPlan { kind, zone: 0, rate: Profile::burst(0, 1000, 1e9), again: 3 };
    let mut bad = BadClients::new(vec![plan], "read", 2, 1, 1).unwrap();
    // Several clients start in the first microsecond; all but the first are removed.
    let first = bad.upcoming;
    bad.arrivals.by_ref().for_each(drop);
    bad.upcoming = first.map(|first| crate::arrivals::Arrival { at: 0, ..first });
    bad.handle(0, BadEvent::OpenRequest(RequestId(7)));
    bad.begin(0);
    let (mut opened, mut closed, mut verdicts) = (0, 0, Vec::new());
    let mut events: BTreeMap<(Micros, u64), BadEvent> = BTreeMap::new();
    let mut now = 0;
    while now < 20 * S {
        while let Some(order) = bad.poll(now) {
            match order {
                BadOrder::Open { conn, .. } => {
                    opened += 1;
                    events.insert((now + 1000, conn.0), BadEvent::Opened(conn));
                    for (n, (wait, event)) in (1..).zip(node) {
                        events.insert((now + 1000 + wait, conn.0 + (n << 40)), event(conn));
                    }
                }
                BadOrder::Write(conn, _) => {
                    events.insert((now + 10, conn.0), BadEvent::Written(conn));
                }
                BadOrder::Close(_) => closed += 1,
                BadOrder::Verdict(verdict) => verdicts.push(verdict),
            }
        }
        let event = events.first_key_value().map(|event| event.0.0);
        let Some(next) = event.into_iter().chain(bad.next()).min() else { break };
        now = next.max(now);
        while let Some(entry) = events.first_entry().filter(|entry| entry.key().0 <= now) {
            bad.handle(now, entry.remove());
        }
    }
    assert_eq!(bad.connections(), 0);
    (opened, verdicts, closed)
}

#[test]
fn verdict_per_kind_and_node_action() {
    let (error, close, serve) = (BadEvent::Error, BadEvent::Closed, BadEvent::Served);
    type Case = (BadKind, Vec<NodeAction>, Option<Micros>, bool, bool);
    let cases: [Case; 9] = [
        // The kind, what the node does; `rejected_at`, `not_rejected` and `served` of the verdict.
        (BadKind::Noise, vec![(10, error)], Some(1010), false, false),
        (BadKind::Noise, vec![(20, close)], Some(1020), false, false),
        (BadKind::Noise, vec![], None, true, false),
        (BadKind::Noise, vec![(3 * S + 1, error)], None, true, false),
        (BadKind::HugeValue, vec![(5 * S, error)], Some(5 * S + 1000), false, false),
        (BadKind::NoClass, vec![(10, serve), (20, close)], Some(1020), false, true),
        (BadKind::ForeignId, vec![(10, serve)], None, true, true),
        (BadKind::Burst, vec![(10, serve)], None, false, false),
        (BadKind::Half, vec![], None, false, false),
    ];
    for (kind, node, rejected_at, not_rejected, served) in cases {
        let (opened, verdicts, _) = run(kind, &node);
        assert_eq!((opened, verdicts.len()), (1, 1), "{kind:?}");
        let verdict = verdicts[0];
        assert_eq!(
            (verdict.rejected_at, verdict.not_rejected, verdict.served),
            (rejected_at, not_rejected, served),
            "{kind:?}"
        );
        assert_eq!(verdict.foreign_id.is_some(), kind == BadKind::ForeignId);
    }
}

#[test]
fn again_reconnects_and_silent_opens_hundreds_of_connections() {
    let (opened, verdicts, _) = run(BadKind::Again, &[(10, BadEvent::Error)]);
    assert_eq!((opened, verdicts.len()), (4, 4), "the first connection and three reconnects");
    let (opened, verdicts, closed) = run(BadKind::Silent, &[(2 * S, BadEvent::Closed)]);
    assert!((100..=300).contains(&opened) && verdicts.len() == opened && closed == 0);
    assert!(
        verdicts.iter().all(|verdict| verdict.rejected_at == Some(2 * S + 1000) && !verdict.not_rejected)
    );
}
