//! Stand-ins for the systems that a manager communicates with (discovery, proxies, collectors and workers), written
//! against the platform's protocol, for tests, examples and measurements. Each is controlled by its caller and does
//! nothing by itself unless its documentation says so. None depends on the manager's code.

mod credentials;
mod discovery;
mod list_subscriber;
mod peer;
mod proxies;
mod rules;
mod worker;

pub use credentials::{CertificateAuthority, SshKeyPair};
pub use discovery::{instance_json, list_json, Discovery};
pub use list_subscriber::{BodyEnd, ListSubscriber};
pub use peer::{address_from_log, AnsweringProxy, Peer};
pub use proxies::{Proxies, WorkerWeights};
pub use rules::{RuleChecker, RuleLimits, Violation};
pub use worker::Worker;

/// Settings of a small test configuration: two operations, two zones, proxies that do not avoid outliers, and rates as
/// levels.
pub const SETTINGS: &str = r#"{"tick-ms":1,"zones":["a","b"],"skus":["m2"],"n-instances":1,
    "lanes":[{"name":"lookup","on-time-ms":500,"worth":1},{"name":"order","on-time-ms":500,"worth":3}],
    "domain":{"level-kind":"rate","channel-rate":5000,"pending-max":5000,"overhead":4,"counted-over-ms":10000,
    "worst-transit-ms":900,"period-ms":2000,"proxy-count":20,"cost-per-line":0.04},
    "rules":{"drain-grace-ms":3000,"warm-up-ms":1000,"cold-share":0.3,"overload-factor":4},
    "charges":{"cross-zone":0.01},"allowed":{"dial-timeout-ms":250}}"#;
