//! Mutual TLS between hosts.
//!
//! Hosts are reached by IP number and replaced at any time, so a certificate
//! proves membership of the fleet by its authority, and every one carries the
//! name [`PEER_SERVER_NAME`].

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

/// Name in the certificate of every host.
pub const PEER_SERVER_NAME: &str = "peer.skylarkgw";

/// Why certificates cannot be used.
#[derive(Debug, Error, miette::Diagnostic)]
pub enum TlsError {
    /// A file cannot be read or holds no usable PEM.
    #[error("{} holds no usable certificate or key", path.display())]
    #[diagnostic(help("write the path of a PEM file"))]
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        #[source]
        source: rustls::pki_types::pem::Error,
    },
    /// The certificates do not fit each other.
    #[error("the certificate, key and authority do not fit each other")]
    Mismatch(#[from] rustls::Error),
    /// The authority cannot be used to check certificates.
    #[error("the authority cannot be used to check certificates")]
    Authority(#[from] rustls::server::VerifierBuilderError),
}

/// Both ends of mutual TLS between hosts.
#[derive(Clone)]
pub struct PeerTls {
    acceptor: TlsAcceptor,
    connector: TlsConnector,
    name: ServerName<'static>,
}

impl std::fmt::Debug for PeerTls {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("PeerTls(..)")
    }
}

impl PeerTls {
    /// Loads the certificate files that the settings name.
    ///
    /// # Errors
    ///
    /// [`TlsError`] names the file or what does not fit.
    pub fn load(settings: &TlsSettings) -> Result<PeerTls, TlsError> {
        let chain = certificates(&settings.certificate_file)?;
        let key = private_key(&settings.private_key_file)?;
        let mut roots = RootCertStore::empty();
        for certificate in certificates(&settings.peer_authority_file)? {
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
            name: ServerName::try_from(PEER_SERVER_NAME).map_err(|_| {
                rustls::Error::General("the peer name is not a server name".to_owned())
            })?,
        })
    }

    /// Accepts a connection whose certificate comes from the authority.
    ///
    /// # Errors
    ///
    /// The connection's error, or that the certificate was not accepted.
    pub async fn accept(
        &self,
        stream: TcpStream,
    ) -> Result<server::TlsStream<TcpStream>, std::io::Error> {
        self.acceptor.accept(stream).await
    }

    /// Opens a connection to a host whose certificate comes from the authority.
    ///
    /// # Errors
    ///
    /// The connection's error, or that the certificate was not accepted.
    pub async fn connect(
        &self,
        stream: TcpStream,
    ) -> Result<client::TlsStream<TcpStream>, std::io::Error> {
        self.connector.connect(self.name.clone(), stream).await
    }
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect)
        .map_err(|source| TlsError::File { path: path.into(), source })
}

fn private_key(path: &Path) -> Result<PrivateKeyDer<'static>, TlsError> {
    PrivateKeyDer::from_pem_file(path)
        .map_err(|source| TlsError::File { path: path.into(), source })
}
