//! Load generator, demonstration, experiments, capacity measurement and fault runs on real daemons.
//!
//! Invariant: a tool here starts the product's own programs through the launcher of the test kit and
//! judges them by records and reports only.

pub mod capacity;
pub mod demo;
pub mod experiment;
pub mod faults;
pub mod load;
