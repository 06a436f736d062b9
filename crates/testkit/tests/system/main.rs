//! Tests of whole daemons against stand-ins. They run the binary that `cargo build --workspace --bins` builds.

mod catch_up;
mod daemon;
mod endless;
mod late_report;
mod link;
mod older_copy;
mod stop;
