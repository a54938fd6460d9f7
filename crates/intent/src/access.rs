//! Who may read and write what, by user and subtree: a small NACM (RFC 8341). Of the rules that fit, the one of
//! the lowest number holds; without one, the user's role does. Who is not named may do nothing.

use std::collections::{BTreeMap, BTreeSet};

use juniperrail_model::{diff, Content, Data, Kind, NodeId, Path, Schema, Step, View};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Reader,
    Operator,
    Admin,
}

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
    /// Everyone if empty.
    users: BTreeSet<String>,
    path: Path,
    reads: bool,
    writes: bool,
    permits: bool,
}

/// Where the name of a certificate's user is taken from, RFC 7589 section 7.
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
    /// By their number.
    rules: Vec<Rule>,
    /// Client certificates by fingerprint, and where the user's name is taken from.
    certificates: BTreeMap<String, CertToName>,
    /// Its part of the model that only admins may touch.
    own: Option<NodeId>,
}

impl AccessControl {
    /// From the configuration; a rule whose path names nothing is a fault, told as one line.
    pub fn from_data(schema: &Schema, data: &Data) -> Result<AccessControl, String> {
        let north = View::new(schema, data).inner("northbound");
        let texts = |view: &View<'_>, name: &str| -> BTreeSet<String> {
            view.leaves(name).into_iter().map(ToString::to_string).collect()
        };
        let mut access = AccessControl { own: schema.find(&["northbound"]), ..AccessControl::default() };
        for user in north.entries("user") {
            let role = match user.text("role") {
                Some("admin") => Role::Admin,
                Some("operator") => Role::Operator,
                _ => Role::Reader,
            };
            let name = user.text("name").unwrap_or_default().to_string();
            access.users.insert(name, User { role, ssh_keys: texts(&user, "ssh-key") });
        }
        for client in north.inner("netconf").inner("tls").entries("client") {
            let from = match client.text("name-from") {
                Some("common-name") => CertToName::CommonName,
                Some("dns-name") => CertToName::DnsName,
                _ => CertToName::Specified(client.text("user").unwrap_or_default().to_string()),
            };
            let fingerprint = client.text("fingerprint").unwrap_or_default().to_string();
            access.certificates.insert(fingerprint, from);
        }
        // Entries stand in the order of their key, the number.
        for rule in north.entries("rule") {
            let operation = texts(&rule, "access");
            let path = rule.text("path").unwrap_or_default();
            let number = rule.leaf("number").map(ToString::to_string).unwrap_or_default();
            let path = Path::read(schema, path).map_err(|fault| {
                format!("the rule {number} speaks of a path that does not fit the model: {fault}")
            })?;
            let about = |what: &str| operation.is_empty() || operation.contains(what);
            access.rules.push(Rule {
                users: texts(&rule, "user"),
                path,
                reads: about("read"),
                writes: about("write"),
                permits: rule.text("action") == Some("permit"),
            });
        }
        Ok(access)
    }

    pub fn role(&self, user: &str) -> Option<Role> {
        self.users.get(user).map(|user| user.role)
    }

    pub fn has_admin(&self) -> bool {
        self.users.values().any(|user| user.role == Role::Admin)
    }

    /// The public keys that the user may come with, as they are configured.
    pub fn ssh_keys(&self, user: &str) -> impl Iterator<Item = &str> {
        self.users.get(user).into_iter().flat_map(|user| &user.ssh_keys).map(String::as_str)
    }

    /// Where the user's name is taken from for a certificate of this SHA-256, in lower-case hex.
    pub fn cert_to_name(&self, fingerprint: &str) -> Option<&CertToName> {
        self.certificates.get(fingerprint)
    }

    /// Whether the user may do so at that very place.
    pub fn permits(&self, user: &str, operation: AccessOperation, path: &Path) -> bool {
        let Some(role) = self.role(user) else { return false };
        let fits = |rule: &&Rule| {
            let about = if operation == AccessOperation::Read { rule.reads } else { rule.writes };
            about && (rule.users.is_empty() || rule.users.contains(user)) && rule.path.covers(path)
        };
        if let Some(rule) = self.rules.iter().find(fits) {
            return rule.permits;
        }
        let own = path.0.first().map(|step| step.node) == self.own;
        match (role, operation) {
            (Role::Admin, _) => true,
            (Role::Operator, AccessOperation::Read) => true,
            (Role::Operator, AccessOperation::Write) | (Role::Reader, AccessOperation::Read) => !own,
            (Role::Reader, AccessOperation::Write) => false,
        }
    }

    /// The data without what the user may not read. What is kept keeps the keys that lead to it.
    pub fn filter_readable(&self, schema: &Schema, user: &str, data: &Data) -> Data {
        if self.role(user) == Some(Role::Admin) && self.rules.is_empty() {
            return data.clone();
        }
        self.readable_below(schema, user, data, &Path::default())
    }

    fn readable_below(&self, schema: &Schema, user: &str, data: &Data, at: &Path) -> Data {
        let may = |path: &Path| self.permits(user, AccessOperation::Read, path);
        let mut kept = Data::default();
        for (id, content) in data.iter() {
            let path = at.with(Step::to(id));
            match content {
                Content::Leaf(_) if may(&path) => kept.set(id, content.clone()),
                Content::Leaf(_) => {}
                Content::Leaves(values) => {
                    let value = |value: &&_| may(&at.with(Step::entry(id, std::slice::from_ref(*value))));
                    let values: BTreeSet<_> = values.iter().filter(value).cloned().collect();
                    if !values.is_empty() {
                        kept.set(id, Content::Leaves(values));
                    }
                }
                Content::Inner(inner) => {
                    let inner = self.readable_below(schema, user, inner, &path);
                    let presence = matches!(schema.node(id).kind, Kind::Container { presence: true });
                    if !inner.is_empty() || presence && may(&path) {
                        kept.set(id, Content::Inner(inner));
                    }
                }
                Content::List(entries) => {
                    for (keys, entry) in entries {
                        let path = at.with(Step::entry(id, keys));
                        let inner = self.readable_below(schema, user, entry, &path);
                        if !inner.is_empty() {
                            let entry = kept.entry(schema, id, keys);
                            *entry = std::mem::take(entry).joined(inner);
                        }
                    }
                }
            }
        }
        kept
    }

    /// The first place that the change from one to the other touches and the user may not write.
    pub fn first_denied_write(&self, schema: &Schema, user: &str, old: &Data, new: &Data) -> Option<Path> {
        let touched = diff(schema, old, new).into_iter().map(|difference| difference.path);
        touched.into_iter().find(|path| !self.permits(user, AccessOperation::Write, path))
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

    fn read(rules: &str) -> (Schema, Data, AccessControl) {
        let schema = juniperrail_model::schema();
        let data = xml::file(&schema, FILE.replace("RULES", rules).as_bytes()).unwrap();
        let access = AccessControl::from_data(&schema, &data).unwrap();
        (schema, data, access)
    }

    fn seen(rules: &str, user: &str) -> String {
        let (schema, data, access) = read(rules);
        xml::to_file(&schema, &access.filter_readable(&schema, user, &data))
    }

    fn writes(rules: &str, user: &str, old: &str, new: &str) -> Option<String> {
        let (schema, data, access) = read(rules);
        let changed = FILE.replace("RULES", rules).replace(old, new);
        assert_ne!(changed, FILE.replace("RULES", rules));
        let changed = xml::file(&schema, changed.as_bytes()).unwrap();
        access.first_denied_write(&schema, user, &data, &changed).map(|path| path.spelled(&schema))
    }

    #[test]
    fn roles_hold_where_no_rule_speaks() {
        assert!(seen("", "ann").contains("northbound") && seen("", "bob").contains("northbound"));
        assert!(seen("", "eve").contains("s-2") && !seen("", "eve").contains("northbound"));
        assert!(!seen("", "mallory").contains("worker"), "who is not named sees nothing");
        let weight = ("<weight>1", "<weight>3");
        assert_eq!(writes("", "bob", weight.0, weight.1), None);
        for user in ["eve", "mallory"] {
            let refused = writes("", user, weight.0, weight.1);
            assert_eq!(refused.as_deref(), Some("/jrm:workers/worker[name='s-1']/weight"));
        }
        let refused = writes("", "bob", "<role>operator", "<role>admin");
        assert_eq!(
            refused.as_deref(),
            Some("/jrm:northbound/user[name='bob']/role"),
            "nobody raises himself"
        );
        assert_eq!(writes("", "ann", "<role>operator", "<role>admin"), None);
    }

    #[test]
    fn the_lowest_rule_that_fits_holds_before_the_role() {
        let rule = |number: u32, user: &str, path: &str, access: &str, action: &str| {
            let user = if user.is_empty() { String::new() } else { format!("<user>{user}</user>") };
            let access = if access.is_empty() { String::new() } else { format!("<access>{access}</access>") };
            format!("<rule><number>{number}</number>{user}<path>{path}</path>{access}<action>{action}</action></rule>")
        };
        let own = "/jrm:workers/worker[name='s-1']";
        let rules = rule(1, "eve", own, "write", "permit") + &rule(2, "", "/workers", "write", "deny");
        assert_eq!(writes(&rules, "eve", "<weight>1", "<weight>3"), None);
        assert!(writes(&rules, "eve", "<weight>2", "<weight>3").is_some());
        assert!(
            writes(&rules, "bob", "<weight>1", "<weight>3").is_some(),
            "a rule for everyone goes before roles"
        );
        assert!(writes(&rules, "ann", "<weight>1", "<weight>3").is_some(), "admins too");
        let hidden = rule(10, "", own, "read", "deny");
        assert!(!seen(&hidden, "ann").contains("<name>s-1") && seen(&hidden, "ann").contains("<name>s-2"));
        let only = rule(1, "bob", &format!("{own}/weight"), "read", "permit")
            + &rule(2, "bob", "/workers", "", "deny");
        let sees = seen(&only, "bob");
        assert!(sees.contains("<name>s-1</name>") && sees.contains("<weight>1.0</weight>"), "{sees}");
        assert!(!sees.contains("s-2"), "{sees}");
    }

    #[test]
    fn a_rule_on_what_is_not_in_the_model_is_a_fault() {
        let rule = "<rule><number>7</number><path>/workers/shift</path><action>deny</action></rule>";
        let schema = juniperrail_model::schema();
        let data = xml::file(&schema, FILE.replace("RULES", rule).as_bytes()).unwrap();
        let why = AccessControl::from_data(&schema, &data).unwrap_err();
        assert!(why.contains("rule 7") && why.contains("there is no \"shift\""), "{why}");
    }
}
