//! Random event sequences against the aggregates. After each event `verify()` must find nothing;
//! each test also states what must hold at the end of a sequence.

mod active;
mod balancer;
mod call;
mod gate;
mod ledger;
mod members;
mod probing;
