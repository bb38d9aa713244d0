//! The cases of the review: `stand CASE ROOT RECORD`. Exits with 1 if the rule was broken, 0 if it held, 2 if the
//! case could not run. `TROUBLE=0` leaves the disruption out.

mod burst;
mod left;
mod reload;
mod stop;
mod streams;
mod swap;
mod uploads;
mod world;

/// No case may take longer.
const LONGEST: u64 = 110_000;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = &args[..] else {
        eprintln!("stand CASE ROOT RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = world::Record::new(record);
    let late = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(world::ms(LONGEST));
        late.say("the case took too long");
        world::end_all_nodes();
        std::process::exit(2);
    });
    let code = match case.as_str() {
        "burst" => burst::run(root, trouble, &record),
        "reload" => reload::run(root, trouble, &record),
        "uploads" => uploads::run(root, trouble, &record),
        "swap" => swap::run(root, trouble, &record),
        "left" => left::run(root, trouble, &record),
        "stop" => stop::run(root, trouble, &record),
        "streams" => streams::run(root, trouble, &record),
        _ => 2,
    };
    record.say(format!("exit {code}"));
    std::process::exit(code);
}
