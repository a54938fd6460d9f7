//! Edits of a datastore as RFC 6241 section 7.2 defines them, on drafts of whatever protocol.

use juniperrail_model::{Content, Data, Draft, Fault, Kind, Op, Path, Rule, Schema};

/// What is done with nodes that say nothing themselves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DefaultOperation {
    #[default]
    Merge,
    Replace,
    /// Nothing, but the node must be there already.
    None,
}

/// What a fault in one node means for the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ErrorOption {
    /// The edit as a whole changes nothing. RFC 6241's `stop-on-error` and `rollback-on-error` are the same here,
    /// since an edit is taken whole or not at all.
    #[default]
    RollbackOnError,
    /// What is sound is done, and every fault is told.
    ContinueOnError,
}

#[derive(Clone, Copy, PartialEq)]
enum Doing {
    Op(Op),
    None,
}

struct Editor<'a> {
    schema: &'a Schema,
    errors: ErrorOption,
    faults: Vec<Fault>,
}

/// The data after the edit, and all that was wrong with it. With [`ErrorOption::RollbackOnError`], a fault leaves the data as it
/// was.
pub fn edit_config(
    schema: &Schema,
    data: &Data,
    drafts: &[Draft],
    default: DefaultOperation,
    errors: ErrorOption,
) -> (Data, Vec<Fault>) {
    let mut editor = Editor { schema, errors, faults: Vec::new() };
    let doing = match default {
        DefaultOperation::Merge => Doing::Op(Op::Merge),
        DefaultOperation::Replace => Doing::Op(Op::Replace),
        DefaultOperation::None => Doing::None,
    };
    // Replacing by default replaces the datastore, not just the nodes that are named (section 7.2).
    let mut edited = if default == DefaultOperation::Replace { Data::default() } else { data.clone() };
    let doing = if default == DefaultOperation::Replace { Doing::Op(Op::Merge) } else { doing };
    editor.all(&mut edited, drafts, &Path::default(), doing);
    edited.tidy(schema);
    if errors == ErrorOption::RollbackOnError && !editor.faults.is_empty() {
        return (data.clone(), editor.faults);
    }
    (edited, editor.faults)
}

impl Editor<'_> {
    fn all(&mut self, data: &mut Data, drafts: &[Draft], at: &Path, doing: Doing) {
        for draft in drafts {
            if let Err(fault) = self.one(data, draft, at, doing) {
                self.faults.push(fault);
                if self.errors == ErrorOption::RollbackOnError {
                    return;
                }
            }
        }
    }

    fn one(&mut self, data: &mut Data, draft: &Draft, at: &Path, around: Doing) -> Result<(), Fault> {
        let doing = draft.op.map_or(around, Doing::Op);
        let there = holds(data, draft);
        match doing {
            Doing::Op(Op::Delete) if !there => {
                return Err(draft.fault(self.schema, at, Rule::DataMissing, "is not there to be deleted"));
            }
            Doing::Op(Op::Delete | Op::Remove) => {
                take_out(data, draft);
                return Ok(());
            }
            Doing::Op(Op::Create) if there && draft.op.is_some() => {
                return Err(draft.fault(self.schema, at, Rule::DataExists, "is there already"));
            }
            _ => {}
        }
        let here = at.with(draft.step());
        let inner = match &self.schema.node(draft.node).kind {
            Kind::Leaf { .. } => {
                // A key is set by its entry; with no operation nothing is changed.
                if let (Doing::Op(_), Some(value)) = (doing, &draft.value) {
                    data.set(draft.node, Content::Leaf(value.clone()));
                }
                return Ok(());
            }
            Kind::LeafList { .. } => {
                if let (Doing::Op(_), Some(value)) = (doing, &draft.value) {
                    if draft.op == Some(Op::Replace) {
                        take_out(data, draft);
                    }
                    data.leaves(draft.node).insert(value.clone());
                }
                return Ok(());
            }
            _ if doing == Doing::None && !there => {
                return self.absent(data, draft, at);
            }
            Kind::Container { .. } => data.inner(draft.node),
            Kind::List { .. } => data.entry(self.schema, draft.node, &draft.keys),
        };
        if draft.op == Some(Op::Replace) || doing == Doing::Op(Op::Replace) && draft.op.is_none() {
            *inner = Data::default();
        }
        // Within what was just replaced or created there is nothing to meet.
        let below =
            if matches!(doing, Doing::Op(Op::Replace | Op::Create)) { Doing::Op(Op::Merge) } else { doing };
        self.all(inner, &draft.below, &here, below);
        Ok(())
    }

    /// Nothing is to be done here by itself and nothing is here: what stands below may still say more.
    fn absent(&mut self, data: &mut Data, draft: &Draft, at: &Path) -> Result<(), Fault> {
        if !draft.below.iter().any(says_more) {
            return Err(draft.fault(self.schema, at, Rule::DataMissing, "is not there"));
        }
        let plain = matches!(self.schema.node(draft.node).kind, Kind::Container { presence: false });
        if !plain {
            return Err(draft.fault(
                self.schema,
                at,
                Rule::DataMissing,
                "is not there to hold what is below it",
            ));
        }
        // A container that says nothing by itself is always there.
        let mut inner = Data::default();
        self.all(&mut inner, &draft.below, &at.with(draft.step()), Doing::None);
        if !inner.is_empty() {
            *data.inner(draft.node) = inner;
        }
        Ok(())
    }
}

fn says_more(draft: &Draft) -> bool {
    draft.op.is_some() || draft.below.iter().any(says_more)
}

