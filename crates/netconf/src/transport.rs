//! Listeners for NETCONF over SSH (RFC 6242, with `russh`) and over TLS with client certificates (RFC 7589, with
//! `rustls`).

use std::future::Future;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use juniperrail_intent::{AccessControl, CertToName};
use juniperrail_model::View;
use juniperrail_northbound::DatastoreManager;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::RootCertStore;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, OwnedSemaphorePermit};
use tokio::time::{sleep, timeout};
use tracing::Instrument;
use x509_parser::extensions::GeneralName;

use crate::connection_limits::{serve_authenticated, ConnectionLimits};
use crate::service::ServerContext;
use crate::session::SessionTimeouts;
use crate::ssh;

/// Delay before the next accept after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The bound listeners of the server, which do not accept connections yet.
pub struct Listeners {
    ssh: Option<(StdListener, russh::keys::PrivateKey)>,
    tls: Option<(StdListener, Arc<rustls::ServerConfig>)>,
    timeouts: SessionTimeouts,
    max_sessions: usize,
}

/// Binds a non-blocking listener.
fn bind_listener(address: &str) -> Result<StdListener, String> {
    let listen_error = |error: std::io::Error| format!("cannot listen on {address}: {error}");
    let address: SocketAddr =
        address.parse().map_err(|_| format!("{address} is not an address with a port"))?;
    let listener = StdListener::bind(address).map_err(listen_error)?;
    listener.set_nonblocking(true).map_err(listen_error)?;
    Ok(listener)
}

/// Reads a setting in milliseconds; 0 if it is absent.
fn duration_setting(view: &View<'_>, name: &str) -> Duration {
    Duration::from_secs_f64(view.number(name).unwrap_or(0.0) / 1000.0)
}

impl Listeners {
    /// Binds the listeners that the container `northbound/netconf` of the configuration names; `None` if the
    /// container names none. `resolve` returns the path of a file that the configuration names. The error is one line.
    pub fn bind(netconf: View<'_>, resolve: &dyn Fn(&str) -> PathBuf) -> Result<Option<Listeners>, String> {
        let (ssh, tls) = (netconf.container("ssh"), netconf.container("tls"));
        let file_path = |view: &View<'_>, name: &str| resolve(view.text(name).unwrap_or_default());
        let bind = |view: &View<'_>| bind_listener(view.text("listen").unwrap_or_default());
        let ssh = match ssh.exists() {
            true => {
                let path = file_path(&ssh, "host-key");
                let host_key = russh::keys::load_secret_key(&path, None)
                    .map_err(|error| format!("the host key {} cannot be read: {error}", path.display()))?;
                Some((bind(&ssh)?, host_key))
            }
            false => None,
        };
        let tls = match tls.exists() {
            true => {
                let config = tls_server_config(
                    &file_path(&tls, "certificate"),
                    &file_path(&tls, "key"),
                    &file_path(&tls, "client-authorities"),
                )?;
                Some((bind(&tls)?, Arc::new(config)))
            }
            false => None,
        };
        if ssh.is_none() && tls.is_none() {
            return Ok(None);
        }
        let idle_timeout = duration_setting(&netconf, "idle-within");
        let timeouts = SessionTimeouts {
            hello_timeout: duration_setting(&netconf, "hello-within"),
            idle_timeout: Some(idle_timeout).filter(|idle_timeout| !idle_timeout.is_zero()),
        };
        let max_sessions = netconf.leaf("sessions").and_then(|value| value.as_u64()).unwrap_or(1) as usize;
        Ok(Some(Listeners { ssh, tls, timeouts, max_sessions }))
    }

    /// The addresses of the SSH and the TLS listener.
    pub fn addresses(&self) -> (Option<SocketAddr>, Option<SocketAddr>) {
        let address = |listener: &StdListener| listener.local_addr().ok();
        let ssh = self.ssh.as_ref().and_then(|(listener, _)| address(listener));
        (ssh, self.tls.as_ref().and_then(|(listener, _)| address(listener)))
    }

