//! Wire protocols towards callers, operators, endpoints, the platform and other daemons.

pub use self::{
    peer_client::PeerClient,
    peer_limits::PeerLimits,
    peer_listener::PeerListener,
    peer_traffic::PeerTraffic,
    platform_client::{OBJECT_BYTES_MAX, PlatformClient},
    settings::{
        Claims, Keys, Limits, Listen, LogLevel, LogSettings, PlatformSettings, Settings, Timing,
    },
    settings_builder::SettingsBuilder,
    settings_error::{SettingsError, SettingsFault},
    settings_parse::{parse_settings, read_settings},
};

pub mod peer_wire;

mod counted_stream;
mod peer_body;
mod peer_client;
mod peer_limits;
mod peer_link;
mod peer_listener;
mod peer_stream;
mod peer_traffic;
mod platform_client;
mod settings;
mod settings_builder;
mod settings_error;
mod settings_parse;
mod settings_reader;
