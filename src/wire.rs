//! The simulator's protocol (JSON lines): converts its messages to events and actions to messages. It makes
//! no decisions.

use crate::interface::*;
use crate::rules::Balancer;
pub use lapisrudder_config::{Options, digest, micros};
use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, Write};

/// All keys that an incoming message may have; each message has some of them.
#[derive(Deserialize)]
struct Line<'a> {
    #[serde(borrow)]
    verb: std::borrow::Cow<'a, str>,
    #[serde(rename = "t-s")]
    time: Option<f64>,
    who: Option<u64>,
    call: Option<u64>,
    #[serde(borrow)]
    entity: Option<std::borrow::Cow<'a, str>>,
    #[serde(default)]
    write: Option<bool>,
    #[serde(borrow)]
    kind: Option<&'a RawValue>,
    resent: Option<bool>,
    project: Option<u64>,
    #[serde(rename = "cost-s")]
    cost: Option<f64>,
    #[serde(rename = "due-s")]
    due: Option<f64>,
    shot: Option<u32>,
    #[serde(borrow)]
    host: Option<std::borrow::Cow<'a, str>>,
    #[serde(rename = "wait-time-s")]
    waited: Option<f64>,
    #[serde(borrow)]
    how: Option<std::borrow::Cow<'a, str>>,
    #[serde(borrow)]
    detail: Option<&'a RawValue>,
    #[serde(rename = "done-flag")]
    done: Option<bool>,
    #[serde(borrow)]
    gauge: Option<&'a RawValue>,
    #[serde(borrow)]
    scope: Option<std::borrow::Cow<'a, str>>,
    #[serde(borrow)]
    entries: Option<&'a RawValue>,
    #[serde(rename = "random-seed")]
    seed: Option<u64>,
    #[serde(borrow)]
    options: Option<&'a RawValue>,
}

/// A server in an update of the list of servers.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Entry {
    host: String,
    #[serde(default)]
    region_part: u32,
    #[serde(default)]
    kind: u32,
    #[serde(default)]
    bay: u32,
    stage_state: String,
    power_hint: Option<f64>,
    since_s: Option<f64>,
}

/// Server names by id, since actions refer to servers by the names that were received.
type Names = BTreeMap<u64, String>;

fn listed(names: &mut Names, e: Entry) -> Result<Listed, String> {
    let id = digest(&e.host);
    names.entry(id).or_insert(e.host);
    let stage = match e.stage_state.as_str() {
        "live" => Stage::Live,
        "quiescing" => Stage::Draining,
        "dead" => Stage::Gone,
        other => return Err(format!("unknown stage-state {other:?}")),
    };
    Ok(Listed {
        server: ServerId(id),
        zone: e.region_part,
        kind: e.kind,
        cell: e.bay,
        stage,
        weight: e.power_hint.unwrap_or(1.0),
        since: e.since_s.filter(|s| *s > 0.0).map(micros),
    })
}

fn outcome(how: &str) -> Result<Outcome, String> {
    Ok(match how {
        "delivered" => Outcome::Served,
        "app_error" => Outcome::Error,
        "shed" => Outcome::Full,
        "expired" => Outcome::TimedOut,
        "dial_failed" => Outcome::ConnectFailed,
        "dropped" => Outcome::Broken,
        "revoked" => Outcome::Cancelled,
        "unused" => Outcome::NeverSent,
        "empty" => Outcome::Miss,
        other => return Err(format!("unknown outcome {other:?}")),
    })
}

fn required<T>(value: Option<T>, key: &str) -> Result<T, String> {
    value.ok_or_else(|| format!("missing {key}"))
}

/// Decodes a server's note on how it obtained the answer.
pub fn cache_note(note: usize) -> Option<CacheNote> {
    match note {
        1 => Some(CacheNote::Hit),
        2 => Some(CacheNote::Fetched),
        3 => Some(CacheNote::FetchInProgress),
        _ => None,
    }
}

fn number(raw: Option<&RawValue>) -> Option<usize> {
    raw.and_then(|r| r.get().parse().ok())
}

