//! Subtree filters (RFC 6241 section 6), which select the elements of a reply.

use juniperrail_model::xml::Element;

/// The parts of `elements` that the filter selects. `keys` returns the names of the children of an element that are
/// list keys; a list entry of which any part is selected includes its keys.
pub fn select(
    filter: &Element,
    elements: &[Element],
    keys: &dyn Fn(&Element) -> Vec<String>,
) -> Vec<Element> {
    let mut selected = Vec::new();
    for element in elements {
        // Sibling filters select the union of their results, without duplicates.
        let parts: Vec<Element> =
            filter.children.iter().filter_map(|filter| select_part(filter, element, keys)).collect();
        selected.extend(parts.into_iter().reduce(|first, second| merge(first, second, element)));
    }
    selected
}

/// Whether a filter node matches an element by name, namespace (an empty one matches any) and attributes.
fn node_matches(filter: &Element, element: &Element) -> bool {
    filter.name == element.name
        && (filter.namespace.is_empty() || filter.namespace == element.namespace)
        && filter.attributes.iter().all(|attribute| element.attributes.contains(attribute))
}

/// The part of one element that a filter node selects.
fn select_part(
    filter: &Element,
    element: &Element,
    keys: &dyn Fn(&Element) -> Vec<String>,
) -> Option<Element> {
    if !node_matches(filter, element) {
        return None;
    }
    if filter.children.is_empty() {
        // A selection node, or a content match node at the top level.
        let selected = filter.trimmed_text().is_empty() || filter.trimmed_text() == element.trimmed_text();
        return selected.then(|| element.clone());
    }
    let (content_matches, other_filters): (Vec<&Element>, Vec<&Element>) = filter
        .children
        .iter()
        .partition(|child| child.children.is_empty() && !child.trimmed_text().is_empty());
    let is_satisfied = |expected: &&Element| {
        element
            .children
            .iter()
            .any(|child| node_matches(expected, child) && child.trimmed_text() == expected.trimmed_text())
    };
    if !content_matches.iter().all(is_satisfied) {
        return None;
    }
    if other_filters.is_empty() {
        // Content match nodes alone select the entire containment node (section 6.2.5).
        return Some(element.clone());
    }
    let key_names = keys(element);
    let mut selected = Element { children: Vec::new(), ..element.clone() };
    let mut is_selected = !content_matches.is_empty();
    for child in &element.children {
        let parts = other_filters.iter().filter_map(|filter| select_part(filter, child, keys));
        match parts.reduce(|first, second| merge(first, second, child)) {
            Some(part) => {
                is_selected = true;
                selected.children.push(part);
            }
            None => {
                let is_content_match = content_matches.iter().any(|expected| {
                    node_matches(expected, child) && expected.trimmed_text() == child.trimmed_text()
                });
                if is_content_match || key_names.contains(&child.name) {
                    selected.children.push(child.clone());
                }
            }
        }
    }
    is_selected.then_some(selected)
}

/// The union of two parts of one element, with the children in the order of `original`.
fn merge(a: Element, b: Element, original: &Element) -> Element {
    if a == *original || b == *original {
        return original.clone();
    }
    let mut children = Vec::new();
    let (mut a_children, mut b_children) =
        (a.children.into_iter().peekable(), b.children.into_iter().peekable());
    for child in &original.children {
        let is_from_child = |part: &Element| {
            part.name == child.name
                && part.namespace == child.namespace
                && part.line == child.line
                && is_part_of(part, child)
        };
        let (from_a, from_b) =
            (a_children.next_if(|part| is_from_child(part)), b_children.next_if(|part| is_from_child(part)));
        children.extend(match (from_a, from_b) {
            (Some(a), Some(b)) => Some(merge(a, b, child)),
            (one, other) => one.or(other),
        });
    }
    Element { children, ..original.clone() }
}

