//! A manager process of the shipped program, with the settings of a scenario.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::json;

use super::error::ScaleError;
use super::measured_process::{probe, Launcher, MeasuredProcess};
use super::scenario::Scenario;
use super::simulated::Fleet;

/// The part of a manager's socket limit that is not for its proxies' connections.
const OTHER_SOCKETS: usize = 1024;
/// The XML namespace of the manager's configuration.
const NAMESPACE: &str = "tag:juniperrail.example,2026:yang:manager";
/// The time within which a draining worker must be out of every table, in the settings of all scenarios.
pub const DRAIN_GRACE_MS: u32 = 3000;

/// A running manager and the address that it serves.
pub struct Manager {
    pub process: MeasuredProcess,
    pub address: SocketAddr,
}

impl Manager {
    /// Starts a manager and waits until it answers a probe. `operator` has the elements of its operator's file, if it
    /// has one.
    pub async fn start(
        launcher: &Launcher,
        scenario: &Scenario,
        discovery: SocketAddr,
        operator: Option<&str>,
    ) -> Result<Manager, ScaleError> {
        let directory = launcher.create_directory("manager")?;
        let config = write_file(&directory, "config.json", &config(scenario, discovery))?;
        let mut arguments = Vec::new();
        if let Some(content) = operator {
            let content =
                format!("<config xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\">{content}</config>");
            let file = write_file(&directory, "operator.xml", &content)?;
            arguments = vec!["--operator-file".to_string(), file.display().to_string()];
        }
        let mut process = launcher.start(&directory, &arguments, &[("PROXY_CONFIG", config)])?;
        let address = process.wait_for_address().await?;
        probe(address).await?;
        Ok(Manager { process, address })
    }
}

/// An element of the operator's file, in the manager's namespace.
pub fn operator_element(name: &str, content: &str) -> String {
    format!("<{name} xmlns=\"{NAMESPACE}\">{content}</{name}>")
}

fn write_file(directory: &std::path::Path, name: &str, content: &str) -> Result<PathBuf, ScaleError> {
    let path = directory.join(name);
    fs::write(&path, content).map_err(ScaleError::io(path.display().to_string()))?;
    Ok(path)
}

/// The manager's configuration file.
fn config(scenario: &Scenario, discovery: SocketAddr) -> String {
    let zones: Vec<String> = (0..scenario.zones).map(Fleet::zone_name).collect();
    let operation = |number| json!({"name": format!("op-{number:02}"), "on-time-ms": 500, "worth": 1});
    let operations: Vec<_> = (0..scenario.operations).map(operation).collect();
    let settings = json!({
        "tick-ms": 1, "zones": zones, "skus": ["m2"], "n-instances": 1, "lanes": operations,
        "domain": {
            "level-kind": "rate", "channel-rate": 100_000, "pending-max": 100_000, "overhead": 4,
            "counted-over-ms": 10_000, "worst-transit-ms": 900, "period-ms": 2000,
            "proxy-count": scenario.proxies.max(1), "cost-per-line": 0.04,
        },
        "rules": {"drain-grace-ms": DRAIN_GRACE_MS, "warm-up-ms": 1000, "cold-share": 0.3, "overload-factor": 4},
        "charges": {"cross-zone": 0.01},
        "allowed": {"dial-timeout-ms": 250},
    });
    let config = json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"sockets": scenario.proxies + OTHER_SOCKETS}, "settings": settings,
    });
    config.to_string()
}
