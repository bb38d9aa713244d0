//! Which plots a run gets.

use super::plot::{Line, Plot, Scale};
use crate::stats::{Arm, ArmResult, NodeRow, Row, RunResult, Shade};

/// A plot with its caption.
pub(super) struct Chart {
    pub(super) caption: &'static str,
    /// Names and colours of the lines that have one.
    pub(super) legend: Vec<(String, (u8, u8, u8))>,
    pub(super) svg: String,
}

/// Colours that stay apart for most eyes (Okabe and Ito 2008).
const COLORS: [(u8, u8, u8); 10] = [
    (0, 114, 178),
    (213, 94, 0),
    (0, 158, 115),
    (204, 121, 167),
    (86, 180, 233),
    (230, 159, 0),
    (120, 120, 120),
    (0, 0, 0),
    (148, 103, 189),
    (140, 86, 75),
];

fn arm_color(arm: Arm) -> (u8, u8, u8) {
    match arm {
        Arm::Nodes => (0, 114, 178),
        Arm::Random => (213, 94, 0),
        Arm::Ketama => (120, 120, 120),
        Arm::Bounded => (0, 158, 115),
    }
}

/// Letters of faults by name, in the order in which they first come.
pub(super) fn letters(run: &RunResult) -> Vec<(char, &str)> {
    let mut all: Vec<(char, &str)> = Vec::new();
    for shade in &run.faults {
        if !all.iter().any(|(_, name)| *name == shade.name) {
            let next = u8::try_from(all.len() % 26).unwrap_or(0);
            all.push((char::from(b'A' + next), &shade.name));
        }
    }
    all
}

/// All plots of a run.
pub(super) fn charts(run: &RunResult) -> Vec<Chart> {
    let names = letters(run);
    let letter =
        |s: &Shade| names.iter().find(|(_, name)| *name == s.name).map_or('?', |(letter, _)| *letter);
    let shades: Vec<_> = run.faults.iter().map(|s| (letter(s), s.clone())).collect();
    let until = run.arms.iter().filter_map(|a| a.rows.last()).map(|r| r.t as f64 + 1.0).fold(0.0, f64::max);
    let mut all = Vec::new();
    let mut add = |caption, axis: &str, scale, lines: Vec<Line>| {
        // A plot of nothing is left out: a simulated run has no CPU time.
        if lines.iter().any(|l| l.points.iter().any(|p| p.1.is_some())) {
            let named = lines.iter().filter(|l| !l.name.is_empty());
            let mut legend: Vec<_> = named.map(|l| (l.name.clone(), l.color)).collect();
            // The line that is drawn last, and lies on top, comes first.
            legend.reverse();
            let plot = Plot { axis: axis.to_owned(), scale, lines, shades: shades.clone(), until };
            all.push(Chart { caption, legend, svg: plot.svg() });
        }
    };
    let arms = |of: fn(&Row) -> Option<f64>| arm_lines(run, of);
    add(
        "Goodput: worth answered within the aims over worth asked for",
        "goodput",
        Scale::Linear(1.0),
        arms(|r| r.goodput),
    );
    add("Latency, 99th percentile, from the due time of a try", "p99 (ms)", Scale::Log, arms(|r| r.p99_ms));
    add("Latency, median", "p50 (ms)", Scale::Log, arms(|r| r.p50_ms));
    if let Some(nodes) = run.arm(Arm::Nodes) {
        add("What became of the tries, with the nodes", "tries / s", Scale::Linear(1.0), fates(nodes));
        add(
            "Load per server, with the nodes: work sent to it over its full capacity",
            "load",
            Scale::Linear(1.0),
            loads(nodes),
        );
    }
    add("Hit share at the cache servers", "hit share", Scale::Linear(1.0), arms(|r| r.hit_share));
    add("Requests at the origin", "requests / s", Scale::Linear(1.0), arms(|r| Some(f64::from(r.origin))));
    add(
        "Connections open at the servers and the origin",
        "connections",
        Scale::Linear(1.0),
        arms(|r| Some(f64::from(r.connections))),
    );
    if let Some(nodes) = run.arm(Arm::Nodes) {
        let node = |of: fn(&NodeRow) -> f64| node_lines(nodes, of);
        add("CPU of each node, user and system", "cores", Scale::Linear(0.1), node(|n| f64::from(n.cores)));
        add("Memory of each node", "MiB", Scale::Linear(1.0), node(|n| f64::from(n.memory_mb)));
        add("Descriptors of each node", "descriptors", Scale::Linear(1.0), node(|n| f64::from(n.fds)));
    }
    all
}

fn points(arm: &ArmResult, of: impl Fn(&Row) -> Option<f64>) -> Vec<(f64, Option<f64>)> {
    arm.rows.iter().map(|r| (r.t as f64 + 0.5, of(r))).collect()
}

fn arm_lines(run: &RunResult, of: fn(&Row) -> Option<f64>) -> Vec<Line> {
    // The nodes' line is drawn last, so that it lies on top.
    let line = |arm: &ArmResult| {
        let width = if arm.arm == Arm::Nodes { 3 } else { 1 };
        Line { name: arm.arm.name().into(), color: arm_color(arm.arm), width, points: points(arm, of) }
    };
    let mut lines: Vec<_> = run.arms.iter().map(line).collect();
    lines.reverse();
    lines
}

/// A kind of end: its name, its colour, its count in a row.
type Fate = (&'static str, usize, fn(&Row) -> u32);

fn fates(nodes: &ArmResult) -> Vec<Line> {
    let kinds: [Fate; 4] = [
        ("served", 0, |r| r.served),
        ("refused", 5, |r| r.refused),
        ("failed", 1, |r| r.failed),
        ("unanswered", 7, |r| r.unanswered),
    ];
    let line = |(name, color, of): Fate| {
        let color = COLORS.get(color).copied().unwrap_or_default();
        Line { name: name.into(), color, width: 2, points: points(nodes, |r| Some(f64::from(of(r)))) }
    };
    kinds.map(line).into_iter().rev().collect()
}

fn loads(nodes: &ArmResult) -> Vec<Line> {
    let many = nodes.servers.len() > 12;
    let line = |(n, name): (usize, &String)| {
        let load = |r: &Row| r.load.get(n).map(|l| f64::from(*l));
        let points = points(nodes, load);
        let used = points.iter().any(|p| p.1.is_some_and(|l| l > 0.0));
        let name = if many { String::new() } else { name.clone() };
        used.then(|| Line { name, color: COLORS[n % COLORS.len()], width: 1, points })
    };
    let mut lines: Vec<_> =
        nodes.servers.iter().enumerate().filter(|(_, name)| *name != "origin").filter_map(line).collect();
    lines.reverse();
    lines
}

fn node_lines(nodes: &ArmResult, of: fn(&NodeRow) -> f64) -> Vec<Line> {
    let most = nodes.rows.iter().map(|r| r.nodes.len()).max().unwrap_or(0);
    let line = |n: usize| Line {
        name: if most > 12 { String::new() } else { format!("n{n}") },
        color: COLORS[n % COLORS.len()],
        width: 2,
        points: points(nodes, |r| r.nodes.get(n).map(of)),
    };
    (0..most).rev().map(line).collect()
}
