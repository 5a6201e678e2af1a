//! Daemons that share workers of a plain service, in simulated time.

use {
    crate::{
        forward_site::FixedQuotas, listed::listed, retry_reserve::list_members, routing::route,
    },
    bytes::Bytes,
    http::{HeaderMap, Method},
    insta::assert_yaml_snapshot,
    lentillead::{
        board::{
            Blackboard, CallerLimits, Counters, PathRoute, Repeat, ReportedLoad, Role, Routing,
            Writers,
        },
        decide::merge_described,
        key::CauseKey,
        port::{
            CacheHandle, CallEnd, Credentials, EndpointNotice, ForwardRequest, MonoClock, Noticed,
            PlacementEnd, PlacementOutcome, PlacementRequest, Placer, Reservation, ResponseBody,
            ResponseEvent, Upstream, UpstreamError, UpstreamRequest, UpstreamResponse,
        },
        request::{ForwardEntry, ForwardOptions, ForwardParts, ForwardReply, ForwardShared},
    },
    prometheus_client::registry::Registry,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, HashMap},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::Semaphore,
        time::{Instant, sleep},
    },
};

/// Slots of a worker.
const SLOTS: u32 = 6;

/// Requests that wait inside a worker before it turns others away.
const QUEUE: u32 = 4;

/// Time of a message between a daemon and a worker.
const LINK: Duration = Duration::from_micros(500);

/// Load and workers of a simulated day.
#[derive(Clone, Debug)]
struct Day {
    /// Number of daemons.
    daemons: usize,
    /// Requests a second in each half of a second.
    rates: Vec<u32>,
    /// Speed of each worker, changed at random by up to `swing` in hundredths many times a second.
    speeds: Vec<u32>,
    /// Largest deviation of a speed at one moment, in hundredths.
    swing: u32,
    /// Whether the workers state their speed.
    states_speed: bool,
    /// Time by which responses reach their daemons late.
    delay: Duration,
    /// Times that a caller sends a refused request again.
    repeats: u32,
}

impl Default for Day {
    fn default() -> Self {
        Self {
            daemons: 74,
            rates: vec![200; 12],
            speeds: vec![100; 3],
            swing: 20,
            states_speed: true,
            delay: Duration::ZERO,
            repeats: 0,
        }
    }
}

/// A worker: runs as many requests at once as it has slots and turns away what its queue does not hold.
#[derive(Debug)]
struct Worker {
    slots: Semaphore,
    waiting: AtomicU32,
    speed: u32,
    swing: u32,
    states_speed: bool,
    random: Mutex<SmallRng>,
    arrivals: AtomicU32,
    refusals: AtomicU32,
}

