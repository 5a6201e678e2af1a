use {
    super::{
        Caller, CompletionBody,
        caller_answer::{completion_reply, refuse, respond, streamed, whole},
        caller_request::{read_body, service_call},
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

/// Handles `POST /v1/completions`.
pub async fn completions<P>(caller: Caller<P>, request: Request) -> Response
where
    P: Parts,
{
    let shared = caller.shared().clone();
    match complete(caller, request).await {
        Ok(response) => response,
        Err(refused) => refuse(&shared, &refused),
    }
}

/// Handles `/v1/services/{kind}/{path}` with any method.
pub async fn services<P>(caller: Caller<P>, request: Request) -> Response
where
    P: Parts,
{
    let shared = caller.shared().clone();
    match serve(caller, request).await {
        Ok(reply) => respond(&shared, reply),
        Err(refused) => refuse(&shared, &refused),
    }
}

async fn complete<P>(caller: Caller<P>, mut request: Request) -> Result<Response, Refused>
where
    P: Parts,
{
    if request.method() != Method::POST {
        return Err(Refused::not_run(
            Refusal::BadRequest,
            "use POST for completions",
        ));
    }
    let branch = caller.branch(request.headers())?;
    let body = read_body(&caller, &mut request).await?;
    let parsed: CompletionBody = serde_json::from_slice(&body).map_err(|error| {
        Refused::not_run(
            Refusal::BadRequest,
            &format!("the body is not a completion: {error}"),
        )
    })?;
    let (call, admission) = caller.accept(branch, &parsed.model, request.headers(), &body)?;
    let ask = Completion {
        call,
        prompt: parsed.prompt,
        max_tokens: parsed.max_tokens.max(1),
    };
    caller.shared().counters().requests.inc();
    if ask.call.rule.repeat == Repeat::AtMostOnce {
        let reply = complete_once(caller.shared(), ask, admission).await?;
        return Ok(respond(caller.shared(), reply));
    }
    let id = ask.call.id.to_string();
    let kind = parsed.model;
    let events = start_completion(caller.shared(), ask, admission);
    if parsed.stream {
        streamed(caller, events, id, kind).await
    } else {
        whole(caller, events, id, kind).await
    }
}

async fn complete_once<P>(
    shared: &Shared<P>,
    ask: Completion,
    admission: Admission,
) -> Result<Reply, Refused>
where
    P: Parts,
{
    let call = ask.call.clone();
    let inner = shared.clone();
    run_claimed(shared, &call, move || async move {
        let _admission = admission;
        let (progress, finish) = finish_completion(&inner, &ask).await?;
        let id = ask.call.id.to_string();
        Ok(completion_reply(&id, &ask.call.rule.kind, progress, finish))
    })
    .await
}

async fn serve<P>(caller: Caller<P>, mut request: Request) -> Result<Reply, Refused>
where
    P: Parts,
{
    let branch = caller.branch(request.headers())?;
    let body = read_body(&caller, &mut request).await?;
    let kind: String = request
        .path_params()
        .map_err(|error| {
            Refused::not_run(
                Refusal::BadRequest,
                &format!("the path names no kind: {error}"),
            )
        })
        .map(|(kind, _): (String, String)| kind)?;
    let (call, admission) = caller.accept(branch, &kind, request.headers(), &body)?;
    caller.shared().counters().requests.inc();
    let message = service_call(&request, &kind, body);
    let shared = caller.shared().clone();
    if call.rule.repeat == Repeat::AtMostOnce {
        let inner = call.clone();
        let once = shared.clone();
        return run_claimed(&shared, &call, move || async move {
            let _admission = admission;
            call_service(&once, &inner, &message).await
        })
        .await;
    }
    let _admission = admission;
    call_service(&shared, &call, &message).await
}
