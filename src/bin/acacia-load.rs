//! Sends load and reports what became of it.

fn main() {}
