//! Hand-over between two processes of a node while one of them dies or stops responding after any single
//! message. The test plays that process itself, with the messages of `crates/takeover`, so that each case
//! happens in every run.

#[allow(dead_code)]
mod harness;

use harness::*;
use lapisrudder_lab::stand::{Books, World};
use lapisrudder_takeover::{Ban, Grant, Message, State, decode, encode};
use rustix::net::{
    RecvAncillaryBuffer, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage, SendFlags, recvmsg, sendmsg,
};
use std::io::{IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::thread;

/// What the process that the test plays does after its last message.
#[derive(Clone, Copy, Debug)]
enum Then {
    Dies,
    Hangs,
}

/// The test's end of the take-over connection.
struct TakeoverPeer {
    stream: UnixStream,
    input: Vec<u8>,
}

impl TakeoverPeer {
    fn new(stream: UnixStream) -> TakeoverPeer {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        TakeoverPeer { stream, input: Vec::new() }
    }

    /// Sends the first bytes of a message, with a descriptor attached if one is given.
    fn send_bytes(&self, frame: &[u8], attached: Option<&dyn AsFd>) {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        let attached = attached.map(|fd| [fd.as_fd()]);
        attached.iter().for_each(|fds| assert!(control.push(SendAncillaryMessage::ScmRights(fds))));
        let sent = sendmsg(&self.stream, &[IoSlice::new(frame)], &mut control, SendFlags::NOSIGNAL);
        assert_eq!(sent.expect("sent"), frame.len());
    }

    fn send(&self, message: &Message, attached: Option<&dyn AsFd>) {
        self.send_bytes(&encode(message), attached);
    }

    /// The next message; attached descriptors are closed. `None` if the other end has closed.
    fn receive(&mut self) -> Option<Message> {
        loop {
            if let Some((message, used)) = decode(&self.input).expect("a message") {
                self.input.drain(..used);
                return Some(message);
            }
            let mut buffer = vec![0; 64 << 10];
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(8))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let read = recvmsg(
                &self.stream,
                &mut [IoSliceMut::new(&mut buffer)],
                &mut control,
                RecvFlags::CMSG_CLOEXEC,
            );
            match read.expect("a message in time").bytes {
                0 => return None,
                n => self.input.extend_from_slice(&buffer[..n]),
            }
        }
    }

    fn receive_until(&mut self, wanted: impl Fn(&Message) -> bool) {
        while !wanted(&self.receive().expect("the other end has not closed")) {}
    }
}

/// Runs each step with both values of [`Then`], all at the same time.
fn run_all<S: Copy + std::fmt::Debug + Send + Sync>(steps: &[S], case: impl Fn(S, Then) + Sync) {
    thread::scope(|scope| {
        for step in steps {
            for then in [Then::Dies, Then::Hangs] {
                let case = &case;
                let name = format!("{step:?}, then it {then:?}");
                let run = move || case(*step, then);
                thread::Builder::new().name(name).spawn_scoped(scope, run).expect("a thread");
            }
        }
    });
}

/// The last step of the hand-over that the old process does.
#[derive(Clone, Copy, Debug)]
enum OldProcess {
    Accepts,
    SendsHalfItsState,
    SendsItsState,
    SendsAGrant,
    ReceivesReady,
    SendsHalfAClient,
    SendsAClient,
    SendsABan,
}

/// Fails if a successor does not serve new connections, or a connection that it was handed, after the old
/// process died or hung at some step of the hand-over.
#[test]
fn a_successor_serves_at_whichever_step_the_old_process_dies_or_hangs() {
    let world = world(spec(&["a"]), ids(10));
    let steps = [
        OldProcess::Accepts,
        OldProcess::SendsHalfItsState,
        OldProcess::SendsItsState,
        OldProcess::SendsAGrant,
        OldProcess::ReceivesReady,
        OldProcess::SendsHalfAClient,
        OldProcess::SendsAClient,
        OldProcess::SendsABan,
    ];
    run_all(&steps, |step, then| old_process_ends_at(&world, step, then));
}

fn old_process_ends_at(world: &World<Books>, step: OldProcess, then: Then) {
    let mut dead = Node::replaceable(world, 384);
    let socket = dead.takeover_socket();
    dead.child.kill().expect("killed");
    dead.child.wait().expect("its end");
    std::fs::remove_file(&socket).expect("gone");
    let takeover_listener = UnixListener::bind(&socket).expect("a listener");
    let address = dead.address;
    let old = thread::spawn(move || {
        let (stream, _) = takeover_listener.accept().expect("a new process");
        let client =
            play_old_process(&mut TakeoverPeer::new(stream.try_clone().expect("a stream")), address, step);
        (matches!(then, Then::Hangs).then_some((stream, takeover_listener)), client)
    });
    let new = Node::start_successor(&dead);
    let (_hanging, client) = old.join().expect("the old process's part");
    assert_eq!(new.client().read("1", 60_000), value_from("a", "1"));
    if let Some(mut client) = client {
        client.send("ad,d=60000\r\n");
        assert_eq!(client.answer(), value_from("a", "2"), "on the connection that was handed over");
    }
}

