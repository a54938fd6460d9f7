//! A manager in a process of its own that serves NETCONF over SSH and TLS, and commands of the program that connect to it.

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::Instant;

use super::WAIT_TIMEOUT;

use juniperrail_client::Endpoint;
use juniperrail_standins::{instance_json, list_json, CertificateAuthority, Discovery, SshKeyPair, SETTINGS};

/// Validity of the certificates: its start and its end, in days from now.
const VALIDITY_DAYS: (i64, i64) = (-1, 1);

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_juniperrail");

/// Runs a command. Returns its exit code (-1 if a signal ended it), standard output and standard error.
pub fn run_command(command: &mut Command) -> (i32, String, String) {
    let Output { status, stdout, stderr } = command.output().unwrap();
    let to_text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (status.code().unwrap_or(-1), to_text(stdout), to_text(stderr))
}

/// A running manager with NETCONF over SSH, and its files in a directory of its own. Dropping it kills the manager and
/// removes the files.
pub struct TestManager {
    pub directory: PathBuf,
    pub discovery: Discovery,
    pub child: Child,
    /// The address on which the manager serves proxies.
    pub address: std::net::SocketAddr,
    ssh_address: String,
    tls_address: String,
    host_keys: SshKeyPair,
    ann_keys: SshKeyPair,
    authority: CertificateAuthority,
    /// The certificate and the key of the user ann.
    ann_certificate: (PathBuf, PathBuf),
    pub log: BufReader<std::process::ChildStderr>,
}

pub fn create_directory(name: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("juniperrail-line-{name}-{}", std::process::id()));
    fs::create_dir_all(&directory).unwrap();
    directory
}

impl TestManager {
    pub fn new(name: &str) -> TestManager {
        TestManager::with_log_filter(name, "info")
    }

