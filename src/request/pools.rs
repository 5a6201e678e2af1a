use crate::board::{Role, Route};

/// Pools that a route to a model leads to, and the priority of a request there.
#[derive(Clone, Copy, Debug)]
pub struct Pools<'a> {
    /// Name of the prefill pool.
    pub prefill: &'a str,
    /// Name of the decode pool.
    pub decode: &'a str,
    /// Priority of the request in these pools; 0 is the most urgent.
    pub priority: u8,
}

impl<'a> Pools<'a> {
    /// Returns the pools of `route`; `None` if it leads to a plain service.
    pub fn new(route: &'a Route, priority: u8) -> Option<Self> {
        match route {
            Route::Model { prefill, decode } => Some(Self {
                prefill,
                decode,
                priority,
            }),
            Route::Service { .. } => None,
        }
    }

    /// Returns the name of the pool whose endpoints have `role`.
    pub fn name(&self, role: Role) -> &'a str {
        match role {
            Role::Prefill => self.prefill,
            Role::Decode | Role::Service => self.decode,
        }
    }
}