/// Does the old process's part up to that step. Gives the client that was handed over completely, half of
/// whose command the old process had read.
fn play_old_process(old: &mut TakeoverPeer, address: SocketAddr, step: OldProcess) -> Option<Client> {
    old.receive_until(|m| matches!(m, Message::Hello { .. }));
    if matches!(step, OldProcess::Accepts) {
        return None;
    }
    let grant = Grant { descriptors: 192, clients_kept: 0 };
    let state = Message::State(State {
        standby: false,
        drain: None,
        bans: Vec::new(),
        discovery: "127.0.0.1:9".into(),
        revision: None,
        members: Vec::new(),
        gone: Vec::new(),
        grant,
    });
    let listener = TcpListener::bind(address).expect("the node's address");
    if matches!(step, OldProcess::SendsHalfItsState) {
        let frame = encode(&state);
        old.send_bytes(&frame[..frame.len() / 2], Some(&listener));
        return None;
    }
    old.send(&state, Some(&listener));
    if matches!(step, OldProcess::SendsItsState) {
        return None;
    }
    old.send(&Message::Grant(Grant { descriptors: 256, ..grant }), None);
    if matches!(step, OldProcess::SendsAGrant) {
        return None;
    }
    old.receive_until(|m| *m == Message::Ready);
    match step {
        OldProcess::SendsABan => {
            old.send(&Message::Out(Ban { id: 1, name: "nobody".into(), since: 0 }), None)
        }
        OldProcess::SendsHalfAClient | OldProcess::SendsAClient => {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            let client = Client::connect(listener.local_addr().expect("its address")).expect("a connection");
            let (accepted, _): (TcpStream, _) = listener.accept().expect("a client");
            let frame = encode(&Message::Client { input: b"mg k2 v O2 Pc=re".to_vec() });
            let complete = matches!(step, OldProcess::SendsAClient);
            old.send_bytes(&frame[..if complete { frame.len() } else { frame.len() / 2 }], Some(&accepted));
            return complete.then_some(client);
        }
        _ => {}
    }
    None
}

/// The last step of the hand-over that the new process does.
#[derive(Clone, Copy, Debug)]
enum NewProcess {
    Connects,
    SendsHalfItsHello,
    SendsItsHello,
    ReceivesTheState,
    SendsReady,
    ReceivesAClient,
}

/// Fails if the old process stops serving the clients that it has after its successor died at some step, or
/// hung before it was ready and was killed later; or if the next successor then cannot take over.
#[test]
fn an_old_process_serves_on_at_whichever_step_its_successor_dies_or_hangs() {
    let world = world(spec(&["a"]), ids(10));
    let steps = [
        NewProcess::Connects,
        NewProcess::SendsHalfItsHello,
        NewProcess::SendsItsHello,
        NewProcess::ReceivesTheState,
        NewProcess::SendsReady,
        NewProcess::ReceivesAClient,
    ];
    run_all(&steps, |step, then| new_process_ends_at(&world, step, then, true));
}

/// Fails if a hung successor that is never killed keeps clients from being served: it holds a copy of the old
/// process's listener, and a connection that the kernel assigns to it is never accepted.
#[test]
#[ignore = "expected to fail (docs/design/rare-moments.md, R21)"]
fn the_next_successor_serves_while_a_hung_one_holds_the_listener() {
    let world = world(spec(&["a"]), ids(10));
    run_all(&[NewProcess::SendsItsHello], |step, then| new_process_ends_at(&world, step, then, false));
}

fn new_process_ends_at(world: &World<Books>, step: NewProcess, then: Then, killed: bool) {
    let is_ready = matches!(step, NewProcess::SendsReady | NewProcess::ReceivesAClient);
    if is_ready && matches!(then, Then::Hangs) {
        // A successor that hangs after it was ready is a hung node: the old process cannot help any more.
        return;
    }
    let mut old = Node::replaceable(world, 384);
    let mut idle = old.client();
    assert_eq!(idle.read("1", 60_000), value_from("a", "1"));
    let mut new = TakeoverPeer::new(UnixStream::connect(old.takeover_socket()).expect("the old process"));
    let hello = encode(&Message::Hello { name: "n".into() });
    match step {
        NewProcess::Connects => {}
        NewProcess::SendsHalfItsHello => new.send_bytes(&hello[..hello.len() / 2], None),
        _ => new.send_bytes(&hello, None),
    }
    if is_ready || matches!(step, NewProcess::ReceivesTheState) {
        new.receive_until(|m| matches!(m, Message::State(_)));
    }
    if is_ready {
        new.send(&Message::Ready, None);
        wait_until(|| old.call("status\n") == "fail replaced by another process\n");
    }
    if matches!(step, NewProcess::ReceivesAClient) {
        new.receive_until(|m| matches!(m, Message::Client { .. }));
    }
    let mut hanging = matches!(then, Then::Hangs).then_some(new);
    wait_until(|| old.call("status\n") == "ok ready\n");
    assert_eq!(
        old.client().read("2", 60_000),
        value_from("a", "2"),
        "the old process accepts new connections"
    );
    if !is_ready {
        // The client was not handed over.
        assert_eq!(idle.read("3", 60_000), value_from("a", "3"));
    }
    let third = old.replace();
    assert!(old.child.wait().expect("its end").success());
    hanging.take_if(|_| killed);
    // The kernel assigns each connection at random to one of the open listeners.
    (4..10).for_each(|id| {
        assert_eq!(third.client().read(&id.to_string(), 60_000), value_from("a", &id.to_string()))
    });
}
