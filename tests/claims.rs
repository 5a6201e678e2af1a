//! At-most-once claims under lost responses of the platform, races, outages and an exhausted call
//! budget.

use {
    insta::assert_yaml_snapshot,
    lentillead::{
        board::{Blackboard, Host, HostState, Members, Section, Tick},
        border::{BudgetedPlatform, CallCounters, ClaimObjects, PlatformClient},
        control::{ClaimCommitters, ClaimRouter, ClaimSettings},
        decide::CallClass,
        fake::{FakePlatform, Outage, PlatformControl, PlatformSettings},
        key::{AttemptId, RequestId, name_hash},
        port::{
            ClaimEnd, ClaimKey, ClaimOutcome, ClaimRequest, Claimer, MonoClock, Peer, PeerCall,
            PeerError, PeerReply,
        },
    },
    prometheus_client::registry::Registry,
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, HashMap},
        sync::{Arc, OnceLock},
        time::Duration,
    },
};

/// Time limit of a call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Time left until the deadline, long enough for every take here.
const AMPLE_TIME: Duration = Duration::from_mins(2);
/// Time left until a deadline that passes during an outage.
const SHORT_TIME: Duration = Duration::from_millis(100);
const INCARNATION: u64 = 1_000;
/// Hash of the request body.
const BODY_HASH: u64 = 11;
/// Upper end of the retry sequence numbers of a caller, 20 ms apart.
const MAX_RETRY_SEQUENCE: u64 = 1_000;

/// Peer protocol between daemons of one process by function call; calls to other addresses stay
/// unsent.
#[derive(Clone, Default)]
struct LocalPeers {
    claims: Arc<OnceLock<HashMap<String, ClaimCommitters<MonoClock>>>>,
}

impl Peer for LocalPeers {
    async fn call(&self, address: &str, call: PeerCall) -> Result<PeerReply, PeerError> {
        let claims = self.claims.get().and_then(|all| all.get(address)).cloned();
        match (claims, call) {
            (Some(claims), PeerCall::Claim(request)) => {
                Ok(PeerReply::Claim(claims.submit(request).await))
            }
            _ => Err(PeerError::Unsent(address.into())),
        }
    }
}

fn settings() -> ClaimSettings {
    ClaimSettings {
        partitions: 16,
        window: Duration::from_millis(2),
        retention: Duration::from_hours(24),
    }
}

fn attempt(host: &str, sequence: u64) -> AttemptId {
    let request = RequestId {
        host: name_hash(host),
        incarnation: INCARNATION,
        sequence,
    };
    AttemptId { request, number: 0 }
}

fn key(text: &str) -> ClaimKey {
    ClaimKey {
        branch: "anglesey".into(),
        kind: "deposit".into(),
        key: text.into(),
    }
}

fn take(text: &str, attempt: AttemptId, remaining: Duration) -> ClaimRequest {
    ClaimRequest::Take {
        key: key(text),
        body_hash: BODY_HASH,
        attempt,
        remaining,
    }
}

fn finish(text: &str, attempt: AttemptId, end: ClaimEnd) -> ClaimRequest {
    ClaimRequest::Finish {
        key: key(text),
        attempt,
        end,
    }
}

fn answered(body: &str) -> ClaimEnd {
    ClaimEnd::Answered {
        status: 201,
        content_type: "text/plain".into(),
        body: body.into(),
        complete: true,
    }
}

/// Members `d0` to `d{count - 1}` as seen by `d{own}`.
fn members(count: usize, own: usize) -> Section<Members> {
    let (board, mut writers) = Blackboard::new();
    writers.members.update(|members| {
        for i in 0..count {
            let name = format!("d{i}");
            let host = Host {
                name: name.clone(),
                zone: "a".into(),
                address: name.clone(),
                incarnation: INCARNATION,
                refutations: 0,
                cpu_hundredths: 0,
                state: HostState::Alive,
                changed_at: Tick(0),
            };
            let host_key = members.hosts.insert(&name, host);
            if i == own {
                members.own = host_key;
            }
        }
    });
    board.members
}

async fn platform() -> FakePlatform {
    FakePlatform::start(PlatformSettings::default())
        .await
        .unwrap()
}

