//! TLS between daemons, with raw public keys (RFC 7250): all daemons of a fleet share one key pair.
//!
//! Invariant: the verifiers of both sides accept only peers that have the fleet's secret.

use std::fmt;
use std::sync::Arc;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, ServerConfig};
use rustls::client::AlwaysResolvesClientRawPublicKeys;
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::{CryptoProvider, ring, verify_tls13_signature_with_raw_key};
use rustls::pki_types::{
    CertificateDer, PrivatePkcs8KeyDer, ServerName, SubjectPublicKeyInfoDer, UnixTime,
};
use rustls::server::AlwaysResolvesServerRawPublicKeys;
use rustls::server::danger::{ClientCertVerified, ClientCertVerifier};
use rustls::sign::CertifiedKey;
use rustls::{
    CertificateError, DigitallySignedStruct, DistinguishedName, Error, PeerIncompatible,
    SignatureScheme,
};

/// Length of the secret in bytes.
pub const SECRET_LENGTH: usize = 32;
/// The server name in the handshake; it is not verified, since raw public keys contain no name.
pub const SERVER_NAME: &str = "hawthornwall";
/// The ALPN protocol; the handshake fails with peers of another protocol version.
const PROTOCOL: &[u8] = b"hawthornwall/1";
/// PKCS #8 version 1 header of an Ed25519 private key, followed by its 32 bytes.
const PKCS8_ED25519: [u8; 16] = [
    0x30, 0x2e, 0x02, 0x01, 0x00, 0x30, 0x05, 0x06, 0x03, 0x2b, 0x65, 0x70, 0x04, 0x22, 0x04, 0x20,
];

/// Client and server configurations for the fleet that shares `secret`.
///
/// # Errors
///
/// If the TLS library refuses the key.
pub fn configs(secret: &[u8; SECRET_LENGTH]) -> Result<(ClientConfig, ServerConfig), Error> {
    let provider = Arc::new(ring::default_provider());
    let key = certified_key(secret)?;
    let verifier = Arc::new(FleetVerifier {
        key: SubjectPublicKeyInfoDer::from(key.cert[0].as_ref().to_vec()),
        provider: Arc::clone(&provider),
    });
    let client = client_config(&provider, &verifier, &key)?;
    let server = server_config(provider, verifier, key)?;
    Ok((client, server))
}

fn certified_key(secret: &[u8; SECRET_LENGTH]) -> Result<Arc<CertifiedKey>, Error> {
    let mut pkcs8 = PKCS8_ED25519.to_vec();
    pkcs8.extend_from_slice(secret);
    let signing = ring::sign::any_eddsa_type(&PrivatePkcs8KeyDer::from(pkcs8))?;
    let public = signing
        .public_key()
        .ok_or(Error::General("no public key".to_owned()))?;
    let public = CertificateDer::from(public.as_ref().to_vec());
    Ok(Arc::new(CertifiedKey::new(vec![public], signing)))
}

fn client_config(
    provider: &Arc<CryptoProvider>,
    verifier: &Arc<FleetVerifier>,
    key: &Arc<CertifiedKey>,
) -> Result<ClientConfig, Error> {
    let verifier: Arc<FleetVerifier> = Arc::clone(verifier);
    let resolver = AlwaysResolvesClientRawPublicKeys::new(Arc::clone(key));
    let mut tls = rustls::ClientConfig::builder_with_provider(Arc::clone(provider))
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .dangerous()
        .with_custom_certificate_verifier(verifier)
        .with_client_cert_resolver(Arc::new(resolver));
    tls.alpn_protocols = vec![PROTOCOL.to_vec()];
    let quic = QuicClientConfig::try_from(tls).map_err(|e| Error::General(e.to_string()))?;
    Ok(ClientConfig::new(Arc::new(quic)))
}

fn server_config(
    provider: Arc<CryptoProvider>,
    verifier: Arc<FleetVerifier>,
    key: Arc<CertifiedKey>,
) -> Result<ServerConfig, Error> {
    let resolver = AlwaysResolvesServerRawPublicKeys::new(key);
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier)
        .with_cert_resolver(Arc::new(resolver));
    tls.alpn_protocols = vec![PROTOCOL.to_vec()];
    let quic = QuicServerConfig::try_from(tls).map_err(|e| Error::General(e.to_string()))?;
    Ok(ServerConfig::with_crypto(Arc::new(quic)))
}

struct FleetVerifier {
    key: SubjectPublicKeyInfoDer<'static>,
    provider: Arc<CryptoProvider>,
}

impl fmt::Debug for FleetVerifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetVerifier")
    }
}

impl FleetVerifier {
    fn check(&self, presented: &CertificateDer<'_>) -> Result<(), Error> {
        if presented.as_ref() == self.key.as_ref() {
            Ok(())
        } else {
            Err(Error::InvalidCertificate(CertificateError::UnknownIssuer))
        }
    }

    fn check_signature(
        &self,
        message: &[u8],
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        verify_tls13_signature_with_raw_key(message, &self.key, signature, algorithms)
    }

    fn schemes(&self) -> Vec<SignatureScheme> {
        self.provider
            .signature_verification_algorithms
            .supported_schemes()
    }
}

impl ServerCertVerifier for FleetVerifier {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, Error> {
        self.check(end_entity)
            .map(|()| ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _message: &[u8],
        _cert: &CertificateDer<'_>,
        _dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        Err(Error::PeerIncompatible(
            PeerIncompatible::Tls13RequiredForQuic,
        ))
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        _cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.check_signature(message, dss)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.schemes()
    }

    fn requires_raw_public_keys(&self) -> bool {
        true
    }
}

impl ClientCertVerifier for FleetVerifier {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        &[]
    }

    fn verify_client_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _now: UnixTime,
    ) -> Result<ClientCertVerified, Error> {
        self.check(end_entity)
            .map(|()| ClientCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _message: &[u8],
        _cert: &CertificateDer<'_>,
        _dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        Err(Error::PeerIncompatible(
            PeerIncompatible::Tls13RequiredForQuic,
        ))
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        _cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.check_signature(message, dss)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.schemes()
    }

    fn requires_raw_public_keys(&self) -> bool {
        true
    }
}
