//! Small stand-ins for the systems outside, used by tests, the demo and measurements.

pub use self::{
    platform::FakePlatform,
    platform_settings::{
        Outage, PlatformControl, PlatformFaults, PlatformObserved, PlatformSettings,
    },
};

mod platform;
mod platform_routes;
mod platform_settings;
mod platform_state;
