//! Requests and answers, and what the ledger has of them.

use super::harness::*;
use lapisrudder_lab::ledger::{Answer, CancelledIn, Closer, ConnNo, ReqId, ServerEvent, ServerState, digest};
use lapisrudder_lab::stand::NodeSpec;
use lapisrudder_model::mix::Spread;
use lapisrudder_model::network::Delay;
use lapisrudder_model::server::{Abandoned, Dist};
use lapisrudder_model::value::{Key, Maker, Receipt, RequestId, Uid};

#[test]
fn a_miss_is_stored_when_the_origin_has_answered_and_a_write_makes_it_void() {
    let world = start(spec(100.0));
    let (mut s0, mut s1, mut origin) =
        (Client::of(&world, "s0"), Client::of(&world, "s1"), Client::of(&world, "origin"));
    assert_eq!(s0.ask(1, 7), format!("EN O{} h0\r\n", key(1)));
    assert_eq!(s0.ask(2, 7), format!("EN O{} h0 Z\r\n", key(2)), "another fetch is out");
    let get = |origin: &mut Client, id: u64| {
        origin.send(&format!("GET /{} HTTP/1.1\r\nReq-Id: {}\r\nReq-Extra: c=read\r\n\r\n", key(7), key(id)));
        origin.response()
    };
    assert_eq!(get(&mut origin, 1).0, 200);
    s0.send(&read(3, 7));
    let hit = s0.value(7);
    assert_eq!((hit.maker, hit.version, hit.request), (Maker::Cache(Uid::of(b"s0")), 0, Some(RequestId(3))));
    assert_eq!(s1.ask(4, 7), format!("EN O{} h0\r\n", key(4)), "the other server missed for nobody");
    let put = format!(
        "PUT /{} HTTP/1.1\r\nReq-Id: {}\r\nReq-Extra: c=put,k=ee\r\nContent-Length: 5\r\n\r\nhello",
        key(7),
        key(5)
    );
    let mut receipts = Vec::new();
    for _ in 0..2 {
        origin.send(&put);
        let (status, receipt) = origin.response();
        let receipt = Receipt::check(receipt.as_bytes(), Key(7)).unwrap();
        receipts.push((status, receipt.version, receipt.maker));
    }
    assert_eq!(receipts, [(200, 1, Maker::Origin(Uid::of(b"origin"))); 2], "a repeat is given the same");
    assert_eq!(s0.ask(6, 7), format!("EN O{} h0\r\n", key(6)), "the copy is void");
    assert_eq!(get(&mut origin, 4).0, 200);
    s1.send(&read(7, 7));
    assert_eq!(s1.value(7).version, 1);
    // A write at a cache server is a miss: it belongs to the origin.
    s0.send(&format!("ms {} 2 O{} Pc=put,d=9000\r\nhi\r\n", key(7), key(8)));
    assert_eq!(s0.answer(), format!("EN O{}\r\n", key(8)));
    let books = finish(world).sink;
    let effects: Vec<bool> = books
        .servers
        .records()
        .iter()
        .filter_map(|r| match r.event {
            ServerEvent::Effect { repeat, req, .. } => Some((repeat, req)).map(|(repeat, req)| {
                assert_eq!(req, ReqId(5));
                repeat
            }),
            _ => None,
        })
        .collect();
    assert_eq!(effects, [false, true]);
    let stored = |id| about(&books, id).iter().any(|(_, e)| matches!(e, ServerEvent::Stored { .. }));
    assert_eq!([1, 2, 4].map(stored), [true, false, true]);
}

#[test]
fn the_ledger_has_what_was_read_done_and_written() {
    let mut spec = spec(20_000.0);
    spec.servers[0].config.machine.connections.handshake_work_us = 300.0;
    let world = start(spec);
    world.control().fill(no(&world, "s0"), vec![Key(7)]).unwrap();
    let mut client = Client::of(&world, "s0");
    let whole = read(1, 7);
    let (first, rest) = whole.split_at(10);
    client.send(first);
    // The first byte is read well before the last one.
    std::thread::sleep(std::time::Duration::from_millis(100));
    client.send(rest);
    let bytes = client.bytes();
    let value = &bytes[bytes.iter().position(|b| *b == b'\n').unwrap() + 1..bytes.len() - 2];
    drop(client);
    let server = no(&world, "s0");
    until(|| {
        world.look(|books| count(books, |e| matches!(e, ServerEvent::Closed { .. }))).filter(|n| *n == 1)
    });
    let books = finish(world).sink;
    let (conn, req) = (ConnNo(1), ReqId(1));
    let seen = about(&books, 1);
    let events: Vec<ServerEvent> = seen.iter().map(|(_, event)| *event).collect();
    assert_eq!(
        events,
        [
            ServerEvent::FirstByte { server, conn, req },
            ServerEvent::LastByte { server, conn, req, work_us: 20_300 },
            ServerEvent::Begun { server, req },
            ServerEvent::Answered {
                server,
                conn,
                req,
                answer: Answer::Value,
                spoilt: false,
                digest: digest(value)
            },
        ]
    );
    let at: Vec<i64> = seen.iter().map(|(at, _)| *at).collect();
    assert!(at[1] - at[0] >= 20_000 && at[3] - at[2] >= 20_000, "{at:?}");
    let closed = ServerEvent::Closed { server, conn, by: Closer::Them };
    assert_eq!(books.servers.records().iter().filter(|r| r.event == closed).count(), 1);
    assert!(count(&books, |e| matches!(e, ServerEvent::State { state: ServerState::Warm, .. })) == 3);
    assert!(!books.lab.records().is_empty(), "the loop's own lag is written down");
}

