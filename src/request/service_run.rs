use {
    super::{Call, Parts, Refused, Reply, ServicePath, Shared},
    crate::{
        board::{Refusal, Route},
        port::ServiceCall,
    },
};

/// Sends a call to a plain service of the rule's pool.
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
    let reply = ServicePath::new(shared, call, pool, message).run().await?;
    Ok(Reply {
        status: reply.status,
        headers: reply.headers,
        body: reply.body,
        replayed: false,
    })
}
