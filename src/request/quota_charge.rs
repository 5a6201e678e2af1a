//! Credit of a forwarded request within the quota of its organisation.

use {
    super::{ForwardCall, ForwardParts, ForwardShared, Ran, Refused},
    crate::{
        board::{QuotaHold, Refusal, Routing},
        decide::{CREDIT_TERM, CallOrganisation},
        port::{Clock, ForwardRequest, QuotaAnswer, QuotaGate},
    },
    std::sync::Arc,
};

/// Returns the cost of `request` within the quota of `organisation`; `None` if there is no quota.
pub fn cost(
    routing: &Routing,
    organisation: Option<&CallOrganisation>,
    request: &ForwardRequest,
) -> Option<u64> {
    let organisation = routing.organisations.get(organisation?.key)?;
    let quota = organisation.quota.as_ref()?;
    Some(quota.cost(request.token_counts))
}

/// Reserves the credit that `call` needs.
///
/// # Errors
///
/// Refuses the request, which has not run, if the quota has no credit for it.
pub async fn reserve<P>(
    shared: &ForwardShared<P>,
    mut call: ForwardCall,
) -> Result<ForwardCall, Refused>
where
    P: ForwardParts,
{
    call.credit = credit(shared, &call).await?;
    Ok(call)
}

/// Uses the credit of `call` before an attempt is sent, once for all attempts that may run.
///
/// Credit that expired while the request waited is replaced; so is that of an attempt which did not run,
/// if that was long ago.
///
/// # Errors
///
/// Refuses the request, which has not run, if its credit has expired and the quota has no other.
pub async fn spend<P>(shared: &ForwardShared<P>, call: &mut ForwardCall) -> Result<(), Refused>
where
    P: ForwardParts,
{
    let Some(hold) = call.credit.as_ref().filter(|_| call.ran == 0) else {
        return Ok(());
    };
    let clock = shared.parts().clock();
    let now = clock.since_boot();
    let is_usable = match hold.since_used(now) {
        Some(time) => time < CREDIT_TERM,
        None => hold.spend(now),
    };
    if is_usable {
        return Ok(());
    }
    hold.refund();
    call.credit = None;
    call.credit = credit(shared, call).await?;
    if let Some(hold) = &call.credit {
        // It was reserved just now, so it is used even if a pause of this daemon lets it expire here.
        hold.spend(clock.since_boot());
    }
    Ok(())
}

/// Gives back the credit of a request that `refused` says has not run.
pub fn refund(credit: Option<&QuotaHold>, refused: &Refused) {
    if let (Some(hold), Ran::No) = (credit, refused.ran) {
        hold.refund();
    }
}

/// Reserves credit for `call`; `None` if it needs none.
async fn credit<P>(
    shared: &ForwardShared<P>,
    call: &ForwardCall,
) -> Result<Option<Arc<QuotaHold>>, Refused>
where
    P: ForwardParts,
{
    let (Some(organisation), Some(cost)) = (&call.organisation, call.cost) else {
        return Ok(None);
    };
    let name = organisation.name.as_str();
    let (wait, detail) = match shared.parts().quotas().reserve(name, cost).await {
        QuotaAnswer::Unlimited => return Ok(None),
        QuotaAnswer::Granted(hold) => return Ok(Some(Arc::new(hold))),
        QuotaAnswer::Refused(wait) => {
            let detail =
                "the organisation's quota has no credit left; send the request again later";
            (Some(wait), detail)
        }
        QuotaAnswer::TooLarge => {
            let detail = "the request costs more than the organisation's quota ever allows";
            (None, detail)
        }
    };
    let quotas = shared.board().quotas.load();
    let known = quotas.credits.get(name);
    let now = shared.parts().clock().since_boot();
    log::info!(
        request = call.request.id.as_str(),
        organisation = name,
        cost,
        free = known.map(|credit| credit.free()),
        held = known.map(|credit| credit.held()),
        valid_ms = known.map(|credit| credit.valid_for(now).as_millis() as u64),
        wait_ms = wait.map(|wait| wait.as_millis() as u64);
        "no credit for the request"
    );
    Err(Refused {
        retry_after: wait,
        ..Refused::not_run(Refusal::QuotaExceeded, detail)
    })
}
