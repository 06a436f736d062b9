//! Messages between the tasks of a daemon, by the task that receives them.
//!
//! Invariant: a message contains owned values and reply channels, never a reference to another task's
//! state. A dropped reply receiver cancels the request.

mod control;
mod gate;
mod memory;
mod peers;
mod probe;
mod router;
mod routing;

pub use control::{ControlMessage, ControlSender, ControlStatus};
pub use gate::{GateMessage, GateSender, GateStatus};
pub use memory::{MemoryMessage, MemorySender, MemoryStatus};
pub use peers::{PeerAddress, PeerFault, PeersMessage, PeersSender, PeersStatus};
pub use probe::{ProbeMessage, ProbeResult, ProbeSender};
pub use router::{
    InFlightRequest, Observed, OpenTicket, Opened, Picked, Routed, RouterMessage, RouterSender,
};
pub use routing::{IngressMessage, IngressSender, Member, RoutingState};
