//! The scripts of the second review: `review-cases-2 CASE RECORD`, started at the repository's root. Exit codes: 1 if the
//! rule was broken, 0 if it held, 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod crashes;
mod http;
mod keys;
mod site;
mod store;
mod streams;
mod uploads;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let [case, record] = arguments.as_slice() else {
        eprintln!("usage: review-cases-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let outcome = site::Record::create(record).and_then(|record| match case.as_str() {
        "crashes" => crashes::run(&record, has_trouble),
        "streams" => streams::run(&record, has_trouble),
        "uploads" => uploads::run(&record, has_trouble),
        "fraction" => keys::run_fraction(&record, has_trouble),
        "open-route" => keys::run_open_route(&record, has_trouble),
        _ => Err(std::io::Error::other("no such case")),
    });
    match outcome {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
