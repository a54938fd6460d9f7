//! What the operator's file says of the list of workers: which part of it this manager needs, and from which relays
//! it takes it.

use std::net::SocketAddr;

use juniperrail_distribution::Scope;
use juniperrail_model::{Data, Schema, Value, View};

/// The part of the list that this manager needs, and who has it. The default is the whole list, from the agent that
/// the settings name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Subscription {
    pub relays: Vec<SocketAddr>,
    pub scope: Scope,
}

impl Subscription {
    /// What the file says. The error names the path and the rule.
    pub fn read(schema: &Schema, data: &Data) -> Result<Subscription, String> {
        let discovery = View::new(schema, data).inner("discovery");
        let scope = discovery.inner("scope");
        let names = |leaf: &str| texts(&scope, leaf).map(str::to_string).collect::<Vec<String>>();
        Ok(Subscription {
            relays: texts(&discovery, "relay").map(relay).collect::<Result<_, _>>()?,
            scope: Scope::new(names("zone"), names("service")),
        })
    }
}

fn texts<'a>(view: &View<'a>, leaf: &str) -> impl Iterator<Item = &'a str> {
    view.leaves(leaf).into_iter().filter_map(Value::as_str)
}

fn relay(address: &str) -> Result<SocketAddr, String> {
    let read: Option<SocketAddr> = address.parse().ok();
    // Nobody can be dialled at port 0.
    let read = read.filter(|address| address.port() != 0);
    read.ok_or_else(|| format!("/jrm:discovery/relay[.='{address}']: {address:?} is no address of a relay"))
}
