//! Namespaces and capabilities.

use juniperrail_model::Schema;

pub const MONITORING: &str = "urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring";
pub const NMDA: &str = "urn:ietf:params:xml:ns:yang:ietf-netconf-nmda";
pub const LIBRARY: &str = "urn:ietf:params:xml:ns:yang:ietf-yang-library";
pub const DEFAULTS: &str = "urn:ietf:params:xml:ns:yang:ietf-netconf-with-defaults";
pub const NOTIFICATION: &str = "urn:ietf:params:xml:ns:netconf:notification:1.0";
/// RFC 6470.
pub const BASE_NOTIFICATIONS: &str = "urn:ietf:params:xml:ns:yang:ietf-netconf-notifications";

pub const BASE_1_0: &str = "urn:ietf:params:netconf:base:1.0";
pub const BASE_1_1: &str = "urn:ietf:params:netconf:base:1.1";

/// What names the set of modules: it changes with any of them, RFC 8525.
pub fn content_id(schema: &Schema) -> String {
    let revisions: Vec<String> =
        schema.modules.iter().map(|of| format!("{}@{}", of.name, of.revision)).collect();
    revisions.join(",")
}

/// What this server can do, as its hello tells.
pub fn capabilities(schema: &Schema) -> Vec<String> {
    let capability = |name: &str| format!("urn:ietf:params:netconf:capability:{name}");
    let mut all = vec![BASE_1_0.to_string(), BASE_1_1.to_string()];
    all.extend(
        [
            "candidate:1.0",
            "confirmed-commit:1.1",
            "rollback-on-error:1.0",
            "validate:1.1",
            "startup:1.0",
            "notification:1.0",
            "interleave:1.0",
            "with-defaults:1.0?basic-mode=explicit&also-supported=report-all",
        ]
        .map(capability),
    );
    let id = content_id(schema);
    all.push(capability(&format!("yang-library:1.1?revision=2019-01-04&content-id={id}")));
    for (ns, module, revision) in [
        (MONITORING, "ietf-netconf-monitoring", "2010-10-04"),
        (NMDA, "ietf-netconf-nmda", "2019-01-07"),
        (BASE_NOTIFICATIONS, "ietf-netconf-notifications", "2012-02-06"),
    ] {
        all.push(format!("{ns}?module={module}&revision={revision}"));
    }
    for of in &schema.modules {
        all.push(format!("{}?module={}&revision={}", of.namespace, of.name, of.revision));
    }
    all
}
