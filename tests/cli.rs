//! The sub-commands of the program, and configuration reloads of a running node.

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Output, Stdio};

/// The platform's configuration file that comes as an example.
const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json");
/// The operators' configuration file that is deployed by default.
const DEPLOYED: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/lapisrudder.toml");

/// Writes a file for the test; gives its path.
fn file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("cli-{}-{name}", std::process::id()));
    fs::write(&path, text).expect("a file");
    path
}

/// The command that runs the program with these arguments and an empty environment.
fn program(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lapisrudder"));
    command.args(arguments).env_clear().stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// Standard output, standard error, and whether the exit status is a success.
fn results(output: Output) -> (String, String, bool) {
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    (text(output.stdout), text(output.stderr), output.status.success())
}

/// Fails if `check-config` misses a problem of either file, does not give its file and line, or exits with
/// success.
#[test]
fn check_config_prints_a_line_per_problem_and_fails() {
    let sound = file("sound.toml", "[log]\nlevel = \"warn\"\n");
    let bad = file("bad.toml", "[log]\nlevel = 3\n\nlinse = 1\n");
    let json = file("bad.json", &fs::read_to_string(EXAMPLE).expect("its text").replace("1024", "5"));
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
        (Some(EXAMPLE), Some(DEPLOYED), of_example, String::new()),
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
        assert_eq!(
            results(command.output().expect("it runs")),
            (out, err, good),
            "{platform:?} {operators:?}"
        );
    }
}

/// Fails if `config` prints a value that is not in force, or a wrong source of it.
#[test]
fn config_prints_each_value_in_force_and_its_source() {
    let run = |arguments: &[&str]| {
        let mut command = program(arguments);
        results(command.env("EDGE_CONFIG", EXAMPLE).env("EDGE_NAME", "n9").output().expect("it runs"))
    };
    let (toml, err, good) = run(&["config", "--config", DEPLOYED, "--log-level", "warn"]);
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

/// A running node and its log.
struct Node {
    child: Child,
    log: BufReader<ChildStderr>,
}

impl Node {
    /// Sends SIGHUP, which makes the node reload its files.
    fn reload(&self) {
        let status = Command::new("kill").args(["-HUP", &self.child.id().to_string()]).status();
        assert!(status.expect("kill").success());
    }

    /// The next line of the log that contains this text.
    fn log_line(&mut self, part: &str) -> String {
        loop {
            let mut line = String::new();
            assert_ne!(self.log.read_line(&mut line).expect("a line"), 0, "the log ends without {part:?}");
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

/// Fails if a reload applies one of the two files while the other one has an error, or does not log the
/// outcome in one line.
#[test]
fn a_reload_applies_both_files_or_neither_and_logs_one_line() {
    let json = file("reload.json", &fs::read_to_string(EXAMPLE).expect("its text"));
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
    // The operators' file has an error: the platform's valid file is not applied either.
    let sound = fs::read_to_string(&json).expect("its text");
    fs::write(&json, sound.replace("127.0.0.1:21500", "127.0.0.1:2")).expect("written");
    fs::write(&toml, "[log]\nformat = \"text\"\nlevel = 5\n").expect("written");
    node.reload();
    let line = node.log_line("reload");
    let problem = format!("{}:3: log.level: invalid type", toml.display());
    assert!(
        line.starts_with('{') && line.contains("the old configuration stays") && line.contains(&problem),
        "{line}"
    );
    // The platform's file has an error: the operators' valid file is not applied either.
    fs::write(&json, sound.replace("127.0.0.1:21500", "nowhere")).expect("written");
    fs::write(&toml, "[log]\nformat = \"text\"\n").expect("written");
    node.reload();
    let line = node.log_line("reload");
    let problem = format!("{}:4: discovery: ", json.display());
    assert!(
        line.starts_with('{') && line.contains("the old configuration stays") && line.contains(&problem),
        "{line}"
    );
    // Both files are valid.
    fs::write(&json, sound.replace("127.0.0.1:21500", "127.0.0.1:2")).expect("written");
    node.reload();
    let line = node.log_line("reload: discovery");
    assert!(line.contains("INFO lapisrudder::net::node: reload: discovery is now at 127.0.0.1:2"), "{line}");
}

/// Fails if `limits explain` does not apply the operators' file, or accepts a bad argument or a bad file.
#[test]
fn limits_explain_applies_the_operators_settings() {
    let known = file("known.toml", "[limits.known]\nprefixes = ['10.1.0.0/16']\nconnections = 9\n");
    let bad = file("badly.toml", "[limits.keep]\nearly_from = 2\n");
    for (path, address, option, expected, good) in [
        (&known, "10.1.2.3", "--connections=3", "source 10.1.2.3, weight 1, a known client", true),
        (&known, "192.0.2.1", "--stage=2", "a new connection is refused", true),
        (&known, "nobody", "--stage=2", "invalid value 'nobody'", false),
        (&known, "192.0.2.1", "--stage=4", "4 is not in 0..=3", false),
        (&bad, "192.0.2.1", "--stage=0", ":2: limits.keep.early_from: 2 is not 0 to 1", false),
    ] {
        let config = format!("--config={}", path.display());
        let (out, err, success) =
            results(program(&["limits", "explain", address, &config, option]).output().unwrap());
        assert!(success == good && (out + &err).contains(expected), "{expected}: {err}");
    }
}
