//! Prints what balancers without shared state send together to a new server among ten, to the origin, and as
//! retries, by their number: `cargo run --release -p lapisrudder-decisions --example copies`.

#[path = "../tests/copies/world.rs"]
mod world;
use lapisrudder_decisions::Mode;
use world::*;

const TRAFFIC: [Traffic; 2] = [Traffic::Burst, Traffic::Steady];

fn main() {
    println!("{LOAD} requests per second by all balancers; a warm server has a capacity of {CAPACITY}.");
    println!(
        "Load: sends in the worst 2 s relative to the new server's capacity in them; share: relative to its warm share.\n"
    );
    println!(
        "| balancers | configured | burst: load | sends | two tokens | sends | steady: load | share | two tokens | share |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for balancers in [1u32, 3, 12, 30, 100, 300, 1_000] {
        let two_tokens = TRAFFIC.map(|traffic| new_server_load(TwoTokenRule::all(balancers), traffic, 5));
        for configured in [balancers, balancers.div_ceil(3)] {
            let now = TRAFFIC
                .map(|traffic| new_server_load(group(balancers, configured, Mode::Through), traffic, 5));
            print!("| {balancers} | {configured} | {:.2} | {} ", now[0].most, now[0].sends);
            print!("| {:.2} | {} ", two_tokens[0].most, two_tokens[0].sends);
            print!("| {:.2} | {:.2} ", now[1].most, now[1].share);
            println!("| {:.2} | {:.2} |", two_tokens[1].most, two_tokens[1].share);
        }
    }
    println!(
        "\n| balancers | configured | origin: in flight | in 5 s | in flight after 61 s idle | retries | requests |"
    );
    println!("|---|---|---|---|---|---|---|");
    for balancers in [1u32, 3, 12, 30, 100, 300, 1_000] {
        for configured in [balancers, balancers.div_ceil(3)] {
            let (most, got) = burst_of_misses(balancers, configured, 0);
            let (later, _) = burst_of_misses(balancers, configured, 61 * S);
            let (requests, retries) = rejecting_servers(balancers, configured);
            println!("| {balancers} | {configured} | {most} | {got} | {later} | {retries} | {requests} |");
        }
    }
}
