//! Drivers and stand-ins of the review's cases: `review-standin CASE FOLDER`, from the root of the repository.
//! Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod case1;
mod case2;
mod case3;
mod common;
mod fleet;
mod proxies;

use std::path::PathBuf;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: review-standin CASE FOLDER");
        std::process::exit(2);
    };
    let folder = PathBuf::from(folder);
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let case = case.clone();
    let run = move || match case.as_str() {
        "1" => case1::run(&folder, trouble),
        "2" => case2::run(&folder, trouble),
        "3" => case3::run(&folder, trouble),
        _ => 2,
    };
    std::process::exit(std::panic::catch_unwind(run).unwrap_or(2));
}
