//! Notifications (RFC 5277) for subscribers: the events of RFC 6470, and `change-held` for a change that every
//! proxy has applied.

use juniperrail_model::xml::{Element, NETCONF_NAMESPACE};
use juniperrail_model::Schema;
use juniperrail_northbound::{Notification, TerminationReason};
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

use crate::capabilities::{BASE_NOTIFICATIONS_NAMESPACE, NOTIFICATION_NAMESPACE};

/// Maximum number of edits that one `netconf-config-change` lists; further edits are omitted.
const MAX_LISTED_EDITS: usize = 256;

/// The event element of a notification.
pub fn event_element(schema: &Schema, prefixes: &[(String, String)], notification: &Notification) -> Element {
    let element = |name: &str| Element::new(BASE_NOTIFICATIONS_NAMESPACE, name);
    let leaf = |name: &str, text: &str| Element::with_text(BASE_NOTIFICATIONS_NAMESPACE, name, text);
    let with_user_and_session = |event: Element, user: &str, session_id: u32| {
        event.with_child(leaf("username", user)).with_child(leaf("session-id", &session_id.to_string()))
    };
    match notification {
        Notification::ConfigChanged { author, session, edits, .. } => {
            let changed_by = match session {
                Some(session) => with_user_and_session(element("changed-by"), author, session.0),
                None => element("changed-by").with_child(element("server")),
            };
            let edit = |(path, operation): &(String, &'static str)| {
                let target = Element { prefixes: prefixes.to_vec(), ..leaf("target", path) };
                element("edit").with_child(target).with_child(leaf("operation", operation))
            };
            element("netconf-config-change")
                .with_child(changed_by)
                .with_child(leaf("datastore", "running"))
                .with_children(edits.iter().take(MAX_LISTED_EDITS).map(edit))
        }
        Notification::ConfirmedCommit { event } => {
            element("netconf-confirmed-commit").with_child(leaf("confirm-event", event))
        }
        Notification::SessionStarted { caller, client_origin } => {
            let host = client_origin.split(' ').nth(1).unwrap_or_default();
            with_user_and_session(element("netconf-session-start"), &caller.user, caller.session.0)
                .with_child(leaf("source-host", host))
        }
        Notification::SessionEnded { caller, reason } => {
            let (killed_by, reason) = match reason {
                TerminationReason::Closed => (None, "closed"),
                TerminationReason::Killed(killed_by) => (Some(killed_by.0.to_string()), "killed"),
                TerminationReason::Dropped => (None, "dropped"),
                TerminationReason::TimedOut => (None, "timeout"),
            };
            with_user_and_session(element("netconf-session-end"), &caller.user, caller.session.0)
                .with_children(killed_by.map(|session_id| leaf("killed-by", &session_id)))
                .with_child(leaf("termination-reason", reason))
        }
        Notification::ChangeApplied { number, after } => {
            let namespace = schema
                .notifications
                .first()
                .map_or(NETCONF_NAMESPACE, |id| &*schema.module_of(*id).namespace);
            Element::new(namespace, "change-held")
                .with_child(Element::with_text(namespace, "number", number.to_string()))
                .with_child(Element::with_text(namespace, "held-after", format!("{after:.3}")))
        }
    }
}

/// The paths of the configuration nodes that a notification lists. A user who may not read all of them does not
/// receive the notification.
pub fn configuration_paths(notification: &Notification) -> Vec<&str> {
    match notification {
        Notification::ConfigChanged { edits, .. } => edits.iter().map(|(path, _)| path.as_str()).collect(),
        _ => Vec::new(),
    }
}

/// The complete `notification` message. `now_ms` is the Unix time in milliseconds.
pub fn notification_message(now_ms: f64, event: Element) -> Element {
    let event_time = OffsetDateTime::from_unix_timestamp_nanos((now_ms * 1e6) as i128)
        .unwrap_or(OffsetDateTime::UNIX_EPOCH);
    let event_time = event_time.format(&Rfc3339).unwrap_or_default();
    Element::new(NOTIFICATION_NAMESPACE, "notification")
        .with_child(Element::with_text(NOTIFICATION_NAMESPACE, "eventTime", event_time))
        .with_child(event)
}