/// Counts a request as waiting until it is dropped.
struct Waits<'a>(&'a AtomicU32);

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Worker {
    fn new(day: &Day, number: usize) -> Self {
        Self {
            slots: Semaphore::new(SLOTS as usize),
            waiting: AtomicU32::new(0),
            speed: day.speeds[number],
            swing: day.swing,
            states_speed: day.states_speed,
            random: Mutex::new(SmallRng::seed_from_u64(number as u64)),
            arrivals: AtomicU32::new(0),
            refusals: AtomicU32::new(0),
        }
    }

    /// Draws the speed at this moment.
    fn speed(&self) -> u32 {
        let swing = self.random.lock().unwrap().random_range(0..=2 * self.swing);
        self.speed - self.swing + swing
    }

    fn notice(&self, speed: u32) -> EndpointNotice {
        EndpointNotice {
            load: Some(ReportedLoad {
                running: SLOTS - self.slots.available_permits() as u32,
                waiting: self.waiting.load(Ordering::Relaxed),
                slots: SLOTS,
                speed: self.states_speed.then_some(speed),
            }),
            ..EndpointNotice::default()
        }
    }

    async fn run(&self) -> Result<EndpointNotice, UpstreamError> {
        self.arrivals.fetch_add(1, Ordering::Relaxed);
        let speed = self.speed();
        let is_full = self.waiting.load(Ordering::Relaxed) >= QUEUE;
        if self.slots.available_permits() == 0 && is_full {
            self.refusals.fetch_add(1, Ordering::Relaxed);
            let notice = self.notice(speed);
            return Err(UpstreamError::Refused {
                status: 503,
                notice,
            });
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let waits = Waits(&self.waiting);
        let slot = self.slots.acquire().await.unwrap();
        drop(waits);
        let usual = self.random.lock().unwrap().random_range(15..=60);
        sleep(Duration::from_millis(usual) * speed / 100).await;
        drop(slot);
        Ok(self.notice(speed))
    }
}

/// Workers by address.
#[derive(Clone, Debug)]
struct Workers(Arc<HashMap<String, Worker>>, Duration);

/// Body of a response.
#[derive(Debug)]
struct Body;

impl ResponseBody for Body {
    async fn next(&mut self) -> Result<Option<ResponseEvent>, UpstreamError> {
        Ok(None)
    }

    async fn collect(self, _: usize) -> Result<Bytes, UpstreamError> {
        Ok(Bytes::new())
    }
}

impl Upstream for Workers {
    type Body = Body;

    async fn send(
        &self,
        request: UpstreamRequest,
    ) -> Result<UpstreamResponse<Body>, UpstreamError> {
        sleep(LINK).await;
        let ended = self.0[&request.address].run().await;
        sleep(LINK + self.1).await;
        Ok(UpstreamResponse {
            status: 200,
            headers: HeaderMap::new(),
            notice: ended?,
            body: Body,
        })
    }

    async fn prefill(&self, _: UpstreamRequest) -> Result<Noticed<CacheHandle>, UpstreamError> {
        unreachable!("plain services only")
    }

    async fn reserve(
        &self,
        _: UpstreamRequest,
        _: u64,
        _: Duration,
    ) -> Result<Noticed<Reservation>, UpstreamError> {
        unreachable!("plain services only")
    }

    async fn release(&self, _: Reservation) -> Result<(), UpstreamError> {
        Ok(())
    }

    async fn free_cache(&self, _: CacheHandle) -> Result<(), UpstreamError> {
        Ok(())
    }
}

/// Placer of a site without engines, where no call is suspected.
#[derive(Clone, Debug)]
struct NoPlacer;

impl Placer for NoPlacer {
    async fn place(&self, _: PlacementRequest) -> PlacementOutcome {
        PlacementOutcome::Unavailable
    }

    fn end(&self, _: PlacementEnd) {}

    async fn end_call(&self, _: CallEnd) -> bool {
        false
    }

    fn refused(&self, _: &str, _: &[CauseKey]) -> Option<Duration> {
        None
    }
}

#[derive(Clone, Debug)]
struct Ports(Workers, MonoClock, FixedQuotas);

impl ForwardParts for Ports {
    type Clock = MonoClock;
    type Upstream = Workers;
    type Placer = NoPlacer;
    type Quotas = FixedQuotas;

    fn clock(&self) -> &MonoClock {
        &self.1
    }

    fn upstream(&self) -> &Workers {
        &self.0
    }

    fn placer(&self) -> &NoPlacer {
        &NoPlacer
    }

    fn quotas(&self) -> &FixedQuotas {
        &self.2
    }
}

/// Routes of the two kinds: calls that run at most once, and less urgent ones that may be repeated.
fn routes() -> Vec<PathRoute> {
    let order = PathRoute {
        repeat: Repeat::AtMostOnce,
        attempts: 1,
        priority: 0,
        ..route("order", "a.example", "/order/")
    };
    vec![order, route("read", "a.example", "/read/")]
}

/// A daemon, and what writes its blackboard.
fn daemon(workers: &Workers, day: &Day, seed: u64) -> (ForwardEntry<Ports>, Writers) {
    let (board, mut writers) = Blackboard::new();
    let names: Vec<_> = (0..day.speeds.len()).map(|i| format!("w{i}")).collect();
    let listed = names
        .iter()
        .map(|name| listed(name, "ledger", Role::Service));
    let listed: Vec<_> = listed.collect();
    let described: Vec<_> = listed.iter().map(|(l, d)| (l, d)).collect();
    writers
        .fleet
        .update(|fleet| merge_described(fleet, &described));
    let routing = Routing::new(1, routes(), HashMap::new(), CallerLimits::default());
    writers.routing.publish(routing);
    list_members(&mut writers, day.daemons as u64);
    let ports = Ports(workers.clone(), MonoClock::start(), FixedQuotas::default());
    let counters = Counters::new(&mut Registry::default());
    let options = ForwardOptions::default();
    let shared = ForwardShared::new(ports, board, counters, options, seed);
    (ForwardEntry::new(shared), writers)
}

/// How a request ended for its caller.
async fn call(entry: ForwardEntry<Ports>, kind: &str, repeats: u32) -> &'static str {
    let start = Instant::now();
    let route = route("", "", "");
    for number in 0..=repeats {
        let left = route.timeout.saturating_sub(start.elapsed());
        let request = ForwardRequest {
            id: "r".to_owned(),
            method: Method::POST,
            host: "a.example".to_owned(),
            target: format!("/{kind}/1"),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            token_counts: None,
            shared_parts: Vec::new(),
            resume_after: None,
            credentials: Credentials::default(),
        };
        match entry.forward(request, Some(left)).await {
            ForwardReply::Complete(_) if start.elapsed() <= route.target => return "on time",
            ForwardReply::Complete(_) => return "late",
            ForwardReply::Events(..) => return "events",
            ForwardReply::Refused(refused) => {
                let wait = refused.retry_after.unwrap_or(route.timeout);
                if number == repeats || start.elapsed() + wait >= route.timeout {
                    return refused.reason.as_str();
                }
                sleep(wait).await;
            }
        }
    }
    "not sent"
}