    /// Accepts and serves connections on the current runtime. Returns only if no listener can be used.
    pub async fn serve(self, datastore_manager: DatastoreManager) {
        let (ssh_address, tls_address) = self.addresses();
        let access = datastore_manager.access_rules();
        let context = Arc::new(ServerContext::new(datastore_manager));
        let (timeouts, limits) = (self.timeouts, ConnectionLimits::new(self.max_sessions));
        let serve_ssh = async {
            let Some((listener, host_key)) = self.ssh else { return };
            let config = Arc::new(ssh::config(host_key, timeouts));
            tracing::info!(
                "NETCONF over SSH on {}",
                ssh_address.map(|address| address.to_string()).unwrap_or_default()
            );
            let serve_connection = |socket, client_address, limits: ConnectionLimits, permit| {
                let (config, context) = (config.clone(), context.clone());
                ssh::serve_connection(socket, client_address, config, context, timeouts, limits, permit)
            };
            accept_connections(listener, &limits, serve_connection).await;
        };
        let serve_tls = async {
            let Some((listener, config)) = self.tls else { return };
            tracing::info!(
                "NETCONF over TLS on {}",
                tls_address.map(|address| address.to_string()).unwrap_or_default()
            );
            let acceptor = tokio_rustls::TlsAcceptor::from(config);
            let serve_connection = |socket, client_address, limits: ConnectionLimits, permit| {
                let (acceptor, context, access) = (acceptor.clone(), context.clone(), access.clone());
                serve_tls_connection(
                    socket,
                    client_address,
                    acceptor,
                    context,
                    access,
                    timeouts,
                    limits,
                    permit,
                )
            };
            accept_connections(listener, &limits, serve_connection).await;
        };
        tokio::join!(serve_ssh, serve_tls);
    }
}

/// Accepts connections in an endless loop and serves each in a task of its own, so that a panic ends only that
/// connection. A connection that exceeds the limit on unauthenticated connections is closed at once.
async fn accept_connections<F>(
    listener: StdListener,
    limits: &ConnectionLimits,
    serve_connection: impl Fn(TcpStream, SocketAddr, ConnectionLimits, OwnedSemaphorePermit) -> F,
) where
    F: Future<Output = Result<(), String>> + Send + 'static,
{
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => return tracing::error!("cannot accept northbound connections: {error}"),
    };
    let mut rejected_connections = 0u64;
    loop {
        let (socket, client_address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                tracing::error!("cannot accept a northbound connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Some(permit) = limits.acquire_unauthenticated() else {
            rejected_connections += 1;
            // Logs only the first, second, fourth, eighth ... so that many rejections do not flood the log.
            if rejected_connections.is_power_of_two() {
                tracing::warn!(
                    "{rejected_connections} northbound connections rejected, too many unauthenticated, the last from {client_address}"
                );
            }
            continue;
        };
        _ = socket.set_nodelay(true);
        let connection = serve_connection(socket, client_address, limits.clone(), permit);
        let span = tracing::info_span!("northbound", from = %client_address);
        let logged_connection = async move {
            if let Err(reason) = connection.await {
                tracing::info!("the northbound connection from {client_address} ends: {reason}");
            }
        };
        tokio::spawn(logged_connection.instrument(span));
    }
}

