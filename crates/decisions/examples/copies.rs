//! What copies that cannot see each other send together to a fresh server among ten, to the origin and again, by
//! their number. `cargo run --release -p lapisrudder-decisions --example copies`.

#[path = "../tests/copies/world.rs"]
mod world;
use lapisrudder_decisions::Mode;
use world::*;

const DAYS: [Day; 2] = [Day::Opening, Day::Steady];

fn main() {
    println!("{LOAD} requests a second by all copies; one warm server can do {CAPACITY}.");
    println!(
        "Pressure: sends in the worst 2 s over what the fresh server can do in them; share: of its warm part.\n"
    );
    println!(
        "| copies | told | opening: pressure | sends | former | sends | steady: pressure | share | former | share |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for copies in [1u32, 3, 12, 30, 100, 300, 1_000] {
        let former = DAYS.map(|day| fresh_server(Former::all(copies), day, 5));
        for told in [copies, copies.div_ceil(3)] {
            let now = DAYS.map(|day| fresh_server(balancers(copies, told, Mode::Through), day, 5));
            print!("| {copies} | {told} | {:.2} | {} ", now[0].most, now[0].sends);
            print!("| {:.2} | {} ", former[0].most, former[0].sends);
            print!("| {:.2} | {:.2} ", now[1].most, now[1].share);
            println!("| {:.2} | {:.2} |", former[1].most, former[1].share);
        }
    }
    println!(
        "\n| copies | told | origin: in flight | in 5 s | in flight after 61 s idle | further attempts | requests |"
    );
    println!("|---|---|---|---|---|---|---|");
    for copies in [1u32, 3, 12, 30, 100, 300, 1_000] {
        for told in [copies, copies.div_ceil(3)] {
            let (most, got) = opening_at_the_origin(copies, told, 0);
            let (later, _) = opening_at_the_origin(copies, told, 61 * S);
            let (requests, further) = bad_moment(copies, told);
            println!("| {copies} | {told} | {most} | {got} | {later} | {further} | {requests} |");
        }
    }
}
