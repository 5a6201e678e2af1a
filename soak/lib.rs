//! A randomised soak test: it runs the real daemons as processes between stand-ins for callers,
//! workers and the platform's store, injects faults from outside and checks the guarantees.

pub use self::{
    command::SoakArguments,
    operator_config::operator_config,
    soak_error::SoakError,
    store_stand_in::{StoreCopy, StoreFault, StoreStandIn},
};

mod caller;
mod command;
mod daemon_process;
mod fault;
pub mod finding;
mod link_proxy;
mod notices;
mod operator_config;
pub mod recorder;
mod site;
mod soak_error;
mod soak_run;
mod store_stand_in;
mod stream_check;
mod worker_fault;
mod worker_response;
mod worker_run;
mod worker_stand_in;
