//! The command line; each subcommand has its own file.
//!
//! To add a subcommand, write a file with a struct that derives `FromArgs` and has
//! `async fn run(self) -> Result<(), CommandError>`, and add it to `Command` and to
//! `Command::run`.

pub use self::{
    arguments::{Arguments, Command, main},
    bench::BenchCommand,
    capacity::CapacityCommand,
    capacity_faults::CapacityFaults,
    capacity_layouts::CapacityLayouts,
    capacity_run::CapacityRun,
    capacity_table::CapacityTable,
    command_error::CommandError,
    demo::DemoCommand,
    drain::DrainCommand,
    exit_status::ExitStatus,
    fake::FakeCommand,
    fake_engine::FakeEngineCommand,
    fake_platform::FakePlatformCommand,
    fake_service::FakeServiceCommand,
    faults::FaultsCommand,
    format::{Format, print_json, table},
    losses::LossesCommand,
    operator_client::OperatorClient,
    replay::ReplayCommand,
    serve::ServeCommand,
    settings::SettingsCommand,
    settings_check::SettingsCheck,
    sheet::SheetCommand,
    sheet_check::SheetCheck,
    sheet_diff::SheetDiff,
    sheet_history::SheetHistory,
    sheet_show::SheetShow,
    sheet_submit::SheetSubmit,
    status::StatusCommand,
    story::StoryCommand,
    trace::TraceCommand,
    trace_make::TraceMake,
};

mod arguments;
mod bench;
mod bench_engine;
mod bench_job;
mod bench_owned;
mod bench_plain;
mod bench_plot;
mod bench_profile;
mod bench_run;
mod bench_score;
mod bench_steps;
mod bench_view;
mod bench_world;
mod capacity;
mod capacity_faults;
mod capacity_layouts;
mod capacity_run;
mod capacity_table;
mod command_error;
mod demo;
mod drain;
mod exit_status;
mod fake;
mod fake_engine;
mod fake_platform;
mod fake_process;
mod fake_service;
mod faults;
mod format;
mod log_files;
mod losses;
mod operator_client;
mod replay;
mod serve;
mod settings;
mod settings_check;
mod sheet;
mod sheet_check;
mod sheet_diff;
mod sheet_history;
mod sheet_show;
mod sheet_submit;
mod status;
mod story;
mod trace;
mod trace_make;
