use slotmap::new_key_type;

new_key_type! {
    /// Key of a grant of endpoint memory in an owner's grant table: an arena index with a
    /// generation.
    pub struct GrantKey;
}
