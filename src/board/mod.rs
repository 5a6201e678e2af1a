//! The blackboard: sections with exactly one writer each, read through snapshots and atomics.

pub use self::{
    answered_calls::AnsweredCalls,
    arena::Arena,
    blackboard::{Blackboard, Writers},
    branch::{Branch, Secret},
    caller_account::{CallerAccount, CallerBounds, ConnectionStanding},
    counters::Counters,
    digests::{Digest, Digests},
    endpoint::{Endpoint, Role},
    endpoint_counters::EndpointCounters,
    endpoint_limit::EndpointLimit,
    endpoint_traffic::{EndpointTraffic, ReportedLoad},
    feed_log::{FeedLog, LoggedObject, ObjectState},
    fleet::Fleet,
    health::{Health, StopPhase},
    host::{Host, HostState},
    host_list::{HostList, ListedEndpoint, ListedHost},
    loaded_models::LoadedModels,
    members::Members,
    orders::{OrderStatus, Orders},
    owners::{Owners, Ownership},
    pool::Pool,
    refusal::Refusal,
    removed_endpoints::RemovedEndpoints,
    request_rate::RequestRate,
    request_slots::RequestSlots,
    retry_reason::RetryReason,
    routing::{CallerLimits, PathRoute, PoolConfig, ResponseKind, Routing},
    rule::{Borrow, Repeat, Route, Rule, Target},
    section::{Section, Writer, section},
    sheet::Sheet,
    status::{FleetStatus, MemberStatus, PoolStatus, Status, SuspectStatus},
    suspects::{Suspect, Suspects},
    tick::Tick,
};

mod answered_calls;
mod arena;
mod blackboard;
mod branch;
mod caller_account;
mod counters;
mod digests;
mod endpoint;
mod endpoint_counters;
mod endpoint_limit;
mod endpoint_traffic;
mod feed_log;
mod fleet;
mod health;
mod host;
mod host_list;
mod loaded_models;
mod members;
mod orders;
mod owners;
mod pool;
mod refusal;
mod removed_endpoints;
mod request_rate;
mod request_slots;
mod retry_reason;
mod routing;
mod rule;
mod section;
mod sheet;
mod status;
mod suspects;
mod tick;
