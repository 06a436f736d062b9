//! `hawthornwall`, the operators' tool.

fn main() {}
