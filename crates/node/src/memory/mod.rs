//! The budget of buffered bytes: the task that owns it, and the leases of connections.
//!
//! Rules:
//! - a connection asks before it reads further bytes, and closes or refuses the request if it gets none;
//! - a connection that is evicted closes at once;
//! - without limits of the machine in the settings there is no task, and every claim is granted.

mod lease;
mod task;

pub use lease::{Lease, Memory, Serving};
pub use task::MemoryTask;