fn claims(fake: &FakePlatform, own: usize) -> ClaimCommitters<MonoClock> {
    let client = PlatformClient::new(&fake.url(), CALL_TIMEOUT).unwrap();
    let store = ClaimObjects::new(client);
    let clock = MonoClock::start();
    ClaimCommitters::start(&store, clock, &members(6, own), settings(), own as u64)
}

/// Routers of six daemons.
fn routers(fake: &FakePlatform) -> Vec<ClaimRouter<LocalPeers, MonoClock>> {
    let peer = LocalPeers::default();
    let mut all = HashMap::new();
    let mut routers = Vec::new();
    for own in 0..6 {
        let claims = claims(fake, own);
        all.insert(format!("d{own}"), claims.clone());
        let clock = MonoClock::start();
        let (router, resolver) = ClaimRouter::new(peer.clone(), clock, members(6, own), claims);
        tokio::spawn(resolver.run(SmallRng::seed_from_u64(own as u64)));
        routers.push(router);
    }
    let _ = peer.claims.set(all);
    routers
}

/// Makes the platform lose the responses to the `next` writes, and to a `share` of the others.
fn lose(fake: &FakePlatform, next: u32, share: f64) {
    fake.control(PlatformControl {
        lose_next: Some(next),
        lose_share: Some(share),
        ..PlatformControl::default()
    });
}

#[tokio::test]
async fn a_write_whose_response_was_lost_is_recognised() {
    let fake = platform().await;
    let claims = claims(&fake, 0);
    lose(&fake, 1, 0.0);
    let first = claims.submit(take("a", attempt("d0", 1), AMPLE_TIME)).await;
    let second = claims.submit(take("a", attempt("d0", 2), AMPLE_TIME)).await;
    let seen = fake.observed();
    assert_yaml_snapshot!((
        format!("{first:?}"),
        second,
        seen.creates,
        seen.updates,
        seen.lost
    ));
}

#[tokio::test]
async fn the_next_take_gets_the_recorded_end() {
    let fake = platform().await;
    let claims = claims(&fake, 0);
    let ends = [
        ("running", None),
        ("not run", Some(ClaimEnd::NotRun)),
        ("answered", Some(answered("receipt 7"))),
        ("long answer", Some(answered(&"x".repeat(5_000)))),
        ("unknown", Some(ClaimEnd::Unknown)),
    ];
    let mut seen = Vec::new();
    for (name, end) in ends {
        claims
            .submit(take(name, attempt("d0", 1), AMPLE_TIME))
            .await;
        if let Some(end) = end {
            claims.submit(finish(name, attempt("d0", 1), end)).await;
        }
        let other = ClaimRequest::Take {
            key: key(name),
            body_hash: BODY_HASH + 1,
            attempt: attempt("d1", 3),
            remaining: AMPLE_TIME,
        };
        let next = claims
            .submit(take(name, attempt("d1", 2), AMPLE_TIME))
            .await;
        seen.push((name, next, claims.submit(other).await));
    }
    let gone = AttemptId {
        request: RequestId {
            incarnation: INCARNATION - 1,
            ..attempt("d2", 1).request
        },
        number: 0,
    };
    claims.submit(take("host gone", gone, AMPLE_TIME)).await;
    let next = claims
        .submit(take("host gone", attempt("d1", 2), AMPLE_TIME))
        .await;
    seen.push(("host gone", next.clone(), next));
    assert_yaml_snapshot!(seen);
}

#[tokio::test]
async fn a_take_fails_in_an_outage_until_the_deadline_and_its_retry_runs() {
    let fake = platform().await;
    let routers = routers(&fake);
    let mut seen = Vec::new();
    for (name, outage) in [("error", Outage::Error), ("hang", Outage::Hang)] {
        fake.set_outage(outage);
        let first = routers[0]
            .submit(take(name, attempt("d0", 1), SHORT_TIME))
            .await;
        fake.set_outage(Outage::None);
        seen.push((name, first));
        seen.push(("retry", retry_until_ended(&routers[1], name).await));
    }
    // The write takes effect, its response is lost, and the platform fails until the deadline.
    fake.control(PlatformControl {
        lose_next: Some(1),
        lose_outage: Some(Outage::Error),
        ..PlatformControl::default()
    });
    let first = routers[0]
        .submit(take("lost", attempt("d0", 1), SHORT_TIME))
        .await;
    assert_eq!(fake.observed().lost, 1);
    fake.set_outage(Outage::None);
    seen.push(("lost", first));
    seen.push(("retry", retry_until_ended(&routers[1], "lost").await));
    assert_yaml_snapshot!(seen);
}

