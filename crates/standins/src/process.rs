//! Main loop of a stand-in that runs as a process.

use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;

use poem::listener::Acceptor;
use poem::{Endpoint, Response, Server};
use skylarkgw::edge::ClientAcceptor;

/// Serves the routes of a stand-in.
///
/// The first line on standard output reports the address that it listens on.
pub fn serve(address: SocketAddr, routes: impl Endpoint<Output = Response> + 'static) -> ExitCode {
    let runtime =
        match tokio::runtime::Builder::new_multi_thread().enable_all().worker_threads(2).build() {
            Ok(runtime) => runtime,
            Err(error) => return report_failure(&error),
        };
    runtime.block_on(async move {
        // `ClientAcceptor` disables Nagle's algorithm, which would delay an
        // engine's tokens by 40 ms.
        let bound = TcpListener::bind(address).and_then(ClientAcceptor::new);
        let acceptor = match bound {
            Ok(acceptor) => acceptor,
            Err(error) => return report_failure(&error),
        };
        for address in acceptor.local_addr() {
            if let Some(address) = address.as_socket_addr() {
                println!("listening {address}");
            }
        }
        match Server::new_with_acceptor(acceptor).run(routes).await {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => report_failure(&error),
        }
    })
}

fn report_failure(error: &std::io::Error) -> ExitCode {
    eprintln!("{error}");
    ExitCode::FAILURE
}
