use slotmap::new_key_type;

new_key_type! {
    /// Key of a pool of endpoints with one role: an arena index with a generation.
    pub struct PoolKey;
}
