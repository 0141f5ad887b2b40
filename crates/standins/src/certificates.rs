//! Generates certificates for demos and tests.

use std::path::Path;

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use skylarkgw::peer::PEER_SERVER_NAME;
use thiserror::Error;

/// Error while generating or writing certificates.
#[derive(Debug, Error, miette::Diagnostic)]
pub enum CertificateError {
    /// A key or certificate could not be generated.
    #[error("cannot generate a certificate")]
    Generate(#[from] rcgen::Error),
    /// A file could not be written.
    #[error("cannot write a certificate file")]
    Write(#[from] std::io::Error),
}

/// Writes `authority.pem`, `host.pem` and `host-key.pem` into a directory.
///
/// The host's certificate is valid for `127.0.0.1`, `localhost` and
/// [`PEER_SERVER_NAME`]. Its private key is not encrypted.
///
/// # Errors
///
/// Returns [`CertificateError`] if a key or certificate cannot be generated or
/// a file cannot be written.
pub fn write_certificates(folder: &Path) -> Result<(), CertificateError> {
    let mut authority = CertificateParams::new(Vec::new())?;
    authority.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority_key = KeyPair::generate()?;
    let authority_certificate = authority.self_signed(&authority_key)?;
    let issuer = Issuer::new(authority, authority_key);
    let subject_names =
        vec!["127.0.0.1".to_owned(), "localhost".to_owned(), PEER_SERVER_NAME.to_owned()];
    let host_key = KeyPair::generate()?;
    let host = CertificateParams::new(subject_names)?.signed_by(&host_key, &issuer)?;
    std::fs::write(folder.join("authority.pem"), authority_certificate.pem())?;
    std::fs::write(folder.join("host.pem"), host.pem())?;
    std::fs::write(folder.join("host-key.pem"), host_key.serialize_pem())?;
    Ok(())
}
