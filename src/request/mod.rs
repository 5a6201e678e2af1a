//! The path of a request: attempts, grants, retries, cancellation.
//!
//! It knows no wire format: a front end turns what it receives into a `Call` and reads the answer
//! from a `Sink` or a `Reply`.

pub use self::{
    acquire::acquire,
    asking::Asking,
    call::Call,
    claimed::claimed,
    completion::Completion,
    completion_places::{CompletionPlaces, Want},
    completion_run::{CompletionEvent, finish_completion, start_completion},
    entry::{Admission, Arrival, Entry},
    failed::Failed,
    held::Held,
    model_path::ModelPath,
    owner::Owner,
    parts::Parts,
    path_options::PathOptions,
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
mod call;
mod claimed;
mod completion;
mod completion_places;
mod completion_run;
mod entry;
mod failed;
mod held;
mod model_path;
mod owner;
mod parts;
mod path_options;
mod pools;
mod progress;
mod refused;
mod relay;
mod reply;
mod service_path;
mod service_run;
mod shared;
mod sink;
