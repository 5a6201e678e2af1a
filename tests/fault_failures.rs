//! One test for each failure that the router handles, in an emulated site within one process.

use {
    insta::assert_yaml_snapshot,
    lentillead::{
        border::Timing,
        emulator::{
            Caller, Ending, LoadItem, LoadPayload, Observation, Profile, Site, SiteOptions,
        },
        fake::{
            EngineControl, EngineObserved, FakeEngine, Fault, FaultKind, Outage, PlatformControl,
            ServiceControl,
        },
    },
    reqwest::Client,
    std::time::Duration,
    tokio::{
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

/// Longest wait for any result; a test that reaches it fails.
const LIMIT: Duration = Duration::from_secs(40);
const PAUSE: Duration = Duration::from_millis(5);
const PROFILE: Profile = Profile::Kovacsreti;
const POISON: &str = "poison-word";
/// Timeout that outlasts every test.
const NEVER: Duration = Duration::from_hours(1);
/// Length of a stall in milliseconds; all requests reach their endpoint and an owner dies within it.
const OWNER_STALL_MS: u64 = 5_000;
/// `NEVER` in milliseconds.
pub const NEVER_MS: u64 = 3_600_000;

fn options() -> SiteOptions {
    SiteOptions {
        poison: POISON,
        request_time: LIMIT,
        scale: 1.0,
        ..SiteOptions::fast(PROFILE)
    }
}

/// Options under which a stalled request ends only when its caller disconnects.
pub fn no_timeouts() -> SiteOptions {
    let options = options();
    SiteOptions {
        request_time: NEVER,
        timing: Timing {
            progress: NEVER,
            ..options.timing
        },
        ..options
    }
}

pub async fn site(options: SiteOptions) -> Site {
    Site::start(options).await.unwrap()
}

pub fn completion(number: usize, words: usize) -> LoadItem {
    let prompt: Vec<_> = (0..words).map(|word| format!("p{number}w{word}")).collect();
    LoadItem {
        at: Duration::ZERO,
        branch: "kovacsret".to_owned(),
        kind: "price-summary".to_owned(),
        payload: LoadPayload::Completion {
            prompt: prompt.join(" "),
            max_tokens: 48,
        },
        disconnect_after: None,
    }
}

pub fn order(number: usize) -> LoadItem {
    LoadItem {
        kind: "order".to_owned(),
        payload: LoadPayload::Service {
            path: format!("/order/{number}"),
            body: format!("{{\"number\":{number}}}"),
            key: Some(format!("order-{number}")),
        },
        ..completion(0, 0)
    }
}

pub fn send(site: &Site, daemon: usize, item: &LoadItem) -> JoinHandle<Observation> {
    let caller = Caller::new(Client::new(), LIMIT);
    let address = site.daemons[daemon].as_ref().unwrap().addresses().callers;
    let (item, key) = (item.clone(), Site::branch_key(&item.branch));
    let (model, _, _) = PROFILE.model();
    tokio::spawn(async move { caller.send(&address.to_string(), &key, model, &item).await })
}

pub fn ending(seen: &Observation) -> String {
    match &seen.end {
        Ending::Answered if seen.replayed => "answered again".to_owned(),
        Ending::Refused(seen) => format!("refused: {}, ran: {}", seen.reason, seen.ran),
        Ending::Broken(_) => "broken".to_owned(),
        end => format!("{end:?}").to_lowercase(),
    }
}

async fn ends(sent: Vec<JoinHandle<Observation>>) -> Vec<String> {
    let mut ends = Vec::new();
    for handle in sent {
        ends.push(ending(&handle.await.unwrap()));
    }
    ends.sort();
    ends
}

async fn one(site: &Site, daemon: usize, item: &LoadItem) -> String {
    ending(&send(site, daemon, item).await.unwrap())
}

fn completions(
    site: &Site,
    daemon: usize,
    numbers: std::ops::Range<usize>,
) -> Vec<JoinHandle<Observation>> {
    numbers
        .map(|number| send(site, daemon, &completion(number, 300)))
        .collect()
}

/// Injects `fault` at every engine.
pub fn inject(site: &Site, fault: &Fault) {
    for engine in &site.engines {
        engine.control(&EngineControl {
            faults: vec![fault.clone()],
            ..EngineControl::default()
        });
    }
}

pub fn stall_tokens() -> Fault {
    Fault::chance(FaultKind::StallTokens, 1.0)
        .after(3)
        .lasting(NEVER_MS)
}

pub async fn wait<F>(site: &Site, reached: F)
where
    F: Fn(&[EngineObserved]) -> bool,
{
    let waiting = async {
        while !reached(&site.observe_engines()) {
            sleep(PAUSE).await;
        }
    };
    timeout(LIMIT, waiting).await.unwrap();
}

pub fn live(seen: &[EngineObserved], prefill: bool) -> usize {
    let runs = seen.iter().flat_map(|engine| &engine.runs);
    runs.filter(|run| run.end.is_none() && run.prefill == prefill)
        .count()
}

pub async fn is_free(site: &Site) -> bool {
    site.wait_memory_free(LIMIT).await.is_some()
}

pub fn sum<F>(site: &Site, value: F) -> u64
where
    F: Fn(&EngineObserved) -> u64,
{
    sum_of(&site.observe_engines(), value)
}

fn sum_of<F>(seen: &[EngineObserved], value: F) -> u64
where
    F: Fn(&EngineObserved) -> u64,
{
    seen.iter().map(value).sum()
}

/// Number of runs of calls with an idempotency key, over all services.
fn runs(site: &Site) -> usize {
    let seen = site.observe_services();
    seen.iter()
        .flat_map(|s| s.runs.values())
        .map(Vec::len)
        .sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_host_dies() {
    let mut site = site(no_timeouts()).await;
    inject(&site, &stall_tokens());
    let sent = completions(&site, 0, 0..12);
    wait(&site, |seen| live(seen, false) == 12).await;
    site.crash_daemon(0);
    let free = is_free(&site).await;
    assert_yaml_snapshot!("failure_entry_dies", (ends(sent).await, free));
}

#[tokio::test(flavor = "multi_thread")]
async fn owner_dies() {
    let mut site = site(no_timeouts()).await;
    inject(&site, &stall_tokens().lasting(OWNER_STALL_MS));
    let sent = completions(&site, 0, 0..12);
    wait(&site, |seen| live(seen, false) == 12).await;
    site.crash_daemon(1);
    let first = ends(sent).await;
    let cancels = sum(&site, |engine| engine.totals.cancels);
    let second = ends(completions(&site, 2, 20..26)).await;
    let free = is_free(&site).await;
    assert_yaml_snapshot!("failure_owner_dies", (first, cancels, second, free));
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_dies() {
    let site = site(options()).await;
    let sent = completions(&site, 0, 0..6);
    let generated = |seen: &[EngineObserved]| sum_of(seen, |engine| engine.totals.generated);
    wait(&site, |seen| live(seen, false) == 6 && generated(seen) > 20).await;
    let decoding = |engine: &&FakeEngine| live(&[engine.observed()], false) > 0;
    site.engines
        .iter()
        .rfind(decoding)
        .unwrap()
        .control(&EngineControl {
            die: true,
            ..EngineControl::default()
        });
    let sent = ends(sent).await;
    for service in &site.services {
        service.control(&ServiceControl {
            faults: vec![Fault::next(FaultKind::Die, 1)],
            ..ServiceControl::default()
        });
    }
    let orders = [
        one(&site, 0, &order(1)).await,
        one(&site, 1, &order(1)).await,
    ];
    let free = is_free(&site).await;
    assert_yaml_snapshot!("failure_endpoint_dies", (sent, orders, runs(&site), free));
}

#[tokio::test(flavor = "multi_thread")]
async fn request_crashes_endpoints() {
    let site = site(options()).await;
    let mut item = completion(0, 300);
    if let LoadPayload::Completion { prompt, .. } = &mut item.payload {
        prompt.push_str(" poison-word");
    }
    let mut seen = Vec::new();
    for _ in 0..3 {
        seen.push(one(&site, 0, &item).await);
    }
    let other = site.daemons[1].as_ref().unwrap().board().clone();
    let refused = async {
        while !other
            .suspects
            .load()
            .by_fingerprint
            .values()
            .any(|s| s.refused)
        {
            sleep(PAUSE).await;
        }
    };
    timeout(LIMIT, refused).await.unwrap();
    seen.push(one(&site, 1, &item).await);
    let unrelated = ends(completions(&site, 1, 1..6)).await;
    let deaths = sum(&site, |engine| engine.totals.deaths);
    assert_yaml_snapshot!("failure_poison", (seen, deaths, unrelated));
}

#[tokio::test(flavor = "multi_thread")]
async fn transfer_stalls() {
    let site = site(options()).await;
    inject(
        &site,
        &Fault::next(FaultKind::StallTransfer, 1).lasting(NEVER_MS),
    );
    let sent = ends(completions(&site, 0, 0..6)).await;
    let free = is_free(&site).await;
    assert_yaml_snapshot!("failure_transfer_stalls", (sent, free));
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_is_down() {
    let options = SiteOptions {
        request_time: Duration::from_secs(3),
        ..options()
    };
    let site = site(options).await;
    let mut seen = Vec::new();
    for outage in [Outage::Refuse, Outage::Error, Outage::Hang] {
        site.platform.set_outage(outage);
        let done = ends(completions(&site, 0, 0..3)).await;
        let orders = [
            one(&site, 0, &order(1)).await,
            one(&site, 1, &order(1)).await,
        ];
        seen.push((done, orders));
    }
    let runs = site
        .observe_services()
        .iter()
        .map(|s| s.runs.len())
        .sum::<usize>();
    site.platform.set_outage(Outage::None);
    let again = async {
        while !one(&site, 2, &order(1)).await.starts_with("answered") {
            sleep(PAUSE).await;
        }
    };
    let answered = timeout(LIMIT, again).await.is_ok();
    assert_yaml_snapshot!("failure_platform_down", (seen, runs, answered));
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_response_is_lost_after_the_write() {
    let site = site(options()).await;
    site.platform.control(PlatformControl {
        lose_next: Some(8),
        ..PlatformControl::default()
    });
    let orders = (0..6).map(|number| send(&site, number % 3, &order(number)));
    let first = ends(orders.collect()).await;
    let again = (0..6).map(|number| send(&site, (number + 1) % 3, &order(number)));
    let second = ends(again.collect()).await;
    let second_is_known = second.iter().all(|end| end != "answered");
    assert_yaml_snapshot!("failure_lost_answer", (first, second_is_known, runs(&site)));
}

#[tokio::test(flavor = "multi_thread")]
async fn chunks_come_late_or_crossed() {
    let site = site(options()).await;
    let kinds = [
        FaultKind::Late,
        FaultKind::Cross,
        FaultKind::Repeat,
        FaultKind::Truncate,
    ];
    for kind in kinds {
        inject(&site, &Fault::next(kind, 2).after(4));
    }
    let sent = ends(completions(&site, 0, 0..12)).await;
    assert_yaml_snapshot!("failure_late_crossed", sent);
}

#[tokio::test(flavor = "multi_thread")]
async fn overload() {
    let options = SiteOptions {
        request_time: Duration::from_millis(900),
        ..options()
    };
    let site = site(options).await;
    let sent = (0..240).map(|number| send(&site, number % 3, &completion(number, 600)));
    let ends = ends(sent.collect()).await;
    let expected =
        |end: &&String| *end == "answered" || end.starts_with("refused") || end.contains("broken");
    let counted = ends.iter().filter(expected).count();
    let refused = ends.iter().any(|end| end.starts_with("refused"));
    let free = is_free(&site).await;
    assert_yaml_snapshot!("failure_overload", (counted, refused, free));
}