/// The TLS configuration of the server. Clients need a certificate that one of the authorities has signed.
fn tls_server_config(
    certificate: &Path,
    key: &Path,
    authorities: &Path,
) -> Result<rustls::ServerConfig, String> {
    let unusable_file = |path: &Path, reason: String| format!("{} cannot be used: {reason}", path.display());
    let read_chain = |path: &Path| -> Result<Vec<CertificateDer<'static>>, String> {
        let certificates = CertificateDer::pem_file_iter(path).and_then(Iterator::collect);
        let chain: Vec<CertificateDer<'static>> =
            certificates.map_err(|error| unusable_file(path, error.to_string()))?;
        match chain.is_empty() {
            true => Err(unusable_file(path, "it contains no certificate".into())),
            false => Ok(chain),
        }
    };
    let mut roots = RootCertStore::empty();
    for authority in read_chain(authorities)? {
        roots.add(authority).map_err(|error| unusable_file(authorities, error.to_string()))?;
    }
    let private_key =
        PrivateKeyDer::from_pem_file(key).map_err(|error| unusable_file(key, error.to_string()))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider.clone()).build();
    let verifier = verifier.map_err(|error| unusable_file(authorities, error.to_string()))?;
    let builder = rustls::ServerConfig::builder_with_provider(provider).with_safe_default_protocol_versions();
    let builder = builder.map_err(|error| error.to_string())?.with_client_cert_verifier(verifier);
    builder
        .with_single_cert(read_chain(certificate)?, private_key)
        .map_err(|error| unusable_file(certificate, error.to_string()))
}

/// Maps a client's certificate chain, which is already verified, to a user (RFC 7589 section 7).
fn map_certificate_to_user(access: &AccessControl, chain: &[CertificateDer<'_>]) -> Result<String, String> {
    let client_certificate = chain.first().ok_or("the client sent no certificate")?;
    let cert_to_name = chain.iter().find_map(|certificate| access.cert_to_name(&fingerprint(certificate)));
    let unmapped_error = || format!("its certificate {} maps to no user", fingerprint(client_certificate));
    let parse_client_certificate =
        || x509_parser::parse_x509_certificate(client_certificate).map_err(|error| error.to_string());
    let name = match cert_to_name.ok_or_else(unmapped_error)? {
        CertToName::Specified(user) => Some(user.clone()),
        CertToName::CommonName => {
            let (_, certificate) = parse_client_certificate()?;
            let mut common_names =
                certificate.subject().iter_common_name().filter_map(|name| name.as_str().ok());
            common_names.next().map(str::to_string)
        }
        CertToName::DnsName => {
            let (_, certificate) = parse_client_certificate()?;
            let alternative_names =
                certificate.subject_alternative_name().map_err(|error| error.to_string())?;
            let general_names = alternative_names.into_iter().flat_map(|names| &names.value.general_names);
            let mut dns_names = general_names.filter_map(|name| match name {
                GeneralName::DNSName(name) => Some(name.to_string()),
                _ => None,
            });
            dns_names.next()
        }
    };
    name.ok_or_else(|| "its certificate has no name of the kind that the mapping requires".into())
}

/// The SHA-256 fingerprint of a certificate, in lower-case hex.
pub fn fingerprint(certificate: &CertificateDer<'_>) -> String {
    let digest = ring::digest::digest(&ring::digest::SHA256, certificate);
    digest.as_ref().iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Serves one TLS connection until it ends.
#[allow(clippy::too_many_arguments)]
async fn serve_tls_connection(
    socket: TcpStream,
    client_address: SocketAddr,
    acceptor: tokio_rustls::TlsAcceptor,
    context: Arc<ServerContext>,
    access: watch::Receiver<AccessControl>,
    timeouts: SessionTimeouts,
    limits: ConnectionLimits,
    unauthenticated_permit: OwnedSemaphorePermit,
) -> Result<(), String> {
    let stream = match timeout(timeouts.hello_timeout, acceptor.accept(socket)).await {
        Ok(accepted) => accepted.map_err(|error| error.to_string())?,
        Err(_) => return Err("TLS handshake timed out".into()),
    };
    let chain = stream.get_ref().1.peer_certificates().unwrap_or_default();
    let user = map_certificate_to_user(&access.borrow(), chain)?;
    let client_origin = format!("tls {client_address}");
    serve_authenticated(stream, context, &user, &client_origin, timeouts, &limits, unauthenticated_permit)
        .await
}
