use {
    super::{
        CallerContext, CompletionBody,
        caller_request::{read_body, service_call},
        caller_response::{complete_response, completion_reply, refuse, respond, stream_response},
    },
    crate::{
        board::{Refusal, Repeat},
        request::{
            Admission, Completion, Parts, Refused, Reply, Shared, call_service, finish_completion,
            run_claimed, start_completion,
        },
    },
    poem::{Request, Response, http::Method},
};

/// Handles `POST /v1/completions`; a refusal becomes a problem response.
pub async fn completions<P>(ctx: CallerContext<P>, request: Request) -> Response
where
    P: Parts,
{
    let shared = ctx.shared().clone();
    match complete(ctx, request).await {
        Ok(response) => response,
        Err(refused) => refuse(&shared, &refused),
    }
}

/// Handles `/v1/services/{kind}/{path}` with any method; a refusal becomes a problem response.
pub async fn services<P>(ctx: CallerContext<P>, request: Request) -> Response
where
    P: Parts,
{
    let shared = ctx.shared().clone();
    match serve(ctx, request).await {
        Ok(reply) => respond(&shared, reply),
        Err(refused) => refuse(&shared, &refused),
    }
}

/// Runs a completion; the response is a stream if the body requests one.
///
/// A kind that runs at most once gets a complete response, which a repeat can replay.
async fn complete<P>(ctx: CallerContext<P>, mut request: Request) -> Result<Response, Refused>
where
    P: Parts,
{
    if request.method() != Method::POST {
        return Err(Refused::not_run(
            Refusal::BadRequest,
            "use POST for completions",
        ));
    }
    let branch = ctx.branch(request.headers())?;
    let mut work = ctx.begin_request(&request)?;
    let body = read_body(&ctx, &mut request, &work).await?;
    work.end_body();
    let parsed: CompletionBody = serde_json::from_slice(&body).map_err(|error| {
        Refused::not_run(
            Refusal::BadRequest,
            &format!("the body is not a completion: {error}"),
        )
    })?;
    let (call, admission) = ctx.accept(branch, &parsed.model, request.headers(), &body)?;
    let completion = Completion {
        call,
        prompt: parsed.prompt,
        max_tokens: parsed.max_tokens.max(1),
    };
    ctx.shared().counters().requests.inc();
    if completion.call.rule.repeat == Repeat::AtMostOnce {
        let reply = complete_once(ctx.shared(), completion, admission).await?;
        return Ok(respond(ctx.shared(), reply));
    }
    let id = completion.call.id.to_string();
    let kind = parsed.model;
    let events = start_completion(ctx.shared(), completion, admission);
    if parsed.stream {
        stream_response(ctx, events, id, kind, work).await
    } else {
        complete_response(ctx, events, id, kind).await
    }
}

/// Runs a completion under a claim on its idempotency key.
async fn complete_once<P>(
    shared: &Shared<P>,
    completion: Completion,
    admission: Admission,
) -> Result<Reply, Refused>
where
    P: Parts,
{
    let call = completion.call.clone();
    let inner_shared = shared.clone();
    run_claimed(shared, &call, move || async move {
        let _admission = admission;
        let (progress, finish) = finish_completion(&inner_shared, &completion).await?;
        let id = completion.call.id.to_string();
        Ok(completion_reply(
            &id,
            &completion.call.rule.kind,
            progress,
            finish,
        ))
    })
    .await
}

/// Calls a plain service, under a claim if the kind runs at most once.
async fn serve<P>(ctx: CallerContext<P>, mut request: Request) -> Result<Reply, Refused>
where
    P: Parts,
{
    let branch = ctx.branch(request.headers())?;
    let mut work = ctx.begin_request(&request)?;
    let body = read_body(&ctx, &mut request, &work).await?;
    work.end_body();
    let kind: String = request
        .path_params()
        .map_err(|error| {
            Refused::not_run(
                Refusal::BadRequest,
                &format!("the path has no request kind: {error}"),
            )
        })
        .map(|(kind, _): (String, String)| kind)?;
    let (call, admission) = ctx.accept(branch, &kind, request.headers(), &body)?;
    ctx.shared().counters().requests.inc();
    let message = service_call(&request, &kind, body);
    let shared = ctx.shared().clone();
    if call.rule.repeat == Repeat::AtMostOnce {
        let inner_call = call.clone();
        let inner_shared = shared.clone();
        return run_claimed(&shared, &call, move || async move {
            let _admission = admission;
            call_service(&inner_shared, &inner_call, &message).await
        })
        .await;
    }
    let _admission = admission;
    call_service(&shared, &call, &message).await
}
