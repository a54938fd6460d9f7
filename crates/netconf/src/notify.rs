//! What subscribers are told, as notifications of RFC 5277: those of RFC 6470, and ours of a change that every proxy
//! holds.

use juniperrail_model::xml::{Element, NETCONF};
use juniperrail_model::Schema;
use juniperrail_northbound::{Notification, TerminationReason};
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

use crate::names::{BASE_NOTIFICATIONS, NOTIFICATION};

/// Edits that one notification names; more are only counted in the log.
const EDITS: usize = 256;

/// The element of what happened, and the paths that it names.
pub fn event(schema: &Schema, prefixes: &[(String, String)], told: &Notification) -> Element {
    let new = |name: &str| Element::new(BASE_NOTIFICATIONS, name);
    let leaf = |name: &str, text: &str| Element::with_text(BASE_NOTIFICATIONS, name, text);
    let session = |event: Element, user: &str, id: u32| {
        event.with(leaf("username", user)).with(leaf("session-id", &id.to_string()))
    };
    match told {
        Notification::ConfigChanged { by, session: by_session, edits, .. } => {
            let by = match by_session {
                Some(id) => session(new("changed-by"), by, id.0),
                None => new("changed-by").with(new("server")),
            };
            let edit = |(path, operation): &(String, &'static str)| {
                let target = Element { prefixes: prefixes.to_vec(), ..leaf("target", path) };
                new("edit").with(target).with(leaf("operation", operation))
            };
            new("netconf-config-change")
                .with(by)
                .with(leaf("datastore", "running"))
                .with_all(edits.iter().take(EDITS).map(edit))
        }
        Notification::ConfirmedCommit { how } => {
            new("netconf-confirmed-commit").with(leaf("confirm-event", how))
        }
        Notification::SessionStarted { caller, from } => {
            let host = from.split(' ').nth(1).unwrap_or_default();
            session(new("netconf-session-start"), &caller.user, caller.session.0)
                .with(leaf("source-host", host))
        }
        Notification::SessionEnded { caller, how } => {
            let (by, why) = match how {
                TerminationReason::Closed => (None, "closed"),
                TerminationReason::Killed(by) => (Some(by.0.to_string()), "killed"),
                TerminationReason::Dropped => (None, "dropped"),
                TerminationReason::TimedOut => (None, "timeout"),
            };
            session(new("netconf-session-end"), &caller.user, caller.session.0)
                .with_all(by.map(|by| leaf("killed-by", &by)))
                .with(leaf("termination-reason", why))
        }
        Notification::ChangeApplied { number, after } => {
            let ns = schema.notifications.first().map_or(NETCONF, |id| &*schema.module_of(*id).namespace);
            Element::new(ns, "change-held")
                .with(Element::with_text(ns, "number", number.to_string()))
                .with(Element::with_text(ns, "held-after", format!("{after:.3}")))
        }
    }
}

/// The paths of configuration that an event names: who may not read them all is not told of it.
pub fn paths(told: &Notification) -> Vec<&str> {
    match told {
        Notification::ConfigChanged { edits, .. } => edits.iter().map(|(path, _)| path.as_str()).collect(),
        _ => Vec::new(),
    }
}

/// The whole message. `now`: Unix milliseconds.
pub fn notification(now: f64, event: Element) -> Element {
    let at =
        OffsetDateTime::from_unix_timestamp_nanos((now * 1e6) as i128).unwrap_or(OffsetDateTime::UNIX_EPOCH);
    let at = at.format(&Rfc3339).unwrap_or_default();
    Element::new(NOTIFICATION, "notification")
        .with(Element::with_text(NOTIFICATION, "eventTime", at))
        .with(event)
}
