//! Controllers: each reads some sections of the blackboard and writes exactly one.
