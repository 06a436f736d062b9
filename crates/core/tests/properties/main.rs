//! Property tests that feed random event sequences to the aggregates. `verify()` must report no
//! violation after any event; each test also checks what must hold at the end of a sequence.

mod active;
mod balancer;
mod body_grants;
mod call;
mod cold;
mod eras;
mod evacuation;
mod gate;
mod hedging;
mod ledger;
mod members;
mod memory;
mod own_link;
mod pipeline;
mod probing;
mod target_state;
