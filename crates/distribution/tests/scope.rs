//! Scopes: who belongs to them, and that a query carries them unchanged.

use juniperrail_distribution::{Location, Scope, ScopeError};
use proptest::prelude::*;

fn scope(zones: &[&str], services: &[&str]) -> Scope {
    let owned = |names: &[&str]| names.iter().map(|name| name.to_string()).collect::<Vec<_>>();
    Scope::new(owned(zones), owned(services))
}

#[test]
fn a_scope_without_names_holds_every_worker() {
    let place = Location { zone: "a", service: Some("grading") };
    assert!(Scope::default().is_unrestricted());
    assert!(Scope::default().contains(place));
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
fn a_query_that_names_nothing_or_no_text_is_refused() {
    assert_eq!(Scope::from_query("stream=1&zones="), Err(ScopeError::Empty("zones")));
    assert_eq!(Scope::from_query("services=%ff"), Err(ScopeError::NotText("services")));
    let many = vec!["a"; 65_537].join(",");
    assert_eq!(Scope::from_query(&format!("zones={many}")), Err(ScopeError::TooMany("zones")));
}

proptest! {
    #[test]
    fn a_query_carries_a_scope_unchanged(
        zones in prop::collection::vec(".{1,8}", 0..5),
        services in prop::collection::vec(".{1,8}", 0..5),
    ) {
        let scope = Scope::new(zones, services);
        prop_assert_eq!(Scope::from_query(&format!("stream=1&index=7{}", scope.to_query())), Ok(scope));
    }
}
