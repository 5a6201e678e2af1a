//! Small traits for everything outside a decision, and the messages that their methods exchange.
//!
//! The messages are independent of any wire format; `border` encodes them.

pub use self::{
    claim_store::{ArchiveMark, ClaimHead, ClaimRecord, ClaimStore},
    claimer::Claimer,
    clock::Clock,
    engine::{
        CacheEvent, CacheEvents, Chunk, DecodeAsk, Description, Engine, EngineError, KvHandle,
        LoadReport, Order, PrefillAsk, TokenStream,
    },
    feed::{Change, Changes, Feed, FeedError, Listing},
    line::Line,
    mono_clock::MonoClock,
    peer::{Peer, PeerError, PeerHandler},
    peer_call::{
        BranchRules, ClaimAsk, ClaimEnd, ClaimKey, ClaimOutcome, Denial, EndpointNews, Grant,
        GrantAsk, GrantEnd, GrantRelease, Heartbeat, MemberNews, PeerCall, PeerReply, SheetChange,
        SuspectNews,
    },
    placer::{PlaceAsk, PlaceEnd, PlaceOutcome, PlaceRun, Placer},
    platform::{HostEntry, Object, ObjectName, ObjectStore, Platform, PlatformError},
    request_log::RequestLog,
    role_orders::{EngineState, RoleOrder, RoleOrders},
    service::{Service, ServiceCall, ServiceReply},
    upstream::{
        AnswerBody, AnswerEvent, CacheHandle, ForwardRequest, PlaceHandle, PromptSize, Upstream,
        UpstreamAnswer, UpstreamAsk, UpstreamError,
    },
};

mod claim_store;
mod claimer;
mod clock;
mod engine;
mod feed;
mod line;
mod mono_clock;
mod peer;
mod peer_call;
mod placer;
mod platform;
mod request_log;
mod role_orders;
mod service;
mod upstream;
