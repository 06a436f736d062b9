//! Checks of the invariants, one function each. They are independent of the code under test.

pub(super) mod leaving;
pub(super) mod probes;
pub(super) mod responses;
pub(super) mod runs;
pub(super) mod stops;
pub(super) mod versions;
