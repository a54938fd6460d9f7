//! Start-up configuration of a manager: the `PROXY_*` environment variables, the JSON file that `PROXY_CONFIG` names,
//! and the operator's file.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use juniperrail_intent::{check_against_settings, AdmissionContext, Datastores, Intent};
use juniperrail_interface::Settings;
use juniperrail_model::{Data, Schema};
use juniperrail_northbound::OperatorFile;
use juniperrail_start::Names;
use serde::Deserialize;
use serde_json::Value;

use crate::connection_tracker::SilenceTimeouts;
use crate::listing::Listing;
use crate::scope_filter::ScopeFilter;
use crate::subscription::Subscription;

/// The validated start-up configuration of a manager.
pub struct Launch {
    pub(crate) fixed: FixedConfig,
    pub(crate) discovery: SocketAddr,
    pub(crate) seed: u64,
    /// The list of workers from the last run, which may be out of date.
    pub(crate) cached_list: Option<Listing>,
    pub(crate) names: Names,
    /// Names of the zones in the settings; the list can add others.
    pub(crate) zones: Vec<String>,
    /// When a proxy that does not acknowledge marks counts as silent.
    pub(crate) silence_timeouts: SilenceTimeouts,
    /// The operator's file, unless it is absent or empty.
    pub(crate) operator_config: Option<OperatorConfig>,
    /// Which part of the list is needed, and the relays to take it from.
    pub(crate) subscription: Subscription,
    /// Drops entries out of scope; `None` where the full list is needed.
    pub(crate) filter: Option<ScopeFilter>,
}

/// The operator's file, as read at start-up.
pub(crate) struct OperatorConfig {
    pub file: OperatorFile,
    pub schema: Arc<Schema>,
    pub data: Data,
    pub intent: Intent,
    /// Consensus with other managers; `None` where the file does not configure it.
    pub fleet: Option<juniperrail_fleet::FleetConfig>,
}

/// Upper limit on each duration in the settings: one day.
const MAX_DURATION_MS: f64 = 86_400_000.0;

const DISCOVERY_VARIABLE: &str = "PROXY_DISCOVERY";

/// The part of the configuration that cannot change while a manager runs.
#[derive(Clone)]
pub(crate) struct FixedConfig {
    pub name: String,
    pub listen: SocketAddr,
    /// Limit on open file descriptors of this process.
    pub max_sockets: usize,
    pub settings: Settings,
    /// The shortest time from one turn to the next.
    pub tick: Duration,
    /// Timeout for connecting to a worker that is probed.
    pub dial_timeout: Duration,
}

impl FixedConfig {
    /// Names the parts in which another configuration differs.
    pub fn changed_settings(&self, other: &FixedConfig) -> impl Iterator<Item = &'static str> {
        let settings = |config: &FixedConfig| (config.settings.clone(), config.tick, config.dial_timeout);
        let comparisons = [
            ("the name", self.name != other.name),
            ("the address to listen on", self.listen != other.listen),
            ("the limit on sockets", self.max_sockets != other.max_sockets),
            ("a setting", settings(self) != settings(other)),
        ];
        comparisons.into_iter().filter(|(_, differs)| *differs).map(|(name, _)| name)
    }
}

/// The JSON file that `PROXY_CONFIG` names.
#[derive(Deserialize)]
struct ConfigFile {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<Listing>,
    settings: Value,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024 }
    }
}

impl Launch {
    /// Reads the `PROXY_*` variables and the file that `PROXY_CONFIG` names. The error is one line of text.
    pub fn from_env() -> Result<Launch, String> {
        Launch::read(Launch::new)
    }

    /// Reads the same configuration again for a reload, with [`Launch::new_reloaded`].
    pub fn reloaded_from_env() -> Result<Launch, String> {
        Launch::read(Launch::new_reloaded)
    }

    fn read(
        parse: impl Fn(&str, fn(&str) -> Option<String>) -> Result<Launch, String>,
    ) -> Result<Launch, String> {
        let variable = |name: &str| std::env::var(name).ok().filter(|value| !value.is_empty());
        let path = variable("PROXY_CONFIG").ok_or("PROXY_CONFIG is not set")?;
        let json =
            std::fs::read_to_string(&path).map_err(|error| format!("{path} cannot be read: {error}"))?;
        parse(&json, variable).map_err(|error| format!("{path}: {error}"))
    }

