//! Namespaces and capabilities of the server.

use juniperrail_model::Schema;

/// The namespace of `ietf-netconf-monitoring`, RFC 6022.
pub const MONITORING_NAMESPACE: &str = "urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring";
/// The namespace of `ietf-netconf-nmda`, RFC 8526.
pub const NMDA_NAMESPACE: &str = "urn:ietf:params:xml:ns:yang:ietf-netconf-nmda";
/// The namespace of `ietf-yang-library`, RFC 8525.
pub const YANG_LIBRARY_NAMESPACE: &str = "urn:ietf:params:xml:ns:yang:ietf-yang-library";
/// The namespace of `ietf-netconf-with-defaults`, RFC 6243.
pub const WITH_DEFAULTS_NAMESPACE: &str = "urn:ietf:params:xml:ns:yang:ietf-netconf-with-defaults";
/// The namespace of notifications, RFC 5277.
pub const NOTIFICATION_NAMESPACE: &str = "urn:ietf:params:xml:ns:netconf:notification:1.0";
/// The namespace of `ietf-netconf-notifications`, RFC 6470.
pub const BASE_NOTIFICATIONS_NAMESPACE: &str = "urn:ietf:params:xml:ns:yang:ietf-netconf-notifications";

/// The base capability of RFC 4741: end-of-message framing.
pub const BASE_1_0: &str = "urn:ietf:params:netconf:base:1.0";
/// The base capability of RFC 6241: chunked framing.
pub const BASE_1_1: &str = "urn:ietf:params:netconf:base:1.1";

/// The `content-id` of the YANG library (RFC 8525), which changes with the set of modules and with the
/// revision of any of them.
pub fn content_id(schema: &Schema) -> String {
    let revisions: Vec<String> =
        schema.modules.iter().map(|module| format!("{}@{}", module.name, module.revision)).collect();
    revisions.join(",")
}

/// The capabilities that the server lists in its hello.
pub fn capabilities(schema: &Schema) -> Vec<String> {
    let capability = |name: &str| format!("urn:ietf:params:netconf:capability:{name}");
    let mut capabilities = vec![BASE_1_0.to_string(), BASE_1_1.to_string()];
    capabilities.extend(
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
    let content_id = content_id(schema);
    capabilities.push(capability(&format!("yang-library:1.1?revision=2019-01-04&content-id={content_id}")));
    for (namespace, module, revision) in [
        (MONITORING_NAMESPACE, "ietf-netconf-monitoring", "2010-10-04"),
        (NMDA_NAMESPACE, "ietf-netconf-nmda", "2019-01-07"),
        (BASE_NOTIFICATIONS_NAMESPACE, "ietf-netconf-notifications", "2012-02-06"),
    ] {
        capabilities.push(format!("{namespace}?module={module}&revision={revision}"));
    }
    for module in &schema.modules {
        capabilities
            .push(format!("{}?module={}&revision={}", module.namespace, module.name, module.revision));
    }
    capabilities
}