fn holds(data: &Data, draft: &Draft) -> bool {
    match data.get(draft.node) {
        Some(Content::List(entries)) => entries.contains_key(&draft.keys),
        Some(Content::Leaves(values)) => draft.value.as_ref().is_some_and(|value| values.contains(value)),
        Some(_) => true,
        None => false,
    }
}

fn take_out(data: &mut Data, draft: &Draft) {
    let emptied = match data.get(draft.node) {
        Some(Content::List(_)) => {
            let entries = data.list(draft.node);
            entries.remove(&draft.keys);
            entries.is_empty()
        }
        Some(Content::Leaves(_)) => {
            let values = data.leaves(draft.node);
            draft.value.iter().for_each(|value| _ = values.remove(value));
            values.is_empty()
        }
        _ => true,
    };
    if emptied {
        data.remove(draft.node);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use juniperrail_model::{schema, xml};

    const HEAD: &str = "<workers xmlns=\"tag:juniperrail.example,2026:yang:manager\" \
                        xmlns:n=\"urn:ietf:params:xml:ns:netconf:base:1.0\">";

    fn drafts(body: &str) -> Vec<Draft> {
        let text = format!("{HEAD}{body}</workers>");
        xml::drafts(&schema(), &[xml::read(text.as_bytes()).unwrap()], true).unwrap()
    }

    fn data(body: &str) -> Data {
        Data::from_drafts(&schema(), &drafts(body)).unwrap()
    }

    const TWO: &str = "<worker><name>a</name><weight>1</weight></worker>\
                       <worker><name>b</name><wanted>out</wanted></worker>";

    fn edited(body: &str, default: DefaultOperation) -> Result<Data, Fault> {
        let before = data(TWO);
        let (after, mut faults) =
            edit_config(&schema(), &before, &drafts(body), default, ErrorOption::RollbackOnError);
        if let Some(fault) = faults.pop() {
            assert_eq!((after, faults.len()), (before, 0), "nothing is changed, the first fault is told");
            return Err(fault);
        }
        Ok(after)
    }

    #[test]
    fn each_operation_does_what_the_protocol_says() {
        use DefaultOperation::*;
        let a = |rest: &str| format!("<worker><name>a</name>{rest}</worker>");
        let op = |op: &str, name: &str, rest: &str| {
            format!("<worker n:operation=\"{op}\"><name>{name}</name>{rest}</worker>")
        };
        let b = "<worker><name>b</name><wanted>out</wanted></worker>";
        let weight = "<weight>2</weight>";
        let old = "<weight>1</weight>";
        for (body, default, expected) in [
            (a("<wanted>out</wanted>"), Merge, format!("{}{b}", a(&format!("<wanted>out</wanted>{old}")))),
            (a(weight), Merge, format!("{}{b}", a(weight))),
            (a(weight), Replace, a(weight)),
            (
                op("replace", "a", "<wanted>ready</wanted>"),
                Merge,
                format!("{}{b}", a("<wanted>ready</wanted>")),
            ),
            (op("create", "c", ""), Merge, format!("{TWO}<worker><name>c</name></worker>")),
            (op("create", "c", ""), None, format!("{TWO}<worker><name>c</name></worker>")),
            (op("delete", "a", ""), Merge, b.to_string()),
            (op("remove", "c", ""), Merge, TWO.to_string()),
            (op("remove", "b", ""), None, a(old)),
            (a("<weight n:operation=\"delete\"/>"), None, format!("{}{b}", a(""))),
            (a("<weight n:operation=\"replace\">2</weight>"), None, format!("{}{b}", a(weight))),
            (a(weight), None, TWO.to_string()),
            (op("merge", "c", weight), None, format!("{TWO}<worker><name>c</name>{weight}</worker>")),
        ] {
            assert_eq!(edited(&body, default), Ok(data(&expected)), "{body}");
        }
    }

    #[test]
    fn what_cannot_be_done_is_refused_whole() {
        use DefaultOperation::*;
        let create = "<worker n:operation=\"create\"><name>a</name></worker>";
        let sound = "<worker><name>a</name><weight>9</weight></worker>";
        for (body, default, rule) in [
            (format!("{sound}{create}"), Merge, Rule::DataExists),
            (format!("{sound}<worker n:operation=\"delete\"><name>c</name></worker>"), Merge, Rule::DataMissing),
            ("<worker><name>b</name><weight n:operation=\"delete\"/></worker>".into(), Merge, Rule::DataMissing),
            ("<worker><name>b</name><weight n:operation=\"create\">1</weight><wanted n:operation=\"create\">out</wanted></worker>".into(), Merge, Rule::DataExists),
            ("<worker><name>c</name></worker>".into(), None, Rule::DataMissing),
            ("<worker><name>c</name><weight n:operation=\"create\">1</weight></worker>".into(), None, Rule::DataMissing),
        ] {
            assert_eq!(edited(&body, default).unwrap_err().rule, rule, "{body}");
        }
    }

    #[test]
    fn going_on_does_what_is_sound_and_tells_every_fault() {
        let body = "<worker n:operation=\"create\"><name>a</name></worker>\
                    <worker><name>a</name><weight>9</weight></worker>\
                    <worker n:operation=\"delete\"><name>c</name></worker>";
        let (after, faults) = edit_config(
            &schema(),
            &data(TWO),
            &drafts(body),
            DefaultOperation::Merge,
            ErrorOption::ContinueOnError,
        );
        assert_eq!(
            faults.iter().map(|fault| fault.rule).collect::<Vec<_>>(),
            [Rule::DataExists, Rule::DataMissing]
        );
        assert_eq!(after, data(&TWO.replace("<weight>1", "<weight>9")));
    }
}
