//! What a manager is told at its start: the `PROXY_*` variables and the JSON file that one of them names.

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

use crate::listing::Listing;
use crate::presence::SilenceTimeouts;
use crate::scope_filter::ScopeFilter;
use crate::subscription::Subscription;

/// All that a manager is told at its start, checked.
pub struct Launch {
    pub(crate) fixed: Fixed,
    pub(crate) discovery: SocketAddr,
    pub(crate) seed: u64,
    /// The list as last held; it may be old.
    pub(crate) cached_list: Option<Listing>,
    pub(crate) names: Names,
    /// As the settings name them; the list may bring others.
    pub(crate) zones: Vec<String>,
    /// A stream that owes an answer and says nothing for longer is taken for lost.
    pub(crate) silence_timeouts: SilenceTimeouts,
    /// What the operator's file says, if it says anything.
    pub(crate) operator_config: Option<OperatorConfig>,
    /// Which part of the list is needed, and from whom it is taken.
    pub(crate) subscription: Subscription,
    /// Keeps to that part; `None` where all of the list is needed.
    pub(crate) filter: Option<ScopeFilter>,
}

/// The operator's file as read at the start.
pub(crate) struct OperatorConfig {
    pub file: OperatorFile,
    pub schema: Arc<Schema>,
    pub data: Data,
    pub intent: Intent,
    /// What is decided in common with other managers, if anything is.
    pub fleet: Option<juniperrail_fleet::FleetConfig>,
}

/// No span in the settings is longer, in ms: a day.
const LONGEST: f64 = 86_400_000.0;

const DISCOVERY: &str = "PROXY_DISCOVERY";

/// What stays for as long as a manager runs.
#[derive(Clone)]
pub(crate) struct Fixed {
    pub name: String,
    pub listen: SocketAddr,
    /// File descriptors that this process may hold.
    pub sockets: usize,
    pub settings: Settings,
    pub tick: Duration,
    pub dial_within: Duration,
}

impl Fixed {
    /// What another configuration says otherwise.
    pub fn other_than(&self, other: &Fixed) -> impl Iterator<Item = &'static str> {
        let settings = |of: &Fixed| (of.settings.clone(), of.tick, of.dial_within);
        let differ = [
            ("the name", self.name != other.name),
            ("the address to listen on", self.listen != other.listen),
            ("the limit on sockets", self.sockets != other.sockets),
            ("a setting", settings(self) != settings(other)),
        ];
        differ.into_iter().filter(|(_, differs)| *differs).map(|(what, _)| what)
    }
}

#[derive(Deserialize)]
struct File {
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
    /// From the `PROXY_*` variables and the file that `PROXY_CONFIG` names. The error is one plain line.
    pub fn from_env() -> Result<Launch, String> {
        Launch::read(Launch::new)
    }

    /// The same once the file was replaced, with [`Launch::anew`].
    pub fn anew_from_env() -> Result<Launch, String> {
        Launch::read(Launch::anew)
    }

    fn read(
        launch: impl Fn(&str, fn(&str) -> Option<String>) -> Result<Launch, String>,
    ) -> Result<Launch, String> {
        let told = |name: &str| std::env::var(name).ok().filter(|value| !value.is_empty());
        let path = told("PROXY_CONFIG").ok_or("PROXY_CONFIG names no file")?;
        let json = std::fs::read_to_string(&path).map_err(|why| format!("{path} cannot be read: {why}"))?;
        launch(&json, told).map_err(|why| format!("{path}: {why}"))
    }

    /// From the text of such a file. `told`: what the variables say; they go before the file.
    pub fn new(json: &str, told: impl Fn(&str) -> Option<String>) -> Result<Launch, String> {
        Launch::decode(serde_json::from_str(json).map_err(|why| why.to_string())?, told)
    }

    /// From the text of the file that takes its place while a manager runs: where it says that discovery is
    /// goes before the variable, which can only say where that was at the start.
    pub fn anew(json: &str, told: impl Fn(&str) -> Option<String>) -> Result<Launch, String> {
        let file: File = serde_json::from_str(json).map_err(|why| why.to_string())?;
        let moved = file.discovery.clone();
        let told = |name: &str| moved.clone().filter(|_| name == DISCOVERY).or_else(|| told(name));
        Launch::decode(file, told)
    }

