//! Check of the caller's access key, at the arrival of a request and again before it is sent.

use {
    super::{ForwardCall, ForwardParts, ForwardShared, Refused},
    crate::{
        board::{PathRoute, Refusal, Routing},
        decide::{CallerAdmission, admit_caller},
        port::{CallerIdentity, ForwardRequest},
    },
};

/// Decides as whom the caller of `request` may use `route`.
///
/// # Errors
///
/// Refuses the request if `routing` demands an access key that it does not have. While the store is
/// unavailable, `routing` may be out of date, so the caller is to come back instead.
pub fn admit<P>(
    shared: &ForwardShared<P>,
    routing: &Routing,
    route: &PathRoute,
    request: &ForwardRequest,
) -> Result<CallerAdmission, Refused>
where
    P: ForwardParts,
{
    admit_caller(routing, route, &request.credentials).map_err(|reason| {
        if !shared.board().health.load().store_reachable {
            let detail = "the known configuration does not admit the caller, and the store is unavailable; send the request again";
            let wait = shared.options().retry_after;
            return Refused::not_run(Refusal::NotReady, detail).after(wait);
        }
        let detail = match reason {
            Refusal::AccessKeyMissing => "the access key is missing; send it",
            Refusal::AccessKeyMalformed => "the credentials are not one access key; send one",
            _ => "no organisation has this access key; send another one",
        };
        Refused::not_run(reason, detail)
    })
}

/// Admits the caller of `call` once more if the routing has changed since, before an attempt is sent.
///
/// # Errors
///
/// Refuses the request as `admit` does, unless an endpoint may have run it already: then it is finished, and
/// endpoints are told the same as before, or that the caller is unknown.
pub fn admit_again<P>(shared: &ForwardShared<P>, call: &mut ForwardCall) -> Result<(), Refused>
where
    P: ForwardParts,
{
    let routing = shared.board().routing.load();
    if routing.version == call.admitted_by {
        return Ok(());
    }
    let found = routing.find(&call.request.host, call.request.path());
    let route = found.map_or(&call.route, |(_, route)| route);
    match admit(shared, &routing, route, &call.request) {
        Ok(admission) => {
            call.organisation = admission.organisation;
            call.priority = admission.priority;
            call.identity = admission.identity;
        }
        Err(refused) if call.ran == 0 => return Err(refused),
        Err(_) if call.identity == CallerIdentity::Unchecked => {
            call.identity = CallerIdentity::Anonymous;
        }
        Err(_) => {}
    }
    call.admitted_by = routing.version;
    Ok(())
}