/// What became of the requests of a day.
#[derive(Debug, Default, serde::Serialize)]
struct Outcome {
    /// Requests by kind and end.
    ends: BTreeMap<String, BTreeMap<&'static str, u32>>,
    /// Requests that waited in their daemon.
    waited: u64,
    /// Attempts that reached each worker, and those that it turned away.
    workers: Vec<(u32, u32)>,
}

/// Simulates `day`.
async fn simulate(day: &Day, seed: u64) -> Outcome {
    let workers = (0..day.speeds.len()).map(|i| (format!("10.0.0.1:w{i}"), Worker::new(day, i)));
    let workers = Workers(Arc::new(workers.collect()), day.delay);
    let daemons: Vec<_> = (0..day.daemons)
        .map(|i| daemon(&workers, day, i as u64 * 7_919 + 1))
        .collect();
    let mut random = SmallRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    for rate in &day.rates {
        let end = Instant::now() + Duration::from_millis(500);
        loop {
            let gap = -random.random::<f64>().ln() / f64::from(*rate);
            sleep(Duration::from_secs_f64(gap)).await;
            if Instant::now() >= end {
                break;
            }
            let kind = if random.random_bool(0.4) {
                "order"
            } else {
                "read"
            };
            let entry = daemons[random.random_range(0..day.daemons)].0.clone();
            calls.push((kind, tokio::spawn(call(entry, kind, day.repeats))));
        }
    }
    let mut outcome = Outcome::default();
    for (kind, ended) in calls {
        let ends = outcome.ends.entry(kind.to_owned()).or_default();
        *ends.entry(ended.await.unwrap()).or_default() += 1;
    }
    let counters = daemons.iter().map(|(entry, _)| entry.shared().counters());
    outcome.waited = counters.map(|counters| counters.deferred_calls.get()).sum();
    outcome.workers = (0..day.speeds.len())
        .map(|i| &workers.0[&format!("10.0.0.1:w{i}")])
        .map(|worker| {
            let count = |counter: &AtomicU32| counter.load(Ordering::Relaxed);
            (count(&worker.arrivals), count(&worker.refusals))
        })
        .collect();
    outcome
}

/// A quiet second, two seconds of three times the load, two quiet ones.
fn burst() -> Vec<u32> {
    [vec![200; 2], vec![600; 4], vec![200; 4]].concat()
}

