//! Each fault that `FakeEngine` injects, as `EngineClient` reports it, and cancellation at each
//! stage of a request.

use {
    crate::engine::{
        LIMIT, MODEL, Pair, address, attempt, decode_request, drain, kind, pair, plain_pair,
        prefill_request, prompt, settings, wait_used,
    },
    insta::assert_yaml_snapshot,
    lentillead::{
        board::Role,
        fake::{EngineControl, EngineSettings, FakeEngine, Fault, FaultKind, completion_text},
        port::{Engine, TokenStream},
    },
    std::time::Duration,
    tokio::{net::TcpStream, task::yield_now, time::timeout},
};

/// Time without a chunk after which a stream counts as stalled.
const STALL_TIMEOUT: Duration = Duration::from_millis(100);
/// One hour in milliseconds: a stall or downtime that outlasts the test.
const NEVER_MS: u64 = 3_600_000;

fn inject(engine: &FakeEngine, fault: Fault) {
    engine.control(&EngineControl {
        faults: vec![fault],
        ..EngineControl::default()
    });
}

/// Streams a response under `fault` and resumes it once; returns what the client saw in the first
/// stream, the number of stray chunks, and what it saw in the resumed stream.
async fn stream_under(fault: Fault) -> Vec<String> {
    let pair = plain_pair().await;
    let (at, prompt) = (address(&pair.decode), prompt(20));
    inject(&pair.decode, fault);
    let request = decode_request(1, &prompt, None);
    let mut tokens = pair.client.decode(&at, &request).await.unwrap();
    let (text, _, end) = drain(&mut tokens).await;
    let count = text.split_whitespace().count() as u32;
    let mut rest = pair
        .client
        .resume(&at, request.attempt, count)
        .await
        .unwrap();
    let (rest, finish, again) = drain(&mut rest).await;
    let complete = text + &rest == completion_text(MODEL, &prompt, 0, 8);
    vec![
        format!("{count} tokens, {}", kind(&end)),
        format!("{} stray", pair.stray.get()),
        format!(
            "resumed: {}, {finish:?}, complete: {complete}",
            kind(&again)
        ),
    ]
}

#[tokio::test]
async fn faults_of_a_stream() {
    let kinds = [
        FaultKind::Truncate,
        FaultKind::Break,
        FaultKind::Repeat,
        FaultKind::Cross,
        FaultKind::Late,
    ];
    let mut seen = Vec::new();
    for kind in kinds {
        let fault = Fault::next(kind, 1).after(3);
        seen.push((kind, stream_under(fault).await));
    }
    assert_yaml_snapshot!("engine_stream_faults", seen);
}

#[tokio::test]
async fn a_refused_decode_holds_no_memory() {
    let pair = plain_pair().await;
    inject(&pair.decode, Fault::next(FaultKind::Refuse, 1));
    let request = decode_request(1, &prompt(20), None);
    let first = pair.client.decode(&address(&pair.decode), &request).await;
    let used = pair.decode.observed().used;
    let again = pair.client.decode(&address(&pair.decode), &request).await;
    assert_yaml_snapshot!("engine_refusal", (kind(&first), used, kind(&again)));
}

/// Runs a decode during which the engine dies; returns the results of this call and the next, the
/// memory and deaths that the engine reports, and whether its incarnation grew.
async fn death(decode: EngineSettings, fault: Option<Fault>, prompt: &str) -> Vec<String> {
    let decode = EngineSettings {
        down_ms: NEVER_MS,
        ..decode
    };
    let pair = pair(settings(Role::Prefill), decode).await;
    let before = pair.decode.observed().incarnation;
    if let Some(fault) = fault {
        inject(&pair.decode, fault);
    }
    let at = address(&pair.decode);
    let mut tokens = pair
        .client
        .decode(&at, &decode_request(1, prompt, None))
        .await;
    let end = match tokens.as_mut() {
        Ok(tokens) => drain(tokens).await.2,
        Err(e) => Err(e.clone()),
    };
    // On a busy machine the fake engine's listener may close slightly after the stream breaks.
    while TcpStream::connect(&at).await.is_ok() {
        yield_now().await;
    }
    let after = pair
        .client
        .decode(&at, &decode_request(2, prompt, None))
        .await;
    let seen = pair.decode.observed();
    vec![
        kind(&end),
        kind(&after),
        format!("{} used, {} deaths", seen.used, seen.totals.deaths),
        format!("new incarnation: {}", seen.incarnation > before),
    ]
}

#[tokio::test]
async fn an_engine_death_breaks_streams_and_frees_memory() {
    let fault = Fault::next(FaultKind::Die, 1).after(3);
    let poisoned = EngineSettings {
        poison: "crash-me".into(),
        ..settings(Role::Decode)
    };
    let seen = (
        death(settings(Role::Decode), Some(fault), &prompt(20)).await,
        death(poisoned, None, "please crash-me now").await,
    );
    assert_yaml_snapshot!("engine_death", seen);
}

