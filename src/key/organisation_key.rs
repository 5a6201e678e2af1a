use slotmap::new_key_type;

new_key_type! {
    /// Key of an organisation that sends requests: an arena index with a generation.
    pub struct OrganisationKey;
}
