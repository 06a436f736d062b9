//! `hawthornwalld`, the process that runs beside each target.

fn main() {}
