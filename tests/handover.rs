//! One process takes the place of another, and the other side dies or falls silent at each single message of it. The other side
//! is the test's own, and speaks as `crates/takeover` has it: so each crossing comes each time.

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

/// What the other side does once it has said its last.
#[derive(Clone, Copy, Debug)]
enum Then {
    Dies,
    FallsSilent,
}

/// One end of the talk, as the test plays it. A socket that is not to die stays in here.
struct Side {
    stream: UnixStream,
    input: Vec<u8>,
}

impl Side {
    fn new(stream: UnixStream) -> Side {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        Side { stream, input: Vec::new() }
    }

    /// Says the first bytes of a message, with a socket along if there is one.
    fn say_part(&self, frame: &[u8], along: Option<&dyn AsFd>) {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        let along = along.map(|fd| [fd.as_fd()]);
        along.iter().for_each(|fds| assert!(control.push(SendAncillaryMessage::ScmRights(fds))));
        let sent = sendmsg(&self.stream, &[IoSlice::new(frame)], &mut control, SendFlags::NOSIGNAL);
        assert_eq!(sent.expect("sent"), frame.len());
    }

    fn say(&self, message: &Message, along: Option<&dyn AsFd>) {
        self.say_part(&encode(message), along);
    }

    /// The next message; sockets that come along close. `None` if the other end is gone.
    fn hear(&mut self) -> Option<Message> {
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

    fn hear_until(&mut self, wanted: impl Fn(&Message) -> bool) {
        while !wanted(&self.hear().expect("the other end lives")) {}
    }
}

/// Plays it with both ends of the other side, all at once.
fn each<S: Copy + std::fmt::Debug + Send + Sync>(steps: &[S], play: impl Fn(S, Then) + Sync) {
    thread::scope(|scope| {
        for step in steps {
            for then in [Then::Dies, Then::FallsSilent] {
                let play = &play;
                let name = format!("{step:?}, then it {then:?}");
                let run = move || play(*step, then);
                thread::Builder::new().name(name).spawn_scoped(scope, run).expect("a thread");
            }
        }
    });
}

/// How far an old process gets.
#[derive(Clone, Copy, Debug)]
enum Old {
    TakesTheCall,
    HalfItsState,
    ItsState,
    AGrant,
    HearsThatTheNewOneServes,
    HalfAClient,
    AClient,
    WhoIsOut,
}

/// Whatever the old process has said when it dies or falls silent, the new one serves: new connections, and whom it was handed.
#[test]
fn a_new_process_serves_however_far_the_old_one_got() {
    let world = world(spec(&["a"]), ids(10));
    let steps = [
        Old::TakesTheCall,
        Old::HalfItsState,
        Old::ItsState,
        Old::AGrant,
        Old::HearsThatTheNewOneServes,
        Old::HalfAClient,
        Old::AClient,
        Old::WhoIsOut,
    ];
    each(&steps, |step, then| an_old_one_gets_so_far(&world, step, then));
}

fn an_old_one_gets_so_far(world: &World<Books>, step: Old, then: Then) {
    let mut before = Node::replaceable(world, 384);
    let place = before.meeting_place();
    before.child.kill().expect("killed");
    before.child.wait().expect("its end");
    std::fs::remove_file(&place).expect("gone");
    let door = UnixListener::bind(&place).expect("a door");
    let address = before.address;
    let old = thread::spawn(move || {
        let (stream, _) = door.accept().expect("a new process");
        let client = say_so_far(&mut Side::new(stream.try_clone().expect("a stream")), address, step);
        (matches!(then, Then::FallsSilent).then_some((stream, door)), client)
    });
    let new = Node::beside(&before);
    let (_silent, client) = old.join().expect("the old one's part");
    assert_eq!(new.client().read("1", 60_000), value_from("a", "1"));
    if let Some(mut client) = client {
        client.send("ad,d=60000\r\n");
        assert_eq!(client.answer(), value_from("a", "2"), "on the connection that was handed over");
    }
}

/// The old process's part, up to that step. Gives the client that was handed over whole, with half a command read.
fn say_so_far(old: &mut Side, address: SocketAddr, step: Old) -> Option<Client> {
    old.hear_until(|m| matches!(m, Message::Hello { .. }));
    if matches!(step, Old::TakesTheCall) {
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
    if matches!(step, Old::HalfItsState) {
        let frame = encode(&state);
        old.say_part(&frame[..frame.len() / 2], Some(&listener));
        return None;
    }
    old.say(&state, Some(&listener));
    if matches!(step, Old::ItsState) {
        return None;
    }
    old.say(&Message::Grant(Grant { descriptors: 256, ..grant }), None);
    if matches!(step, Old::AGrant) {
        return None;
    }
    old.hear_until(|m| *m == Message::Ready);
    match step {
        Old::WhoIsOut => old.say(&Message::Out(Ban { id: 1, name: "nobody".into(), since: 0 }), None),
        Old::HalfAClient | Old::AClient => {
            let meet = TcpListener::bind("127.0.0.1:0").expect("a port");
            let client = Client::at(meet.local_addr().expect("its address")).expect("a connection");
            let (taken, _): (TcpStream, _) = meet.accept().expect("a client");
            let frame = encode(&Message::Client { input: b"mg k2 v O2 Pc=re".to_vec() });
            let whole = matches!(step, Old::AClient);
            old.say_part(&frame[..if whole { frame.len() } else { frame.len() / 2 }], Some(&taken));
            return whole.then_some(client);
        }
        _ => {}
    }
    None
}

/// How far a new process gets.
#[derive(Clone, Copy, Debug)]
enum New {
    Connects,
    HalfItsName,
    ItsName,
    HearsTheState,
    SaysThatItServes,
    HearsOfAClient,
}

/// Whatever the new process has said when it dies, the old one goes on with whom it has; if it falls silent before it serves, too,
/// until it is killed. The next process takes over as if there had been none.
#[test]
fn an_old_process_goes_on_however_far_the_new_one_got() {
    let world = world(spec(&["a"]), ids(10));
    let steps = [
        New::Connects,
        New::HalfItsName,
        New::ItsName,
        New::HearsTheState,
        New::SaysThatItServes,
        New::HearsOfAClient,
    ];
    each(&steps, |step, then| a_new_one_gets_so_far(&world, step, then, true));
}

/// The same for one that is never killed: it holds the old one's listener, and who is led there by the kernel waits for nobody.
#[test]
#[ignore = "expected to fail (docs/design/rare-moments.md, R21)"]
fn the_next_process_serves_though_one_that_hangs_was_given_the_listener() {
    let world = world(spec(&["a"]), ids(10));
    each(&[New::ItsName], |step, then| a_new_one_gets_so_far(&world, step, then, false));
}

fn a_new_one_gets_so_far(world: &World<Books>, step: New, then: Then, killed: bool) {
    let serves = matches!(step, New::SaysThatItServes | New::HearsOfAClient);
    if serves && matches!(then, Then::FallsSilent) {
        // It said that it serves, and hangs: as a node that hangs. The old one has nothing more to say on it.
        return;
    }
    let mut old = Node::replaceable(world, 384);
    let mut idle = old.client();
    assert_eq!(idle.read("1", 60_000), value_from("a", "1"));
    let mut new = Side::new(UnixStream::connect(old.meeting_place()).expect("the old process"));
    let hello = encode(&Message::Hello { name: "n".into() });
    match step {
        New::Connects => {}
        New::HalfItsName => new.say_part(&hello[..hello.len() / 2], None),
        _ => new.say_part(&hello, None),
    }
    if serves || matches!(step, New::HearsTheState) {
        new.hear_until(|m| matches!(m, Message::State(_)));
    }
    if serves {
        new.say(&Message::Ready, None);
        wait_until(|| old.call("status\n") == "fail replaced by another process\n");
    }
    if matches!(step, New::HearsOfAClient) {
        new.hear_until(|m| matches!(m, Message::Client { .. }));
    }
    let mut silent = matches!(then, Then::FallsSilent).then_some(new);
    wait_until(|| old.call("status\n") == "ok ready\n");
    assert_eq!(old.client().read("2", 60_000), value_from("a", "2"), "new connections are the old one's");
    if !serves {
        // Nobody was given away.
        assert_eq!(idle.read("3", 60_000), value_from("a", "3"));
    }
    let third = old.replace();
    assert!(old.child.wait().expect("its end").success());
    silent.take_if(|_| killed);
    // The kernel leads each by chance to one of the listeners that there are.
    (4..10).for_each(|id| assert_eq!(third.client().read(&id.to_string(), 60_000), value_from("a", &id.to_string())));
}
