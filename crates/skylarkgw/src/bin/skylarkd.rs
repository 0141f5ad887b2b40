//! The daemon that runs on every host of the fleet.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;
use miette::{IntoDiagnostic, Report};
use skylarkgw::daemon::run_host;
use skylarkgw::settings::HostSettings;
use skylarkgw::telemetry::init_logger;

/// Exit code for settings that cannot be used.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Serves client requests on a host of the fleet.
#[derive(Debug, Options)]
struct HostOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "settings file, JSON with comments", meta = "FILE", required)]
    settings: PathBuf,
    #[options(help = "check the settings and exit", no_short)]
    check: bool,
}

fn main() -> ExitCode {
    let options = HostOptions::parse_args_default_or_exit();
    let settings = match HostSettings::read(&options.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{:?}", Report::new(error));
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if options.check {
        println!("{}: the settings are valid", options.settings.display());
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
    init_logger()?;
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .enable_all()
        .build()
        .into_diagnostic()?
        .block_on(run_host(settings))
        .map_err(Report::new)
}
