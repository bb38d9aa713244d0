//! The plug-in in an HTTP server built with axum. The example starts a small simulated environment, serves on
//! loopback and sends itself one HTTP request; with an address as its argument it serves there until it is
//! stopped.
//!
//! `cargo run -p lapisrudder-client --example web [127.0.0.1:8080]`, then `curl
//! http://127.0.0.1:8080/lessons/7`

use axum::Router;
use axum::extract::{Path, State};
use axum::http::{HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use lapisrudder_client::{Class, Client, Error, Request};
use lapisrudder_lab::stand::{Books, Clock, Spec, World};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Converts the outcome of a request to an HTTP response.
fn http_response(outcome: Result<lapisrudder_client::Response, Error>) -> Response {
    match outcome {
        Ok(response) => response.into_bytes().into_response(),
        Err(Error::Refused { retry_after }) => {
            let mut response = StatusCode::SERVICE_UNAVAILABLE.into_response();
            let seconds = retry_after.map_or(1, |t| t.as_millis().div_ceil(1000) as u64);
            response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
            response
        }
        Err(Error::Overdue { .. }) => StatusCode::GATEWAY_TIMEOUT.into_response(),
        Err(Error::BadRequest(reason)) => (StatusCode::BAD_REQUEST, reason.to_string()).into_response(),
        // The request has not run, so the caller may retry at once.
        Err(e) if !e.may_have_run() => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Err(_) => StatusCode::BAD_GATEWAY.into_response(),
    }
}

/// If the HTTP client disconnects, axum drops this future, which cancels the request.
async fn lesson(State(client): State<Client>, Path(id): Path<u64>) -> Response {
    let read = Request::read(format!("lesson-{id}")).class("read").within(Duration::from_millis(480));
    http_response(client.ask(read).await)
}

/// Readiness probe for a load balancer: succeeds once a server may get requests.
async fn ready(State(client): State<Client>) -> StatusCode {
    if client.stats().any_open() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}

async fn stats(State(client): State<Client>) -> String {
    format!("{:#?}\n", client.stats())
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let world = World::start(Spec::default(), Clock::default(), Books::default(), 1)?;
    let discovery = world.addresses().discovery(0).ok_or("no discovery")?;
    let read = Class { latency_target: 750_000, worth: 5.0, ..Class::default() };
    let settings = lapisrudder_client::Builder::default();
    let settings = settings.settings_json(
        r#"{"zones":["a"],"host-types":["cache","origin"],"family-info":{"mode":"aside","origin-kind":1},
        "bounds":{"attempts-cap":3,"cancel":true,"multiplex":32,"second-copies":true}}"#,
    )?;
    let client =
        settings.name("web").discovery(discovery).class("read", read, Duration::from_secs(2)).start()?;

    let routes = Router::new()
        .route("/lessons/{id}", get(lesson))
        .route("/ready", get(ready))
        .route("/stats", get(stats))
        .with_state(client.clone());
    let address = std::env::args().nth(1);
    let listener = TcpListener::bind(address.as_deref().unwrap_or("127.0.0.1:0")).await?;
    let at = listener.local_addr()?;
    println!("http://{at}/lessons/7");
    let server = tokio::spawn(async move { axum::serve(listener, routes).await });
    if address.is_some() {
        return Ok(server.await??);
    }
    client.listed().await?;
    let mut stream = TcpStream::connect(at).await?;
    stream.write_all(b"GET /lessons/7 HTTP/1.1\r\nHost: here\r\nConnection: close\r\n\r\n").await?;
    let mut text = Vec::new();
    stream.read_to_end(&mut text).await?;
    println!("{}, {} bytes", String::from_utf8_lossy(&text).lines().next().unwrap_or_default(), text.len());
    server.abort();
    client.close().await;
    Ok(())
}
