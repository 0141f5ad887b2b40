//! Generates the load that an experiment file describes and prints the
//! measurements.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use gumdrop::Options;
use miette::{IntoDiagnostic, Report};
use skylarkgw::settings::read_document;
use standins::load::{LoadSettings, run_load};

/// Generates an open-loop load.
#[derive(Debug, Options)]
struct LoadOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "experiment file, JSON with comments", meta = "FILE", required)]
    experiment: PathBuf,
    #[options(help = "seed, overrides the one in the file", meta = "N")]
    seed: Option<u64>,
    #[options(help = "print JSON instead of a table")]
    json: bool,
    #[options(help = "number of worker threads", meta = "N", default = "2")]
    threads: usize,
}

fn main() -> ExitCode {
    let options = LoadOptions::parse_args_default_or_exit();
    match run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(2)
        }
    }
}

fn run(options: &LoadOptions) -> Result<(), Report> {
    let mut settings: LoadSettings = read_document(&options.experiment)?;
    settings.seed = options.seed.unwrap_or(settings.seed);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(options.threads.max(1))
        .enable_all()
        .build()
        .into_diagnostic()?;
    let report = runtime.block_on(run_load(Arc::new(settings)))?;
    if options.json {
        println!("{}", serde_json::to_string_pretty(&report.summarize()).into_diagnostic()?);
    } else {
        println!("{}", report.to_table());
    }
    Ok(())
}
