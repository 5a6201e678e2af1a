//! Emulator: a whole site in one process, the load of its users, and the judgement of the result.

pub use self::{
    caller::Caller,
    load_item::{LoadAsk, LoadItem},
    load_run::{LoadReport, run_load},
    observation::{Ending, Observation, RefusalSeen},
    profile::{Profile, ProfileKind},
    site::{Site, SiteError},
    site_options::SiteOptions,
    verdict::Verdict,
    workload::Workload,
};

mod caller;
mod load_item;
mod load_run;
mod observation;
mod profile;
mod site;
mod site_options;
mod verdict;
mod workload;
