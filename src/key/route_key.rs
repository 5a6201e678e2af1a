use slotmap::new_key_type;

new_key_type! {
    /// Key of a route for forwarded requests: an arena index with a generation.
    pub struct RouteKey;
}
