//! SSH keys and X.509 certificates generated for one run of a test.

use std::fs;
use std::path::{Path, PathBuf};

use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair};
use ring::digest::{digest, SHA256};
use russh::keys::ssh_key::private::Ed25519Keypair;
use russh::keys::ssh_key::{LineEnding, PrivateKey};
use time::{Duration, OffsetDateTime};

/// An Ed25519 key pair for SSH in two files. The same seed always gives the same keys.
pub struct SshKeyPair {
    /// The file of the private key, in OpenSSH format.
    pub private_key_path: PathBuf,
    /// The file of the public key.
    pub public_key_path: PathBuf,
    /// The public key as one line of OpenSSH format.
    pub public_key: String,
}

impl SshKeyPair {
    /// Generates a key pair from a seed and writes it to the files `name` and `name.pub` of a directory.
    pub fn write(directory: &Path, name: &str, seed: u8) -> SshKeyPair {
        let key = PrivateKey::from(Ed25519Keypair::from_seed(&[seed; 32]));
        let public_key = key.public_key().to_openssh().expect("a public key can be encoded");
        let private_key_path = directory.join(name);
        let public_key_path = directory.join(format!("{name}.pub"));
        let private_key = key.to_openssh(LineEnding::LF).expect("a private key can be encoded");
        fs::write(&private_key_path, private_key.as_bytes()).expect("the directory is writable");
        #[cfg(unix)]
        {
            use std::os::unix::fs::PermissionsExt;
            fs::set_permissions(&private_key_path, fs::Permissions::from_mode(0o600))
                .expect("the process owns the file");
        }
        fs::write(&public_key_path, format!("{public_key}\n")).expect("the directory is writable");
        SshKeyPair { private_key_path, public_key_path, public_key }
    }
}

/// A certificate authority that signs certificates of servers and clients.
pub struct CertificateAuthority {
    issuer: Issuer<'static, KeyPair>,
    /// The file of its self-signed certificate, in PEM format.
    pub certificate_path: PathBuf,
    directory: PathBuf,
}

impl CertificateAuthority {
    /// Creates an authority and writes its certificate to the file `name.pem` of a directory.
    pub fn new(directory: &Path, name: &str) -> CertificateAuthority {
        let key = KeyPair::generate().expect("a key can be generated");
        let mut params = CertificateParams::new(Vec::new()).expect("an empty list of names is valid");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.distinguished_name.push(DnType::CommonName, name);
        let certificate = params.self_signed(&key).expect("the certificate can be signed");
        let certificate_path = directory.join(format!("{name}.pem"));
        fs::write(&certificate_path, certificate.pem()).expect("the directory is writable");
        CertificateAuthority {
            issuer: Issuer::new(params, key),
            certificate_path,
            directory: directory.into(),
        }
    }

    /// Issues a certificate for a DNS name and writes it to the file `name.crt` and its private key to `name.key`.
    /// `validity_days`: the start and the end of its validity, in days from now. Returns the paths of both files and
    /// the certificate's SHA-256 fingerprint in hexadecimal.
    pub fn issue(&self, name: &str, validity_days: (i64, i64)) -> (PathBuf, PathBuf, String) {
        let key = KeyPair::generate().expect("a key can be generated");
        let mut params = CertificateParams::new(vec![name.to_string()]).expect("a valid DNS name");
        params.distinguished_name.push(DnType::CommonName, name);
        let now = OffsetDateTime::now_utc();
        let (start_days, end_days) = validity_days;
        params.not_before = now + Duration::days(start_days);
        params.not_after = now + Duration::days(end_days);
        let certificate = params.signed_by(&key, &self.issuer).expect("the certificate can be signed");
        let certificate_path = self.directory.join(format!("{name}.crt"));
        let key_path = self.directory.join(format!("{name}.key"));
        fs::write(&certificate_path, certificate.pem()).expect("the directory is writable");
        fs::write(&key_path, key.serialize_pem()).expect("the directory is writable");
        let fingerprint =
            digest(&SHA256, certificate.der()).as_ref().iter().map(|b| format!("{b:02x}")).collect();
        (certificate_path, key_path, fingerprint)
    }
}
