//! Pure decisions: no I/O, no clock, no wire type.

pub use self::{
    rule_choice::{is_open, minute_of_day, routes},
    rule_text::{repeat_text, rule_text},
    sheet_diff::{BranchDiff, FieldDiff, KindDiff, RulesByBranch, by_branch, sheet_diff},
    sheet_row::{COLUMNS, SheetFault, SheetRow},
};

pub mod ownership;
pub mod rendezvous;

mod rule_choice;
mod rule_text;
mod sheet_diff;
mod sheet_row;
pub use self::{
    chunk_check::{ChunkCheck, ChunkDrop, ChunkError, ChunkVerdict},
    prefix_hash::{BLOCK_TOKENS, count_tokens, prefixes},
};

mod chunk_check;
mod prefix_hash;
