//! Scopes: which workers they contain, and their form in a query.

use juniperrail_distribution::{Location, Scope, ScopeError};
use proptest::prelude::*;

fn scope(zones: &[&str], services: &[&str]) -> Scope {
    let owned = |names: &[&str]| names.iter().map(|name| name.to_string()).collect::<Vec<_>>();
    Scope::new(owned(zones), owned(services))
}

#[test]
fn a_scope_without_names_contains_every_worker() {
    let location = Location { zone: "a", service: Some("grading") };
    assert!(Scope::default().is_unrestricted());
    assert!(Scope::default().contains(location));
    assert_eq!(Scope::default().to_query(), "");
}

#[test]
fn both_dimensions_restrict_and_a_worker_without_a_service_may_serve_any() {
    let scope = scope(&["a", "b"], &["grading"]);
    assert!(scope.contains(Location { zone: "b", service: Some("grading") }));
    assert!(scope.contains(Location { zone: "b", service: None }));
    assert!(!scope.contains(Location { zone: "b", service: Some("quiz") }));
    assert!(!scope.contains(Location { zone: "c", service: Some("grading") }));
    assert!(!scope.contains(Location { zone: "c", service: None }));
}

#[test]
fn an_empty_parameter_invalid_utf_8_and_too_many_names_are_rejected() {
    assert_eq!(Scope::from_query("stream=1&zones="), Err(ScopeError::Empty("zones")));
    assert_eq!(Scope::from_query("services=%ff"), Err(ScopeError::NotUtf8("services")));
    let many = vec!["a"; 65_537].join(",");
    assert_eq!(Scope::from_query(&format!("zones={many}")), Err(ScopeError::TooManyNames("zones")));
}

proptest! {
    #[test]
    fn a_scope_parsed_from_its_own_query_is_unchanged(
        zones in prop::collection::vec(".{1,8}", 0..5),
        services in prop::collection::vec(".{1,8}", 0..5),
    ) {
        let scope = Scope::new(zones, services);
        prop_assert_eq!(Scope::from_query(&format!("stream=1&index=7{}", scope.to_query())), Ok(scope));
    }
}
