use slotmap::new_key_type;

new_key_type! {
    /// Key of a branch (a customer): an arena index with a generation.
    pub struct BranchKey;
}
