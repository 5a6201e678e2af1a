//! Fakes of the external systems (platform, engines, services) and of the network between daemons,
//! for tests, the demo, the emulator and the capacity measurements.

pub use self::{
    capacity_fault_report::{CapacityFaultReport, FaultCounts},
    capacity_fleet::{CapacityFigures, CapacityFleet, CapacitySize},
    capacity_layout::{LayoutCost, LayoutPoint},
    completion_text::{completion_length, completion_text},
    control_plane::{ControlPlane, PlaneParts, handle_call},
    engine::FakeEngine,
    engine_observed::{EngineControl, EngineObserved, EngineTotals, RunObserved},
    engine_settings::EngineSettings,
    fault::{Fault, FaultKind},
    faulty_peer::{FaultyPeer, NetworkPartition},
    memory_platform::MemoryPlatform,
    pause::Pause,
    peer_network::PeerNetwork,
    platform::FakePlatform,
    platform_settings::{
        Outage, PlatformControl, PlatformFaults, PlatformObserved, PlatformSettings,
    },
    process_usage::ProcessUsage,
    service::FakeService,
    service_settings::{ServiceControl, ServiceObserved, ServiceRun, ServiceSettings},
    slope::Slope,
};

mod capacity_fault_report;
mod capacity_faults;
mod capacity_fleet;
mod capacity_layout;
mod completion_text;
mod fault_watch;
mod slope;

mod capacity_host;
mod capacity_sheet;
mod control_plane;
mod endpoint_response;
mod endpoint_server;
mod engine;
mod engine_batch;
mod engine_core;
mod engine_observed;
mod engine_routes;
mod engine_run;
mod engine_settings;
mod engine_state;
mod engine_stream;
mod engine_transfer;
mod fault;
mod faulty_peer;
mod held_address;
mod link;
mod memory_platform;
mod nodelay_acceptor;
mod pause;
mod peer_network;
mod platform;
mod platform_routes;
mod platform_settings;
mod platform_state;
mod prefix_cache;
mod process_usage;
mod service;
mod service_routes;
mod service_settings;
