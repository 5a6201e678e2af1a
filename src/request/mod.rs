//! The path of a request: attempts, grants, retries, cancellation.
//!
//! It knows no wire format: a front end turns what it receives into a `Call` and reads the answer
//! from a `Sink` or a `Reply`.

pub use self::{
    acquire::acquire,
    asking::Asking,
    cache_hold::CacheHold,
    call::Call,
    claimed::claimed,
    completion::Completion,
    completion_places::{CompletionPlaces, Want},
    completion_run::{CompletionEvent, finish_completion, start_completion},
    endpoint_hold::{EndpointHold, EndpointNeed},
    entry::{Admission, Arrival, Entry},
    event_relay::EventRelay,
    failed::Failed,
    forward_answer::ForwardAnswer,
    forward_call::ForwardCall,
    forward_entry::{ForwardEntry, ForwardReply},
    forward_log::{ForwardLog, Next, not_admitted},
    forward_options::ForwardOptions,
    forward_parts::ForwardParts,
    forward_shared::ForwardShared,
    forward_whole::forward_whole,
    held::Held,
    model_path::ModelPath,
    owner::Owner,
    parts::Parts,
    path_options::PathOptions,
    place_hold::PlaceHold,
    placement_hold::PlacementHold,
    pools::Pools,
    progress::Progress,
    refused::{Ran, Refused, denied, exhausted, late},
    relay::{Relay, RelayEnd},
    reply::Reply,
    service_path::ServicePath,
    service_run::call_service,
    shared::Shared,
    sink::{CallerGone, Piece, Sink},
};

mod acquire;
mod asking;
mod cache_hold;
mod call;
mod claimed;
mod completion;
mod completion_places;
mod completion_run;
mod endpoint_hold;
mod entry;
mod event_relay;
mod failed;
mod forward_answer;
mod forward_call;
mod forward_entry;
mod forward_log;
mod forward_options;
mod forward_parts;
mod forward_refusal;
mod forward_shared;
mod forward_whole;
mod held;
mod model_path;
mod owner;
mod parts;
mod path_options;
mod place_hold;
mod place_search;
mod placement_hold;
mod pools;
mod progress;
mod refused;
mod relay;
mod reply;
mod service_path;
mod service_run;
mod shared;
mod sink;
mod stream_run;
