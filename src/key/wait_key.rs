use slotmap::new_key_type;

new_key_type! {
    /// Key of an ask that waits in an owner's line: an arena index with a generation.
    pub struct WaitKey;
}
