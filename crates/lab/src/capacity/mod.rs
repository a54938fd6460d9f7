//! The capacity page: what each role keeps and carries at the size of the operators' letter, computed from the slopes in
//! `docs/capacity/measured.json` and from assumptions that are named. `docs/CAPACITY.md` holds the tables.

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
