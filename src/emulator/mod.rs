//! Emulator: a whole site in one process, the load of its users, and the judgement of the result.

pub use self::{
    caller::Caller,
    fault_event::{FaultAction, FaultEvent},
    fault_report::FaultReport,
    fault_run::run_schedule,
    fault_schedule::{FaultSchedule, FaultSend},
    load_item::{LoadAsk, LoadItem},
    load_run::{LoadReport, Quantiles, run_load},
    observation::{Ending, Observation, RefusalSeen},
    outcomes::{Missed, Outcomes},
    plain_router::{PlainChoice, PlainRouter},
    profile::{Profile, ProfileKind},
    replay::{ReplayReport, Replayer},
    router::{DaemonRouter, Router},
    scenario::Scenario,
    site::{Site, SiteError},
    site_daemon::SiteDaemon,
    site_options::SiteOptions,
    trace::Trace,
    trace_error::TraceError,
    trace_line::{TraceFault, TraceHeader, TraceLine, TraceRequest},
    trace_maker::TraceMaker,
    verdict::Verdict,
    workload::Workload,
};

mod caller;
mod fault_event;
mod fault_report;
mod fault_run;
mod fault_schedule;
mod load_item;
mod load_run;
mod observation;
mod outcomes;
mod plain_endpoint;
mod plain_router;
mod profile;
mod replay;
mod router;
mod scenario;
mod site;
mod site_daemon;
mod site_options;
mod trace;
mod trace_error;
mod trace_line;
mod trace_maker;
mod verdict;
mod workload;
