//! Runs one case of the second review: `review-world-2 CASE FOLDER`, from the root of the repository. Writes
//! `record.txt` into the folder. Exit code 1: the rule was broken; 0: it held; 2: the case could not run. With
//! `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod council;
mod discovery;
mod manager;
mod proxy;
mod record;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-world-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    manager::limit_run(Duration::from_secs(115));
    match cases::run(case, &PathBuf::from(folder), trouble) {
        Ok(violations) if violations.is_empty() => {
            println!("{case}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(violations) => {
            println!("{case}: the rule was broken, {} times; the first: {}", violations.len(), violations[0]);
            ExitCode::from(1)
        }
        Err(reason) => {
            println!("{case}: could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
