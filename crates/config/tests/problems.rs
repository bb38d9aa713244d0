//! Invalid files, and the line that reports each of their problems.

use lapisrudder_config::{Environment, ListError, MemberList, Operators, Options, Platform, Problem};
use std::path::Path;

const VALID: &str = r#"{
  "name": "n0", "listen": "127.0.0.1:0",
  "discovery": "127.0.0.1:1",
  "limits": {"cores": 0.5, "sockets": 1024},
  "known": {"rev": 4, "all": true, "targets": [
    {"uid": "a", "endpoint": "127.0.0.1:5", "az": "z", "model": "cache", "state": "up"}]},
  "settings": {
    "zones": ["z"], "host-types": ["cache"], "unheard-of": [{}],
    "bounds": {"multiplex": 32, "attempts-cap": 3,
      "conn-idle-s": 60.0},
    "request-classes": [{"name": "read", "effect": "free", "give-up-s": 2.5, "slo-s": 0.75, "worth": 5}]
  }
}"#;

fn lines(problems: Vec<Problem>) -> Vec<String> {
    problems.iter().map(Problem::to_string).collect()
}

fn platform_problems(text: &str, env: &Environment) -> Vec<String> {
    Platform::parse(text.as_bytes(), Path::new("p.json"), env, false).map_or_else(lines, |_| Vec::new())
}

