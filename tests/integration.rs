//! Integration tests, a file for each feature.

mod platform;
