use slotmap::new_key_type;

new_key_type! {
    /// Key of a branch (a part of an operator's business): an arena index with a generation.
    pub struct BranchKey;
}
