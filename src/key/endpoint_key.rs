use slotmap::new_key_type;

new_key_type! {
    /// Key of an endpoint (a model engine or plain service): an arena index with a generation.
    pub struct EndpointKey;
}
