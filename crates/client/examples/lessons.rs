//! A service that reads lessons and books seats through the plug-in, with tower's own layers on top. It
//! starts a small simulated environment: two cache servers, an origin, and discovery.
//!
//! `cargo run -p lapisrudder-client --example lessons`

use lapisrudder_client::{Client, Request, Response};
use lapisrudder_lab::stand::{Books, Clock, Fault, Spec, World};
use std::error::Error;
use std::time::Duration;
use tower::limit::ConcurrencyLimitLayer;
use tower::timeout::TimeoutLayer;
use tower::{Service, ServiceBuilder, ServiceExt};

/// Settings in the format that the platform gives to nodes under `settings`.
const SETTINGS: &str = r#"{"zones":["a"],"host-types":["cache","origin"],"siblings":1,"discovery":"subscribe",
"family-info":{"mode":"aside","origin-kind":1},"bounds":{"attempts-cap":3,"cancel":true,"multiplex":32,
"second-copies":true,"max-retry-after-s":2.0},"request-classes":[
{"name":"read","effect":"free","give-up-s":2.5,"slo-s":0.75,"worth":5.0},
{"name":"put","effect":"guarded","give-up-s":5.0,"slo-s":1.5,"window-s":10.0,"worth":15.0}],
"rules":{"ask-within-s":10.0}}"#;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error + Send + Sync>> {
    let world = World::start(Spec::default(), Clock::default(), Books::default(), 1)?;
    let discovery = world.addresses().discovery(0).ok_or("no discovery")?;

    let client = Client::builder()
        .name("lessons")
        .discovery(discovery)
        .settings_json(SETTINGS)?
        // The number of instances of this service and of nodes that share the servers.
        .copies(2)
        .in_flight(256)
        .start()?;
    client.listed().await?;

    // The client is a tower service, so layers can be added as usual.
    let mut lessons = ServiceBuilder::new()
        .layer(ConcurrencyLimitLayer::new(64))
        .layer(TimeoutLayer::new(Duration::from_secs(1)))
        .service(client.clone());

    // The first read goes to the origin, which has every object; the cache servers that missed get a copy.
    for ordinal in ["first", "second"] {
        let read = Request::read("lesson-7").class("read").within(Duration::from_millis(480));
        match lessons.ready().await?.call(read).await? {
            Response::Value(value) => println!("{ordinal} read: {} bytes", value.len()),
            Response::Receipt(_) => println!("{ordinal} read: a receipt"),
        }
    }

    // A booking may be repeated with its idempotency key: it is executed once, and both calls get its
    // receipt.
    let booking = Request::write("seat-12", "ana").class("put").idempotency("5c0f6e1a2b3d4c59");
    let first = lessons.ready().await?.call(booking.clone()).await?;
    let again = lessons.ready().await?.call(booking.repeated(true)).await?;
    println!("booked once: {}", first == again);

    // No server answers: the request ends at its deadline, and the error says whether it may have run.
    for server in ["s0", "s1", "origin"] {
        let server = world.server(server).ok_or("no server")?;
        world.control().fault(server, Fault::Swallow(1.0))?;
    }
    let late = Request::read("lesson-8").class("read").within(Duration::from_millis(200));
    match lessons.ready().await?.call(late).await {
        Ok(_) => println!("served"),
        Err(e) => println!("not served: {e}"),
    }

    let mut stats = client.watch();
    client.close().await;
    let stats = stats.borrow_and_update().clone();
    println!("members {}, taken {}, served {}", stats.members.len(), stats.taken, stats.served);
    println!("attempts {}, retries {}, connects {}", stats.attempts, stats.retries, stats.connects);
    Ok(())
}
