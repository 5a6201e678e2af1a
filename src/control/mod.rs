//! Controllers of the blackboard: each reads some sections and writes at most one. In a daemon,
//! each section has one writer.

pub use self::{
    allocation_controller::AllocationController,
    allocation_handle::AllocationHandle,
    claim_committers::ClaimCommitters,
    claim_resolver::ClaimResolver,
    claim_router::ClaimRouter,
    claim_settings::ClaimSettings,
    digest_controller::DigestController,
    feed_counters::FeedCounters,
    feed_follower::{FeedFollower, FeedUpdate},
    feed_relay::FeedRelay,
    fleet_controller::{DescriptionSender, FleetController},
    fleet_status::fleet_status,
    health_controller::{HealthController, HealthHandle},
    heartbeat_ports::{DigestUpdate, HeartbeatInputs, HeartbeatOutputs, RevisionHint},
    host_controller::HostController,
    load_controller::{LoadController, POLL_INTERVAL},
    member_controller::{MemberController, MemberParts},
    member_handle::MemberHandle,
    member_roster_controller::{MemberRosterController, MemberRosterParts},
    order_controller::{OrderController, OrderParts},
    order_error::OrderError,
    order_executor::send_order,
    order_leases::{OrderLease, OrderLeases},
    order_settings::OrderSettings,
    owner_controller::OwnerController,
    placement_router::PlacementRouter,
    queue_controller::QueueController,
    queue_handle::QueueHandle,
    quota_controller::{QuotaController, QuotaParts},
    quota_counters::QuotaCounters,
    quota_handle::QuotaHandle,
    readiness_controller::{ReadinessController, ReadinessParts, STOP_NOTICE_TIME},
    refusal_controller::RefusalController,
    registration::Registration,
    relayed_feed::{FeedLinks, RelayedFeed},
    roster_controller::RosterController,
    routing_controller::RoutingController,
    sheet_controller::{SheetController, SheetParts},
    sheet_handle::SheetHandle,
    sheet_object::ChangeRecord,
    sheet_store::{SheetCursor, SheetStore},
    sheet_store_error::SheetStoreError,
    sheet_submit::{Acceptance, Submission},
    stage_controller::{StageController, StageParts},
    store_path::StorePath,
    suspect_controller::{SuspectController, SuspectHandle},
};

mod allocation_controller;
mod allocation_handle;
mod avoided_hosts;
mod claim_committer;
mod claim_committers;
mod claim_partition;
mod claim_resolver;
mod claim_router;
mod claim_settings;
mod crash_counter;
mod deadlines;
mod digest_controller;
mod endpoint_view;
mod feed_counters;
mod feed_follower;
mod feed_relay;
mod fleet_controller;
mod fleet_status;
mod grant_table;
mod health_controller;
mod heartbeat_ports;
mod host_controller;
mod load_controller;
mod member_controller;
mod member_handle;
mod member_message;
mod member_roster_controller;
mod order_controller;
mod order_error;
mod order_executor;
mod order_leases;
mod order_settings;
mod orphan_cancel;
mod outgoing_heartbeat;
mod owner_controller;
mod placement_router;
mod queue_controller;
mod queue_grants;
mod queue_handle;
mod queue_message;
mod queue_reconcile;
mod queue_snapshot;
mod queue_state;
mod quota_controller;
mod quota_counters;
mod quota_handle;
mod readiness_controller;
mod refusal_controller;
mod registration;
mod relay_state;
mod relayed_feed;
mod roster_controller;
mod roster_entries;
mod routing_controller;
mod sheet_controller;
mod sheet_handle;
mod sheet_object;
mod sheet_prune;
mod sheet_store;
mod sheet_store_error;
mod sheet_submit;
mod stage_controller;
mod store_path;
mod suspect_controller;
mod waiter;
