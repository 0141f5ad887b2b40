//! Runs one case of the second review: `review-2 CASE FOLDER`.
//!
//! It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could
//! not run. With `TROUBLE=0` in the environment it leaves the disruption out.

mod cap;
mod growth;
mod host;
mod http;
mod json;
mod keys;
mod leader;
mod record;
mod service;
mod stage;
mod store;
mod weights;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use crate::record::Record;
use crate::stage::Stage;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let run: fn(&Stage) -> bool = match case.as_str() {
        "cap" => cap::run,
        "growth" => growth::run,
        "keys" => keys::run,
        "leader" => leader::run,
        "weights" => weights::run,
        _ => {
            eprintln!("unknown case {case}");
            return ExitCode::from(2);
        }
    };
    let record = Record::create(&Path::new(folder).join("record.txt"));
    let Some(temporary) = std::env::var_os("REVIEW_FOLDER").map(PathBuf::from) else {
        eprintln!("REVIEW_FOLDER names no folder; start a case by its run.sh");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let stage = Stage { record: record.clone(), folder: temporary, has_trouble };
    let holds = catch_unwind(AssertUnwindSafe(|| run(&stage)));
    match holds {
        Ok(true) => {
            record.say("held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.say("BROKEN");
            ExitCode::from(1)
        }
        Err(_) => {
            record.say("could not run");
            ExitCode::from(2)
        }
    }
}
