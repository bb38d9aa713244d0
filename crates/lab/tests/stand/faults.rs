//! What goes wrong, as a node sees it.

use super::harness::*;
use lapisrudder_lab::Micros;
use lapisrudder_lab::ledger::{Answer, Closer, RefusedWhy, ServerEvent, ServerState};
use lapisrudder_lab::stand::{CloseKind, Comeback, End, Fault, Heal, LinkFault, NodeSpec, Noise};
use lapisrudder_model::server::{Dist, OverloadOutage, OverloadThreshold};
use lapisrudder_model::value::{Key, Maker, Uid};

fn miss(id: u64) -> String {
    format!("EN O{} h0\r\n", key(id))
}

#[test]
fn a_killed_process_resets_and_refuses_and_comes_back_empty() {
    let world = start(spec(100.0));
    let (s0, control) = (no(&world, "s0"), world.control());
    let at = world.addresses().server(0, s0).unwrap();
    control.fill(s0, vec![Key(1)]).unwrap();
    let mut client = Client::to(at);
    client.send(&read(1, 1));
    assert_eq!(client.value(1).maker, Maker::Cache(Uid::of(b"s0")));
    control.kill(s0).unwrap();
    assert_eq!((client.answer(), connect(at)), ("reset".into(), "refused"));
    assert_eq!(control.restart(s0, Comeback::default()), Ok(s0));
    assert_eq!(Client::to(at).ask(2, 1), miss(2), "empty, at the old address");
    let back = Comeback { uid: Some("s7".into()), moved: true };
    let s7 = control.restart(s0, back).unwrap();
    let moved = world.addresses_now().unwrap().server(0, s7).unwrap();
    assert_ne!((s7, moved), (s0, at));
    assert_eq!(connect(at), "refused");
    control.fill(s7, vec![Key(1)]).unwrap();
    let mut client = Client::to(moved);
    client.send(&read(3, 1));
    assert_eq!(client.value(1).maker, Maker::Cache(Uid::of(b"s7")));
    let finished = finish(world);
    assert_eq!(finished.names.servers[s7.index()].name, "s7");
    let states: Vec<(u16, ServerState)> = finished
        .sink
        .servers
        .records()
        .iter()
        .filter_map(|r| match r.event {
            ServerEvent::State { server, state } if server == s0 || server == s7 => Some((server.0, state)),
            _ => None,
        })
        .collect();
    use ServerState::{Cold, Gone, Warm};
    // The model's usual server has no warm-up: it is found warm at the next look, if one comes.
    let changes: Vec<(u16, ServerState)> = states.into_iter().filter(|(_, state)| *state != Warm).collect();
    assert_eq!(changes, [(s0.0, Gone), (s0.0, Cold), (s0.0, Gone), (s7.0, Cold)]);
}

#[test]
fn a_vanished_machine_is_silent_and_resets_what_comes_once_it_is_back() {
    let world = start(spec(100.0));
    let (s0, control) = (no(&world, "s0"), world.control());
    let at = world.addresses().server(0, s0).unwrap();
    let (mut idle, mut asked) = (Client::to(at), Client::to(at));
    assert_eq!((idle.ask(1, 1), asked.ask(2, 2)), (miss(1), miss(2)));
    control.vanish(s0).unwrap();
    asked.send(&read(3, 3));
    assert_eq!((asked.now().as_str(), idle.now().as_str(), connect(at)), ("silence", "silence", "hangs"));
    control.restart(s0, Comeback::default()).unwrap();
    assert_eq!((asked.answer().as_str(), idle.now().as_str()), ("reset", "silence"));
    idle.send(&read(4, 4));
    assert_eq!(idle.answer(), "reset", "it was forgotten");
    assert_eq!(Client::to(at).ask(5, 5), miss(5));
    let books = finish(world).sink;
    assert_eq!(about(&books, 3), [], "nothing of it was heard");
}

#[test]
fn a_silent_cut_of_one_node_begins_nothing_and_ends_as_it_says() {
    for heal in [Heal::Resume, Heal::Stay, Heal::Reset] {
        let mut spec = spec(100.0);
        spec.nodes.push(NodeSpec { name: "n1".into(), zone: 0 });
        let world = start(spec);
        let (s0, control) = (no(&world, "s0"), world.control());
        let at = |node| world.addresses().server(node, s0).unwrap();
        let (mut cut, mut other) = (Client::to(at(0)), Client::to(at(1)));
        assert_eq!(cut.ask(1, 1), miss(1));
        let fault = control.cut(End::Node(0), End::Server(s0), true, LinkFault::Cut(heal)).unwrap();
        cut.send(&read(2, 2));
        assert_eq!((cut.now().as_str(), connect(at(0))), ("silence", "hangs"));
        assert_eq!((other.ask(3, 3), connect(at(1))), (miss(3), "up"));
        let begun = world.look(|books| about(books, 2).len()).unwrap();
        assert_eq!(begun, 0, "nothing is begun");
        control.mend(fault).unwrap();
        match heal {
            Heal::Resume => assert_eq!(cut.answer(), miss(2)),
            Heal::Stay => assert_eq!(cut.now(), "silence"),
            Heal::Reset => assert_eq!(cut.answer(), "reset"),
        }
        assert_eq!(Client::to(at(0)).ask(4, 4), miss(4), "{heal:?}");
    }
}

