//! Small stand-ins for the systems outside, used by tests, the demo and measurements.

pub use self::{
    control_plane::{ControlPlane, PlaneParts, answer},
    faulty_peer::{Cuts, FaultyPeer},
    memory_platform::MemoryPlatform,
    pause::Pause,
    peer_network::PeerNetwork,
    platform::FakePlatform,
    platform_settings::{
        Outage, PlatformControl, PlatformFaults, PlatformObserved, PlatformSettings,
    },
};

mod control_plane;
mod faulty_peer;
mod memory_platform;
mod pause;
mod peer_network;
mod platform;
mod platform_routes;
mod platform_settings;
mod platform_state;
