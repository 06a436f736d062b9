//! Tests of whole daemons against stand-ins. They run the binary that `cargo build --workspace --bins` builds.

mod catch_up;
mod daemon;
mod endless;
mod leaving;
mod link;
mod older_copy;
mod stop;
