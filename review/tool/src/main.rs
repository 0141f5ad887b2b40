//! Stand-ins and cases of the review. `review-tool CASE RECORD` runs one case from the
//! root of the repository, and exits with 1 if the rule was broken, 0 if it held and 2 if
//! the case could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod engine;
mod frozen;
mod gateway;
mod http;
mod json;
mod memory;
mod record;
mod store;
mod stream;

use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, role, ip, id] = arguments.as_slice()
        && role == "engine"
    {
        stream::run_engine(ip, id);
    }
    let [_, case, path] = arguments.as_slice() else { return ExitCode::from(2) };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&PathBuf::from(path));
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    if std::fs::create_dir_all(&folder).is_err() {
        return ExitCode::from(2);
    }
    let result = match case.as_str() {
        "stream" => stream::run(&folder, &record, has_trouble),
        "whole" => stream::run_whole(&folder, &record, has_trouble),
        "frozen" => frozen::run(&folder, &record, has_trouble),
        "memory" => memory::run(&folder, &record, has_trouble),
        _ => Err("there is no such case".to_owned()),
    };
    let _ = std::fs::remove_dir_all(&folder);
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            record.line(format!("the case could not run: {error}"));
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
