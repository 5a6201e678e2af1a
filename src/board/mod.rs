//! The blackboard: sections with exactly one writer each, read through snapshots and atomics.

pub use self::{
    access_keys::{AccessKeys, KeyDigest, KeySalt},
    answered_calls::AnsweredCalls,
    arena::Arena,
    blackboard::{Blackboard, Writers},
    branch::{Branch, Secret},
    caller_account::{CallerAccount, CallerBounds, ConnectionStanding, ReceiveBounds},
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
    learnt_limits::LearntLimits,
    loaded_models::LoadedModels,
    members::Members,
    orders::{OrderStatus, Orders},
    organisation::Organisation,
    organisation_fault::OrganisationFault,
    organisation_list::{DeclaredOrganisation, OrganisationList},
    owners::{Owners, Ownership},
    pool::Pool,
    quota::{Quota, QuotaUnit},
    quota_credit::{QuotaCredit, QuotaHold},
    quotas::Quotas,
    refusal::Refusal,
    refusals::{PoolRefusals, Refusals},
    removed_endpoints::RemovedEndpoints,
    request_rate::RequestRate,
    request_slots::RequestSlots,
    retry_reason::RetryReason,
    routing::{CallerLimits, PathRoute, PoolConfig, ResponseKind, Routing},
    rule::{Borrow, Repeat, Route, Rule, Target},
    section::{Section, Writer, section},
    service_load::{MAX_NEWS_AGE, ServiceLoad, ServiceNews},
    sheet::Sheet,
    status::{FleetStatus, MemberStatus, PoolStatus, Status, SuspectStatus},
    suspects::{Suspect, Suspects},
    tick::Tick,
};

mod access_keys;
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
mod learnt_limits;
mod loaded_models;
mod members;
mod orders;
mod organisation;
mod organisation_fault;
mod organisation_list;
mod owners;
mod pool;
mod quota;
mod quota_credit;
mod quotas;
mod refusal;
mod refusals;
mod removed_endpoints;
mod request_rate;
mod request_slots;
mod retry_reason;
mod routing;
mod rule;
mod section;
mod service_load;
mod sheet;
mod status;
mod suspects;
mod tick;
