//! Keys and certificates made for one run of a test.

use std::fs;
use std::path::{Path, PathBuf};

use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair};
use ring::digest::{digest, SHA256};
use russh::keys::ssh_key::private::Ed25519Keypair;
use russh::keys::ssh_key::{LineEnding, PrivateKey};
use time::{Duration, OffsetDateTime};

/// An SSH key pair in two files, the same for the same seed.
pub struct SshKeys {
    pub private_key_path: PathBuf,
    pub public_key_path: PathBuf,
    /// The public key as one line.
    pub public_key: String,
}

impl SshKeys {
    pub fn write(folder: &Path, name: &str, seed: u8) -> SshKeys {
        let key = PrivateKey::from(Ed25519Keypair::from_seed(&[seed; 32]));
        let line = key.public_key().to_openssh().expect("a public key has a line");
        let (private, public) = (folder.join(name), folder.join(format!("{name}.pub")));
        let text = key.to_openssh(LineEnding::LF).expect("a key can be written");
        fs::write(&private, text.as_bytes()).expect("the folder can be written");
        #[cfg(unix)]
        {
            use std::os::unix::fs::PermissionsExt;
            fs::set_permissions(&private, fs::Permissions::from_mode(0o600)).expect("it is ours");
        }
        fs::write(&public, format!("{line}\n")).expect("the folder can be written");
        SshKeys { private_key_path: private, public_key_path: public, public_key: line }
    }
}

/// An authority that vouches for servers and clients.
pub struct CertificateAuthority {
    issuer: Issuer<'static, KeyPair>,
    pub certificate_path: PathBuf,
    folder: PathBuf,
}

impl CertificateAuthority {
    pub fn new(folder: &Path, name: &str) -> CertificateAuthority {
        let key = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::new(Vec::new()).expect("no names");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.distinguished_name.push(DnType::CommonName, name);
        let certificate = params.self_signed(&key).expect("it signs itself");
        let path = folder.join(format!("{name}.pem"));
        fs::write(&path, certificate.pem()).expect("the folder can be written");
        CertificateAuthority {
            issuer: Issuer::new(params, key),
            certificate_path: path,
            folder: folder.into(),
        }
    }

    /// A certificate with its key in two files, and its fingerprint. `days`: from when to when it holds, from now.
    pub fn issue(&self, name: &str, days: (i64, i64)) -> (PathBuf, PathBuf, String) {
        let key = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::new(vec![name.to_string()]).expect("a DNS name");
        params.distinguished_name.push(DnType::CommonName, name);
        let now = OffsetDateTime::now_utc();
        (params.not_before, params.not_after) = (now + Duration::days(days.0), now + Duration::days(days.1));
        let certificate = params.signed_by(&key, &self.issuer).expect("it is signed");
        let (pem, private) =
            (self.folder.join(format!("{name}.crt")), self.folder.join(format!("{name}.key")));
        fs::write(&pem, certificate.pem()).expect("the folder can be written");
        fs::write(&private, key.serialize_pem()).expect("the folder can be written");
        let fingerprint =
            digest(&SHA256, certificate.der()).as_ref().iter().map(|b| format!("{b:02x}")).collect();
        (pem, private, fingerprint)
    }
}
