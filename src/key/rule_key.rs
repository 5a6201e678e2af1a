use slotmap::new_key_type;

new_key_type! {
    /// Key of a rule of the sheet in force: an arena index with a generation.
    pub struct RuleKey;
}
