//! Listeners: NETCONF over SSH (RFC 6242, `russh`) and over TLS with client certificates (RFC 7589, `rustls`).

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

use crate::places::{known, Places};
use crate::service::Shared;
use crate::session::Limits;
use crate::ssh;

/// After a fault in accepting, so long until the next try.
const PAUSE: Duration = Duration::from_millis(100);

/// What listens, before anybody is served.
pub struct Listeners {
    ssh: Option<(StdListener, russh::keys::PrivateKey)>,
    tls: Option<(StdListener, Arc<rustls::ServerConfig>)>,
    limits: Limits,
    sessions: usize,
}

fn listen(address: &str) -> Result<StdListener, String> {
    let failed = |why: std::io::Error| format!("{address} cannot be listened on: {why}");
    let address: SocketAddr = address.parse().map_err(|_| format!("{address} is no address with a port"))?;
    let listener = StdListener::bind(address).map_err(failed)?;
    listener.set_nonblocking(true).map_err(failed)?;
    Ok(listener)
}

fn span(view: &View<'_>, name: &str) -> Duration {
    Duration::from_secs_f64(view.figure(name).unwrap_or(0.0) / 1000.0)
}

impl Listeners {
    /// Listens where the configuration's part `northbound/netconf` says, and nowhere else; `None` where it says
    /// nothing. `beside`: where the files that it names are. The error is one line.
    pub fn bind(netconf: View<'_>, beside: &dyn Fn(&str) -> PathBuf) -> Result<Option<Listeners>, String> {
        let (ssh, tls) = (netconf.inner("ssh"), netconf.inner("tls"));
        let file = |view: &View<'_>, name: &str| beside(view.text(name).unwrap_or_default());
        let bound = |view: &View<'_>| listen(view.text("listen").unwrap_or_default());
        let ssh = match ssh.is_there() {
            true => {
                let path = file(&ssh, "host-key");
                let key = russh::keys::load_secret_key(&path, None)
                    .map_err(|why| format!("the host key {} cannot be read: {why}", path.display()))?;
                Some((bound(&ssh)?, key))
            }
            false => None,
        };
        let tls = match tls.is_there() {
            true => {
                let config = trusting(
                    &file(&tls, "certificate"),
                    &file(&tls, "key"),
                    &file(&tls, "client-authorities"),
                )?;
                Some((bound(&tls)?, Arc::new(config)))
            }
            false => None,
        };
        if ssh.is_none() && tls.is_none() {
            return Ok(None);
        }
        let idle = span(&netconf, "idle-within");
        let limits = Limits {
            hello_within: span(&netconf, "hello-within"),
            idle_within: Some(idle).filter(|idle| !idle.is_zero()),
        };
        let sessions = netconf.leaf("sessions").and_then(|most| most.as_u64()).unwrap_or(1) as usize;
        Ok(Some(Listeners { ssh, tls, limits, sessions }))
    }

    /// Where it listens for SSH and for TLS.
    pub fn addresses(&self) -> (Option<SocketAddr>, Option<SocketAddr>) {
        let address = |listener: &StdListener| listener.local_addr().ok();
        let ssh = self.ssh.as_ref().and_then(|(listener, _)| address(listener));
        (ssh, self.tls.as_ref().and_then(|(listener, _)| address(listener)))
    }

    /// Serves for good, on the runtime that it is called on.
    pub async fn serve(self, keeper: DatastoreManager) {
        let (ssh_at, tls_at) = self.addresses();
        let access = keeper.access_rules();
        let shared = Arc::new(Shared::new(keeper));
        let (limits, places) = (self.limits, Places::new(self.sessions));
        let over_ssh = async {
            let Some((listener, key)) = self.ssh else { return };
            let config = Arc::new(ssh::config(key, limits));
            tracing::info!("NETCONF over SSH on {}", ssh_at.map(|at| at.to_string()).unwrap_or_default());
            let each = |socket, from, places: Places, place| {
                let (config, shared) = (config.clone(), shared.clone());
                ssh::connection(socket, from, config, shared, limits, places, place)
            };
            accept(listener, &places, each).await;
        };
        let over_tls = async {
            let Some((listener, config)) = self.tls else { return };
            tracing::info!("NETCONF over TLS on {}", tls_at.map(|at| at.to_string()).unwrap_or_default());
            let acceptor = tokio_rustls::TlsAcceptor::from(config);
            let each = |socket, from, places: Places, place| {
                let (acceptor, shared, access) = (acceptor.clone(), shared.clone(), access.clone());
                tls_connection(socket, from, acceptor, shared, access, limits, places, place)
            };
            accept(listener, &places, each).await;
        };
        tokio::join!(over_ssh, over_tls);
    }
}

