//! lentillead: a router for separate prefill and decode pools.
//!
//! The code is laid out around a blackboard: controllers read some of its sections and each
//! writes exactly one, while the path of a request only loads snapshots and touches atomics.
//! Dependencies point one way: `border`, `control` and `request` use `decide`, `decide` uses
//! `port` and `board`, and `board` uses `key`.

pub mod board;
pub mod border;
pub mod command;
pub mod control;
pub mod daemon;
pub mod decide;
pub mod emulator;
pub mod fake;
pub mod key;
pub mod port;
pub mod request;
pub mod story;
