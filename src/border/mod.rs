//! Wire protocols towards callers, operators, endpoints, the platform and other daemons.

pub use self::{
    platform_client::{OBJECT_BYTES_MAX, PlatformClient},
    settings::{
        Claims, Keys, Limits, Listen, LogLevel, LogSettings, PlatformSettings, Settings, Timing,
    },
    settings_builder::SettingsBuilder,
    settings_error::{SettingsError, SettingsFault},
    settings_parse::{parse_settings, read_settings},
};

mod platform_client;
mod settings;
mod settings_builder;
mod settings_error;
mod settings_parse;
mod settings_reader;
