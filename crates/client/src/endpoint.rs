//! Connects to a server: over SSH with a user's key, or over TLS with a client certificate.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use russh::client::{connect_stream, AuthResult, Config, Handler};
use russh::keys::{load_secret_key, PrivateKeyWithHashAlg, PublicKey, PublicKeyOrCertificate};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::error::{ClientError, ErrorKind, Stage};
use crate::Stream;

/// Limits the time from the TCP connect to the open transport session.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(20);

/// The transport and its credentials.
#[derive(Clone, Debug)]
enum Transport {
    Ssh { user: String, key: PathBuf, host_key: Option<PathBuf> },
    Tls { name: String, authorities: PathBuf, certificate: PathBuf, key: PathBuf },
}

/// The address of a server and the credentials of both sides. Only a server with the given
/// host key, or with a certificate that one of the given authorities has signed, is trusted.
#[derive(Clone, Debug)]
pub struct Endpoint {
    address: String,
    transport: Transport,
}

/// The byte stream, and the transport that has to stay alive as long as the stream is used: for SSH its handle, for TLS
/// `None`.
type TransportSession = (Box<dyn Stream>, Option<Box<dyn std::any::Any + Send>>);

impl Endpoint {
    /// An SSH endpoint for a user with a private key in OpenSSH format. The endpoint also needs
    /// [`Endpoint::with_host_key`].
    pub fn ssh(address: impl Into<String>, user: impl Into<String>, key: impl Into<PathBuf>) -> Endpoint {
        let transport = Transport::Ssh { user: user.into(), key: key.into(), host_key: None };
        Endpoint { address: address.into(), transport }
    }

    /// Sets the file with the public host key of the server, one line in OpenSSH format. Has no effect on a TLS endpoint.
    pub fn with_host_key(mut self, path: impl Into<PathBuf>) -> Endpoint {
        if let Transport::Ssh { host_key, .. } = &mut self.transport {
            *host_key = Some(path.into());
        }
        self
    }

    /// A TLS endpoint with a client certificate. The server's certificate has to be valid for `name` and signed by one of
    /// the authorities. All files are in PEM format.
    pub fn tls(
        address: impl Into<String>,
        name: impl Into<String>,
        authorities: impl Into<PathBuf>,
        certificate: impl Into<PathBuf>,
        key: impl Into<PathBuf>,
    ) -> Endpoint {
        let (name, authorities) = (name.into(), authorities.into());
        let transport =
            Transport::Tls { name, authorities, certificate: certificate.into(), key: key.into() };
        Endpoint { address: address.into(), transport }
    }

    /// Opens the transport session.
    pub(crate) async fn connect(&self) -> Result<TransportSession, ClientError> {
        let connect = async {
            let socket = TcpStream::connect(&self.address).await;
            let socket = socket.map_err(|error| connection_lost(format!("{}: {error}", self.address)))?;
            _ = socket.set_nodelay(true);
            match &self.transport {
                Transport::Ssh { user, key, host_key } => {
                    connect_ssh(socket, user, key, host_key.as_ref()).await
                }
                Transport::Tls { name, authorities, certificate, key } => {
                    connect_tls(socket, name, authorities, certificate, key).await
                }
            }
        };
        let timed_out = |_| {
            Err(connection_lost(format!(
                "{}: no session within {} s",
                self.address,
                CONNECT_TIMEOUT.as_secs()
            )))
        };
        timeout(CONNECT_TIMEOUT, connect).await.unwrap_or_else(timed_out)
    }
}

fn connection_lost(message: String) -> ClientError {
    ClientError::new(Stage::Connecting, ErrorKind::ConnectionLost(message))
}

fn invalid_input(message: String) -> ClientError {
    ClientError::new(Stage::NotStarted, ErrorKind::InvalidInput(message))
}

/// Accepts the server only with the expected host key.
struct HostKeyVerifier(Option<PublicKey>);

impl Handler for HostKeyVerifier {
    type Error = russh::Error;