/// Takes connections for good; one with no place left ends at once. A panic in one ends it alone.
async fn accept<F>(
    listener: StdListener,
    places: &Places,
    each: impl Fn(TcpStream, SocketAddr, Places, OwnedSemaphorePermit) -> F,
) where
    F: Future<Output = Result<(), String>> + Send + 'static,
{
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(why) => return tracing::error!("nobody can be listened to: {why}"),
    };
    let mut turned_away = 0u64;
    loop {
        let (socket, from) = match listener.accept().await {
            Ok(taken) => taken,
            Err(why) => {
                tracing::error!("no northbound connection can be taken: {why}");
                sleep(PAUSE).await;
                continue;
            }
        };
        let Some(place) = places.stranger() else {
            turned_away += 1;
            // A storm of them is one line for the first, the second, the fourth, the eighth ...
            if turned_away.is_power_of_two() {
                tracing::warn!("{turned_away} northbound connections found no place, the last from {from}");
            }
            continue;
        };
        _ = socket.set_nodelay(true);
        let life = each(socket, from, places.clone(), place);
        let connection = tracing::info_span!("northbound", %from);
        let whole = async move {
            if let Err(why) = life.await {
                tracing::info!("the northbound connection from {from} ends: {why}");
            }
        };
        tokio::spawn(whole.instrument(connection));
    }
}

/// A server's side of TLS that takes clients only with a certificate that one of the authorities vouches for.
fn trusting(certificate: &Path, key: &Path, authorities: &Path) -> Result<rustls::ServerConfig, String> {
    let unread = |path: &Path, why: String| format!("{} cannot be used: {why}", path.display());
    let chain = |path: &Path| -> Result<Vec<CertificateDer<'static>>, String> {
        let read = CertificateDer::pem_file_iter(path).and_then(Iterator::collect);
        let chain: Vec<CertificateDer<'static>> = read.map_err(|why| unread(path, why.to_string()))?;
        match chain.is_empty() {
            true => Err(unread(path, "it holds no certificate".into())),
            false => Ok(chain),
        }
    };
    let mut roots = RootCertStore::empty();
    for authority in chain(authorities)? {
        roots.add(authority).map_err(|why| unread(authorities, why.to_string()))?;
    }
    let private = PrivateKeyDer::from_pem_file(key).map_err(|why| unread(key, why.to_string()))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider.clone()).build();
    let verifier = verifier.map_err(|why| unread(authorities, why.to_string()))?;
    let builder = rustls::ServerConfig::builder_with_provider(provider).with_safe_default_protocol_versions();
    let builder = builder.map_err(|why| why.to_string())?.with_client_cert_verifier(verifier);
    builder.with_single_cert(chain(certificate)?, private).map_err(|why| unread(certificate, why.to_string()))
}

/// The user whom a client's chain of certificates stands for, RFC 7589 section 7. The chain is verified.
fn user_of(access: &AccessControl, chain: &[CertificateDer<'_>]) -> Result<String, String> {
    let client = chain.first().ok_or("no certificate came")?;
    let mapped = chain.iter().find_map(|certificate| access.cert_to_name(&fingerprint(certificate)));
    let unknown = || format!("its certificate {} stands for nobody", fingerprint(client));
    let parsed = || x509_parser::parse_x509_certificate(client).map_err(|why| why.to_string());
    let name = match mapped.ok_or_else(unknown)? {
        CertToName::Specified(user) => Some(user.clone()),
        CertToName::CommonName => {
            let (_, parsed) = parsed()?;
            let mut names = parsed.subject().iter_common_name().filter_map(|name| name.as_str().ok());
            names.next().map(str::to_string)
        }
        CertToName::DnsName => {
            let (_, parsed) = parsed()?;
            let names = parsed.subject_alternative_name().map_err(|why| why.to_string())?;
            let names = names.into_iter().flat_map(|names| &names.value.general_names);
            let mut dns = names.filter_map(|name| match name {
                GeneralName::DNSName(name) => Some(name.to_string()),
                _ => None,
            });
            dns.next()
        }
    };
    name.ok_or_else(|| "its certificate holds no name of the kind that is asked for".into())
}

/// The SHA-256 of a certificate, in lower-case hex.
pub fn fingerprint(certificate: &CertificateDer<'_>) -> String {
    let digest = ring::digest::digest(&ring::digest::SHA256, certificate);
    digest.as_ref().iter().map(|byte| format!("{byte:02x}")).collect()
}

#[allow(clippy::too_many_arguments)]
async fn tls_connection(
    socket: TcpStream,
    from: SocketAddr,
    acceptor: tokio_rustls::TlsAcceptor,
    shared: Arc<Shared>,
    access: watch::Receiver<AccessControl>,
    limits: Limits,
    places: Places,
    place: OwnedSemaphorePermit,
) -> Result<(), String> {
    let stream = match timeout(limits.hello_within, acceptor.accept(socket)).await {
        Ok(accepted) => accepted.map_err(|why| why.to_string())?,
        Err(_) => return Err("its handshake takes too long".into()),
    };
    let chain = stream.get_ref().1.peer_certificates().unwrap_or_default();
    let user = user_of(&access.borrow(), chain)?;
    known(stream, shared, &user, &format!("tls {from}"), limits, &places, place).await
}
