use {
    super::{Call, Parts, RetryPermit, Shared},
    crate::{
        board::Repeat,
        port::{Clock, EngineError},
    },
    std::{future::pending, pin::pin, sync::Arc, time::Duration},
    tokio::{select, time::timeout},
};

/// Wait before it is checked again whether an overdue call may be given up.
const RETRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A call to an endpoint that is given up only for a retry.
#[derive(Debug)]
pub struct OverdueCall<'a, P> {
    /// State that all requests share.
    pub shared: &'a Shared<P>,
    /// The request.
    pub call: &'a Call,
    /// Whether no attempt is left after this one.
    pub last: bool,
    /// Whether this call or one before it may have run the request.
    pub may_have_run: bool,
}

/// Error of a call to an endpoint, and the retry that it was given up for.
#[derive(Debug)]
pub struct CallError {
    /// How the call failed.
    pub error: EngineError,
    /// Retry taken before the call was given up; `None` for a failure of the endpoint, or without a budget.
    pub permit: Option<RetryPermit>,
}

impl From<EngineError> for CallError {
    fn from(error: EngineError) -> Self {
        Self {
            error,
            permit: None,
        }
    }
}

impl<P> OverdueCall<'_, P>
where
    P: Parts,
{
    /// Waits for `response`. After `limit`, the call counts as broken as soon as a retry may follow.
    pub async fn wait<F, T>(&self, limit: Duration, response: F) -> Result<T, CallError>
    where
        F: Future<Output = Result<T, EngineError>>,
    {
        let mut response = pin!(response);
        if let Ok(response) = timeout(limit, &mut response).await {
            return Ok(response?);
        }
        select! {
            biased;
            response = response => Ok(response?),
            permit = self.retry() => Err(CallError {
                error: EngineError::Broken(format!("no response within {limit:?}")),
                permit,
            }),
        }
    }

    /// Waits until a retry may follow and takes it; `None` without a budget.
    async fn retry(&self) -> Option<RetryPermit> {
        let once = self.call.rule.repeat == Repeat::AtMostOnce;
        if self.last || (once && self.may_have_run) {
            return pending().await;
        }
        loop {
            if !self.shared.is_refused(self.call.fingerprint) {
                let budget = self.shared.budget(self.call.branch)?;
                if let Some(permit) = RetryPermit::take(Arc::clone(budget)) {
                    return Some(permit);
                }
            }
            let clock = self.shared.parts().clock();
            clock.sleep(RETRY_CHECK_INTERVAL).await;
        }
    }
}
