use slotmap::new_key_type;

new_key_type! {
    /// Key of a route of the routing in force: an arena index with a generation.
    pub struct RouteKey;
}
