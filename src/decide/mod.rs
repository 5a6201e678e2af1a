//! Pure decisions: no I/O, no clock, no wire type.

pub mod ownership;
pub mod rendezvous;
