//! The host daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;
use miette::{IntoDiagnostic, Report};
use skylarkgw::daemon::run_host;
use skylarkgw::settings::HostSettings;
use skylarkgw::telemetry::start_log;

const EXIT_SETTINGS: u8 = 2;

/// Serves callers on an entry host.
#[derive(Debug, Options)]
struct HostOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "settings file, JSON with comments", meta = "FILE", required)]
    settings: PathBuf,
    #[options(help = "only check the settings", no_short)]
    check: bool,
}

fn main() -> ExitCode {
    let options = HostOptions::parse_args_default_or_exit();
    let settings = match HostSettings::read(&options.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{:?}", Report::new(error));
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if options.check {
        println!("{}: the settings can be used", options.settings.display());
        return ExitCode::SUCCESS;
    }
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn serve(settings: HostSettings) -> Result<(), Report> {
    start_log()?;
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .enable_all()
        .build()
        .into_diagnostic()?
        .block_on(run_host(settings))
        .map_err(Report::new)
}
