//! The zones and workers of every test cluster.

/// The names of the zones.
pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// The workers, each with its zone; two in each zone.
pub const WORKERS: [(&str, &str); 6] =
    [("s-1", "a"), ("s-2", "a"), ("s-3", "b"), ("s-4", "b"), ("s-5", "c"), ("s-6", "c")];