#[tokio::test]
async fn decode_after_the_prefill_engine_died_fails() {
    let pair = plain_pair().await;
    let prompt = prompt(20);
    let request = prefill_request(1, &prompt);
    let kv = pair.client.prefill(&address(&pair.prefill), &request).await;
    pair.prefill.control(&EngineControl {
        die: true,
        ..EngineControl::default()
    });
    let request = decode_request(2, &prompt, kv.ok());
    let result = pair.client.decode(&address(&pair.decode), &request).await;
    let used = (pair.prefill.observed().used, pair.decode.observed().used);
    assert_yaml_snapshot!("engine_prefill_lost", (kind(&result), used));
}

/// Pieces of memory in use at the prefill engine and at the decode engine.
fn used(pair: &Pair) -> (u32, u32) {
    (pair.prefill.observed().used, pair.decode.observed().used)
}

#[tokio::test]
async fn cancel_frees_a_running_and_a_finished_prefill() {
    let slow = EngineSettings {
        step_us: NEVER_MS * 1_000,
        ..settings(Role::Prefill)
    };
    let running = pair(slow, settings(Role::Decode)).await;
    let (at, client) = (address(&running.prefill), running.client.clone());
    let call = tokio::spawn(async move { client.prefill(&at, &prefill_request(1, "a b")).await });
    wait_used(&running.prefill, 1).await;
    let at = address(&running.prefill);
    let reply = running.client.cancel(&at, attempt(1)).await;
    let result = timeout(LIMIT, call).await.unwrap().unwrap();
    let first = (kind(&reply), kind(&result), used(&running));

    let waiting = plain_pair().await;
    let at = address(&waiting.prefill);
    let kv = waiting
        .client
        .prefill(&at, &prefill_request(1, "a b"))
        .await;
    let before = used(&waiting);
    let reply = waiting.client.cancel(&at, attempt(1)).await;
    let request = decode_request(2, "a b", kv.ok());
    let result = waiting
        .client
        .decode(&address(&waiting.decode), &request)
        .await;
    let second = (before, kind(&reply), kind(&result), used(&waiting));
    assert_yaml_snapshot!("engine_cancel_prefill", (first, second));
}

#[tokio::test]
async fn cancel_frees_a_stalled_transfer() {
    let pair = plain_pair().await;
    let prompt = prompt(200);
    let stall = Fault::next(FaultKind::StallTransfer, 1).lasting(NEVER_MS);
    inject(&pair.prefill, stall);
    let request = prefill_request(1, &prompt);
    let kv = pair.client.prefill(&address(&pair.prefill), &request).await;
    let (at, request) = (address(&pair.decode), decode_request(2, &prompt, kv.ok()));
    let mut tokens = pair.client.decode(&at, &request).await.unwrap();
    let stalled = timeout(STALL_TIMEOUT, tokens.next()).await.is_err();
    let before = used(&pair);
    let reply = pair.client.cancel(&at, request.attempt).await;
    let between = used(&pair);
    let at = address(&pair.prefill);
    let other = pair.client.cancel(&at, attempt(1)).await;
    let after = used(&pair);
    let replies = (kind(&reply), kind(&other));
    let engines = [&pair.prefill, &pair.decode];
    let wasted = engines.map(|engine| engine.observed().totals.wasted);
    let seen = (stalled, before, between, after, replies, wasted);
    assert_yaml_snapshot!("engine_cancel_transfer", seen);
}

#[tokio::test]
async fn cancel_frees_a_decode_whose_client_disconnected() {
    let pair = plain_pair().await;
    let at = address(&pair.decode);
    let stall = Fault::next(FaultKind::StallTokens, 1);
    inject(&pair.decode, stall.after(2).lasting(NEVER_MS));
    let request = decode_request(1, "a b", None);
    let mut tokens = pair.client.decode(&at, &request).await.unwrap();
    for _ in 0..2 {
        timeout(LIMIT, tokens.next()).await.unwrap().unwrap();
    }
    let stalled = timeout(STALL_TIMEOUT, tokens.next()).await.is_err();
    drop(tokens);
    let load = pair.client.load(&at).await.unwrap();
    let mut seen = vec![format!("stalled: {stalled}, held {:?}", load.held)];
    inject(&pair.decode, Fault::next(FaultKind::LoseCancel, 1));
    inject(&pair.decode, Fault::next(FaultKind::LoseAnswer, 1));
    for _ in 0..3 {
        let reply = pair.client.cancel(&at, request.attempt).await;
        seen.push(format!("cancel {}, used {:?}", kind(&reply), used(&pair)));
    }
    let early = pair.client.cancel(&at, attempt(7)).await;
    let late = pair
        .client
        .decode(&at, &decode_request(7, "a b", None))
        .await;
    seen.push(format!(
        "early cancel {}, then {}",
        kind(&early),
        kind(&late)
    ));
    assert_yaml_snapshot!("engine_cancel_decode", seen);
}
