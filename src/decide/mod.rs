//! Pure decision functions and state machines: no I/O, no clock, no wire types.

pub use self::{
    admission::{CallOrganisation, CallerAdmission, admit_caller},
    attempt_state::AttemptState,
    backoff::{Backoff, jitter},
    call_class::CallClass,
    caller_room::{
        HTTP1_CONNECTION_BYTES, HTTP2_CONNECTION_BYTES, PROGRESS_BYTES, REQUEST_BYTES,
        SMALL_REQUEST_BYTES, STALLED_TIME, Shortage, body_limit, caller_bounds, gives_way,
        is_nearly_full,
    },
    chunk_check::{ChunkCheck, ChunkDrop, ChunkError, ChunkVerdict},
    claim_table::{ClaimGroup, ClaimTable, ClaimTime, MAX_RESPONSE_BYTES, claim_key, record_bytes},
    crash_record::{Crash, CrashRecord},
    endpoint_choice::{EndpointOption, choose_endpoint},
    endpoint_load::EndpointLoad,
    engine_limits::EngineLimits,
    engine_plan::EnginePlan,
    engine_priority::engine_priority,
    fair_share::{FairShare, HALF_LIFE},
    feed_changes::{changes_since, record_changes, record_listing},
    feed_compare::{compare_reply, feed_digests, merge_difference},
    feed_reply::{FeedQuestion, feed_reply},
    feed_sources::{feed_sources, has_followers},
    fleet_merge::{Descriptions, loaded, merge_described, merge_fleet},
    grant_option::{
        GrantNeed, GrantOption, choose_decode, choose_prefill, choose_service, prefill_end,
    },
    heartbeat_peers::HeartbeatPeers,
    host_roster::HostRoster,
    ledger::{Ledger, Placement, PlacementFigures, Pressure},
    load_updates::LoadUpdates,
    member_timing::MemberTiming,
    order_plan::{is_covered, order_plan},
    outlier::{FIRST_EJECTION, Outlier, Standing},
    output_lengths::OutputLengths,
    output_rates::OutputRates,
    owner_choice::{OwnerOption, order_owners, owners_to_request},
    placement_turns::{PlacementTurns, WaitingPlacement},
    placer_order::placer_order,
    prefill_rate::PrefillRate,
    prefix_hash::{BLOCK_TOKENS, count_tokens, prefixes},
    queue_order::{AGING_STEP, LATE_GRANT_INTERVAL, Rank, late_rank, rank},
    quota_fleet::QuotaFleet,
    quota_limits::{
        QUOTA_SHARDS, QUOTA_WINDOW, QuotaLimits, quota_number, quota_shard, quota_shard_name,
    },
    quota_pool::{CREDIT_TERM, QuotaPool, QuotaUse},
    quota_reporter::{MAX_ASK_TIME, MAX_START_WAIT, QuotaAnswers, QuotaReporter, REPORT_TIMEOUT},
    recent_answers::RecentAnswers,
    refused_causes::RefusedCauses,
    retry::{Chance, Failure, Verdict, after_failure},
    retry_budget::RetryBudget,
    rule_choice::{is_open, minute_of_day, routes},
    rule_text::{repeat_text, rule_text},
    run_plan::RunPlan,
    service_admission::{AdmissionNeed, ServiceAdmission, admit_service, shortest_work},
    service_fit::ServiceFit,
    service_load::{ServiceEstimate, ServiceOption, choose_by_completion},
    sheet_check::{MAX_BRANCH_RULES, MAX_LISTED_FAULTS, sheet_check},
    sheet_diff::{BranchDiff, FieldDiff, KindDiff, RulesByBranch, by_branch, sheet_diff},
    sheet_log::{Applied, SheetLog},
    sheet_row::{COLUMNS, SheetFault, SheetRow},
    stage_plan::{StageChange, prefill_goal, stage_changes},
    start_delay::start_delay,
    status_of::status_of,
    store_call::{StoreCall, may_call_store},
    strong_hosts::{KeyedHost, split_by_strength},
    suspicion::{CRASH_LIMIT, expire, merge, next_expiry, record_crash},
    token_bucket::TokenBucket,
    update_queue::UpdateQueue,
    wait_budget::WaitBudget,
    waiting::Waiting,
};

mod admission;
mod attempt_state;
mod backoff;
mod call_class;
mod caller_room;
mod chunk_check;
mod claim_table;
mod crash_record;
mod endpoint_choice;
mod endpoint_load;
mod engine_limits;
mod engine_plan;
mod engine_priority;
mod excess_use;
mod fair_share;
mod feed_changes;
mod feed_compare;
mod feed_reply;
mod feed_sources;
mod fleet_merge;
mod grant_option;
mod heartbeat_peers;
mod host_roster;
mod ledger;
mod load_updates;
mod member_timing;
pub mod membership;
mod order_plan;
mod outlier;
mod output_lengths;
mod output_rates;
mod owner_choice;
pub mod ownership;
mod placement_turns;
mod placer_order;
mod prefill_rate;
mod prefix_hash;
mod queue_order;
mod quota_fleet;
mod quota_limits;
mod quota_pool;
mod quota_reporter;
mod recent_answers;
mod refused_causes;
pub mod rendezvous;
mod retry;
mod retry_budget;
mod rule_choice;
mod rule_text;
mod run_plan;
mod service_admission;
mod service_fit;
mod service_load;
mod sheet_cell;
mod sheet_check;
mod sheet_diff;
mod sheet_log;
mod sheet_row;
mod stage_plan;
mod start_delay;
mod status_of;
mod store_call;
mod strong_hosts;
mod suspicion;
mod token_bucket;
mod update_queue;
mod wait_budget;
mod waiting;
