//! `check-config`: one line a problem, all of them.

use lapisrudder_config::{Problems, Sources};
use std::process::ExitCode;

pub fn run(sources: &Sources) -> ExitCode {
    let sound = match (&sources.environment.config, &sources.operators) {
        // For those who have their own file at hand, but not what the platform will say.
        (None, Some(path)) => sources.load_operators().map(|_| {
            format!(
                "{} is sound; EDGE_CONFIG is not set, so the platform's file was not looked at",
                path.display()
            )
        }),
        _ => sources.load().map(|config| {
            let platform = config.platform;
            format!(
                "configuration of {} is sound: {} pool members known",
                platform.name,
                platform.known.len()
            )
        }),
    };
    match sound {
        Ok(line) => {
            println!("{line}");
            ExitCode::SUCCESS
        }
        Err(problems) => {
            tell(&problems);
            ExitCode::FAILURE
        }
    }
}

fn tell(problems: &Problems) {
    problems.iter().for_each(|problem| eprintln!("{problem}"));
}
