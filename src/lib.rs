//! lentillead: a router for separate pools of prefill and decode engines.
//!
//! The code is organised around a blackboard: each controller reads some of its sections and
//! writes exactly one, while the request path only loads snapshots and updates atomics.
//! Dependencies go one way: `border`, `control` and `request` use `decide`, `decide` uses
//! `port` and `board`, `port` uses `board`, and `board` uses `key`.

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
