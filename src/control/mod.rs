//! Controllers: each reads some sections of the blackboard and writes exactly one.

pub use self::{
    fleet_controller::FleetController,
    health_controller::{HealthController, HealthHandle, HealthNews},
    host_controller::HostController,
    line_controller::LineController,
    lines::Lines,
    owner_controller::OwnerController,
    sheet_object::ChangeRecord,
    sheet_store::{SheetCursor, SheetStore},
    sheet_store_error::SheetStoreError,
    sheet_submit::{Acceptance, Submission},
    suspect_controller::{SuspectController, Suspicions},
};

mod endpoint_view;
mod fleet_controller;
mod grant_table;
mod health_controller;
mod host_controller;
mod line_controller;
mod line_mail;
mod line_places;
mod line_state;
mod lines;
mod orphan_cancel;
mod owner_controller;
mod sheet_object;
mod sheet_prune;
mod sheet_store;
mod sheet_store_error;
mod sheet_submit;
mod suspect_controller;
mod waiter;
