//! The node on real sockets: one thread, one loop.

mod client;
pub mod config;
mod connection;
mod deadlines;
mod discovery;
mod node;
mod pool_member;
mod socket;
mod virtual_server;

use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use node::Node;

/// Runs the node until it is told to stop and has answered all that it took.
pub fn serve(config: config::Config) -> Result<(), String> {
    let mut events: EventLoop<Node> = EventLoop::try_new().map_err(|e| format!("cannot start: {e}"))?;
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP])
        .map_err(|e| format!("signals: {e}"))?;
    events
        .handle()
        .insert_source(signals, |event, _, node: &mut Node| match event.signal() {
            Signal::SIGHUP => node.reload(),
            _ => node.stop(),
        })
        .map_err(|e| format!("signals: {e}"))?;
    let mut node = Node::new(config, &events.handle())?;
    while !node.is_over() {
        events.dispatch(node.until_next(), &mut node).map_err(|e| format!("the loop failed: {e}"))?;
        node.turn();
    }
    Ok(())
}
