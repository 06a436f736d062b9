//! Load generator, demonstration, experiments, capacity measurement and fault injection with real
//! daemons.
//!
//! Invariant: each tool starts the product's programs through the test kit's launcher and evaluates
//! them by their records and reports only.

pub mod capacity;
pub mod demo;
pub mod experiment;
pub mod faults;
pub mod load;
