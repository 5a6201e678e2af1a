use slotmap::new_key_type;

new_key_type! {
    /// Key of a grant request that waits in an owner's queue: an arena index with a generation.
    pub struct WaiterKey;
}
