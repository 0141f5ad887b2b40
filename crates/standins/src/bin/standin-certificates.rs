//! Generates certificates for the demo.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;
use miette::Report;
use standins::certificates::write_certificates;

/// Writes the certificates of an authority and of one host, and the host's
/// private key, into a directory.
#[derive(Debug, Options)]
struct CertificateOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "folder for the files", meta = "DIR", required)]
    folder: PathBuf,
}

fn main() -> ExitCode {
    let options = CertificateOptions::parse_args_default_or_exit();
    match write_certificates(&options.folder) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{:?}", Report::new(error));
            ExitCode::FAILURE
        }
    }
}
