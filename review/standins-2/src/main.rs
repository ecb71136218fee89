//! Runs a case of the review: `standins-2 CASE RECORD`. Exits with 1 if a rule was broken, 0 if it held,
//! and 2 if the case couldn't run. `TROUBLE=0` leaves out the disruption.

mod case4;
mod case5;
mod case6;
mod case7;
mod case8;
mod cluster;
mod http;
mod machine;
mod state;
mod util;
mod waiting;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    cluster::limit_time(116.0);
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    match args.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [_, "4", record] => case4::run(trouble, record),
        [_, "5", record] => case5::run(trouble, record),
        [_, "6", record] => case6::run(trouble, record),
        [_, "7", record] => case7::run(trouble, record),
        [_, "8", record] => case8::run(trouble, record),
        _ => {
            eprintln!("usage: standins-2 CASE RECORD");
            std::process::exit(2);
        }
    }
}
