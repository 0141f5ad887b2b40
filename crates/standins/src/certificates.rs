//! Makes certificates for demos and tests.

use std::path::Path;

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use skylarkgw::peer::PEER_SERVER_NAME;
use thiserror::Error;

/// Why certificates cannot be made.
#[derive(Debug, Error, miette::Diagnostic)]
pub enum CertificateError {
    /// The library refused.
    #[error("a certificate cannot be made")]
    Make(#[from] rcgen::Error),
    /// A file cannot be written.
    #[error("a certificate cannot be written")]
    Write(#[from] std::io::Error),
}

/// Writes `authority.pem`, `host.pem` and `host-key.pem` into a folder.
///
/// # Errors
///
/// [`CertificateError`] if one cannot be made or written.
pub fn write_certificates(folder: &Path) -> Result<(), CertificateError> {
    let mut authority = CertificateParams::new(Vec::new())?;
    authority.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority_key = KeyPair::generate()?;
    let authority_certificate = authority.self_signed(&authority_key)?;
    let issuer = Issuer::new(authority, authority_key);
    let names = vec!["127.0.0.1".to_owned(), "localhost".to_owned(), PEER_SERVER_NAME.to_owned()];
    let host_key = KeyPair::generate()?;
    let host = CertificateParams::new(names)?.signed_by(&host_key, &issuer)?;
    std::fs::write(folder.join("authority.pem"), authority_certificate.pem())?;
    std::fs::write(folder.join("host.pem"), host.pem())?;
    std::fs::write(folder.join("host-key.pem"), host_key.serialize_pem())?;
    Ok(())
}
