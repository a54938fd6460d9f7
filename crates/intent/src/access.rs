//! Access control by user and subtree, a subset of NACM (RFC 8341). Of the rules that match, the one with the
//! lowest number decides; without a matching rule, the user's role does. A user who is not configured is denied
//! everything.

use std::collections::{BTreeMap, BTreeSet};

use juniperrail_model::{diff, Content, Data, NodeId, NodeKind, Path, Schema, Step, View};

/// What a user may do where no rule matches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// May read everything except the northbound configuration, and write nothing.
    Reader,
    /// May read everything, and write everything except the northbound configuration.
    Operator,
    /// May read and write everything.
    Admin,
}

/// The kind of access that a rule covers, a simplification of NACM's access operations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessOperation {
    Read,
    Write,
}

#[derive(Clone, Debug)]
struct User {
    role: Role,
    ssh_keys: BTreeSet<String>,
}

#[derive(Clone, Debug)]
struct Rule {
    /// The users that the rule applies to; all users if empty.
    users: BTreeSet<String>,
    path: Path,
    covers_read: bool,
    covers_write: bool,
    is_permit: bool,
}

/// How a client certificate is mapped to a user name (RFC 7589 section 7).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CertToName {
    Specified(String),
    CommonName,
    DnsName,
}

/// The users and rules of one configuration.
#[derive(Clone, Debug, Default)]
pub struct AccessControl {
    users: BTreeMap<String, User>,
    /// In ascending order of their numbers.
    rules: Vec<Rule>,
    /// How client certificates are mapped to user names, by the certificate's fingerprint.
    cert_to_name: BTreeMap<String, CertToName>,
    /// The `northbound` container. Without a matching rule, only admins may write it, and readers may not read it.
    northbound_node: Option<NodeId>,
}

