//! Runs a whole site in one process, sends it generated or recorded load, injects faults, and
//! checks the invariants of the router.

pub use self::{
    baseline_router::{BaselinePolicy, BaselineRouter},
    caller::Caller,
    fault_event::{FaultAction, FaultEvent},
    fault_report::FaultReport,
    fault_run::run_schedule,
    fault_schedule::{FaultSchedule, ScheduledSend},
    load_item::{LoadItem, LoadPayload},
    load_run::{LoadReport, Quantiles, run_load},
    observation::{Ending, Observation, RefusalSeen},
    outcomes::{Missed, Outcomes},
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

mod baseline_endpoint;
mod baseline_router;
mod caller;
mod fault_event;
mod fault_report;
mod fault_run;
mod fault_schedule;
mod load_item;
mod load_run;
mod observation;
mod outcomes;
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
