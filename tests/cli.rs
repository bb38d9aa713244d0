//! The sub-commands, and a running node whose configuration changes.

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Output, Stdio};

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json");
const DELIVERED: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/lapisrudder.toml");

fn file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("cli-{}-{name}", std::process::id()));
    fs::write(&path, text).expect("a file");
    path
}

fn program(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lapisrudder"));
    command.args(arguments).env_clear().stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// Standard output and error, and whether it ended well.
fn said(output: Output) -> (String, String, bool) {
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    (text(output.stdout), text(output.stderr), output.status.success())
}

#[test]
fn check_config_tells_each_problem_on_a_line_and_ends_badly() {
    let sound = file("sound.toml", "[log]\nlevel = \"warn\"\n");
    let bad = file("bad.toml", "[log]\nlevel = 3\n\nlinse = 1\n");
    let json = file("bad.json", &fs::read_to_string(EXAMPLE).expect("it").replace("1024", "5"));
    let [sound, bad, json] = [&sound, &bad, &json].map(|p| p.to_str().expect("UTF-8"));
    let of_bad = format!(
        "{bad}:2: log.level: invalid type: integer `3`, expected a string\n{bad}:4: log.linse: unknown field \
         `linse`, expected one of `level`, `format`, `window_ms`, `repeats`, `lines`\n"
    );
    let of_json = format!("{json}:7: limits.sockets: 5: sockets must be at least 64\n");
    let of_example = "configuration of n0 is sound: 0 pool members known\n".to_string();
    for (platform, operators, out, err) in [
        (Some(EXAMPLE), None, of_example.clone(), String::new()),
        (Some(EXAMPLE), Some(sound), of_example.clone(), String::new()),
        (Some(EXAMPLE), Some(DELIVERED), of_example, String::new()),
        (Some(EXAMPLE), Some(bad), String::new(), of_bad.clone()),
        (Some(json), Some(sound), String::new(), of_json.clone()),
        (Some(json), Some(bad), String::new(), of_json + &of_bad),
        (None, Some(bad), String::new(), of_bad),
        (
            None,
            Some(sound),
            format!("{sound} is sound; EDGE_CONFIG is not set, so the platform's file was not looked at\n"),
            String::new(),
        ),
        (None, None, String::new(), "EDGE_CONFIG is not set\n".to_string()),
    ] {
        let mut command = program(&["check-config"]);
        command.envs(platform.map(|p| ("EDGE_CONFIG", p)));
        command.args(operators.map(|o| format!("--config={o}")));
        let good = err.is_empty();
        assert_eq!(said(command.output().expect("it runs")), (out, err, good), "{platform:?} {operators:?}");
    }
}

#[test]
fn config_prints_what_is_in_force_and_where_it_came_from() {
    let run = |arguments: &[&str]| {
        let mut command = program(arguments);
        said(command.env("EDGE_CONFIG", EXAMPLE).env("EDGE_NAME", "n9").output().expect("it runs"))
    };
    let (toml, err, good) = run(&["config", "--config", DELIVERED, "--log-level", "warn"]);
    assert!(good && err.is_empty(), "{err}");
    for line in [
        "# platform: name = \"n9\"  # environment EDGE_NAME".to_string(),
        format!("# platform: limits.sockets = 1024  # {EXAMPLE}:7"),
        "# platform: settings.over-share-worth = 1.0  # default".into(),
        "[log]".into(),
        "level = \"warn\"  # argument --log-level".into(),
        "repeats = 5  # default".into(),
    ] {
        assert!(toml.lines().any(|l| l == line), "{line}\n{toml}");
    }
    let (json, _, good) = run(&["config", "--format", "json"]);
    let all: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    let all = all.as_array().expect("an array");
    let name = all.iter().find(|s| s["key"] == "name").expect("the name");
    assert!(good && name["value"] == "n9" && name["part"] == "platform", "{name}");
    assert_eq!(name["source"], serde_json::json!({"kind": "environment", "variable": "EDGE_NAME"}));
    let (out, err, good) = run(&["config", "--log-level", "loud"]);
    assert!(
        !good && out.is_empty() && err.contains("\"loud\" is none of error, warn, info, debug, trace"),
        "{err}"
    );
}

struct Node {
    child: Child,
    log: BufReader<ChildStderr>,
}

impl Node {
    fn hang_up(&self) {
        let status = Command::new("kill").args(["-HUP", &self.child.id().to_string()]).status();
        assert!(status.expect("kill").success());
    }

    /// The next line of the log that has this in it.
    fn told(&mut self, part: &str) -> String {
        loop {
            let mut line = String::new();
            assert_ne!(self.log.read_line(&mut line).expect("a line"), 0, "{part} is not told");
            if line.contains(part) {
                return line;
            }
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn a_reload_takes_both_files_or_neither_and_says_so_in_one_line() {
    let json = file("reload.json", &fs::read_to_string(EXAMPLE).expect("it"));
    let toml = file("reload.toml", "[log]\nformat = \"json\"\n");
    let mut child = program(&["serve", "--config", toml.to_str().expect("UTF-8")])
        .envs([
            ("EDGE_LISTEN", "127.0.0.1:0"),
            ("EDGE_DISCOVERY", "127.0.0.1:1"),
            ("EDGE_MANAGEMENT", "127.0.0.1:0"),
        ])
        .env("EDGE_CONFIG", &json)
        .spawn()
        .expect("it starts");
    let mut first = String::new();
    BufReader::new(child.stdout.take().expect("output")).read_line(&mut first).expect("a line");
    assert!(first.starts_with("n0 listens on 127.0.0.1:"), "{first}");
    let log = BufReader::new(child.stderr.take().expect("output"));
    let mut node = Node { child, log };
    // A bad file of the operators: not even the sound one of the platform is taken.
    let sound = fs::read_to_string(&json).expect("it");
    fs::write(&json, sound.replace("127.0.0.1:21500", "127.0.0.1:2")).expect("written");
    fs::write(&toml, "[log]\nformat = \"text\"\nlevel = 5\n").expect("written");
    node.hang_up();
    let line = node.told("reload");
    let problem = format!("{}:3: log.level: invalid type", toml.display());
    assert!(
        line.starts_with('{') && line.contains("the old configuration stays") && line.contains(&problem),
        "{line}"
    );
    // A bad file of the platform: not even the sound one of the operators is taken.
    fs::write(&json, sound.replace("127.0.0.1:21500", "nowhere")).expect("written");
    fs::write(&toml, "[log]\nformat = \"text\"\n").expect("written");
    node.hang_up();
    let line = node.told("reload");
    let problem = format!("{}:4: discovery: ", json.display());
    assert!(
        line.starts_with('{') && line.contains("the old configuration stays") && line.contains(&problem),
        "{line}"
    );
    // Both are sound.
    fs::write(&json, sound.replace("127.0.0.1:21500", "127.0.0.1:2")).expect("written");
    node.hang_up();
    let line = node.told("reload: discovery");
    assert!(line.contains("INFO lapisrudder::net::node: reload: discovery is now at 127.0.0.1:2"), "{line}");
}

#[test]
fn limits_explain_says_what_would_happen_under_the_operators_settings() {
    let known = file("known.toml", "[limits.known]\nprefixes = ['10.1.0.0/16']\nconnections = 9\n");
    let bad = file("badly.toml", "[limits.keep]\nearly_from = 2\n");
    for (path, address, more, says, good) in [
        (&known, "10.1.2.3", "--connections=3", "source 10.1.2.3, weight 1, a known client", true),
        (&known, "192.0.2.1", "--stage=2", "a new connection is refused", true),
        (&known, "nobody", "--stage=2", "invalid value 'nobody'", false),
        (&known, "192.0.2.1", "--stage=4", "4 is not in 0..=3", false),
        (&bad, "192.0.2.1", "--stage=0", ":2: limits.keep.early_from: 2 is not 0 to 1", false),
    ] {
        let config = format!("--config={}", path.display());
        let (out, err, well) =
            said(program(&["limits", "explain", address, &config, more]).output().unwrap());
        assert!(well == good && (out + &err).contains(says), "{says}: {err}");
    }
}