/// Returns what becomes of the requests of `day`, if the workers do not state their speed and if they do.
async fn compare(day: Day) -> [(&'static str, Outcome); 2] {
    let without = Day {
        states_speed: false,
        ..day.clone()
    };
    [
        ("three figures", simulate(&without, 1).await),
        ("four figures", simulate(&day, 1).await),
    ]
}

/// Guards against changes of what daemons do at a load that the workers can take.
#[tokio::test(start_paused = true)]
async fn a_steady_load_is_served() {
    assert_yaml_snapshot!(compare(Day::default()).await);
}

/// Guards against bursts in which callers return too late, or wait in a queue that only makes them late.
#[tokio::test(start_paused = true)]
async fn a_burst_of_three_times_the_load() {
    let day = Day {
        rates: burst(),
        speeds: vec![150; 3],
        repeats: 3,
        ..Day::default()
    };
    assert_yaml_snapshot!(compare(day).await);
}

/// Guards against a slow endpoint that gets as much as the others.
#[tokio::test(start_paused = true)]
async fn one_endpoint_at_half_its_speed() {
    let day = Day {
        rates: vec![300; 12],
        speeds: vec![200, 100, 100],
        repeats: 3,
        ..Day::default()
    };
    assert_yaml_snapshot!(compare(day).await);
}

/// Guards against one kind that takes all room: none is served less than a quarter as often as all.
#[tokio::test(start_paused = true)]
async fn two_kinds_on_one_pool_are_both_served_in_overload() {
    let day = Day {
        rates: vec![900; 8],
        daemons: 6,
        repeats: 3,
        ..Day::default()
    };
    let outcome = simulate(&day, 1).await;
    let served = |ends: &BTreeMap<&str, u32>| {
        let count = |end| f64::from(ends.get(end).copied().unwrap_or_default());
        (count("on time") + count("late")) / f64::from(ends.values().sum::<u32>())
    };
    let mean = outcome.ends.values().map(served).sum::<f64>() / 2.0;
    let fair = outcome.ends.values().all(|ends| served(ends) > mean / 4.0);
    assert_yaml_snapshot!((fair, outcome));
}

/// Guards against daemons that all act at once on the same old report.
#[tokio::test(start_paused = true)]
async fn a_hundred_daemons_that_receive_reports_late() {
    let day = Day {
        daemons: 100,
        rates: burst(),
        delay: Duration::from_millis(40),
        speeds: vec![150, 120, 100],
        repeats: 3,
        ..Day::default()
    };
    assert_yaml_snapshot!(compare(day).await);
}

/// Prints the shares of requests on time, late and lost, with three and with four figures, over four seeds;
/// run with `--ignored --nocapture`.
#[tokio::test(start_paused = true)]
#[ignore = "a comparison: it checks nothing"]
async fn shares_on_time_late_and_lost() {
    let day = |rates: Vec<u32>, speeds: [u32; 3], swing: u32| Day {
        rates,
        speeds: speeds.to_vec(),
        swing,
        repeats: 3,
        ..Day::default()
    };
    let days = [
        ("steady", day(vec![200; 12], [100; 3], 20)),
        ("usual speed", day(burst(), [100; 3], 20)),
        ("one at half its speed", day(burst(), [200, 100, 100], 20)),
        ("all at 150", day(burst(), [150; 3], 20)),
        ("50 to 350", day(burst(), [200; 3], 150)),
        ("overload", day(vec![700; 12], [100; 3], 20)),
    ];
    for (name, day) in days {
        for states_speed in [false, true] {
            let day = Day {
                states_speed,
                ..day.clone()
            };
            let mut counts = BTreeMap::new();
            for seed in 0..4 {
                for (end, count) in simulate(&day, seed).await.ends.into_values().flatten() {
                    *counts.entry(end).or_insert(0) += count;
                }
            }
            let all = f64::from(counts.values().sum::<u32>());
            let share = |end| f64::from(counts.get(end).copied().unwrap_or(0)) / all * 100.0;
            let (on_time, late) = (share("on time"), share("late"));
            let lost = 100.0 - on_time - late;
            println!("{name}, four figures {states_speed}: {on_time:.1} {late:.1} {lost:.1}");
        }
    }
}
