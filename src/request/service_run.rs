use {
    super::{Call, Parts, Refused, Reply, ServicePath, Shared},
    crate::{
        board::{Refusal, Route},
        port::ServiceCall,
    },
};

/// Sends `message` to a plain service of the pool that the rule of `call` names.
///
/// # Errors
///
/// Refuses the request as `ServicePath::run` does, or if its rule routes to a model.
pub async fn call_service<P>(
    shared: &Shared<P>,
    call: &Call,
    message: &ServiceCall,
) -> Result<Reply, Refused>
where
    P: Parts,
{
    let Route::Service { pool } = &call.rule.route else {
        let detail = "the kind is a model kind; send it to /v1/completions";
        return Err(Refused::not_run(Refusal::BadRequest, detail));
    };
    let response = ServicePath::new(shared, call, pool, message).run().await?;
    Ok(Reply {
        status: response.status,
        headers: response.headers,
        body: response.body,
        replayed: false,
    })
}
