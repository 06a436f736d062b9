//! Routes: which service a request goes to, and which limits its operator sets for it.
//!
//! Rules kept here:
//! - of the routes of a host, the one with the longest matching prefix of the path applies;
//! - the cost of a lookup depends on the depth of the path, not on the number of routes;
//! - requests of a split route are distributed among its services by weight, regardless of their load.

mod budgets;
mod by_route;
mod split;
mod table;
mod times;

pub use budgets::UsualBudgets;
pub use split::Splitter;
pub use table::{Destination, Repeatability, Route, RouteTable};
pub use times::{AnswerTimes, RunningId, UsualTimes};