/// Whether `part` may have been selected from `original`: a leaf has the same text, and the leaves of a container or
/// list entry are among those of `original`.
fn is_part_of(part: &Element, original: &Element) -> bool {
    if original.children.is_empty() {
        return part.text == original.text;
    }
    let leaves = part.children.iter().filter(|child| child.children.is_empty());
    leaves.into_iter().all(|leaf| original.children.contains(leaf))
}

#[cfg(test)]
mod tests {
    use super::*;
    use juniperrail_model::xml;

    const DATA: &str = "<d><top xmlns='u'><users>\
        <user><name>root</name><type>super</type><info><dept>1</dept><id>1</id></info></user>\
        <user><name>fred</name><type>admin</type><info><dept>2</dept><id>2</id></info></user>\
        </users><rest>r</rest></top><other xmlns='v'><x>1</x></other></d>";

    fn selected(filter: &str) -> String {
        let filter = xml::parse(format!("<filter>{filter}</filter>").as_bytes()).unwrap();
        let keys = |element: &Element| match element.name.as_str() {
            "user" => vec!["name".to_string()],
            _ => vec![],
        };
        let elements = select(&filter, &xml::parse(DATA.as_bytes()).unwrap().children, &keys);
        elements.iter().map(|element| xml::write(element, false)).collect()
    }

    const FRED: &str =
        "<user><name>fred</name><type>admin</type><info><dept>2</dept><id>2</id></info></user>";

    #[test]
    fn selection_follows_rfc_6241_section_6() {
        assert_eq!(selected(""), "", "an empty filter selects nothing");
        assert_eq!(selected("<other xmlns='v'/>"), "<other xmlns=\"v\"><x>1</x></other>");
        assert_eq!(
            selected("<other/>"),
            selected("<other xmlns='v'/>"),
            "a filter without a namespace matches any"
        );
        assert_eq!(selected("<other xmlns='w'/>"), "");
        assert_eq!(selected("<top xmlns='u'><rest/></top>"), "<top xmlns=\"u\"><rest>r</rest></top>");
        let names = selected("<top xmlns='u'><users><user><name/></user></users></top>");
        assert_eq!(names, "<top xmlns=\"u\"><users><user><name>root</name></user><user><name>fred</name></user></users></top>");
        let fred = selected("<top xmlns='u'><users><user><name>fred</name></user></users></top>");
        assert_eq!(fred, format!("<top xmlns=\"u\"><users>{FRED}</users></top>"));
        let part = selected(
            "<top xmlns='u'><users><user><name> fred </name><type/><info><id/></info></user></users></top>",
        );
        assert!(part.contains("<name>fred</name><type>admin</type><info><id>2</id></info></user>"), "{part}");
        let keyed = selected("<top xmlns='u'><users><user><info><dept/></info></user></users></top>");
        assert!(
            keyed.contains("<user><name>fred</name><info><dept>2</dept></info></user>"),
            "list keys are included: {keyed}"
        );
        assert_eq!(selected("<top xmlns='u'><users><user><name>eve</name></user></users></top>"), "");
    }

    #[test]
    fn sibling_filters_select_their_union_without_duplicates() {
        let both = selected("<top xmlns='u'><users><user><name>root</name><type/></user><user><name>fred</name><info/></user></users></top>");
        assert!(
            both.contains("<user><name>root</name><type>super</type></user><user><name>fred</name><info>"),
            "{both}"
        );
        let overlapping =
            selected("<top xmlns='u'><rest/></top><top xmlns='u'><users/></top><top xmlns='u'/>");
        assert_eq!(overlapping, selected("<top xmlns='u'/>"));
        let same_entry = selected(
            "<top xmlns='u'><users><user><name>fred</name><type/></user></users></top>\
             <top xmlns='u'><users><user><name>fred</name><info><id/></info></user></users></top>",
        );
        assert!(
            same_entry.contains("<user><name>fred</name><type>admin</type><info><id>2</id></info></user>"),
            "{same_entry}"
        );
        assert!(!same_entry.contains("root"), "{same_entry}");
    }
}
