//! The bench's wire (JSON lines) to events and back. No decisions here.

use crate::interface::*;
use crate::rules::Balancer;
use rustc_hash::{FxHashMap, FxHasher};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::hash::Hasher;
use std::io::{self, BufRead, Write};

/// Seconds, as the settings tell times, to the module's unit.
pub fn micros(seconds: f64) -> Micros {
    (seconds * 1e6).round() as Micros
}

/// A text id as a number that every balancer computes alike.
pub fn digest(text: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// All keys any incoming line may have; each message uses a few.
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

/// The settings as both hosts are told them: on the bench's wire and in a node's configuration.
#[derive(Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Options {
    az: u32,
    pub zones: Vec<String>,
    pub host_types: Vec<String>,
    siblings: u32,
    discovery: String,
    pub request_classes: Vec<WireClass>,
    customers: Vec<WireTenant>,
    over_share_worth: f64,
    family_info: Family,
    pub bounds: Bounds,
    rules: Rules,
    report: Report,
    worth_by: String,
    tariffs: Tariffs,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Tariffs {
    connection: f64,
    handshake: f64,
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "kebab-case")]
pub struct WireClass {
    pub name: String,
    pub give_up_s: f64,
    slo_s: f64,
    effect: String,
    group: String,
    window_s: f64,
    pub worth: f64,
    late_worth: f64,
}

impl WireClass {
    /// A request of the class may run more than once, and be refused at any time.
    pub fn may_repeat(&self) -> bool {
        self.effect == "free"
    }
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "kebab-case")]
struct WireTenant {
    quota_per_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "kebab-case")]
struct Family {
    mode: String,
    origin_kind: i64,
}

#[derive(Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Bounds {
    pub conn_idle_s: f64,
    pub connect_timeout_s: f64,
    pub most_held: usize,
    pub multiplex: usize,
    attempts_cap: u32,
    cancel: bool,
    second_copies: bool,
    max_retry_after_s: f64,
}

#[derive(Deserialize)]
#[serde(default, rename_all = "kebab-case")]
struct Rules {
    ask_within_s: f64,
    cold_s: f64,
    drain_grace_s: f64,
    fall_s: f64,
    start_capacity: f64,
    tip_multiple: f64,
    budget_free: Option<f64>,
    extra_ratio: Option<f64>,
    resend_span_s: Option<f64>,
    gone_is_advice: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Report {
    names: Vec<String>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            az: 0,
            zones: Vec::new(),
            host_types: Vec::new(),
            siblings: 1,
            discovery: String::new(),
            request_classes: Vec::new(),
            customers: Vec::new(),
            over_share_worth: 1.0,
            family_info: Family::default(),
            bounds: Bounds::default(),
            rules: Rules::default(),
            report: Report::default(),
            worth_by: String::new(),
            tariffs: Tariffs::default(),
        }
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            conn_idle_s: 60.0,
            connect_timeout_s: 0.25,
            most_held: 20_000,
            multiplex: 1,
            attempts_cap: 1,
            cancel: false,
            second_copies: false,
            max_retry_after_s: 0.0,
        }
    }
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            ask_within_s: 10.0,
            cold_s: 0.0,
            drain_grace_s: 0.0,
            fall_s: 1.0,
            start_capacity: 1.0,
            tip_multiple: 1.0,
            budget_free: None,
            extra_ratio: None,
            resend_span_s: None,
            gone_is_advice: false,
        }
    }
}

/// The budget of further attempts; one that is stated in part counts what is missing as nothing.
fn budget(rules: &Rules) -> Option<Budget> {
    let (free, share) = (rules.budget_free, rules.extra_ratio);
    let stated = free.is_some() || share.is_some() || rules.resend_span_s.is_some();
    stated.then(|| Budget {
        free: free.unwrap_or(0.0),
        share: share.unwrap_or(0.0),
        span: rules.resend_span_s.map_or(Micros::MAX, micros),
    })
}

