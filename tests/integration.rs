//! Integration tests, a file for each feature.

mod peer_listener;
mod platform;
