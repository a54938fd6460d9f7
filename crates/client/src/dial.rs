//! The way to a server: SSH with a user's key, or TLS with a certificate.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use russh::client::{connect_stream, AuthResult, Config, Handler};
use russh::keys::{load_secret_key, PrivateKeyWithHashAlg, PublicKey, PublicKeyOrCertificate};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::failed::{ClientError, ErrorKind, Stage};
use crate::Stream;

const WITHIN: Duration = Duration::from_secs(20);

#[derive(Clone, Debug)]
enum Way {
    Ssh { user: String, key: PathBuf, host: Option<PathBuf> },
    Tls { name: String, authorities: PathBuf, certificate: PathBuf, key: PathBuf },
}

/// Where a server is, and who says so to whom. Nothing is trusted that is not named here.
#[derive(Clone, Debug)]
pub struct Endpoint {
    address: String,
    way: Way,
}

type Connected = (Box<dyn Stream>, Option<Box<dyn std::any::Any + Send>>);

impl Endpoint {
    /// As a user with a private key in OpenSSH form. The server's key has to be named too.
    pub fn ssh(address: impl Into<String>, user: impl Into<String>, key: impl Into<PathBuf>) -> Endpoint {
        let way = Way::Ssh { user: user.into(), key: key.into(), host: None };
        Endpoint { address: address.into(), way }
    }

    /// The file of the host's public key, one line in OpenSSH form.
    pub fn with_host_key(mut self, public: impl Into<PathBuf>) -> Endpoint {
        if let Way::Ssh { host, .. } = &mut self.way {
            *host = Some(public.into());
        }
        self
    }

    /// With a certificate; the server's has to name `name` and be vouched for by the authorities. All in PEM.
    pub fn tls(
        address: impl Into<String>,
        name: impl Into<String>,
        authorities: impl Into<PathBuf>,
        certificate: impl Into<PathBuf>,
        key: impl Into<PathBuf>,
    ) -> Endpoint {
        let (name, authorities) = (name.into(), authorities.into());
        let way = Way::Tls { name, authorities, certificate: certificate.into(), key: key.into() };
        Endpoint { address: address.into(), way }
    }

    pub(crate) async fn connect(&self) -> Result<Connected, ClientError> {
        let dialled = async {
            let socket = TcpStream::connect(&self.address).await;
            let socket = socket.map_err(|why| lost(format!("{}: {why}", self.address)))?;
            _ = socket.set_nodelay(true);
            match &self.way {
                Way::Ssh { user, key, host } => ssh(socket, user, key, host.as_ref()).await,
                Way::Tls { name, authorities, certificate, key } => {
                    tls(socket, name, authorities, certificate, key).await
                }
            }
        };
        let late = |_| Err(lost(format!("{}: no session within {} s", self.address, WITHIN.as_secs())));
        timeout(WITHIN, dialled).await.unwrap_or_else(late)
    }
}

fn lost(what: String) -> ClientError {
    ClientError::new(Stage::Connecting, ErrorKind::ConnectionLost(what))
}

fn unusable(what: String) -> ClientError {
    ClientError::new(Stage::NotStarted, ErrorKind::InvalidInput(what))
}

struct Host(Option<PublicKey>);

impl Handler for Host {
    type Error = russh::Error;

    async fn check_server_key(&mut self, told: &PublicKeyOrCertificate) -> Result<bool, russh::Error> {
        let PublicKeyOrCertificate::PublicKey { key, .. } = told else { return Ok(false) };
        Ok(self.0.as_ref().is_some_and(|known| known.key_data() == key.key_data()))
    }
}

async fn ssh(
    socket: TcpStream,
    user: &str,
    key: &PathBuf,
    host: Option<&PathBuf>,
) -> Result<Connected, ClientError> {
    let unread = |path: &PathBuf, why: String| unusable(format!("{} cannot be used: {why}", path.display()));
    let private = load_secret_key(key, None).map_err(|why| unread(key, why.to_string()))?;
    let host =
        host.ok_or_else(|| unusable("the server's key is not named, so that it cannot be trusted".into()))?;
    let line = std::fs::read_to_string(host).map_err(|why| unread(host, why.to_string()))?;
    let known = PublicKey::from_openssh(line.trim()).map_err(|why| unread(host, why.to_string()))?;
    let handle = connect_stream(Arc::new(Config::default()), socket, Host(Some(known))).await;
    let not_trusted = |what: String| ClientError::new(Stage::Connecting, ErrorKind::Authentication(what));
    let mut handle = handle.map_err(|why| match why {
        russh::Error::UnknownKey => not_trusted("the server's key is not the one that was named".into()),
        why => lost(why.to_string()),
    })?;
    let with = PrivateKeyWithHashAlg::new(Arc::new(private), None);
    let said = handle.authenticate_publickey(user, with).await.map_err(|why| lost(why.to_string()))?;
    if !matches!(said, AuthResult::Success) {
        return Err(not_trusted(format!("the server does not know {user} by this key")));
    }
    let channel = handle.channel_open_session().await.map_err(|why| lost(why.to_string()))?;
    let asked = channel.request_subsystem(true, "netconf").await;
    asked.map_err(|why| lost(why.to_string()))?;
    Ok((Box::new(channel.into_stream()), Some(Box::new(handle))))
}

async fn tls(
    socket: TcpStream,
    name: &str,
    authorities: &PathBuf,
    certificate: &PathBuf,
    key: &PathBuf,
) -> Result<Connected, ClientError> {
    let unread = |path: &PathBuf, why: String| unusable(format!("{} cannot be used: {why}", path.display()));
    let chain = |path: &PathBuf| -> Result<Vec<CertificateDer<'static>>, ClientError> {
        let read = CertificateDer::pem_file_iter(path).and_then(Iterator::collect);
        read.map_err(|why| unread(path, why.to_string()))
    };
    let mut roots = rustls::RootCertStore::empty();
    for authority in chain(authorities)? {
        roots.add(authority).map_err(|why| unread(authorities, why.to_string()))?;
    }
    let private = PrivateKeyDer::from_pem_file(key).map_err(|why| unread(key, why.to_string()))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = rustls::ClientConfig::builder_with_provider(provider).with_safe_default_protocol_versions();
    let builder = builder.map_err(|why| unusable(why.to_string()))?.with_root_certificates(roots);
    let config = builder.with_client_auth_cert(chain(certificate)?, private);
    let config = config.map_err(|why| unread(certificate, why.to_string()))?;
    let named = ServerName::try_from(name.to_string()).map_err(|why| unusable(format!("{name}: {why}")))?;
    let stream = tokio_rustls::TlsConnector::from(Arc::new(config)).connect(named, socket).await;
    let not_trusted =
        |why: std::io::Error| ClientError::new(Stage::Connecting, ErrorKind::Authentication(why.to_string()));
    Ok((Box::new(stream.map_err(not_trusted)?), None))
}