impl From<&Options> for Settings {
    fn from(o: &Options) -> Settings {
        let class = |c: &WireClass| Class {
            aim: micros(c.slo_s),
            worth: c.worth,
            late_worth: c.late_worth,
            effect: match c.effect.as_str() {
                "free" => Effect::Safe,
                "guarded" => Effect::Keyed,
                _ => Effect::Unsafe,
            },
            group: match c.group.as_str() {
                "zone" => Group::Zone,
                "cell" => Group::Cell,
                _ => Group::All,
            },
            repeat_window: micros(c.window_s),
        };
        let aside = o.family_info.mode == "aside";
        Settings {
            classes: o.request_classes.iter().map(class).collect(),
            tenants: o.customers.iter().map(|t| Tenant { quota_per_s: t.quota_per_s }).collect(),
            over_share_worth: o.over_share_worth,
            mode: if aside { Mode::Aside } else { Mode::Through },
            origin_kind: u32::try_from(o.family_info.origin_kind).ok().filter(|_| aside),
            zone: o.az,
            siblings: o.siblings.max(1),
            must_ask: o.discovery == "subscribe",
            ask_within: micros(o.rules.ask_within_s),
            max_attempts: o.bounds.attempts_cap,
            budget: budget(&o.rules),
            gone_is_advice: o.rules.gone_is_advice,
            may_cancel: o.bounds.cancel,
            second_copies: o.bounds.second_copies,
            max_retry_after: micros(o.bounds.max_retry_after_s),
            drain_grace: micros(o.rules.drain_grace_s),
            start_capacity: o.rules.start_capacity,
            cold: micros(o.rules.cold_s),
            tip_multiple: o.rules.tip_multiple,
            tip_window: micros(o.rules.fall_s),
            worth_by_work: o.worth_by == "work",
            connection_price: o.tariffs.connection,
            handshake_price: o.tariffs.handshake,
            report_queue: o.report.names.iter().position(|n| n == "backlog"),
        }
    }
}

/// Server names by number, so that actions can name them as they came.
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

fn need<T>(value: Option<T>, what: &str) -> Result<T, String> {
    value.ok_or_else(|| format!("missing {what}"))
}

/// What a server's note on its cache means.
pub fn cache_note(note: usize) -> Option<CacheNote> {
    match note {
        1 => Some(CacheNote::Hit),
        2 => Some(CacheNote::Fetched),
        3 => Some(CacheNote::OthersFetch),
        _ => None,
    }
}

fn number(raw: Option<&RawValue>) -> Option<usize> {
    raw.and_then(|r| r.get().parse().ok())
}

/// The event in a line, if it is one that the decisions take.
fn event(line: &Line, names: &mut Names) -> Result<Option<Event>, String> {
    let request = || need(line.call, "call").map(RequestId);
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
            due: micros(need(line.due, "due-s")?),
        }),
        "begun" => Event::Started { request: request()?, attempt: need(line.shot, "shot")? },
        "response" => Event::Ended(Ended {
            request: request()?,
            attempt: need(line.shot, "shot")?,
            server: ServerId(digest(need(line.host.as_deref(), "host")?)),
            took: micros(line.waited.unwrap_or(0.0)),
            outcome: outcome(need(line.how.as_deref(), "how")?)?,
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
    let done = match action {
        Action::Send { request, server, until } => {
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
        Action::Close { server } => {
            let Some(name) = names.get(&server.0) else { return };
            let host = serde_json::Value::from(name.as_str());
            write!(out, r#"{{"verb":"shut-idle","who":{who},"host":{host}}}"#)
        }
        Action::Watch => write!(out, r#"{{"verb":"watch","who":{who},"active":true}}"#),
    };
    done.expect("writing to a string");
    out.push('\n');
}

/// Reads batches until input ends. The error is a plain message about what is malformed.
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
                batch = Some(micros(need(line.time, "t-s").map_err(fail)?));
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
                let who = need(line.who, "who").map_err(fail)?;
                match verb {
                    "start" => {
                        let options = need(line.options, "options").map_err(fail)?;
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
