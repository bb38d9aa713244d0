//! How many arrivals a second are drawn: `cargo run --release -p lapisrudder-model --example draw_speed`.

use std::time::Instant;

use lapisrudder_model::arrivals::{Arrivals, Class, Load, LoadError, OnOff, Population};
use lapisrudder_model::keys::Keys;
use lapisrudder_model::mix::Spread;
use lapisrudder_model::profile::Profile;

fn main() -> Result<(), LoadError> {
    let read =
        Class { name: "read".into(), give_up: 2_500_000, aim: 750_000, worth: 5.0, ..Class::default() };
    let keys = Keys { population: 1_000_000, exponent: 0.9, ..Keys::default() };
    let even =
        Population { keys, sources: 10_000, rate: Profile::constant(50_000.0), ..Population::default() };
    let on_off = OnOff { on: Spread::Exponential(1e6), off: Spread::Exponential(1e6) };
    let turns = Population { on_off: Some(on_off), ..even.clone() };
    for (name, population) in [("Poisson", even), ("10,000 clients in turns", turns)] {
        let load = Load { span: 60_000_000, classes: vec![read.clone()], populations: vec![population] };
        let begun = Instant::now();
        let drawn = Arrivals::new(&load, 1)?.count();
        println!(
            "{name}: {drawn} arrivals, {:.2} million a second",
            drawn as f64 / begun.elapsed().as_secs_f64() / 1e6
        );
    }
    Ok(())
}
