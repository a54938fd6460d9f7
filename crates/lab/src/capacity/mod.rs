//! The capacity model: the state and the load of each role at the fleet size that the operators require.
//!
//! The figures are computed from the slopes in `docs/capacity/measured.json` and from named assumptions. The resulting
//! tables are written to `docs/CAPACITY.md`.

pub mod assumptions;
pub mod checks;
pub mod figure;
pub mod gaps;
pub mod markdown;
pub mod page;
pub mod paths;
pub mod point;
pub mod quantity;
pub mod requests;
pub mod requirements;
pub mod roles;
pub mod row;
pub mod sensitivity;
pub mod series;
pub mod series_measured;
pub mod traffic;
pub mod wire;
