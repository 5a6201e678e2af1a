//! The `lentillead` binary.

fn main() {}
