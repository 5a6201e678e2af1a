use slotmap::new_key_type;

new_key_type! {
    /// Key of a host (a machine) that runs a daemon: an arena index with a generation.
    pub struct HostKey;
}
