//! Small traits through which the code reaches clocks, endpoints, peers and the platform, and the
//! messages that their methods exchange.
//!
//! The messages are independent of any wire format; `border` encodes them.

pub use self::{
    claim_store::{ArchiveRef, ClaimHead, ClaimRecord, ClaimStore},
    claimer::Claimer,
    clock::Clock,
    engine::{
        CacheEvent, CacheEvents, Chunk, DecodeRequest, Description, Engine, EngineError, KvHandle,
        LoadReport, Order, PrefillRequest, TokenStream,
    },
    feed::{Change, Changes, Feed, FeedError, FeedOrigin, Freshness, Listing},
    feed_read::{FeedCompare, FeedItem, FeedKind, FeedObjects, FeedRead, FeedReply},
    grant_queue::GrantQueue,
    member_entry::MemberEntry,
    mono_clock::MonoClock,
    peer::{Peer, PeerError, PeerHandler},
    peer_call::{
        BranchRules, ClaimEnd, ClaimKey, ClaimOutcome, ClaimRequest, Denial, EndpointUpdate, Grant,
        GrantEnd, GrantRelease, GrantRequest, Heartbeat, MemberUpdate, PeerCall, PeerReply,
        SheetChange, SuspectUpdate,
    },
    placer::{
        ActivePlacement, CallEnd, CallVerdict, PlacementEnd, PlacementOutcome, PlacementReply,
        PlacementRequest, Placer, PlacerHandover, PoolUpdate, RefusalUpdate, ReportedCrash, RunEnd,
        StatedLimit,
    },
    platform::{HostEntry, Object, ObjectName, ObjectStore, Platform, PlatformError},
    quota_gate::{QuotaAnswer, QuotaGate},
    quota_report::{QuotaGrant, QuotaNeed, QuotaReply, QuotaReport, QuotaStamp},
    request_log::RequestLog,
    role_orders::{EngineState, RoleOrder, RoleOrders},
    roster_entry::RosterEntry,
    service::{Service, ServiceCall, ServiceResponse},
    upstream::{
        CacheHandle, CallerIdentity, Credentials, EndpointNotice, ForwardRequest, Noticed,
        Reservation, ResponseBody, ResponseEvent, TokenCounts, Upstream, UpstreamError,
        UpstreamRequest, UpstreamResponse,
    },
};

mod claim_store;
mod claimer;
mod clock;
mod engine;
mod feed;
mod feed_read;
mod grant_queue;
mod member_entry;
mod mono_clock;
mod peer;
mod peer_call;
mod placer;
mod platform;
mod quota_gate;
mod quota_report;
mod request_log;
mod role_orders;
mod roster_entry;
mod service;
mod upstream;
