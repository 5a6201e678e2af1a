//! Controllers: each reads some sections of the blackboard and writes exactly one.

pub use self::owner_controller::OwnerController;

mod owner_controller;
