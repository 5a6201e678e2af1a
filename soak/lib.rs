//! A randomised soak: the real daemons as processes, between callers, workers and a store that
//! stand in for the users' platform, with faults injected from outside.

pub use self::{
    command::SoakArguments,
    operator_config::operator_config,
    soak_error::SoakError,
    store_stand_in::{StoreFault, StoreStandIn},
};

mod caller;
mod command;
mod daemon_process;
mod fault;
pub mod finding;
mod link_proxy;
mod operator_config;
mod site;
mod soak_error;
mod soak_run;
mod store_stand_in;
pub mod witness;
mod worker_answer;
mod worker_fault;
mod worker_stand_in;
