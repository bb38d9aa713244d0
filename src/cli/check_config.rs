//! `check-config`: prints all problems of the configuration, one in a line.

use lapisrudder_config::{Problems, Sources};
use std::process::ExitCode;

pub fn run(sources: &Sources) -> ExitCode {
    let checked = match (&sources.environment.config, &sources.operators) {
        // The operators' file can be checked where the platform's file is not available.
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
    match checked {
        Ok(line) => {
            println!("{line}");
            ExitCode::SUCCESS
        }
        Err(problems) => {
            print_problems(&problems);
            ExitCode::FAILURE
        }
    }
}

fn print_problems(problems: &Problems) {
    problems.iter().for_each(|problem| eprintln!("{problem}"));
}