#[test]
fn faults_of_new_connections_leave_open_ones_alone() {
    let world = start(spec(100.0));
    let (s0, control) = (no(&world, "s0"), world.control());
    let at = world.addresses().server(0, s0).unwrap();
    let mut open = Client::to(at);
    for (fault, seen) in
        [(LinkFault::Refuse, "refused"), (LinkFault::NeverOpens, "hangs"), (LinkFault::LoseNew(1.0), "hangs")]
    {
        let id = control.cut(End::Any, End::Server(s0), false, fault).unwrap();
        assert_eq!(connect(at), seen);
        assert_eq!(open.ask(1, 1).get(..2), Some("EN"));
        control.mend(id).unwrap();
        assert_eq!(connect(at), "up");
    }
    let id = control.cut(End::Any, End::Server(s0), false, LinkFault::ResetNew).unwrap();
    assert!(reset_at_once(at));
    control.mend(id).unwrap();
    control.fault(s0, Fault::FullTable(true)).unwrap();
    assert!(reset_at_once(at), "the table is full");
    control.fault(s0, Fault::FullTable(false)).unwrap();
    control.refuse(s0, true).unwrap();
    assert_eq!(connect(at), "refused");
    control.refuse(s0, false).unwrap();
    assert_eq!(Client::to(at).ask(2, 2), miss(2));
    assert!(control.reset_all(s0).is_ok_and(|n| n >= 1));
    assert_eq!(open.answer(), "reset");
    let books = finish(world).sink;
    let full = |e: &ServerEvent| matches!(e, ServerEvent::Refused { why: RefusedWhy::Full, .. });
    assert_eq!(count(&books, full), 1);
    assert!(count(&books, |e| matches!(e, ServerEvent::Closed { by: Closer::Reset, .. })) >= 1);
}

#[test]
fn idle_connections_close_with_and_without_telling() {
    let world = start(spec(100.0));
    let (s0, control) = (no(&world, "s0"), world.control());
    for (kind, at_once, later) in [
        (CloseKind::Fin, "end", "end"),
        (CloseKind::Rst, "reset", "end"),
        (CloseKind::Silent, "silence", "reset"),
    ] {
        let mut client = Client::of(&world, "s0");
        assert_eq!(client.ask(1, 1).get(..2), Some("EN"));
        assert_eq!(control.close_idle(s0, kind), Ok(1), "{kind:?}");
        assert_eq!(client.now(), at_once, "{kind:?}");
        if kind == CloseKind::Silent {
            client.send(&read(2, 2));
        }
        assert_eq!(client.answer(), later, "{kind:?}");
    }
    let mut busy = Client::of(&world, "s0");
    control.pause(s0, 60_000_000).unwrap();
    busy.send(&read(3, 3));
    until(|| world.look(|books| (!about(books, 3).is_empty()).then_some(())).flatten());
    assert_eq!(control.close_idle(s0, CloseKind::Fin), Ok(0), "a request is open on it");
    control.pause(s0, 0).unwrap();
    assert_eq!(busy.answer(), miss(3));
}

#[test]
fn troubles_of_a_server_show_on_the_wire_and_in_the_ledger() {
    let world = start(spec(100.0));
    let (s0, origin, control) = (no(&world, "s0"), no(&world, "origin"), world.control());
    control.fill(s0, vec![Key(1)]).unwrap();
    let mut client = Client::of(&world, "s0");
    control.fault(s0, Fault::Fail(1.0)).unwrap();
    assert_eq!(client.ask(1, 1), "SERVER_ERROR failed\r\n");
    control.fault(s0, Fault::Fail(0.0)).unwrap();
    control.outage(s0, true).unwrap();
    assert_eq!(client.ask(2, 1), "SERVER_ERROR busy\r\n");
    control.outage(s0, false).unwrap();
    control.outage(origin, true).unwrap();
    assert_eq!(Client::of(&world, "origin").get("/1"), (503, String::new()));
    let only = |noise| Fault::Spoil { share: 1.0, kinds: [noise].into_iter().collect() };
    control.fault(s0, only(Noise::OtherId)).unwrap();
    let other = client.ask(3, 1);
    assert!(other.starts_with("VA ") && !other.contains(&key(3)), "{other:?}");
    control.fault(s0, only(Noise::Huge)).unwrap();
    let mut client = Client::of(&world, "s0");
    client.send(&read(4, 1));
    // It keeps coming: more than the sockets hold.
    client.skip(8 << 20);
    drop(client);
    control.fault(s0, only(Noise::Cut)).unwrap();
    let mut client = Client::of(&world, "s0");
    let cut = client.ask(5, 1);
    assert!(["cut", "end"].contains(&cut.as_str()) || client.answer() == "end", "{cut:?}");
    control.fault(s0, Fault::Swallow(1.0)).unwrap();
    control.fault(s0, Fault::Spoil { share: 0.0, kinds: Default::default() }).unwrap();
    let mut client = Client::of(&world, "s0");
    client.send(&read(6, 1));
    until(|| world.look(|books| (about(books, 6).len() == 3).then_some(())).flatten());
    assert_eq!(client.now(), "silence");
    let books = finish(world).sink;
    let answers: Vec<(u64, Answer, bool)> = books
        .servers
        .records()
        .iter()
        .filter_map(|r| match r.event {
            ServerEvent::Answered { req, answer, spoilt, .. } => Some((req.0, answer, spoilt)),
            _ => None,
        })
        .collect();
    use Answer::{Busy, Failed, Value};
    assert_eq!(
        answers,
        [
            (1, Failed, false),
            (2, Busy, false),
            (9, Busy, false),
            (3, Value, true),
            (4, Value, true),
            (5, Value, true)
        ]
    );
}

