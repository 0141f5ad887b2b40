//! Runs the stand-in for a plain service that records orders.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options;
use standins::faults::FaultState;
use standins::process::serve;
use standins::service::{OrderBook, service_routes};

/// Serves a service that executes orders and counts the executions.
#[derive(Debug, Options)]
struct ServiceOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", meta = "IP:PORT", default = "127.0.0.1:0")]
    listen: String,
    #[options(help = "processing time of an order, in milliseconds", meta = "MS", default = "2")]
    work_ms: u64,
}

fn main() -> ExitCode {
    let options = ServiceOptions::parse_args_default_or_exit();
    match options.listen.parse::<SocketAddr>() {
        Ok(address) => {
            let book = OrderBook::new(Duration::from_millis(options.work_ms));
            serve(address, service_routes(book, FaultState::default()))
        }
        Err(error) => {
            eprintln!("--listen: {error}");
            ExitCode::from(2)
        }
    }
}
