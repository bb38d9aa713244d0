//! A scripted node: what it does with each request is a function of the test's.

use lapisrudder_codec::memcache::{Command, parse_command};
use lapisrudder_model::value::{Key, Maker, Receipt, RequestId, Uid, ValueSpec, make};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request as the script sees it.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Its place on the connection, from 0.
    pub nth: usize,
    pub key: u64,
    pub id: u64,
    pub write: bool,
}

impl Asked {
    /// The good answer to it.
    pub fn good(&self) -> Vec<u8> {
        let (key, maker) = (Key(self.key), Maker::Cache(Uid(1)));
        if self.write {
            return format!("HD O{:016x} c{}\r\n", self.id, Receipt { key, version: 1, maker }).into_bytes();
        }
        let value = make(&ValueSpec { key, version: 1, maker, request: Some(RequestId(self.id)), size: 300 });
        [format!("VA {} O{:016x}\r\n", value.len(), self.id).as_bytes(), &value, b"\r\n"].concat()
    }
}

/// What to do about a request.
#[derive(Clone, Debug)]
pub enum Act {
    Write(Vec<u8>),
    /// After this long; what comes behind waits as well.
    Later(Duration, Vec<u8>),
    /// Write this and close.
    Close(Vec<u8>),
    Nothing,
}

/// Runs until the test's process ends.
pub fn node(script: impl Fn(&Asked) -> Act + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let script: Arc<dyn Fn(&Asked) -> Act + Send + Sync> = Arc::new(script);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let script = script.clone();
            thread::spawn(move || serve(stream, &*script));
        }
    });
    address
}

/// An end or an error of the client's ends the connection.
fn serve(mut stream: TcpStream, script: &(dyn Fn(&Asked) -> Act + Send + Sync)) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let (mut buffer, mut nth) = (Vec::new(), 0);
    loop {
        while let Ok(Some((command, used))) = parse_command(&buffer) {
            match command {
                Command::Ready => stream.write_all(b"MN\r\n").ok()?,
                Command::Request(r) => {
                    let asked =
                        Asked { nth, key: Key::of(r.key).0, id: RequestId::of(r.id).0, write: r.write };
                    nth += 1;
                    match script(&asked) {
                        Act::Write(bytes) => stream.write_all(&bytes).ok()?,
                        Act::Later(wait, bytes) => {
                            thread::sleep(wait);
                            stream.write_all(&bytes).ok()?;
                        }
                        Act::Close(bytes) => return stream.write_all(&bytes).ok(),
                        Act::Nothing => {}
                    }
                }
                Command::Quit => return None,
                Command::Bad(what) => stream.write_all(format!("CLIENT_ERROR {what}\r\n").as_bytes()).ok()?,
            }
            buffer.drain(..used);
        }
        if parse_command(&buffer).is_err() {
            // What still comes is read and dropped, however much it is.
            stream.write_all(b"CLIENT_ERROR\r\n").ok()?;
            return std::io::copy(&mut stream, &mut std::io::sink()).ok().map(drop);
        }
        let mut more = [0; 65_536];
        match stream.read(&mut more) {
            Ok(n) if n > 0 => buffer.extend_from_slice(&more[..n]),
            _ => return None,
        }
    }
}
