//! Integration tests, a file for each feature.

mod ownership;
mod peer_listener;
mod platform;
