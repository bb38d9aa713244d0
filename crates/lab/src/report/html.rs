//! The page: what was asked, whether it held, the figures beside the simple policies, and plots of each run.

use super::charts::{charts, letters};
use super::store::Stored;
use crate::experiment::{Better, Metric};
use crate::stats::{Arm, ArmResult, LastLine, RunResult, Shade, Verdict};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

const STYLE: &str = "
body{font:15px/1.45 system-ui,sans-serif;color:#1c2330;background:#f6f7f9;margin:0}
main{max-width:980px;margin:0 auto;padding:28px 24px 60px}
h1{font-size:25px;margin:0 0 4px}h2{font-size:18px;margin:34px 0 10px}
p{margin:6px 0}.dim{color:#5d6675}
.badge{display:inline-block;font-weight:600;padding:3px 12px;border-radius:12px;color:#fff;margin:12px 0 4px}
.good{background:#2c7a4b}.bad{background:#b3361f}.void{background:#8a6d1d}
table{border-collapse:collapse;background:#fff;width:100%;font-variant-numeric:tabular-nums}
th,td{text-align:left;padding:5px 10px;border-bottom:1px solid #e3e6eb;vertical-align:top}
th{font-weight:600;background:#eef0f4}td.n,th.n{text-align:right}
td.ok{color:#2c7a4b;font-weight:600}td.no{color:#b3361f;font-weight:600}
tr.ours td{background:#f2f7fc}
figure{margin:14px 0;background:#fff;border:1px solid #e3e6eb;border-radius:6px;padding:10px 12px 4px}
figcaption{font-weight:600;margin-bottom:2px}svg{width:100%;height:auto}
details{margin:14px 0}summary{cursor:pointer;font-weight:600;font-size:16px}
pre{background:#fff;border:1px solid #e3e6eb;border-radius:6px;padding:10px;overflow-x:auto;font-size:12.5px}
.key{font-size:13px;color:#5d6675;margin-right:14px}.key i{display:inline-block;width:18px;height:3px;margin-right:5px;vertical-align:middle}
.mark{display:inline-block;background:#fbe6c8;color:#965a0a;padding:0 6px;border-radius:3px;margin-right:4px}
";

/// Figures in the table of arms, with what they are called there.
const SHOWN: [(Metric, &str); 14] = [
    (Metric::Goodput, "goodput"),
    (Metric::WorstSecond, "goodput of the worst second"),
    (Metric::P50Ms, "latency, median (ms)"),
    (Metric::P99Ms, "latency, 99% (ms)"),
    (Metric::P999Ms, "latency, 99.9% (ms)"),
    (Metric::RefusedShare, "tries refused"),
    (Metric::FailedShare, "tries failed"),
    (Metric::UnansweredShare, "tries never answered"),
    (Metric::HitShare, "hit share"),
    (Metric::OriginPerS, "requests a second at the origin"),
    (Metric::AttemptsPerTry, "attempts for a try"),
    (Metric::RecoveryS, "back after the last fault (s)"),
    (Metric::CpuUsPerRequest, "CPU of the nodes for a try answered (µs)"),
    (Metric::MemoryMb, "most memory of a node (MiB)"),
];

/// The whole page, with nothing outside it.
pub fn page(stored: &Stored) -> String {
    let e = &stored.file.experiment;
    let title = escape(e.question.trim());
    let mut body = format!("<h1>{title}</h1>\n");
    if !e.shows.trim().is_empty() {
        put(&mut body, format_args!("<p>{}</p>\n", escape(e.shows.trim())));
    }
    let servers: usize = e.world.servers.iter().map(|s| s.count).sum();
    let peak: f64 = e.loads.iter().map(|l| l.rate.peak()).sum();
    put(
        &mut body,
        format_args!(
            "<p class=dim>{} nodes, {servers} servers, up to {peak:.0} requests a second, {} s a run, {} runs</p>\n",
            e.world.nodes.count,
            e.duration_s,
            stored.runs.len()
        ),
    );
    body += &badge(&stored.runs);
    body += &verdicts(&stored.runs);
    body += &figures(&stored.runs);
    body += &broken(&stored.runs);
    for (at, run) in stored.runs.iter().enumerate() {
        body += &run_section(run, at == 0);
    }
    body += "<p class=dim>Latencies count from the due time of a try; a try that was never answered counts with the time \
             its client waited. A retry counts to its first try. Shaded stretches are faults.</p>\n";
    format!(
        "<!doctype html>\n<html lang=en><head><meta charset=utf-8><meta name=viewport \
         content=\"width=device-width\"><title>{title}</title><style>{STYLE}</style></head>\n<body><main>\n{body}</main></body></html>\n"
    )
}

fn put(to: &mut String, text: std::fmt::Arguments<'_>) {
    // Writing to a string does not fail.
    let _ = to.write_fmt(text);
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

fn badge(runs: &[RunResult]) -> String {
    let line = LastLine::of(runs);
    let (class, words) = match (runs.is_empty(), line.ok, line.void) {
        (true, ..) => ("void", "no run is finished".to_owned()),
        (_, true, _) => ("good", "all that must hold held, and no rule was broken".to_owned()),
        (_, false, true) => ("void", "void: the lab itself was too slow in some run".to_owned()),
        (_, false, false) if line.rules_broken > 0 => ("bad", format!("{} rules broken", line.rules_broken)),
        _ => {
            let all: BTreeSet<_> = runs.iter().flat_map(|r| &r.verdicts).map(|v| &v.that).collect();
            ("bad", format!("{} of {} conditions did not hold", line.not_held.len(), all.len()))
        }
    };
    let mut text = format!("<div class=\"badge {class}\">{words}</div>\n");
    for run in runs {
        if let Some(why) = run.void() {
            put(&mut text, format_args!("<p>{} is void: {}</p>\n", run_name(run), escape(&why)));
        }
    }
    text
}

fn run_name(run: &RunResult) -> String {
    let point = if run.point == "-" { String::new() } else { format!("{}, ", escape(&run.point)) };
    format!("{point}seed {}", run.seed)
}

/// A condition over all runs: what was seen from the least to the most.
fn verdicts(runs: &[RunResult]) -> String {
    let mut by: Vec<(&str, Vec<&Verdict>)> = Vec::new();
    for v in runs.iter().flat_map(|r| &r.verdicts) {
        match by.iter_mut().find(|(that, _)| *that == v.that) {
            Some((_, all)) => all.push(v),
            None => by.push((&v.that, vec![v])),
        }
    }
    if by.is_empty() {
        return String::new();
    }
    let mut text = "<h2>What must hold</h2>\n<table><tr><th>condition<th class=n>seen<th class=n>bound<th>held<th>why</tr>\n".to_owned();
    for (that, all) in by {
        let held = all.iter().filter(|v| v.held).count();
        let (class, word) = if held == all.len() { ("ok", "yes") } else { ("no", "no") };
        let many = if all.len() > 1 { format!(", {held} of {}", all.len()) } else { String::new() };
        let why = all.first().map_or("", |v| v.why.as_str());
        put(
            &mut text,
            format_args!(
                "<tr><td>{}<td class=n>{}<td class=n>{}<td class={class}>{word}{many}<td class=dim>{}</tr>\n",
                escape(that),
                range(all.iter().map(|v| v.seen)),
                range(all.iter().map(|v| v.bound)),
                escape(why)
            ),
        );
    }
    text + "</table>\n"
}

fn range(all: impl Iterator<Item = Option<f64>>) -> String {
    let all: Vec<_> = all.collect();
    let (low, high) =
        all.iter().flatten().fold((f64::INFINITY, f64::NEG_INFINITY), |(l, h), x| (l.min(*x), h.max(*x)));
    let none = if all.iter().any(Option::is_none) { " (or none)" } else { "" };
    match (low.is_finite(), number(low) == number(high)) {
        (false, _) => "none".into(),
        (true, true) => number(low) + none,
        (true, false) => format!("{} to {}{none}", number(low), number(high)),
    }
}

fn number(x: f64) -> String {
    match x.abs() {
        0.0 => "0".into(),
        a if a >= 100.0 => format!("{x:.0}"),
        a if a >= 10.0 => format!("{x:.1}"),
        a if a >= 1.0 => format!("{x:.2}"),
        _ => format!("{x:.3}"),
    }
}

/// Means over the runs of each arm, the best of a column marked.
fn figures(runs: &[RunResult]) -> String {
    let mut arms: BTreeMap<Arm, Vec<&ArmResult>> = BTreeMap::new();
    runs.iter().flat_map(|r| &r.arms).for_each(|a| arms.entry(a.arm).or_default().push(a));
    let mean = |all: &[&ArmResult], m: Metric| {
        let seen: Vec<_> = all.iter().map(|a| a.figure(m)).filter(|x| x.is_finite()).collect();
        (!seen.is_empty()).then(|| seen.iter().sum::<f64>() / seen.len() as f64)
    };
    let mut text = "<h2>Figures, means over the runs</h2>\n<table><tr><th>".to_owned();
    arms.keys().for_each(|arm| put(&mut text, format_args!("<th class=n>{}", arm.name())));
    text += "</tr>\n";
    for (metric, label) in SHOWN {
        let row: Vec<_> = arms.values().map(|all| mean(all, metric)).collect();
        let better = |a: f64, b: f64| if metric.better() == Better::Higher { a.max(b) } else { a.min(b) };
        let best = row.iter().flatten().copied().reduce(better);
        put(&mut text, format_args!("<tr><td>{label}"));
        for cell in &row {
            let bold = cell.is_some() && *cell == best && row.iter().any(|c| c.is_some() && c != cell);
            let shown = cell.map_or("-".to_owned(), number);
            let shown = if bold { format!("<b>{shown}</b>") } else { shown };
            put(&mut text, format_args!("<td class=n>{shown}"));
        }
        text += "</tr>\n";
    }
    text + "</table>\n"
}

fn broken(runs: &[RunResult]) -> String {
    let mut text = String::new();
    for run in runs {
        for arm in run.arms.iter().filter(|a| !a.broken.is_empty()) {
            let rules: Vec<_> = arm.broken.iter().map(|(rule, n)| format!("{rule} {n} times")).collect();
            put(
                &mut text,
                format_args!("<p>{}, {}: {}</p>\n", run_name(run), arm.arm.name(), rules.join(", ")),
            );
            arm.stories.iter().for_each(|s| put(&mut text, format_args!("<pre>{}</pre>\n", escape(s))));
        }
    }
    if text.is_empty() { text } else { format!("<h2>Broken rules</h2>\n{text}") }
}

fn run_section(run: &RunResult, open: bool) -> String {
    let mut text =
        format!("<details{}><summary>Run: {}</summary>\n", if open { " open" } else { "" }, run_name(run));
    for (letter, name) in letters(run) {
        let times: Vec<_> = run.faults.iter().filter(|f| f.name == name).collect();
        let when = |f: &&Shade| match (number(f.from_s), number(f.until_s)) {
            (from, until) if from == until => format!("at {from} s"),
            (from, until) => format!("{from} to {until} s"),
        };
        let shown: Vec<_> = times.iter().take(4).map(when).collect();
        let more = if times.len() > 4 { format!(" and {} more", times.len() - 4) } else { String::new() };
        let name = escape(name);
        put(
            &mut text,
            format_args!("<p><span class=mark>{letter}</span>{name}: {}{more}</p>\n", shown.join(", ")),
        );
    }
    for chart in charts(run) {
        put(&mut text, format_args!("<figure><figcaption>{}</figcaption>", chart.caption));
        for (name, (r, g, b)) in &chart.legend {
            let name = escape(name);
            put(
                &mut text,
                format_args!("<span class=key><i style=\"background:rgb({r},{g},{b})\"></i>{name}</span>"),
            );
        }
        put(&mut text, format_args!("{}</figure>\n", chart.svg));
    }
    text + "</details>\n"
}