#[test]
fn short_writes_and_slow_reading_change_no_byte() {
    let world = start(spec(100.0));
    let (s0, control) = (no(&world, "s0"), world.control());
    control.fill(s0, vec![Key(1)]).unwrap();
    let mut client = Client::of(&world, "s0");
    control.limp(s0, Some(7), None).unwrap();
    client.send(&read(1, 1));
    assert!(client.value(1).size > 100);
    control.limp(s0, None, Some(1000)).unwrap();
    let begun = std::time::Instant::now();
    client.send(&read(2, 1));
    client.value(1);
    let bytes = read(2, 1).len() as u128;
    assert!(begun.elapsed().as_millis() + 20 >= bytes, "1 ms a byte");
    let books = finish(world).sink;
    let answered =
        |e: &ServerEvent| matches!(e, ServerEvent::Answered { answer: Answer::Value, spoilt: false, .. });
    assert_eq!(count(&books, answered), 2);
}

#[test]
fn a_cold_server_that_is_sent_too_much_falls() {
    let mut spec = spec(50_000.0);
    let config = &mut spec.servers[0].config;
    config.warm_up.start = 0.1;
    config.warm_up.tip = Some(OverloadThreshold { multiple: 1.0, window_us: 1_000_000 });
    spec.servers[0].warm = false;
    let world = start(spec);
    let s0 = no(&world, "s0");
    let mut client = Client::of(&world, "s0");
    client.send(&(1..100).map(|id| read(id, id)).collect::<String>());
    let mut last = String::new();
    until(|| {
        last = client.answer();
        ["reset", "end"].contains(&last.as_str()).then_some(())
    });
    assert_eq!(connect(world.addresses().server(0, s0).unwrap()), "refused");
    let books = finish(world).sink;
    let states: Vec<ServerState> = books
        .servers
        .records()
        .iter()
        .filter_map(|r| match r.event {
            ServerEvent::State { server, state } if server == s0 => Some(state),
            _ => None,
        })
        .collect();
    assert_eq!(states, [ServerState::Cold, ServerState::Fallen, ServerState::Gone]);
    let work: f64 = books
        .servers
        .records()
        .iter()
        .map(|r| match r.event {
            ServerEvent::LastByte { work_us, .. } => f64::from(work_us),
            _ => 0.0,
        })
        .sum();
    assert!(work >= 0.1 * 8e6, "what was sent is over what it could do in a second: {work}");
}

#[test]
fn an_overdriven_origin_stands_still_and_goes_on() {
    let mut spec = spec(100.0);
    let config = &mut spec.origin.as_mut().unwrap().config;
    config.machine = machine(30_000.0);
    config.machine.cores = 1;
    let tip = OverloadThreshold { multiple: 0.1, window_us: 1_000_000 };
    config.overdriven = Some(OverloadOutage { tip, down: Dist::Fixed(50_000.0), resets: false, most: 1 });
    let world = start(spec);
    let origin = no(&world, "origin");
    let mut client = Client::of(&world, "origin");
    let get = |id| format!("GET /{} HTTP/1.1\r\nReq-Id: {}\r\nReq-Extra: c=read\r\n\r\n", key(id), key(id));
    client.send(&(1..6).map(get).collect::<String>());
    (1..6).for_each(|_| assert_eq!(client.response().0, 200));
    let books = finish(world).sink;
    let of = books.servers.records().iter().filter_map(|r| match r.event {
        ServerEvent::State { server, state } if server == origin => Some((r.at, state)),
        _ => None,
    });
    let states: Vec<(Micros, ServerState)> = of.collect();
    let names: Vec<ServerState> = states.iter().map(|(_, state)| *state).collect();
    assert_eq!(names, [ServerState::Warm, ServerState::Fallen, ServerState::Resumed]);
    assert!(states[2].0 - states[1].0 >= 50_000, "{states:?}");
}
