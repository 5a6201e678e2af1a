use crate::board::{Role, Route};

/// Pools of one route.
#[derive(Clone, Copy, Debug)]
pub struct Pools<'a> {
    /// Name of the prefill pool.
    pub prefill: &'a str,
    /// Name of the decode pool.
    pub decode: &'a str,
    /// Priority of the request there.
    pub priority: u8,
}

impl<'a> Pools<'a> {
    /// Takes the pools of `route`; `None` if it leads to a plain service.
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

    /// Name of the pool with `role`.
    pub fn name(&self, role: Role) -> &'a str {
        match role {
            Role::Prefill => self.prefill,
            Role::Decode | Role::Service => self.decode,
        }
    }
}
