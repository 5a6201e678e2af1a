//! The request path: grants and placements, attempts, retries and cancellation.
//!
//! There are two paths. `Entry`, with `Shared` and `Parts`, accepts requests whose branch and kind
//! select a rule of the sheet. `ForwardEntry`, with `ForwardShared` and `ForwardParts`, accepts
//! requests whose host and path select a route, and forwards them to an endpoint of its pools.
//!
//! Neither knows a wire format. A front end decodes a request into a `Call` or a `ForwardRequest`,
//! and encodes the response from a `Sink`, a `Reply` or a `ForwardReply`.

pub use self::{
    acquire::acquire,
    cache_hold::CacheHold,
    call::Call,
    call_admission::CallAdmission,
    completion::Completion,
    completion_grants::{AttemptNeed, CompletionGrants},
    completion_run::{CompletionEvent, finish_completion, start_completion},
    crash_watch::CrashWatch,
    endpoint_hold::{EndpointHold, EndpointNeed},
    entry::{Admission, Arrival, Entry},
    event_relay::EventRelay,
    failed_call::FailedCall,
    forward_buffered::forward_buffered,
    forward_call::ForwardCall,
    forward_entry::{ForwardEntry, ForwardReply},
    forward_log::{ForwardLog, NextStep, log_refused},
    forward_options::ForwardOptions,
    forward_parts::ForwardParts,
    forward_response::ForwardResponse,
    forward_shared::ForwardShared,
    grant_hold::GrantHold,
    model_path::ModelPath,
    owner::Owner,
    parts::Parts,
    path_options::PathOptions,
    pending_grant::PendingGrant,
    placement_hold::PlacementHold,
    pools::Pools,
    progress::Progress,
    refused::{Ran, Refused, attempts_exhausted, deadline_passed, no_grant},
    relay::{Relay, RelayEnd},
    reply::Reply,
    reservation_hold::ReservationHold,
    retry_permit::RetryPermit,
    run_claimed::run_claimed,
    service_path::ServicePath,
    service_run::call_service,
    shared::Shared,
    sink::{CallerDisconnected, Sink, TextChunk},
    waiting_calls::{WaitingCalls, WaitingPlace},
};

mod acquire;
mod cache_hold;
mod call;
mod call_admission;
mod caller_check;
mod completion;
mod completion_grants;
mod completion_run;
mod crash_watch;
mod endpoint_hold;
mod entry;
mod event_relay;
mod failed_call;
mod forward_buffered;
mod forward_call;
mod forward_entry;
mod forward_log;
mod forward_options;
mod forward_parts;
mod forward_refusal;
mod forward_response;
mod forward_shared;
mod grant_hold;
mod model_path;
mod opened_stream;
mod overdue_call;
mod overdue_wait;
mod owner;
mod parts;
mod path_options;
mod pending_grant;
mod placement_hold;
mod placement_search;
mod pools;
mod progress;
mod quota_charge;
mod refused;
mod relay;
mod replacement_search;
mod reply;
mod reservation_hold;
mod retry_permit;
mod run_claimed;
mod search_slot;
mod service_path;
mod service_run;
mod shared;
mod sink;
mod stream_attempts;
mod stream_run;
mod stream_times;
mod waiting_calls;
