//! Runs a stand-in as a process.

use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;

use poem::listener::Acceptor;
use poem::{Endpoint, Response, Server};
use skylarkgw::edge::ClientAcceptor;

/// Serves a stand-in and prints its address as the first line.
pub fn serve(address: SocketAddr, routes: impl Endpoint<Output = Response> + 'static) -> ExitCode {
    let runtime =
        match tokio::runtime::Builder::new_multi_thread().enable_all().worker_threads(2).build() {
            Ok(runtime) => runtime,
            Err(error) => return fail(&error),
        };
    runtime.block_on(async move {
        // With the delay of small writes an engine's tokens arrive 40 ms late.
        let bound = TcpListener::bind(address).and_then(ClientAcceptor::new);
        let acceptor = match bound {
            Ok(acceptor) => acceptor,
            Err(error) => return fail(&error),
        };
        for address in acceptor.local_addr() {
            if let Some(address) = address.as_socket_addr() {
                println!("listening {address}");
            }
        }
        match Server::new_with_acceptor(acceptor).run(routes).await {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => fail(&error),
        }
    })
}

fn fail(error: &std::io::Error) -> ExitCode {
    eprintln!("{error}");
    ExitCode::FAILURE
}