#[test]
fn platform_file_problems_have_line_and_key() {
    let none = Environment::default();
    assert_eq!(platform_problems(VALID, &none), Vec::<String>::new());
    type Changes = &'static [(&'static str, &'static str)];
    let cases: &[(Changes, &[&str])] = &[
        (&[("127.0.0.1:0", "nowhere")], &[r#"p.json:2: listen: "nowhere" is no address and port"#]),
        (
            &[(r#""discovery": "127.0.0.1:1","#, "")],
            &["p.json: discovery: is stated neither here nor by EDGE_DISCOVERY"],
        ),
        (&[("1024", "3")], &["p.json:4: limits.sockets: 3: sockets must be at least 64"]),
        (
            &[("1024", "-3")],
            &["p.json:4: limits.sockets: bad JSON: invalid value: integer `-3`, expected usize"],
        ),
        (&[("\"up\"", "\"asleep\"")], &[r#"p.json:5: known: a: unknown state "asleep""#]),
        (&[("\"az\": \"z\"", "\"az\": \"y\"")], &[r#"p.json:5: known: a: unknown az "y""#]),
        (&[("127.0.0.1:5", "5")], &[r#"p.json:5: known: a: bad endpoint "5""#]),
        (&[("32", "0")], &["p.json:9: settings.bounds.multiplex: 0 must be above 0"]),
        (&[("60.0", "-0.5")], &["p.json:10: settings.bounds.conn-idle-s: -0.5 must be 0 or more"]),
        (
            &[(r#""request-classes""#, r#""rules": {"cold-s": -1}, "request-classes""#)],
            &["p.json:11: settings.rules.cold-s: -1 must be 0 or more"],
        ),
        (
            &[(r#"[{"name": "read", "effect": "free", "give-up-s": 2.5, "slo-s": 0.75, "worth": 5}]"#, "[]")],
            &["p.json:11: settings.request-classes: there are no request classes"],
        ),
        (
            &[(r#""worth": 5"#, r#""worth": "much""#)],
            &[
                "p.json:11: settings.request-classes[0].worth: bad JSON: invalid type: string \"much\", expected f64",
            ],
        ),
        (&[(r#""give-up-s": 2.5, "#, "")], &["p.json:11: settings.request-classes.0.give-up-s: is missing"]),
        (&[("2.5", "-5")], &["p.json:11: settings.request-classes.0.give-up-s: -5 must be above 0"]),
        (
            &[("2.5", "1e9")],
            &["p.json:11: settings.request-classes.0.give-up-s: 1000000000 must be at most 3600"],
        ),
        (&[("0.75", "0")], &["p.json:11: settings.request-classes.0.slo-s: 0 must be above 0"]),
        (
            &[("0.75", "\"1\"")],
            &[
                "p.json:11: settings.request-classes[0].slo-s: bad JSON: invalid type: string \"1\", expected f64",
            ],
        ),
        (
            &[("\"free\"", "\"twice\"")],
            &[
                r#"p.json:11: settings.request-classes.0.effect: "twice" is none of free, guarded, single_shot"#,
            ],
        ),
        (&[(r#""effect": "free", "#, "")], &["p.json:11: settings.request-classes.0.effect: is missing"]),
        (&[(r#""name": "read", "#, "")], &["p.json:11: settings.request-classes.0.name: is missing"]),
        (&[(r#", "attempts-cap": 3"#, "")], &["p.json:9: settings.bounds.attempts-cap: is missing"]),
        (
            &[(r#""attempts-cap": 3"#, r#""attempts-cap": 0"#)],
            &["p.json:9: settings.bounds.attempts-cap: 0 must be above 0"],
        ),
        (
            &[(r#""attempts-cap": 3"#, r#""attempts-cap": 2000000"#)],
            &["p.json:9: settings.bounds.attempts-cap: 2000000 must be at most 1000"],
        ),
        (
            &[(r#""attempts-cap": 3"#, r#""attempts-cap": -1"#)],
            &["p.json:9: settings.bounds.attempts-cap: bad JSON: invalid value: integer `-1`, expected u32"],
        ),
        (&[("\"settings\"", "\"setting\"")], &["p.json:13: bad JSON: missing field `settings`"]),
        (&[("}]\n", "\n")], &["p.json:13: bad JSON: expected `,` or `]`"]),
        (
            &[("127.0.0.1:0", ""), ("127.0.0.1:1", "x:y"), ("32", "0")],
            &[
                "p.json:9: settings.bounds.multiplex: 0 must be above 0",
                r#"p.json:2: listen: "" is no address and port"#,
                r#"p.json:3: discovery: "x:y" is no address and port"#,
            ],
        ),
    ];
    for (changes, expected) in cases {
        let text = changes.iter().fold(VALID.to_string(), |text, (from, to)| text.replace(from, to));
        assert_ne!(text, VALID);
        assert_eq!(platform_problems(&text, &none), *expected, "{changes:?}");
    }
    for text in ["", "{", "[1", "\u{feff}{}", "{\"settings\":{}} x", "nul"] {
        let problems = platform_problems(text, &none);
        assert!(
            problems.len() == 1 && problems[0].starts_with("p.json:1: ") && problems[0].contains("bad JSON"),
            "{problems:?}"
        );
    }
}

#[test]
fn variables_take_precedence_except_discovery_on_reload() {
    let env = Environment {
        listen: Some("10.0.0.1".into()),
        discovery: Some("127.0.0.1:9".into()),
        ..Environment::default()
    };
    assert_eq!(platform_problems(VALID, &env), [r#"EDGE_LISTEN: "10.0.0.1" is no address and port"#]);
    let env = Environment { listen: None, name: Some("other".into()), ..env };
    let discovery = |text: &str, reload| {
        let platform = Platform::parse(text.as_bytes(), Path::new("p"), &env, reload).expect("sound");
        assert_eq!(platform.name, "other");
        platform.discovery.port()
    };
    assert_eq!(discovery(VALID, false), 9);
    assert_eq!(discovery(VALID, true), 1);
    assert_eq!(
        discovery(&VALID.replace("\"discovery\"", "\"was\""), true),
        9,
        "the file does not set discovery"
    );
}

#[test]
fn operators_file_problems_have_line_and_key() {
    let cases: &[(&str, &[&str])] = &[
        ("", &[]),
        ("# nothing\n[log]\n[limits]\n", &[]),
        ("[log]\nlevel = \"debug\"\nformat = \"json\"\nwindow_ms = 1000\nrepeats = 1\nlines = 2\n", &[]),
        ("log.level = \"warn\"\n", &[]),
        ("[lgo]\nx = 1\n", &["o.toml:1: lgo: unknown field `lgo`, expected one of `limits`, `log`, `fleet`"]),
        (
            "\n[log]\nlevle = \"warn\"\n",
            &[
                "o.toml:3: log.levle: unknown field `levle`, expected one of `level`, `format`, `window_ms`, `repeats`, `lines`",
            ],
        ),
        (
            "[limits.overload]\nknee = 0.9\ngive_up_late = true\n",
            &[
                "o.toml:3: limits.overload.give_up_late: was removed: requests in hand are never given up for others; take \
                 the line out",
            ],
        ),
        ("log = 3\n", &["o.toml:1: log: invalid type: integer `3`, expected a table"]),
        (
            "[log]\nrepeats = \"many\"\n",
            &["o.toml:2: log.repeats: invalid type: string \"many\", expected u32"],
        ),
        ("[log]\nrepeats = -1\n", &["o.toml:2: log.repeats: invalid value: integer `-1`, expected u32"]),
        (
            "log.repeats = 99999999999\n",
            &["o.toml:1: log.repeats: invalid value: integer `99999999999`, expected u32"],
        ),
        ("[log]\nrepeats = 0\n", &["o.toml:2: log.repeats: 0 is not within 1 to 10000"]),
        (
            "[log]\nlevel = \"loud\"\n",
            &["o.toml:2: log.level: \"loud\" is none of error, warn, info, debug, trace"],
        ),
        (
            "[log]\nlevel = \"info\"\nlevel = \"warn\"\n",
            &["o.toml:3: bad TOML: duplicate key in `level = \"warn\"`"],
        ),
        ("[log\nlevel = \"info\"\n", &["o.toml:1: bad TOML: unclosed table, expected `]` in `[log`"]),
        ("[log]\nlevel = info\n", &["o.toml:2: bad TOML: invalid float, expected `inf` in `level = info`"]),
        (
            "[log]\nwindow_ms = 5\n\nrepeats = 1.5\nlines = 0\ncolour = { a = 1 }\n[logs]\nx.y = 1\n",
            &[
                "o.toml:2: log.window_ms: 5 is not within 100 to 86400000",
                "o.toml:4: log.repeats: invalid type: floating point `1.5`, expected u32",
                "o.toml:5: log.lines: 0 is not within 1 to 10000",
                "o.toml:6: log.colour: unknown field `colour`, expected one of `level`, `format`, `window_ms`, `repeats`, `lines`",
                "o.toml:7: logs: unknown field `logs`, expected one of `limits`, `log`, `fleet`",
            ],
        ),
    ];
    for (text, expected) in cases {
        let problems = Operators::parse(text, Path::new("o.toml")).map_or_else(lines, |_| Vec::new());
        assert_eq!(problems, *expected, "{text}");
    }
}

#[test]
fn invalid_member_lists_are_rejected() {
    let options = Options { zones: vec!["z".into()], host_types: vec!["cache".into()], ..Options::default() };
    let list = |entry: &str| {
        let text = format!(r#"{{"rev":7,"all":true,"new":0,"targets":[{entry}]}}"#);
        MemberList::decode(&mut text.into_bytes(), &options)
    };
    const ENTRY: &str =
        r#"{"uid":"a","endpoint":"[::1]:5","az":"z","model":"cache","state":"up","boot_ms":1500}"#;
    let valid = list(ENTRY).expect("sound");
    assert!(valid.revision == 7 && valid.all && valid.targets[0].endpoint.port() == 5);
    assert_eq!(valid.targets[0].listed.since, Some(1_500_000));
    type Is = fn(&ListError) -> bool;
    let cases: [(&str, &str, Is); 5] = [
        ("\"up\"", "\"UP\"", |e| matches!(e, ListError::State { state, .. } if state == "UP")),
        ("[::1]:5", "[::1]", |e| matches!(e, ListError::Endpoint { uid, .. } if uid == "a")),
        ("\"z\"", "\"\"", |e| matches!(e, ListError::Name { what: "az", .. })),
        ("cache", "toy", |e| matches!(e, ListError::Name { what: "model", name, .. } if name == "toy")),
        ("\"a\"", "5", |e| matches!(e, ListError::Json(_))),
    ];
    for (from, to, is) in cases {
        let error = list(&ENTRY.replace(from, to)).expect_err(to);
        assert!(is(&error), "{error}");
    }
}

#[test]
fn reloaded_file_must_have_all_keys_of_the_one_in_force() {
    let parse = |text: &str| {
        Platform::parse(text.as_bytes(), Path::new("p.json"), &Environment::default(), true).expect("sound")
    };
    let in_force = parse(VALID);
    let lost_keys = |from: &str, to: &str| {
        assert!(VALID.contains(from));
        let result = parse(&VALID.replace(from, to)).check_no_key_lost(&in_force, Path::new("p.json"));
        result.map_or_else(|e| e.iter().map(Problem::to_string).collect(), |()| Vec::new())
    };
    let expected = |key: &str| vec![format!("p.json: {key}: is missing, and the file in force has it")];
    assert_eq!(lost_keys(r#", "worth": 5"#, ""), expected("settings.request-classes[].worth"));
    assert_eq!(lost_keys(r#""zones": ["z"],"#, r#""zones": ["z"], "new": 1,"#), Vec::<String>::new());
    assert_eq!(lost_keys(r#""cores": 0.5, "#, ""), expected("limits.cores"));
    assert_eq!(lost_keys(r#""rev": 4, "#, ""), Vec::<String>::new(), "the remembered list is no setting");
}

/// A file with optional and unknown keys at every level.
const RICH: &str = r#"{
  "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "management": "127.0.0.1:2", "novel": {"a": [{"b": 1}]},
  "limits": {"cores": 0.5, "sockets": 1024, "burst": 2},
  "settings": {
    "zones": ["z"], "host-types": ["cache"], "unheard-of": [{"a": 1}, {"b": 2}],
    "bounds": {"multiplex": 32, "attempts-cap": 3, "fresh": {"deep": 1}},
    "rules": {"cold-s": 24.0, "budget-free": 3.0, "extra-ratio": 0.1, "resend-span-s": 10.0, "gone-is-advice": true},
    "tariffs": {"waste": 0.05, "fleet": 0.1},
    "customers": [{"name": "a", "quota-per-s": 5.0, "tier": 1}, {"name": "b", "quota-per-s": 6.0}],
    "request-classes": [
      {"name": "read", "effect": "free", "give-up-s": 2.5, "slo-s": 0.75, "worth": 5},
      {"name": "put", "effect": "guarded", "give-up-s": 2.5, "slo-s": 0.75, "worth": 5, "window-s": 9.0, "hue": "red"},
      {"name": "trial", "effect": "free", "give-up-s": 2.5, "slo-s": 0.75, "worth": 5, "aim-stretch": 2.0}
    ]
  }
}"#;

/// The keys that are reported as lost when the text of `RICH` is changed as told.
fn keys_lost(changes: &[(&str, &str)]) -> Vec<String> {
    let parse = |text: &str| {
        Platform::parse(text.as_bytes(), Path::new("p.json"), &Environment::default(), true).expect("sound")
    };
    let changed = changes.iter().fold(RICH.to_string(), |text, (from, to)| {
        assert!(text.contains(from), "{from}");
        text.replacen(from, to, 1)
    });
    let result = parse(&changed).check_no_key_lost(&parse(RICH), Path::new("p.json"));
    result.map_or_else(|e| e.iter().map(|problem| problem.key.clone()).collect(), |()| Vec::new())
}

/// Fails if a good new configuration is refused because a key that may be absent, or is unknown, is gone.
#[test]
fn a_reloaded_file_may_lack_keys_that_are_optional_or_unknown() {
    const TRIAL: &str = r#",
      {"name": "trial", "effect": "free", "give-up-s": 2.5, "slo-s": 0.75, "worth": 5, "aim-stretch": 2.0}"#;
    const PUT: &str = r#"
      {"name": "put", "effect": "guarded", "give-up-s": 2.5, "slo-s": 0.75, "worth": 5, "window-s": 9.0, "hue": "red"},"#;
    for (gone, left) in [
        (TRIAL, ""),
        (r#", "aim-stretch": 2.0"#, ""),
        (r#", "hue": "red""#, ""),
        (PUT, ""),
        (r#""management": "127.0.0.1:2", "#, ""),
        (r#", "novel": {"a": [{"b": 1}]}"#, ""),
        (r#"{"a": [{"b": 1}]}"#, "7"),
        (r#", "burst": 2"#, ""),
        (r#" "unheard-of": [{"a": 1}, {"b": 2}],"#, ""),
        (r#"{"a": 1}, "#, ""),
        (r#", "fresh": {"deep": 1}"#, ""),
        (r#"{"deep": 1}"#, "{}"),
        (r#", "budget-free": 3.0, "extra-ratio": 0.1, "resend-span-s": 10.0, "gone-is-advice": true"#, ""),
        (r#", "fleet": 0.1"#, ""),
        (r#", "tier": 1"#, ""),
        (r#"{"name": "a", "quota-per-s": 5.0, "tier": 1}, {"name": "b", "quota-per-s": 6.0}"#, ""),
    ] {
        assert_eq!(keys_lost(&[(gone, left)]), Vec::<String>::new(), "without {gone}");
    }
}

/// Fails if a broken file is applied, because a documented key is missing at any level or in one element.
#[test]
fn a_reloaded_file_without_a_documented_key_is_broken() {
    let class = r#""name": "renamed", "effect": "free", "give-up-s": 2.5, "slo-s": 0.75, "worth": 5, "aim"#;
    for (change, key) in [
        ((r#""name": "n0", "#, ""), "name"),
        ((r#""cores": 0.5, "#, ""), "limits.cores"),
        ((r#""zones": ["z"], "#, r#""novel": 1, "#), "settings.zones"),
        ((r#", "host-types": ["cache"]"#, ""), "settings.host-types"),
        ((r#""cold-s": 24.0, "#, ""), "settings.rules.cold-s"),
        ((r#""waste": 0.05, "#, ""), "settings.tariffs.waste"),
        ((r#""name": "b", "quota-per-s": 6.0"#, r#""name": "b""#), "settings.customers[].quota-per-s"),
        ((r#""slo-s": 0.75, "worth": 5}"#, r#""slo-s": 0.75}"#), "settings.request-classes[].worth"),
        ((r#""window-s": 9.0, "#, ""), "settings.request-classes[].window-s"),
    ] {
        assert_eq!(keys_lost(&[change]), [key], "{change:?}");
    }
    let renamed =
        (r#""name": "trial", "effect": "free", "give-up-s": 2.5, "slo-s": 0.75, "worth": 5, "aim"#, class);
    assert_eq!(keys_lost(&[renamed]), Vec::<String>::new());
    assert_eq!(
        keys_lost(&[renamed, (r#""worth": 5, "aim"#, r#""aim"#)]),
        ["settings.request-classes[].worth"]
    );
}
