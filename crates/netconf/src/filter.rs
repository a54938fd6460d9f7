//! Subtree filters, RFC 6241 section 6: which elements of an answer were asked for.

use juniperrail_model::xml::Element;

/// What of the elements the filter selects. Keys of list entries stay with what is selected of them, as `keys`
/// tells which of an element's children those are.
pub fn select(filter: &Element, all: &[Element], keys: &dyn Fn(&Element) -> Vec<String>) -> Vec<Element> {
    let mut selected = Vec::new();
    for element in all {
        // Filters side by side add up, but nothing is told twice.
        let parts: Vec<Element> =
            filter.children.iter().filter_map(|filter| matched(filter, element, keys)).collect();
        selected.extend(parts.into_iter().reduce(|a, b| merged(a, b, element)));
    }
    selected
}

/// Whether the filter's element speaks of that element: by name, namespace (an empty one is any) and attributes.
fn names(filter: &Element, element: &Element) -> bool {
    filter.name == element.name
        && (filter.ns.is_empty() || filter.ns == element.ns)
        && filter.attrs.iter().all(|attr| element.attrs.contains(attr))
}

fn matched(filter: &Element, element: &Element, keys: &dyn Fn(&Element) -> Vec<String>) -> Option<Element> {
    if !names(filter, element) {
        return None;
    }
    if filter.children.is_empty() {
        // A selection node, or a content match of a leaf by itself.
        let fits = filter.word().is_empty() || filter.word() == element.word();
        return fits.then(|| element.clone());
    }
    let (matches, others): (Vec<&Element>, Vec<&Element>) =
        filter.children.iter().partition(|child| child.children.is_empty() && !child.word().is_empty());
    let fits = |wanted: &&Element| {
        element.children.iter().any(|child| names(wanted, child) && child.word() == wanted.word())
    };
    if !matches.iter().all(fits) {
        return None;
    }
    if others.is_empty() {
        // Content matches alone select the whole of what they match (section 6.2.5).
        return Some(element.clone());
    }
    let keys_here = keys(element);
    let mut kept = Element { children: Vec::new(), ..element.clone() };
    let mut found = !matches.is_empty();
    for child in &element.children {
        let parts = others.iter().filter_map(|filter| matched(filter, child, keys));
        match parts.reduce(|a, b| merged(a, b, child)) {
            Some(part) => {
                found = true;
                kept.children.push(part);
            }
            None => {
                let matched =
                    matches.iter().any(|wanted| names(wanted, child) && wanted.word() == child.word());
                if matched || keys_here.contains(&child.name) {
                    kept.children.push(child.clone());
                }
            }
        }
    }
    found.then_some(kept)
}

/// Two parts of one element: each child that stands in either, in the whole's order.
fn merged(a: Element, b: Element, whole: &Element) -> Element {
    if a == *whole || b == *whole {
        return whole.clone();
    }
    let mut children = Vec::new();
    let (mut a_left, mut b_left) = (a.children.into_iter().peekable(), b.children.into_iter().peekable());
    for child in &whole.children {
        let of = |part: &Element| {
            part.name == child.name && part.ns == child.ns && part.line == child.line && keyed(part, child)
        };
        let (from_a, from_b) = (a_left.next_if(|part| of(part)), b_left.next_if(|part| of(part)));
        children.extend(match (from_a, from_b) {
            (Some(a), Some(b)) => Some(merged(a, b, child)),
            (one, other) => one.or(other),
        });
    }
    Element { children, ..whole.clone() }
}

/// Whether a part is of that very element: a leaf's text is the same, and a child's children are among its own.
fn keyed(part: &Element, whole: &Element) -> bool {
    if whole.children.is_empty() {
        return part.text == whole.text;
    }
    let leaves = part.children.iter().filter(|child| child.children.is_empty());
    leaves.into_iter().all(|leaf| whole.children.contains(leaf))
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
        let filter = xml::read(format!("<filter>{filter}</filter>").as_bytes()).unwrap();
        let keys = |element: &Element| match element.name.as_str() {
            "user" => vec!["name".to_string()],
            _ => vec![],
        };
        let all = select(&filter, &xml::read(DATA.as_bytes()).unwrap().children, &keys);
        all.iter().map(|element| xml::write(element, false)).collect()
    }

    const FRED: &str =
        "<user><name>fred</name><type>admin</type><info><dept>2</dept><id>2</id></info></user>";

    #[test]
    fn what_is_selected_is_what_the_rfc_says() {
        assert_eq!(selected(""), "", "an empty filter selects nothing");
        assert_eq!(selected("<other xmlns='v'/>"), "<other xmlns=\"v\"><x>1</x></other>");
        assert_eq!(selected("<other/>"), selected("<other xmlns='v'/>"), "no namespace is any");
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
            "keys stay: {keyed}"
        );
        assert_eq!(selected("<top xmlns='u'><users><user><name>eve</name></user></users></top>"), "");
    }

    #[test]
    fn filters_side_by_side_add_up_and_tell_nothing_twice() {
        let both = selected("<top xmlns='u'><users><user><name>root</name><type/></user><user><name>fred</name><info/></user></users></top>");
        assert!(
            both.contains("<user><name>root</name><type>super</type></user><user><name>fred</name><info>"),
            "{both}"
        );
        let twice = selected("<top xmlns='u'><rest/></top><top xmlns='u'><users/></top><top xmlns='u'/>");
        assert_eq!(twice, selected("<top xmlns='u'/>"));
        let same = selected(
            "<top xmlns='u'><users><user><name>fred</name><type/></user></users></top>\
             <top xmlns='u'><users><user><name>fred</name><info><id/></info></user></users></top>",
        );
        assert!(
            same.contains("<user><name>fred</name><type>admin</type><info><id>2</id></info></user>"),
            "{same}"
        );
        assert!(!same.contains("root"), "{same}");
    }
}
