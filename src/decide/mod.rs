//! Pure decisions: no I/O, no clock, no wire type.

pub use self::{
    attempt_state::AttemptState,
    chunk_check::{ChunkCheck, ChunkDrop, ChunkError, ChunkVerdict},
    owner_choice::{OwnerOption, order_owners},
    prefix_hash::{BLOCK_TOKENS, count_tokens, prefixes},
    retry::{Chance, Failure, Verdict, after_failure},
    retry_budget::RetryBudget,
    rule_choice::{is_open, minute_of_day, routes},
    rule_text::{repeat_text, rule_text},
    sheet_diff::{BranchDiff, FieldDiff, KindDiff, RulesByBranch, by_branch, sheet_diff},
    sheet_row::{COLUMNS, SheetFault, SheetRow},
    suspicion::{CRASH_LIMIT, expire, merge, next_expiry, strike},
};

mod attempt_state;
mod chunk_check;
mod owner_choice;
pub mod ownership;
mod prefix_hash;
pub mod rendezvous;
mod retry;
mod retry_budget;
mod rule_choice;
mod rule_text;
mod sheet_diff;
mod sheet_row;
mod suspicion;
