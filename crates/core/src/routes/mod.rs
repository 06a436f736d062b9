//! Routes: which service a request goes to, and what its operator allows for it.
//!
//! Rules kept here:
//! - of the routes of a host, the one with the longest prefix of the path applies;
//! - the time of a look-up depends on the depth of the path, not on the number of routes;
//! - requests of a split route are shared among its services by weight, whatever their load.

mod budgets;
mod split;
mod table;

pub use budgets::UsualBudgets;
pub use split::Splitter;
pub use table::{Destination, Repeatability, Route, RouteTable};