#[test]
fn pipelined_answers_come_in_the_order_of_requests() {
    let mut spec = spec(2000.0);
    spec.servers[0].config.machine.slots = 4;
    let world = start(spec);
    world.control().fill(no(&world, "s0"), (0..40).map(Key).collect()).unwrap();
    let mut client = Client::of(&world, "s0");
    let mut text: String = (0..20).map(|n| read(n + 1, n)).collect();
    text.push_str("get what\r\nmn\r\n");
    text.extend((20..40).map(|n| read(n + 1, n)));
    client.send(&text);
    (0..20).for_each(|n| assert_eq!(client.value(n).request, Some(RequestId(n + 1))));
    assert_eq!(client.answer(), "CLIENT_ERROR unknown command\r\n");
    assert_eq!(client.answer(), "MN\r\n");
    (20..40).for_each(|n| assert_eq!(client.value(n).request, Some(RequestId(n + 1))));
}

#[test]
fn who_leaves_is_written_down_with_how_far_its_requests_were() {
    for (abandoned, expected) in [
        (Abandoned::GoesOn, [CancelledIn::GoesOn, CancelledIn::GoesOn]),
        (Abandoned::DropWaiting, [CancelledIn::GoesOn, CancelledIn::Queue]),
        (Abandoned::Drop, [CancelledIn::Work, CancelledIn::Queue]),
    ] {
        let mut spec = spec(60e6);
        let machine = &mut spec.servers[0].config.machine;
        (machine.slots, machine.abandoned) = (1, abandoned);
        let world = start(spec);
        let mut client = Client::of(&world, "s0");
        client.send(&(read(1, 1) + &read(2, 2)));
        until(|| world.look(|books| (about(books, 2).len() == 2).then_some(())).flatten());
        drop(client);
        let cancelled = |books: &mut lapisrudder_lab::stand::Books| {
            let all = books.servers.records().iter();
            let found = all.filter_map(|r| match r.event {
                ServerEvent::Cancelled { how, .. } => Some(how),
                _ => None,
            });
            Some(found.collect::<Vec<_>>()).filter(|found| found.len() == 2)
        };
        assert_eq!(until(|| world.look(cancelled).flatten()), expected, "{abandoned:?}");
    }
}

#[test]
fn zones_hold_requests_and_answers_back_and_nodes_have_addresses_of_their_own() {
    let mut spec = spec(0.0);
    spec.zones = vec!["a".into(), "b".into()];
    spec.nodes = (0..2).map(|n| NodeSpec { name: format!("n{n}"), zone: n }).collect();
    spec.far = Delay { base: 30_000, jitter: Spread::Fixed(0) };
    let world = start(spec);
    let server = no(&world, "s0");
    let at = |node| world.addresses().server(node, server).unwrap();
    assert_ne!(at(0), at(1));
    assert_ne!(at(0).ip(), world.addresses().server(0, no(&world, "s1")).unwrap().ip());
    let time = |client: &mut Client, id| {
        let begun = std::time::Instant::now();
        assert_eq!(
            client.ask(id, 1),
            format!("EN O{}{}\r\n", key(id), if id == 1 { " h0" } else { " h0 Z" })
        );
        begun.elapsed().as_millis()
    };
    let (mut near, mut far) = (Client::to(at(0)), Client::to(at(1)));
    let (near, far) = (time(&mut near, 1), time(&mut far, 2));
    assert!(far >= 60 && near < far, "{near} and {far} ms");
    let books = finish(world).sink;
    let nodes: Vec<u16> = books
        .servers
        .records()
        .iter()
        .filter_map(|r| match r.event {
            ServerEvent::Opened { node, .. } => Some(node.0),
            _ => None,
        })
        .collect();
    assert_eq!(nodes, [0, 1]);
    let seen = about(&books, 2);
    assert!(seen[1].0 - seen[0].0 >= 30_000, "the last byte arrives later than it was sent: {seen:?}");
}

#[test]
fn a_value_that_a_write_has_overtaken_is_not_stored() {
    let mut spec = spec(0.0);
    spec.origin.as_mut().unwrap().config.machine.classes[0].work = Dist::Fixed(200_000.0);
    let world = start(spec);
    let (mut s0, mut reader, mut writer) =
        (Client::of(&world, "s0"), Client::of(&world, "origin"), Client::of(&world, "origin"));
    assert_eq!(s0.ask(1, 7), format!("EN O{} h0\r\n", key(1)));
    reader.send(&format!("GET /{} HTTP/1.1\r\nReq-Id: {}\r\nReq-Extra: c=read\r\n\r\n", key(7), key(1)));
    until(|| {
        world.look(|books| (about(books, 1).iter().any(|(_, e)| matches!(e, ServerEvent::Begun { server, .. } if *server == no(&world, "origin")))).then_some(())).flatten()
    });
    writer.send(&format!(
        "PUT /{} HTTP/1.1\r\nReq-Id: {}\r\nReq-Extra: c=put\r\nContent-Length: 2\r\n\r\nhi",
        key(7),
        key(2)
    ));
    assert_eq!((writer.response().0, reader.response().0), (200, 200));
    assert_eq!(s0.ask(3, 7).get(..2), Some("EN"), "the old version is not kept");
    let books = finish(world).sink;
    assert_eq!(count(&books, |e| matches!(e, ServerEvent::Stored { .. })), 0);
}
