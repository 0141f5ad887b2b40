//! Runs the stand-in for the platform's object API.

use std::net::SocketAddr;
use std::process::ExitCode;

use gumdrop::Options;
use standins::faults::FaultState;
use standins::platform::{ObjectStore, platform_routes};
use standins::process::serve;

/// Serves an object API that keeps versioned objects in memory.
#[derive(Debug, Options)]
struct PlatformOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", meta = "IP:PORT", default = "127.0.0.1:0")]
    listen: String,
}

fn main() -> ExitCode {
    let options = PlatformOptions::parse_args_default_or_exit();
    match options.listen.parse::<SocketAddr>() {
        Ok(address) => {
            serve(address, platform_routes(ObjectStore::default(), FaultState::default()))
        }
        Err(error) => {
            eprintln!("--listen: {error}");
            ExitCode::from(2)
        }
    }
}
