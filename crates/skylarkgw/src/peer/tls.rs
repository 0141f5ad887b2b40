//! Mutual TLS between hosts.
//!
//! Hosts are addressed by IP address and can be replaced at any time. Membership
//! of the fleet is therefore proven by the certificate authority alone, and the
//! certificate of every host has the same name, [`PEER_SERVER_NAME`].

use std::path::{Path, PathBuf};
use std::sync::Arc;

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio_rustls::{TlsAcceptor, TlsConnector, client, server};

use crate::settings::TlsSettings;

/// Server name in the certificate of every host.
pub const PEER_SERVER_NAME: &str = "peer.skylarkgw";

/// An error in the certificates, key or authority of a host.
#[derive(Debug, Error, miette::Diagnostic)]
pub enum TlsError {
    /// A file cannot be read or is not valid PEM.
    #[error("{} contains no valid certificate or key", path.display())]
    #[diagnostic(help("set the path of a PEM file"))]
    File {
        /// The file.
        path: PathBuf,
        /// Error of the PEM decoder.
        #[source]
        source: rustls::pki_types::pem::Error,
    },
    /// The certificate, key and authority do not match.
    #[error("the certificate, key and authority do not match")]
    Mismatch(#[from] rustls::Error),
    /// The authority cannot be used to verify certificates.
    #[error("cannot use the authority to check certificates")]
    Authority(#[from] rustls::server::VerifierBuilderError),
}

/// The server and client configuration of mutual TLS between hosts.
#[derive(Clone)]
pub struct PeerTls {
    acceptor: TlsAcceptor,
    connector: TlsConnector,
    server_name: ServerName<'static>,
}

impl std::fmt::Debug for PeerTls {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("PeerTls(..)")
    }
}

impl PeerTls {
    /// Loads the certificates, key and authority from the files in the settings.
    ///
    /// # Errors
    ///
    /// Returns [`TlsError`] if a file is invalid or the files do not match.
    pub fn load(settings: &TlsSettings) -> Result<PeerTls, TlsError> {
        let chain = load_certificates(&settings.certificate_file)?;
        let key = load_private_key(&settings.private_key_file)?;
        let mut roots = RootCertStore::empty();
        for certificate in load_certificates(&settings.peer_authority_file)? {
            roots.add(certificate)?;
        }
        let roots = Arc::new(roots);
        let verifier = WebPkiClientVerifier::builder(roots.clone()).build()?;
        let server = ServerConfig::builder()
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain.clone(), key.clone_key())?;
        let client = ClientConfig::builder()
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key)?;
        Ok(PeerTls {
            acceptor: TlsAcceptor::from(Arc::new(server)),
            connector: TlsConnector::from(Arc::new(client)),
            server_name: ServerName::try_from(PEER_SERVER_NAME).map_err(|_| {
                rustls::Error::General("the peer name is not a valid server name".to_owned())
            })?,
        })
    }

    /// Accepts a connection from a host whose certificate was issued by the authority.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the connection fails or a certificate is rejected.
    pub async fn accept(
        &self,
        stream: TcpStream,
    ) -> Result<server::TlsStream<TcpStream>, std::io::Error> {
        self.acceptor.accept(stream).await
    }

    /// Performs the TLS handshake with a host whose certificate was issued by the
    /// authority.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the connection fails or a certificate is rejected.
    pub async fn connect(
        &self,
        stream: TcpStream,
    ) -> Result<client::TlsStream<TcpStream>, std::io::Error> {
        self.connector.connect(self.server_name.clone(), stream).await
    }
}

fn load_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect)
        .map_err(|source| TlsError::File { path: path.into(), source })
}

fn load_private_key(path: &Path) -> Result<PrivateKeyDer<'static>, TlsError> {
    PrivateKeyDer::from_pem_file(path)
        .map_err(|source| TlsError::File { path: path.into(), source })
}
