//! Integration tests, a file for each feature.

mod budget;
mod chunk_check;
mod claim_table;
mod claims;
mod cluster;
mod command_line;
mod engine;
mod engine_fault;
mod fleet;
mod line_bench;
mod lines;
mod membership;
mod operations_page;
mod operator_listener;
mod owner_choice;
mod ownership;
mod peer_listener;
mod platform;
mod retry;
mod service;
mod settings;
mod sheet_check;
mod sheet_follow;
mod sheet_spread;
mod sheet_store;
mod suspicion;
