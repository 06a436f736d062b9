//! One function for each invariant; none refers to the code under test.

pub(super) mod leaving;
pub(super) mod probes;
pub(super) mod responses;
pub(super) mod runs;
pub(super) mod stops;
pub(super) mod versions;
