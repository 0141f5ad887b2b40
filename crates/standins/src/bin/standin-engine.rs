//! Runs the stand-in for a model engine.

use std::net::SocketAddr;
use std::process::ExitCode;

use gumdrop::Options;
use standins::engine::{EngineSettings, EngineState, engine_routes};
use standins::faults::FaultState;
use standins::process::serve;

/// Serves a model engine whose generated text depends only on the prompt.
#[derive(Debug, Options)]
struct EngineOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", meta = "IP:PORT", default = "127.0.0.1:0")]
    listen: String,
    #[options(
        help = "models served from the start, comma-separated",
        meta = "NAMES",
        default = ""
    )]
    models: String,
    #[options(help = "memory for models, in MiB", meta = "N", default = "80000", no_short)]
    memory_mb: u64,
    #[options(
        help = "time to load a model, in milliseconds",
        meta = "MS",
        default = "300",
        no_short
    )]
    load_ms: u64,
    #[options(help = "refuse orders with an outdated fencing token", no_short)]
    checks_fence: bool,
    #[options(help = "number of concurrent requests", meta = "N", default = "32")]
    slots: usize,
    #[options(help = "time to the first token, in milliseconds", meta = "MS", default = "20")]
    prefill_ms: u64,
    #[options(help = "time between two tokens, in milliseconds", meta = "MS", default = "5")]
    token_ms: u64,
    #[options(help = "exit instead of answering prompts with this text", meta = "TEXT", no_short)]
    exit_on: Option<String>,
    #[options(
        help = "time from such a prompt until the exit, in milliseconds",
        meta = "MS",
        default = "0",
        no_short
    )]
    exit_delay_ms: u64,
}

fn main() -> ExitCode {
    let options = EngineOptions::parse_args_default_or_exit();
    let models = options.models.split(',').filter(|name| !name.is_empty());
    let settings = EngineSettings {
        models: models.map(Into::into).collect(),
        memory_mb: options.memory_mb,
        load_ms: options.load_ms,
        checks_fence: options.checks_fence,
        slots: options.slots,
        prefill_ms: options.prefill_ms,
        token_ms: options.token_ms,
        exit_on: options.exit_on,
        exit_delay_ms: options.exit_delay_ms,
    };
    match options.listen.parse::<SocketAddr>() {
        Ok(address) => {
            let faults = FaultState::default();
            serve(address, engine_routes(EngineState::new(settings, faults.clone()), faults))
        }
        Err(error) => {
            eprintln!("--listen: {error}");
            ExitCode::from(2)
        }
    }
}
