//! Assembly of one daemon: connects blackboard sections to controllers and ports to their
//! implementations.

pub use self::{
    control_plane::ControlPlane,
    daemon_context::{DaemonContext, DaemonPlatform},
    daemon_error::DaemonError,
    daemon_parts::DaemonParts,
    dispatch::Dispatch,
    forward_daemon::{
        ForwardDaemon, ForwardDaemonParts, ForwardDispatch, ForwardPorts, ForwardSettings,
    },
    running::{Addresses, Daemon},
};

mod control_plane;
mod daemon_context;
mod daemon_error;
mod daemon_parts;
mod dispatch;
mod forward_daemon;
mod running;