    /// Starts a manager whose log is filtered as `RUST_LOG` describes.
    pub fn with_log_filter(name: &str, log_filter: &str) -> TestManager {
        let directory = create_directory(name);
        let (host_keys, ann_keys) =
            (SshKeyPair::write(&directory, "host", 1), SshKeyPair::write(&directory, "ann", 2));
        let discovery = Discovery::start();
        let cached_list =
            list_json(1, true, &["s-1", "s-2"].map(|id| instance_json(id, "a", "127.0.0.1:9", "ready")));
        discovery.publish(&cached_list);
        let config = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{}","seed":"8c1f30d27a5be964","known":{cached_list},
            "settings":{SETTINGS}}}"#,
            discovery.address
        );
        let authority = CertificateAuthority::new(&directory, "authority");
        let (certificate, key, _) = authority.issue("manager.example", VALIDITY_DAYS);
        let (ann_certificate, ann_key, fingerprint) = authority.issue("ann.example", VALIDITY_DAYS);
        let operator_file = format!(
            r#"<config xmlns="urn:ietf:params:xml:ns:netconf:base:1.0"><northbound
            xmlns="tag:juniperrail.example,2026:yang:manager"><netconf><ssh><listen>127.0.0.1:0</listen>
            <host-key>host</host-key></ssh><tls><listen>127.0.0.1:0</listen><certificate>{}</certificate>
            <key>{}</key><client-authorities>authority.pem</client-authorities><client>
            <fingerprint>{fingerprint}</fingerprint><user>ann</user></client></tls></netconf><user><name>ann</name><role>admin</role>
            <ssh-key>{}</ssh-key></user></northbound></config>"#,
            certificate.display(),
            key.display(),
            ann_keys.public_key
        );
        fs::write(directory.join("config.json"), config).unwrap();
        fs::write(directory.join("operator.xml"), operator_file).unwrap();
        let mut command = Command::new(PROGRAM);
        command.env_clear().env("PROXY_CONFIG", directory.join("config.json")).env("RUST_LOG", log_filter);
        command.args(["--operator-file", directory.join("operator.xml").to_str().unwrap(), "--log", "json"]);
        let mut manager = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(manager.stderr.take().unwrap());
        let mut line = String::new();
        let (mut address, mut ssh_address, mut tls_address) = (None, None, None);
        while address.is_none() || ssh_address.is_none() || tls_address.is_none() {
            line.clear();
            assert!(log.read_line(&mut line).unwrap() > 0, "the manager ended before it served");
            let event: serde_json::Value = serde_json::from_str(&line).unwrap();
            let message = event["message"].as_str().unwrap();
            address = address.or(message.split_once("serves on ").map(|(_, text)| text.parse().unwrap()));
            let netconf_address = |transport: &str| {
                message.split_once(&format!("NETCONF over {transport} on ")).map(|(_, text)| text.to_string())
            };
            ssh_address = ssh_address.or(netconf_address("SSH"));
            tls_address = tls_address.or(netconf_address("TLS"));
        }
        let (address, ssh_address) = (address.unwrap(), ssh_address.unwrap());
        let tls_address = tls_address.unwrap();
        TestManager {
            directory,
            discovery,
            child: manager,
            address,
            ssh_address,
            tls_address,
            host_keys,
            ann_keys,
            authority,
            ann_certificate: (ann_certificate, ann_key),
            log,
        }
    }

    /// The endpoint at which the user ann connects over SSH.
    pub fn ssh_endpoint(&self) -> Endpoint {
        Endpoint::ssh(&self.ssh_address, "ann", &self.ann_keys.private_key_path)
            .with_host_key(&self.host_keys.public_key_path)
    }

    /// The endpoint at which the user ann connects over TLS.
    pub fn tls_endpoint(&self) -> Endpoint {
        let (certificate, key) = &self.ann_certificate;
        let authorities = &self.authority.certificate_path;
        Endpoint::tls(&self.tls_address, "manager.example", authorities, certificate, key)
    }

    /// Runs a subcommand over SSH as the user ann. Returns the same as [`run_command`].
    pub fn run(&self, args: &[&str]) -> (i32, String, String) {
        run_command(&mut self.command(args))
    }

    /// A subcommand over SSH as the user ann.
    pub fn command(&self, args: &[&str]) -> Command {
        let mut command = Command::new(PROGRAM);
        let (subcommand, rest) = args.split_first().unwrap();
        command.env_clear().arg(subcommand).args(["--ssh", &self.ssh_address, "--user", "ann"]);
        command
            .arg("--key")
            .arg(&self.ann_keys.private_key_path)
            .arg("--host-key")
            .arg(&self.host_keys.public_key_path);
        command.args(rest);
        command
    }

    /// Reads the log until another session than `holder` requests a lock for the second time, after a denied request.
    pub fn wait_for_denied_lock(&mut self, holder: u32) {
        let mut requests = 0;
        while requests < 2 {
            let mut line = String::new();
            assert!(self.log.read_line(&mut line).unwrap() > 0, "the manager ended");
            let event: serde_json::Value = serde_json::from_str(&line).unwrap();
            let is_other = event["session"].as_u64().is_some_and(|session| session != u64::from(holder));
            requests += usize::from(is_other && event["operation"] == "lock");
            assert!(!line.contains(" ended: "), "a session ended before it requested the lock twice: {line}");
        }
    }

    /// Waits until a version of the configuration with this number is running.
    pub fn wait_for_version(&self, number: &str) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let newest = format!("\"number\": \"{number}\"");
        while !self.run(&["state", "/state/versions", "--json"]).1.contains(&newest) {
            assert!(Instant::now() < deadline, "there is no version {number}");
        }
    }

    /// Writes an operator file whose element `workers` contains `body`, and returns the file's path.
    pub fn write_change_file(&self, body: &str) -> String {
        let path = self.directory.join("change.xml");
        fs::write(&path, super::operator_config(body)).unwrap();
        path.to_str().unwrap().to_string()
    }
}

impl Drop for TestManager {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
        _ = fs::remove_dir_all(&self.directory);
    }
}