    /// Parses the text of the file that `PROXY_CONFIG` names. `variable` looks up environment variables, which take
    /// precedence over the file.
    pub fn new(json: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Launch, String> {
        Launch::decode(serde_json::from_str(json).map_err(|error| error.to_string())?, variable)
    }

    /// Parses the text of a file that is reloaded while a manager runs. Its discovery address takes precedence over the
    /// environment variable, which still has its value from the start of the process.
    pub fn new_reloaded(json: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Launch, String> {
        let file: ConfigFile = serde_json::from_str(json).map_err(|error| error.to_string())?;
        let discovery = file.discovery.clone();
        let variable_or_discovery =
            |name: &str| discovery.clone().filter(|_| name == DISCOVERY_VARIABLE).or_else(|| variable(name));
        Launch::decode(file, variable_or_discovery)
    }

    fn decode(file: ConfigFile, variable: impl Fn(&str) -> Option<String>) -> Result<Launch, String> {
        let address = |name: &str, file_value: Option<String>| {
            let value = variable(name)
                .or(file_value)
                .ok_or_else(|| format!("{name} is set neither in the environment nor in the file"))?;
            value.parse().map_err(|_| format!("{name} is not an address with a port: {value:?}"))
        };
        let (settings, names) = juniperrail_start::decode(&file.settings)?;
        let duration = |path: &str| match juniperrail_start::number(&file.settings, path)? {
            ms if ms <= MAX_DURATION_MS => Duration::try_from_secs_f64(ms / 1000.0)
                .map_err(|error| format!("the setting {path} is not a valid duration: {ms:?} ms: {error}")),
            ms => Err(format!(
                "the setting {path} is not a valid duration: {ms:?} ms is over {MAX_DURATION_MS} ms"
            )),
        };
        let mut latency_objectives = settings.operations.iter().map(|operation| operation.latency_objective);
        if let Some(negative) = latency_objectives.find(|objective| *objective < 0.0) {
            return Err(format!("a latency objective is negative: {negative:?}"));
        }
        let zones = settings.zones.iter().map(|zone| names.zones.name(zone.0.into()).to_string()).collect();
        let fixed = FixedConfig {
            name: variable("PROXY_NAME")
                .or(file.name)
                .ok_or("PROXY_NAME is set neither in the environment nor in the file")?,
            listen: address("PROXY_LISTEN", file.listen)?,
            max_sockets: file.limits.sockets,
            tick: duration("tick-ms")?,
            dial_timeout: duration("allowed.dial-timeout-ms")?,
            settings,
        };
        Ok(Launch {
            discovery: address(DISCOVERY_VARIABLE, file.discovery)?,
            seed: u64::from_str_radix(&file.seed, 16)
                .map_err(|_| format!("the seed is not a 64-bit hexadecimal number: {:?}", file.seed))?,
            cached_list: file.known,
            // Within this time an acknowledgement is due, or at least the periodic report of a slow proxy.
            silence_timeouts: SilenceTimeouts {
                ack_timeout: fixed.settings.report_period + fixed.settings.max_transit,
                queue_drain_time: fixed.settings.max_pending_lines * 1000.0
                    / fixed.settings.channel_rate.max(1.0),
            },
            fixed,
            names,
            zones,
            operator_config: None,
            subscription: Subscription::default(),
            filter: None,
        })
    }

    /// Checks the operator's data on its own, without the settings.
    pub fn check_operator_data(data: &Data) -> Result<(), String> {
        let schema = Arc::new(juniperrail_model::schema());
        crate::fleet::read_config(&OperatorFile::new(""), &schema, data, 0, &Settings::default())?;
        Subscription::read(&schema, data)?;
        Datastores::new(schema, 0.0, data.clone()).map(drop).map_err(|refusal| refusal.to_string())
    }

    /// Adds the operator's file to the settings. A file that does not exist is an error only if it is `required`. Returns
    /// a one-line error if the data does not fit the model or the settings.
    pub fn with_operator_file(mut self, path: impl Into<PathBuf>, required: bool) -> Result<Launch, String> {
        let file = OperatorFile::new(path);
        let schema = Arc::new(juniperrail_model::schema());
        let file_path = file.path().display().to_string();
        let data = match file.read(&schema)? {
            None if required => return Err(format!("{file_path} does not exist")),
            None => return Ok(self),
            // An empty configuration is the same as no file: NETCONF and the fleet are off.
            Some(data) if data.is_empty() => return Ok(self),
            Some(data) => data,
        };
        Launch::check_operator_data(&data).map_err(|error| format!("{file_path}: {error}"))?;
        let fleet = crate::fleet::read_config(&file, &schema, &data, self.seed, &self.fixed.settings);
        let fleet = fleet.map_err(|error| format!("{file_path}: {error}"))?;
        let intent = Intent::from_data(&schema, &data);
        let names = &self.names;
        let operation_name = |index| names.ops.name(index as u32).to_string();
        let operation_names: Vec<String> =
            (0..self.fixed.settings.operations.len()).map(operation_name).collect();
        let context = AdmissionContext {
            now: 0.0,
            settings: &self.fixed.settings,
            operation_names: &operation_names,
            zone_name: &|_| String::new(),
            is_known_zone: &|zone| self.zones.iter().any(|name| name == zone),
            joined_proxies: 0,
            proxies_with_line: &|_| 0,
        };
        if let Some(refusal) = check_against_settings(&context, &intent).first() {
            return Err(format!("{file_path}: {}: {refusal}", refusal.path()));
        }
        let subscription =
            Subscription::read(&schema, &data).map_err(|error| format!("{file_path}: {error}"))?;
        self.operator_config = Some(OperatorConfig { file, schema, data, intent, fleet });
        Ok(self.with_subscription(subscription))
    }

    /// Sets the subscription, and applies its scope to the cached list.
    fn with_subscription(mut self, subscription: Subscription) -> Launch {
        if !subscription.scope.is_unrestricted() {
            let mut filter = ScopeFilter::new(subscription.scope.clone());
            self.cached_list = self.cached_list.map(|list| filter.filter(list));
            self.filter = Some(filter);
        }
        self.subscription = subscription;
        self
    }
}