    async fn check_server_key(&mut self, offered: &PublicKeyOrCertificate) -> Result<bool, russh::Error> {
        let PublicKeyOrCertificate::PublicKey { key, .. } = offered else { return Ok(false) };
        Ok(self.0.as_ref().is_some_and(|expected| expected.key_data() == key.key_data()))
    }
}

async fn connect_ssh(
    socket: TcpStream,
    user: &str,
    key: &PathBuf,
    host_key: Option<&PathBuf>,
) -> Result<TransportSession, ClientError> {
    let unusable_file = |path: &PathBuf, reason: String| {
        invalid_input(format!("{} cannot be used: {reason}", path.display()))
    };
    let private_key = load_secret_key(key, None).map_err(|error| unusable_file(key, error.to_string()))?;
    let host_key =
        host_key.ok_or_else(|| invalid_input("no host key is given to verify the server".into()))?;
    let host_key_line =
        std::fs::read_to_string(host_key).map_err(|error| unusable_file(host_key, error.to_string()))?;
    let expected_key = PublicKey::from_openssh(host_key_line.trim())
        .map_err(|error| unusable_file(host_key, error.to_string()))?;
    let handle =
        connect_stream(Arc::new(Config::default()), socket, HostKeyVerifier(Some(expected_key))).await;
    let authentication_failed =
        |message: String| ClientError::new(Stage::Connecting, ErrorKind::Authentication(message));
    let mut handle = handle.map_err(|error| match error {
        russh::Error::UnknownKey => authentication_failed("the server has another host key".into()),
        error => connection_lost(error.to_string()),
    })?;
    let key_with_hash = PrivateKeyWithHashAlg::new(Arc::new(private_key), None);
    let result = handle
        .authenticate_publickey(user, key_with_hash)
        .await
        .map_err(|error| connection_lost(error.to_string()))?;
    if !matches!(result, AuthResult::Success) {
        return Err(authentication_failed(format!("the server rejected the key of user {user}")));
    }
    let channel = handle.channel_open_session().await.map_err(|error| connection_lost(error.to_string()))?;
    let request = channel.request_subsystem(true, "netconf").await;
    request.map_err(|error| connection_lost(error.to_string()))?;
    Ok((Box::new(channel.into_stream()), Some(Box::new(handle))))
}

async fn connect_tls(
    socket: TcpStream,
    name: &str,
    authorities: &PathBuf,
    certificate: &PathBuf,
    key: &PathBuf,
) -> Result<TransportSession, ClientError> {
    let unusable_file = |path: &PathBuf, reason: String| {
        invalid_input(format!("{} cannot be used: {reason}", path.display()))
    };
    let read_chain = |path: &PathBuf| -> Result<Vec<CertificateDer<'static>>, ClientError> {
        let chain = CertificateDer::pem_file_iter(path).and_then(Iterator::collect);
        chain.map_err(|error| unusable_file(path, error.to_string()))
    };
    let mut roots = rustls::RootCertStore::empty();
    for authority in read_chain(authorities)? {
        roots.add(authority).map_err(|error| unusable_file(authorities, error.to_string()))?;
    }
    let private_key =
        PrivateKeyDer::from_pem_file(key).map_err(|error| unusable_file(key, error.to_string()))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = rustls::ClientConfig::builder_with_provider(provider).with_safe_default_protocol_versions();
    let builder = builder.map_err(|error| invalid_input(error.to_string()))?.with_root_certificates(roots);
    let config = builder.with_client_auth_cert(read_chain(certificate)?, private_key);
    let config = config.map_err(|error| unusable_file(certificate, error.to_string()))?;
    let server_name =
        ServerName::try_from(name.to_string()).map_err(|error| invalid_input(format!("{name}: {error}")))?;
    let stream = tokio_rustls::TlsConnector::from(Arc::new(config)).connect(server_name, socket).await;
    let authentication_failed = |error: std::io::Error| {
        ClientError::new(Stage::Connecting, ErrorKind::Authentication(error.to_string()))
    };
    Ok((Box::new(stream.map_err(authentication_failed)?), None))
}
