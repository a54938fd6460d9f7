//! The part of the operator's configuration on the list of workers: which part of the list this manager needs, and
//! from which relays it gets it.

use std::net::SocketAddr;

use juniperrail_distribution::Scope;
use juniperrail_model::{Data, Schema, Value, View};

/// The scope of the list that this manager needs, and its sources. The default is the full list from the discovery
/// agent that the settings name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Subscription {
    /// The addresses of the relays. If empty, the agent is the source.
    pub relays: Vec<SocketAddr>,
    /// The part of the list that is needed.
    pub scope: Scope,
}

impl Subscription {
    /// Reads the subscription from the configuration data. An error names the path and the value.
    pub fn read(schema: &Schema, data: &Data) -> Result<Subscription, String> {
        let discovery = View::new(schema, data).container("discovery");
        let scope = discovery.container("scope");
        let names = |leaf: &str| texts(&scope, leaf).map(str::to_string).collect::<Vec<String>>();
        Ok(Subscription {
            relays: texts(&discovery, "relay").map(parse_relay).collect::<Result<_, _>>()?,
            scope: Scope::new(names("zone"), names("service")),
        })
    }
}

fn texts<'a>(view: &View<'a>, leaf: &str) -> impl Iterator<Item = &'a str> {
    view.leaf_list(leaf).into_iter().filter_map(Value::as_str)
}

fn parse_relay(address: &str) -> Result<SocketAddr, String> {
    let parsed: Option<SocketAddr> = address.parse().ok();
    // Port 0 cannot be connected to.
    let parsed = parsed.filter(|address| address.port() != 0);
    parsed.ok_or_else(|| {
        format!("/jrm:discovery/relay[.='{address}']: {address:?} is not the address of a relay")
    })
}