    fn decode(file: File, told: impl Fn(&str) -> Option<String>) -> Result<Launch, String> {
        let address = |variable: &str, value: Option<String>| {
            let value = told(variable).or(value).ok_or_else(|| format!("{variable} is told nowhere"))?;
            value.parse().map_err(|_| format!("{variable} is no address with a port: {value:?}"))
        };
        let (start, names) = juniperrail_start::decode(&file.settings)?;
        let span = |path: &str| match juniperrail_start::number(&file.settings, path)? {
            span if span <= LONGEST => Duration::try_from_secs_f64(span / 1000.0)
                .map_err(|why| format!("the setting {path} is no span: {span:?}: {why}")),
            span => Err(format!("the setting {path} is no span: {span:?} is over {LONGEST} ms")),
        };
        if let Some(odd) = start.operations.iter().map(|op| op.latency_objective).find(|of| *of < 0.0) {
            return Err(format!("a latency objective is no span: {odd:?}"));
        }
        let zones = start.zones.iter().map(|zone| names.zones.name(zone.0.into()).to_string()).collect();
        let fixed = Fixed {
            name: told("PROXY_NAME").or(file.name).ok_or("PROXY_NAME is told nowhere")?,
            listen: address("PROXY_LISTEN", file.listen)?,
            sockets: file.limits.sockets,
            tick: span("tick-ms")?,
            dial_within: span("allowed.dial-timeout-ms")?,
            settings: start,
        };
        Ok(Launch {
            discovery: address(DISCOVERY, file.discovery)?,
            seed: u64::from_str_radix(&file.seed, 16).map_err(|_| format!("no seed: {:?}", file.seed))?,
            cached_list: file.known,
            // An answer was due since, and if the proxy is slow a report at least.
            silence_timeouts: SilenceTimeouts {
                answer_timeout: fixed.settings.report_period + fixed.settings.max_transit,
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

    /// Whether an operator's data is sound by itself, whatever the settings are.
    pub fn check_operator_data(data: &Data) -> Result<(), String> {
        let schema = Arc::new(juniperrail_model::schema());
        crate::fleet::setting(&OperatorFile::new(""), &schema, data, 0, &Settings::default())?;
        Subscription::read(&schema, data)?;
        Datastores::new(schema, 0.0, data.clone()).map(drop).map_err(|refused| refused.to_string())
    }

    /// Takes what the operator's file says beside the settings. One that is not there says nothing, unless it
    /// `must` be; what does not fit the model or the settings is a fault, told in one line.
    pub fn with_operator_file(mut self, path: impl Into<PathBuf>, must: bool) -> Result<Launch, String> {
        let (file, schema) = (OperatorFile::new(path), Arc::new(juniperrail_model::schema()));
        let shown = file.path().display().to_string();
        let data = match file.read(&schema)? {
            None if must => return Err(format!("{shown} is not there")),
            None => return Ok(self),
            // It says nothing, so nothing is on.
            Some(data) if data.is_empty() => return Ok(self),
            Some(data) => data,
        };
        Launch::check_operator_data(&data).map_err(|why| format!("{shown}: {why}"))?;
        let fleet = crate::fleet::setting(&file, &schema, &data, self.seed, &self.fixed.settings);
        let fleet = fleet.map_err(|why| format!("{shown}: {why}"))?;
        let intent = Intent::from_data(&schema, &data);
        let names = &self.names;
        let operation = |op| names.ops.name(op as u32).to_string();
        let operations: Vec<String> = (0..self.fixed.settings.operations.len()).map(operation).collect();
        let world = AdmissionContext {
            now: 0.0,
            settings: &self.fixed.settings,
            operation_names: &operations,
            zone_name: &|_| String::new(),
            is_known_zone: &|zone| self.zones.iter().any(|known| known == zone),
            joined_proxies: 0,
            proxies_with_line: &|_| 0,
        };
        if let Some(refusal) = check_against_settings(&world, &intent).first() {
            return Err(format!("{shown}: {}: {refusal}", refusal.path()));
        }
        let subscription = Subscription::read(&schema, &data).map_err(|why| format!("{shown}: {why}"))?;
        self.operator_config = Some(OperatorConfig { file, schema, data, intent, fleet });
        Ok(self.subscribed(subscription))
    }

    /// Keeps to the scope from the list last held on.
    fn subscribed(mut self, subscription: Subscription) -> Launch {
        if !subscription.scope.is_everything() {
            let mut filter = ScopeFilter::new(subscription.scope.clone());
            self.cached_list = self.cached_list.map(|known| filter.filter(known));
            self.filter = Some(filter);
        }
        self.subscription = subscription;
        self
    }
}