impl AccessControl {
    /// Reads the users and rules from a configuration. Fails with a one-line message if the path of a rule names no
    /// node of the data model.
    pub fn from_data(schema: &Schema, data: &Data) -> Result<AccessControl, String> {
        let northbound = View::new(schema, data).container("northbound");
        let leaf_list_texts = |view: &View<'_>, name: &str| -> BTreeSet<String> {
            view.leaf_list(name).into_iter().map(ToString::to_string).collect()
        };
        let mut access =
            AccessControl { northbound_node: schema.find(&["northbound"]), ..AccessControl::default() };
        for user in northbound.entries("user") {
            let role = match user.text("role") {
                Some("admin") => Role::Admin,
                Some("operator") => Role::Operator,
                _ => Role::Reader,
            };
            let name = user.text("name").unwrap_or_default().to_string();
            access.users.insert(name, User { role, ssh_keys: leaf_list_texts(&user, "ssh-key") });
        }
        for client in northbound.container("netconf").container("tls").entries("client") {
            let mapping = match client.text("name-from") {
                Some("common-name") => CertToName::CommonName,
                Some("dns-name") => CertToName::DnsName,
                _ => CertToName::Specified(client.text("user").unwrap_or_default().to_string()),
            };
            let fingerprint = client.text("fingerprint").unwrap_or_default().to_string();
            access.cert_to_name.insert(fingerprint, mapping);
        }
        // List entries are sorted by their key, the rule's number.
        for rule in northbound.entries("rule") {
            let operations = leaf_list_texts(&rule, "access");
            let path = rule.text("path").unwrap_or_default();
            let number = rule.leaf("number").map(ToString::to_string).unwrap_or_default();
            let path = Path::parse(schema, path).map_err(|error| {
                format!("the path of rule {number} does not match the data model: {error}")
            })?;
            let covers = |operation: &str| operations.is_empty() || operations.contains(operation);
            access.rules.push(Rule {
                users: leaf_list_texts(&rule, "user"),
                path,
                covers_read: covers("read"),
                covers_write: covers("write"),
                is_permit: rule.text("action") == Some("permit"),
            });
        }
        Ok(access)
    }

    /// The user's role; `None` if the user is not configured.
    pub fn role(&self, user: &str) -> Option<Role> {
        self.users.get(user).map(|user| user.role)
    }

    pub fn has_admin(&self) -> bool {
        self.users.values().any(|user| user.role == Role::Admin)
    }

    /// The SSH public keys that authenticate the user, as configured.
    pub fn ssh_keys(&self, user: &str) -> impl Iterator<Item = &str> {
        self.users.get(user).into_iter().flat_map(|user| &user.ssh_keys).map(String::as_str)
    }

    /// The mapping for the certificate with this SHA-256 fingerprint, in lower-case hex.
    pub fn cert_to_name(&self, fingerprint: &str) -> Option<&CertToName> {
        self.cert_to_name.get(fingerprint)
    }

    /// Whether the user may perform the operation on the node at this path.
    pub fn permits(&self, user: &str, operation: AccessOperation, path: &Path) -> bool {
        let Some(role) = self.role(user) else { return false };
        let matches = |rule: &&Rule| {
            let covered =
                if operation == AccessOperation::Read { rule.covers_read } else { rule.covers_write };
            covered && (rule.users.is_empty() || rule.users.contains(user)) && rule.path.covers(path)
        };
        if let Some(rule) = self.rules.iter().find(matches) {
            return rule.is_permit;
        }
        let is_northbound = path.0.first().map(|step| step.node) == self.northbound_node;
        match (role, operation) {
            (Role::Admin, _) => true,
            (Role::Operator, AccessOperation::Read) => true,
            (Role::Operator, AccessOperation::Write) | (Role::Reader, AccessOperation::Read) => {
                !is_northbound
            }
            (Role::Reader, AccessOperation::Write) => false,
        }
    }

    /// The part of the data that the user may read, with the keys of the list entries that contain readable nodes.
    pub fn filter_readable(&self, schema: &Schema, user: &str, data: &Data) -> Data {
        if self.role(user) == Some(Role::Admin) && self.rules.is_empty() {
            return data.clone();
        }
        self.filter_subtree(schema, user, data, &Path::default())
    }

    fn filter_subtree(&self, schema: &Schema, user: &str, data: &Data, parent: &Path) -> Data {
        let may_read = |path: &Path| self.permits(user, AccessOperation::Read, path);
        let mut readable = Data::default();
        for (id, content) in data.iter() {
            let path = parent.child(Step::without_keys(id));
            match content {
                Content::Leaf(_) if may_read(&path) => readable.set(id, content.clone()),
                Content::Leaf(_) => {}
                Content::LeafList(values) => {
                    let may_read_value = |value: &&_| {
                        may_read(&parent.child(Step::with_keys(id, std::slice::from_ref(*value))))
                    };
                    let values: BTreeSet<_> = values.iter().filter(may_read_value).cloned().collect();
                    if !values.is_empty() {
                        readable.set(id, Content::LeafList(values));
                    }
                }
                Content::Container(inner) => {
                    let inner = self.filter_subtree(schema, user, inner, &path);
                    let presence = matches!(schema.node(id).kind, NodeKind::Container { presence: true });
                    if !inner.is_empty() || presence && may_read(&path) {
                        readable.set(id, Content::Container(inner));
                    }
                }
                Content::List(entries) => {
                    for (keys, entry) in entries {
                        let path = parent.child(Step::with_keys(id, keys));
                        let inner = self.filter_subtree(schema, user, entry, &path);
                        if !inner.is_empty() {
                            let entry = readable.list_entry(schema, id, keys);
                            *entry = std::mem::take(entry).merged(inner);
                        }
                    }
                }
            }
        }
        readable
    }

    /// The path of the first node that differs between the two configurations and that the user may not write.
    pub fn first_denied_write(&self, schema: &Schema, user: &str, old: &Data, new: &Data) -> Option<Path> {
        let changed_paths = diff(schema, old, new).into_iter().map(|difference| difference.path);
        changed_paths.into_iter().find(|path| !self.permits(user, AccessOperation::Write, path))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use juniperrail_model::xml;

    const FILE: &str = r#"<config xmlns="urn:ietf:params:xml:ns:netconf:base:1.0">
      <workers xmlns="tag:juniperrail.example,2026:yang:manager">
        <worker><name>s-1</name><weight>1</weight></worker><worker><name>s-2</name><weight>2</weight></worker>
      </workers>
      <northbound xmlns="tag:juniperrail.example,2026:yang:manager">
        <user><name>ann</name><role>admin</role></user>
        <user><name>bob</name><role>operator</role></user>
        <user><name>eve</name></user>
        RULES
      </northbound></config>"#;

    fn load(rules: &str) -> (Schema, Data, AccessControl) {
        let schema = juniperrail_model::schema();
        let data = xml::parse_config(&schema, FILE.replace("RULES", rules).as_bytes()).unwrap();
        let access = AccessControl::from_data(&schema, &data).unwrap();
        (schema, data, access)
    }

    /// The part of the configuration file that the user may read, as XML.
    fn readable_file(rules: &str, user: &str) -> String {
        let (schema, data, access) = load(rules);
        xml::write_config(&schema, &access.filter_readable(&schema, user, &data))
    }

    /// The path at which the user is denied a change of the file, in which `old` is replaced with `new`.
    fn denied_write(rules: &str, user: &str, old: &str, new: &str) -> Option<String> {
        let (schema, data, access) = load(rules);
        let changed = FILE.replace("RULES", rules).replace(old, new);
        assert_ne!(changed, FILE.replace("RULES", rules));
        let changed = xml::parse_config(&schema, changed.as_bytes()).unwrap();
        access.first_denied_write(&schema, user, &data, &changed).map(|path| path.format(&schema))
    }

    #[test]
    fn the_role_decides_where_no_rule_matches() {
        assert!(
            readable_file("", "ann").contains("northbound")
                && readable_file("", "bob").contains("northbound")
        );
        assert!(readable_file("", "eve").contains("s-2") && !readable_file("", "eve").contains("northbound"));
        assert!(
            !readable_file("", "mallory").contains("worker"),
            "a user who is not configured reads nothing"
        );
        let weight = ("<weight>1", "<weight>3");
        assert_eq!(denied_write("", "bob", weight.0, weight.1), None);
        for user in ["eve", "mallory"] {
            let denied = denied_write("", user, weight.0, weight.1);
            assert_eq!(denied.as_deref(), Some("/jrm:workers/worker[name='s-1']/weight"));
        }
        let denied = denied_write("", "bob", "<role>operator", "<role>admin");
        assert_eq!(
            denied.as_deref(),
            Some("/jrm:northbound/user[name='bob']/role"),
            "a user with the operator role can't change their own role"
        );
        assert_eq!(denied_write("", "ann", "<role>operator", "<role>admin"), None);
    }

    #[test]
    fn the_matching_rule_with_the_lowest_number_takes_precedence_over_the_role() {
        let rule = |number: u32, user: &str, path: &str, access: &str, action: &str| {
            let user = if user.is_empty() { String::new() } else { format!("<user>{user}</user>") };
            let access = if access.is_empty() { String::new() } else { format!("<access>{access}</access>") };
            format!("<rule><number>{number}</number>{user}<path>{path}</path>{access}<action>{action}</action></rule>")
        };
        let worker = "/jrm:workers/worker[name='s-1']";
        let rules = rule(1, "eve", worker, "write", "permit") + &rule(2, "", "/workers", "write", "deny");
        assert_eq!(denied_write(&rules, "eve", "<weight>1", "<weight>3"), None);
        assert!(denied_write(&rules, "eve", "<weight>2", "<weight>3").is_some());
        assert!(
            denied_write(&rules, "bob", "<weight>1", "<weight>3").is_some(),
            "a rule for all users takes precedence over the roles"
        );
        assert!(
            denied_write(&rules, "ann", "<weight>1", "<weight>3").is_some(),
            "a rule for all users also takes precedence over the admin role"
        );
        let hide_worker = rule(10, "", worker, "read", "deny");
        assert!(
            !readable_file(&hide_worker, "ann").contains("<name>s-1")
                && readable_file(&hide_worker, "ann").contains("<name>s-2")
        );
        let one_leaf = rule(1, "bob", &format!("{worker}/weight"), "read", "permit")
            + &rule(2, "bob", "/workers", "", "deny");
        let readable = readable_file(&one_leaf, "bob");
        assert!(
            readable.contains("<name>s-1</name>") && readable.contains("<weight>1.0</weight>"),
            "{readable}"
        );
        assert!(!readable.contains("s-2"), "{readable}");
    }

    #[test]
    fn a_rule_whose_path_is_not_in_the_data_model_is_rejected() {
        let rule = "<rule><number>7</number><path>/workers/shift</path><action>deny</action></rule>";
        let schema = juniperrail_model::schema();
        let data = xml::parse_config(&schema, FILE.replace("RULES", rule).as_bytes()).unwrap();
        let error = AccessControl::from_data(&schema, &data).unwrap_err();
        assert!(error.contains("rule 7") && error.contains("there is no \"shift\""), "{error}");
    }
}
