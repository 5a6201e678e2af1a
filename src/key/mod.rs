//! Small `Copy` keys: arena indices with generations, and identifiers that are valid on every host.

pub use self::{
    attempt_id::{AttemptId, AttemptIdError},
    branch_key::BranchKey,
    cause_key::CauseKey,
    connection_key::ConnectionKey,
    endpoint_key::EndpointKey,
    grant_key::GrantKey,
    host_key::HostKey,
    name_hash::name_hash,
    organisation_key::OrganisationKey,
    pool_key::PoolKey,
    request_id::RequestId,
    route_key::RouteKey,
    rule_key::RuleKey,
    store_revision::StoreRevision,
    waiter_key::WaiterKey,
};

mod attempt_id;
mod branch_key;
mod cause_key;
mod connection_key;
mod endpoint_key;
mod grant_key;
mod host_key;
mod name_hash;
mod organisation_key;
mod pool_key;
mod request_id;
mod route_key;
mod rule_key;
mod store_revision;
mod waiter_key;
