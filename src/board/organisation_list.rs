use {
    super::{KeyDigest, KeySalt, Organisation, OrganisationFault},
    serde::{Deserialize, Serialize},
};

/// The organisations that a configuration declares, in order.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OrganisationList {
    /// Salt of the digests of the access keys.
    pub salt: KeySalt,
    /// Organisations.
    pub entries: Vec<DeclaredOrganisation>,
    /// What is wrong with the configuration of the organisations.
    pub faults: Vec<OrganisationFault>,
}

/// An organisation with the digests of its access keys.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DeclaredOrganisation {
    /// The organisation.
    pub organisation: Organisation,
    /// Digests of its access keys.
    pub digests: Vec<KeyDigest>,
}