/// Converts a message to an event; `None` for messages that the decisions don't use.
fn event(line: &Line, names: &mut Names) -> Result<Option<Event>, String> {
    let request = || required(line.call, "call").map(RequestId);
    Ok(Some(match line.verb.as_ref() {
        "roster-change" => {
            let scope = match line.scope.as_deref() {
                Some("incr") => Scope::Changes,
                Some("total") => Scope::Full,
                Some("warm_copy") => Scope::Remembered,
                Some("lost") => Scope::Lost,
                other => return Err(format!("unknown scope {other:?}")),
            };
            let entries: Vec<Entry> = match line.entries {
                Some(raw) => serde_json::from_str(raw.get()).map_err(|e| format!("bad entries: {e}"))?,
                None => Vec::new(),
            };
            let list = entries.into_iter().map(|e| listed(names, e)).collect::<Result<_, _>>()?;
            Event::Servers { scope, list }
        }
        "ingress" => Event::Request(NewRequest {
            request: request()?,
            key: line.entity.as_deref().map(|k| Key(digest(k))),
            write: line.write.unwrap_or(false),
            class: number(line.kind).unwrap_or(0),
            tenant: line.project.unwrap_or(0) as usize,
            hint: line.cost.map(micros).filter(|c| *c > 0),
            repeated: line.resent.unwrap_or(false),
            due: micros(required(line.due, "due-s")?),
            reserve: 0,
        }),
        "begun" => Event::Started { request: request()?, attempt: required(line.shot, "shot")? },
        "response" => Event::Ended(Ended {
            request: request()?,
            attempt: required(line.shot, "shot")?,
            server: ServerId(digest(required(line.host.as_deref(), "host")?)),
            took: micros(line.waited.unwrap_or(0.0)),
            outcome: outcome(required(line.how.as_deref(), "how")?)?,
            note: number(line.detail).and_then(cache_note),
            finished: line.done.unwrap_or(false),
            report: line.gauge.and_then(|g| serde_json::from_str(g.get()).ok()).unwrap_or_default(),
        }),
        "timed-out-client" => Event::ClientLeft { request: request()? },
        "bell" => Event::Wake,
        "check-result" | "mail" => return Ok(None),
        other => return Err(format!("unknown verb {other:?}")),
    }))
}

fn render(out: &mut String, who: u64, action: &Action, names: &Names) {
    let secs = |t: Micros| t as f64 / 1e6;
    let written = match action {
        // In the simulator an attempt is sent at once, so that its latest begin is not needed.
        Action::Send { request, server, begin: _, until } => {
            let Some(name) = names.get(&server.0) else { return };
            let host = serde_json::Value::from(name.as_str());
            write!(
                out,
                r#"{{"verb":"call-out","who":{who},"call":{},"host":{host},"until-s":{}}}"#,
                request.0,
                secs(*until)
            )
        }
        Action::Cancel { request, attempt } => {
            write!(out, r#"{{"verb":"call-off","who":{who},"call":{},"shot":{attempt}}}"#, request.0)
        }
        Action::Refuse { request, retry_in } => write!(
            out,
            r#"{{"verb":"shed","who":{who},"call":{},"retry-in-s":{}}}"#,
            request.0,
            secs(*retry_in)
        ),
        Action::Fail { request } => {
            write!(out, r#"{{"verb":"drop-request","who":{who},"call":{}}}"#, request.0)
        }
        Action::Wake { after } => {
            write!(out, r#"{{"verb":"timer","who":{who},"token":0,"in-s":{}}}"#, secs(*after))
        }
        Action::Watch => write!(out, r#"{{"verb":"watch","who":{who},"active":true}}"#),
    };
    written.expect("writing to a string");
    out.push('\n');
}

/// Processes batches until the input ends. The error is a message about malformed input.
pub fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut balancers: FxHashMap<u64, (Balancer, Names)> = FxHashMap::default();
    let (mut text, mut reply, mut actions) = (String::new(), String::new(), Vec::new());
    let mut batch: Option<Micros> = None;
    let mut number = 0u64;
    loop {
        text.clear();
        number += 1;
        let fail = |what: String| format!("line {number}: {what}");
        match input.read_line(&mut text) {
            Ok(0) if batch.is_some() => return Err(fail("input ends inside a batch".into())),
            Ok(0) => return Ok(()),
            Ok(_) => {}
            Err(e) => return Err(fail(format!("cannot read: {e}"))),
        }
        if text.trim().is_empty() {
            continue;
        }
        let line: Line = serde_json::from_str(&text).map_err(|e| fail(format!("bad message: {e}")))?;
        match (line.verb.as_ref(), batch) {
            ("sync", None) => {
                batch = Some(micros(required(line.time, "t-s").map_err(fail)?));
                reply.clear();
            }
            ("eof-batch", Some(_)) => {
                batch = None;
                reply.push_str("{\"verb\":\"yield\"}\n");
                let sent = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
                match sent {
                    Err(e) if e.kind() == io::ErrorKind::BrokenPipe => return Ok(()),
                    other => other.map_err(|e| fail(format!("cannot write: {e}")))?,
                }
            }
            (verb, Some(now)) => {
                let who = required(line.who, "who").map_err(fail)?;
                match verb {
                    "start" => {
                        let options = required(line.options, "options").map_err(fail)?;
                        let options: Options = serde_json::from_str(options.get())
                            .map_err(|e| fail(format!("bad options: {e}")))?;
                        let settings = Settings::from(&options);
                        let balancer = Balancer::new(line.seed.unwrap_or(0), settings, now);
                        balancers.insert(who, (balancer, Names::new()));
                    }
                    "retire" => drop(balancers.remove(&who)),
                    _ => {
                        let Some((balancer, names)) = balancers.get_mut(&who) else {
                            return Err(fail(format!("{verb:?} for instance {who}, which has not started")));
                        };
                        if let Some(event) = event(&line, names).map_err(fail)? {
                            actions.clear();
                            balancer.handle(now, event, &mut actions);
                            actions.iter().for_each(|a| render(&mut reply, who, a, names));
                        }
                    }
                }
            }
            (verb, None) => return Err(fail(format!("{verb:?} outside a batch"))),
        }
    }
}
