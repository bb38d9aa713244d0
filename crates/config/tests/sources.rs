//! The configuration from all sources, the source of each setting, and the operators' file that is shipped.

#![allow(clippy::disallowed_methods)]

use lapisrudder_config::{
    Arguments, Environment, Fleet, Format, Level, Operators, Owner, Setting, Source, Sources, to_toml,
};
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Writes a file with this text to the tests' own directory.
fn file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", std::process::id()));
    fs::write(&path, text).expect("a file");
    path
}

const PLATFORM: &str = "{\"listen\":\"127.0.0.1:0\",\n\"discovery\":\"127.0.0.1:1\",\"settings\":{\"bounds\":{\n\"cancel\":true,\"attempts-cap\":1},\"request-classes\":[{\"name\":\"read\",\"effect\":\"free\",\"give-up-s\":1,\"slo-s\":1}]}}";

fn sources(name: &str, operators: &str) -> Sources {
    Sources {
        environment: Environment {
            config: Some(file(&format!("{name}.json"), PLATFORM)),
            name: Some("n7".into()),
            ..Environment::default()
        },
        operators: Some(file(&format!("{name}.toml"), operators)),
        arguments: Arguments::default(),
    }
}

fn find<'s>(settings: &'s [Setting], key: &str) -> &'s Setting {
    settings.iter().find(|s| s.key == key).unwrap_or_else(|| panic!("{key}"))
}

#[test]
fn each_setting_names_its_source() {
    let mut sources = sources("named", "[log]\n\nlevel = \"warn\"\nrepeats = 7\n");
    sources.arguments.log_level = Some(Level::Debug);
    sources.arguments.log_format = Some(Format::Json);
    let settings = sources.explain().expect("sound");
    let json = sources.environment.config.clone().expect("a file");
    let toml = sources.operators.clone().expect("a file");
    let at = |file: &Path, line| Source::File { file: file.into(), line };
    for (key, value, source) in [
        ("name", "\"n7\"", Source::Environment { variable: "EDGE_NAME" }),
        ("listen", "\"127.0.0.1:0\"", at(&json, 1)),
        ("discovery", "\"127.0.0.1:1\"", at(&json, 2)),
        ("limits.sockets", "1024", Source::Default),
        ("settings.bounds.cancel", "true", at(&json, 3)),
        ("settings.bounds.most-held", "20000", Source::Default),
        ("log.level", "\"debug\"", Source::Argument { name: "--log-level" }),
        ("log.format", "\"json\"", Source::Argument { name: "--log-format" }),
        ("log.repeats", "7", at(&toml, 4)),
        ("log.lines", "100", Source::Default),
    ] {
        let setting = find(&settings, key);
        assert_eq!((setting.value.to_string().as_str(), &setting.source), (value, &source), "{key}");
    }
    assert_eq!(find(&settings, "log.repeats").owner, Owner::Operators);
    let text = to_toml(&settings);
    assert!(text.contains("# platform: name = \"n7\"  # environment EDGE_NAME\n"), "{text}");
    assert!(text.contains(&format!("repeats = 7  # {}:4\n", toml.display())), "{text}");
    let (again, _) = Operators::parse(&text, Path::new("printed")).expect("an operators' file");
    assert_eq!(again, sources.load().expect("sound").operators);
    assert!(again.log.repeats == 7 && again.log.level == Level::Debug);
}

#[test]
fn problems_of_both_files_are_reported_together_and_corrected_files_load() {
    let sources = sources("both", "[log]\nlines = 0\nx = 1\n");
    let json = sources.environment.config.clone().expect("a file");
    let toml = sources.operators.clone().expect("a file");
    fs::write(&json, PLATFORM.replace("127.0.0.1:0", "here")).expect("written");
    let problems = sources.reload().expect_err("bad");
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    let (json, toml) = (json.display(), toml.display());
    assert_eq!(lines[0], format!("{json}:1: listen: \"here\" is no address and port"));
    assert_eq!(lines[1], format!("{toml}:2: log.lines: 0 is not within 1 to 10000"));
    assert!(
        lines[2].starts_with(&format!("{toml}:3: log.x: unknown field `x`")) && lines.len() == 3,
        "{lines:?}"
    );
    assert_eq!(problems.to_string(), format!("{} (and 2 more, see `check-config`)", lines[0]));
    fs::write(json.to_string(), PLATFORM).expect("written");
    fs::write(toml.to_string(), "[log]\nlines = 3\n").expect("written");
    assert_eq!(sources.reload().expect("sound").operators.log.lines, 3);
}

#[test]
fn missing_and_non_utf8_files_are_reported() {
    let problems = |sources: &Sources| sources.load().expect_err("bad").to_string();
    assert_eq!(problems(&Sources::default()), "EDGE_CONFIG is not set");
    let mut sources = sources("missing", "");
    sources.operators = Some("/nonexistent/o.toml".into());
    assert_eq!(
        problems(&sources),
        "/nonexistent/o.toml: cannot read it: No such file or directory (os error 2)"
    );
    let path = file("latin.toml", "");
    fs::write(&path, b"# one\n# caf\xe9\n").expect("written");
    sources.operators = Some(path.clone());
    assert_eq!(problems(&sources), format!("{}:2: bad TOML: it is not UTF-8", path.display()));
    sources = Sources { operators: None, ..sources };
    assert_eq!(sources.load().expect("sound").operators, Operators::default());
}

/// The shipped file has each key as a comment (`#key = value`, without a space) with its default as the
/// value.
#[test]
fn shipped_operators_file_has_each_key_with_its_default() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/lapisrudder.toml");
    let text = fs::read_to_string(&path).expect("the file");
    let (operators, stated) = Operators::parse(&text, &path).expect("sound");
    assert_eq!(operators, Operators::default(), "as shipped it changes nothing");
    let is_key = |c: char| c.is_ascii_lowercase() || c == '[';
    let uncommented: Vec<&str> = text
        .lines()
        .map(|line| line.strip_prefix('#').filter(|l| l.starts_with(is_key)).unwrap_or(line))
        .collect();
    let (all, lines) = Operators::parse(&uncommented.join("\n"), &path).expect("each key exists");
    // `[fleet]` is commented out in the shipped file, so that by default it does not exist.
    let expected = Operators { fleet: Some(Fleet::default()), ..Operators::default() };
    assert_eq!(all, expected, "each value is the default");
    let with_fleet = file("fleet.toml", "[fleet]");
    let with_fleet = Sources { operators: Some(with_fleet), ..Sources::default() };
    let settings = with_fleet.explain().expect("defaults");
    let existing: BTreeSet<&str> = settings.iter().map(|s| s.key.as_str()).collect();
    assert!(stated.keys().all(|key| !existing.contains(key.as_str())), "it sets no key: {stated:?}");
    let present: BTreeSet<&str> = lines.keys().map(String::as_str).filter(|k| existing.contains(k)).collect();
    assert_eq!(present, existing, "it has all keys");
}
