use super::Profile;

/// Size and speed of an emulated site.
#[derive(Clone, Copy, Debug)]
pub struct SiteOptions {
    /// Whose sheet and endpoints.
    pub profile: Profile,
    /// Daemons.
    pub daemons: usize,
    /// Factor on all times of the stand-ins, below 1 to run faster.
    pub scale: f64,
    /// Seed of the stand-ins.
    pub seed: u64,
    /// Word in a prompt that kills an engine; none if empty.
    pub poison: &'static str,
}

impl SiteOptions {
    /// A site of `profile` with two daemons at full speed.
    pub fn new(profile: Profile) -> Self {
        Self {
            profile,
            daemons: 2,
            scale: 1.0,
            seed: 0,
            poison: "",
        }
    }
}