/// Retries a take every 20 ms, as a caller does, while the first take is being resolved.
async fn retry_until_ended(
    router: &ClaimRouter<LocalPeers, MonoClock>,
    name: &str,
) -> ClaimOutcome {
    for sequence in 10..MAX_RETRY_SEQUENCE {
        let outcome = router
            .submit(take(name, attempt("d1", sequence), AMPLE_TIME))
            .await;
        if !matches!(outcome, ClaimOutcome::InProgress { .. }) {
            return outcome;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    ClaimOutcome::Unavailable
}

#[tokio::test]
async fn racing_committers_take_once() {
    let fake = platform().await;
    let both = [claims(&fake, 0), claims(&fake, 1)];
    let mut requests = Vec::new();
    for i in 0..200 {
        for (own, claims) in both.iter().cloned().enumerate() {
            let request = take(&format!("k{i}"), attempt(&format!("d{own}"), i), AMPLE_TIME);
            requests.push(tokio::spawn(async move { claims.submit(request).await }));
        }
    }
    assert_yaml_snapshot!(tally(requests).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn each_key_is_taken_once_by_six_daemons() {
    let fake = platform().await;
    let routers = routers(&fake);
    lose(&fake, 0, 0.2);
    let mut requests = Vec::new();
    for i in 0..1_000 {
        for (own, router) in routers.iter().cloned().enumerate() {
            let request = take(&format!("k{i}"), attempt(&format!("d{own}"), i), AMPLE_TIME);
            requests.push(tokio::spawn(async move { router.submit(request).await }));
        }
    }
    assert_yaml_snapshot!(tally(requests).await);
    assert!(
        fake.observed().lost > 0,
        "no response of the platform was lost"
    );
}

/// Counts the outcomes by name.
async fn tally(requests: Vec<tokio::task::JoinHandle<ClaimOutcome>>) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    for request in requests {
        let outcome = format!("{:?}", request.await.unwrap());
        let outcome = outcome.split_whitespace().next().unwrap().to_owned();
        *counts.entry(outcome).or_default() += 1;
    }
    counts
}

#[tokio::test]
async fn an_exhausted_call_budget_delays_claims_without_losing_them() {
    let fake = platform().await;
    let client = PlatformClient::new(&fake.url(), CALL_TIMEOUT).unwrap();
    let clock = MonoClock::start();
    let mut registry = Registry::default();
    let counters = CallCounters::new(&mut registry, 20);
    let budget = BudgetedPlatform::new(client, clock, 20, counters);
    let store = ClaimObjects::new(budget.with_class(CallClass::Claims));
    let claims = ClaimCommitters::start(&store, clock, &members(1, 0), settings(), 0);
    while budget.remaining() > 0 {
        let status = budget.with_class(CallClass::Claims);
        let _ = lentillead::port::Platform::hosts(&status).await;
    }
    let requests = (0..64).map(|i| {
        let claims = claims.clone();
        let request = take(&format!("k{i}"), attempt("d0", i), AMPLE_TIME);
        tokio::spawn(async move { claims.submit(request).await })
    });
    assert_yaml_snapshot!(tally(requests.collect()).await);
}

#[tokio::test]
async fn full_heads_move_to_archives() {
    let fake = platform().await;
    let first = claims(&fake, 0);
    for i in 0..40 {
        let requests: Vec<_> = (0..64)
            .map(|j| {
                let claims = first.clone();
                let name = format!("{i}-{j}-{}", "long".repeat(40));
                let request = take(&name, attempt("d0", i * 64 + j), AMPLE_TIME);
                tokio::spawn(async move { claims.submit(request).await })
            })
            .collect();
        assert_eq!(
            tally(requests).await,
            BTreeMap::from([("Taken".into(), 64)])
        );
    }
    let successor = claims(&fake, 1);
    let name = format!("0-0-{}", "long".repeat(40));
    let again = successor
        .submit(take(&name, attempt("d1", 1), AMPLE_TIME))
        .await;
    assert!(matches!(again, ClaimOutcome::InProgress { .. }));
    let written = fake.observed();
    assert!(
        written.creates > 16,
        "no archives were written beside the heads"
    );
}
