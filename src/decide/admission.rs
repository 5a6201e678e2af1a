use crate::{
    board::{PathRoute, Refusal, Routing},
    key::OrganisationKey,
    port::{CallerIdentity, Credentials},
};

/// As whom a request is admitted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerAdmission {
    /// Organisation that the request belongs to, if one is known.
    pub organisation: Option<CallOrganisation>,
    /// Priority of the request, 0 is the most urgent.
    pub priority: u8,
    /// As whom an endpoint gets to know the caller.
    pub identity: CallerIdentity,
}

/// Organisation that a request belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallOrganisation {
    /// Key within the version of the routing by which the request was admitted; in another version it may
    /// lead to another organisation.
    pub key: OrganisationKey,
    /// Name, which is the same in every version.
    pub name: String,
}

/// Decides as whom the caller with `credentials` may use `route`.
///
/// # Errors
///
/// Returns the reason if organisations are configured, the route is not public and `credentials` are not an
/// access key of one of them.
pub fn admit_caller(
    routing: &Routing,
    route: &PathRoute,
    credentials: &Credentials,
) -> Result<CallerAdmission, Refusal> {
    let has_organisations = routing.access.is_some();
    let key = match credentials {
        Credentials::AccessKey(secret) => routing
            .authenticate(&secret.0)
            .ok_or(Refusal::AccessKeyUnknown),
        Credentials::Missing => Err(Refusal::AccessKeyMissing),
        Credentials::Malformed => Err(Refusal::AccessKeyMalformed),
    };
    let found = match key {
        Err(reason) if has_organisations && !route.public => return Err(reason),
        key => key
            .ok()
            .and_then(|key| Some((key, routing.organisations.get(key)?))),
    };
    let priority = found.and_then(|(_, organisation)| organisation.priority);
    let identity = match found {
        Some((_, organisation)) => CallerIdentity::Organisation(organisation.name.clone()),
        None if has_organisations => CallerIdentity::Anonymous,
        None => CallerIdentity::Unchecked,
    };
    Ok(CallerAdmission {
        organisation: found.map(|(key, organisation)| CallOrganisation {
            key,
            name: organisation.name.clone(),
        }),
        priority: priority.unwrap_or(route.priority),
        identity,
    })
}
