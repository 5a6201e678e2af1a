//! Quota controllers of several daemons, connected without a network, on a paused clock.

use {
    futures_util::future::join_all,
    insta::assert_snapshot,
    lentillead::{
        board::{
            Blackboard, CallerLimits, DeclaredOrganisation, Host, HostState, KeySalt, Members,
            Organisation, OrganisationList, Quota, QuotaUnit, Routing, Tick, Writers,
        },
        border::peer_wire::encode,
        control::{QuotaController, QuotaCounters, QuotaHandle, QuotaParts},
        fake::PeerNetwork,
        port::{Clock, PeerCall, PeerHandler, PeerReply, QuotaAnswer, QuotaGate},
    },
    prometheus_client::{encoding::text::encode as encode_metrics, registry::Registry},
    std::{
        collections::HashMap,
        fmt::Write,
        sync::{
            Arc,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        task::JoinSet,
        time::{Instant, sleep},
    },
};

/// A clock whose time since boot follows tokio's clock, which the test has paused.
#[derive(Clone, Copy, Debug)]
struct PausedClock(Instant);

impl Clock for PausedClock {
    fn now(&self) -> Tick {
        Tick::default() + self.0.elapsed()
    }

    fn since_boot(&self) -> Duration {
        Duration::from_secs(1_000) + self.0.elapsed()
    }

    fn unix_ms(&self) -> u64 {
        1_000_000_000 + self.0.elapsed().as_millis() as u64
    }

    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + Send {
        sleep(duration)
    }
}

/// Handler of a daemon, which counts the calls and their bytes.
#[derive(Clone, Debug)]
struct Counted {
    quotas: QuotaHandle<PausedClock>,
    calls: Arc<AtomicUsize>,
    bytes: Arc<AtomicU64>,
}

impl PeerHandler for Counted {
    async fn handle(&self, call: PeerCall) -> PeerReply {
        let size = encode(&call).unwrap().len();
        let PeerCall::ReportQuota(report) = call else {
            return PeerReply::Failed("not about quotas".to_owned());
        };
        let reply = self.quotas.report(report).await;
        let size = size + encode(&reply).unwrap().len();
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(size as u64, Ordering::Relaxed);
        reply
    }
}

struct Daemon {
    quotas: QuotaHandle<PausedClock>,
    writers: Writers,
    registry: Registry,
    tasks: JoinSet<()>,
}

/// Daemons that know one another.
struct Site {
    daemons: Vec<Daemon>,
    network: PeerNetwork<Counted>,
    clock: PausedClock,
    calls: Arc<AtomicUsize>,
    bytes: Arc<AtomicU64>,
}

fn site(count: usize, organisations: Option<&OrganisationList>) -> Site {
    let clock = PausedClock(Instant::now());
    let network = PeerNetwork::default();
    let (calls, bytes) = (Arc::default(), Arc::default());
    let names: Vec<_> = (0..count).map(|index| format!("h{index}")).collect();
    let mut daemons = Vec::new();
    for (index, name) in names.iter().enumerate() {
        let (board, mut writers) = Blackboard::new();
        let (_, spare) = Blackboard::new();
        let mut members = Members {
            is_listed: true,
            ..Members::default()
        };
        for name in &names {
            let host = Host {
                name: name.clone(),
                zone: "z".to_owned(),
                address: name.clone(),
                incarnation: 1_000_000_000,
                refutations: 0,
                cpu_hundredths: 50,
                state: HostState::Alive,
                changed_at: Tick::default(),
            };
            members.hosts.insert(name, host);
        }
        members.own = members.hosts.find(name).unwrap();
        writers.members.publish(members);
        let routing = Routing::new(1, [], HashMap::new(), CallerLimits::default());
        let routing = match organisations {
            Some(list) => routing.with_organisations(list.clone()),
            None => routing,
        };
        writers.routing.publish(routing);
        let mut registry = Registry::default();
        let parts = QuotaParts {
            peer: network.clone(),
            clock,
            board,
            writer: std::mem::replace(&mut writers.quotas, spare.quotas),
            host: name.clone(),
            incarnation: 1_000_000_000 + index as u64,
            counters: QuotaCounters::new(&mut registry),
        };
        let (controller, quotas) = QuotaController::new(parts);
        let mut tasks = JoinSet::new();
        tasks.spawn(controller.run());
        let handler = Counted {
            quotas: quotas.clone(),
            calls: Arc::clone(&calls),
            bytes: Arc::clone(&bytes),
        };
        network.join(name, handler);
        daemons.push(Daemon {
            quotas,
            writers,
            registry,
            tasks,
        });
    }
    Site {
        daemons,
        network,
        clock,
        calls,
        bytes,
    }
}

impl Site {
    /// Sends `requests` at `index`, one every `pause`; returns how many were admitted.
    async fn send(&self, index: usize, requests: usize, cost: u64, pause: Duration) -> usize {
        let mut admitted = 0;
        for _ in 0..requests {
            let quotas = &self.daemons[index].quotas;
            let answer = quotas.reserve("usual", cost).await;
            if let QuotaAnswer::Granted(hold) = answer {
                admitted += usize::from(hold.spend(self.clock.since_boot()));
            }
            sleep(pause).await;
        }
        admitted
    }
}

fn organisations() -> OrganisationList {
    let salt = KeySalt::from_bytes([7; 32]);
    let quota = Quota {
        rate: 300_000,
        burst: 300_000,
        unit: QuotaUnit::Tokens { plain: 200 },
    };
    let entry = DeclaredOrganisation {
        organisation: Organisation {
            name: "usual".to_owned(),
            priority: None,
            quota: Some(quota),
        },
        digests: vec![salt.digest("key-1")],
    };
    OrganisationList {
        salt,
        entries: vec![entry],
        faults: Vec::new(),
    }
}

/// Guards against messages and timers in deployments without quotas.
#[tokio::test(start_paused = true)]
async fn without_quotas_nothing_is_sent() {
    let site = site(3, None);
    sleep(Duration::from_mins(1)).await;
    let answer = site.daemons[0].quotas.reserve("usual", 10).await;
    let calls = site.calls.load(Ordering::Relaxed);
    assert_snapshot!(format!("{answer:?}, {calls} calls"), @"Unlimited, 0 calls");
}

/// Guards against refusals at a daemon that gets all requests, or the first one, and against credit that
/// is lost when a daemon ends; and bounds the bytes of the messages.
#[tokio::test(start_paused = true)]
async fn credit_flows_to_the_daemon_that_needs_it() {
    let mut site = site(8, Some(&organisations()));
    let mut lines = String::new();
    let pause = Duration::from_millis(20);
    sleep(Duration::from_secs(3)).await;
    let first = site.send(5, 1, 5_270, pause).await;
    writeln!(lines, "first request: {first} of 1 admitted").unwrap();
    // 45 requests a second are 79% of the rate.
    let all = site
        .send(5, 450, 5_270, Duration::from_micros(22_200))
        .await;
    writeln!(lines, "all requests at one daemon: {all} of 450 admitted").unwrap();
    let before = (
        site.calls.load(Ordering::Relaxed),
        site.bytes.load(Ordering::Relaxed),
    );
    let start = Instant::now();
    let plain = site.send(2, 500, 200, pause).await;
    let seconds = start.elapsed().as_secs_f64();
    writeln!(lines, "plain requests: {plain} of 500 admitted").unwrap();
    let calls = (site.calls.load(Ordering::Relaxed) - before.0) as f64 / seconds;
    let bytes = (site.bytes.load(Ordering::Relaxed) - before.1) as f64 / seconds;
    // Seven daemons are idle, one is in use.
    writeln!(
        lines,
        "below 8 calls a second of 8 daemons in 4 shards each: {}, below 200 bytes a second for each daemon and shard: {}",
        calls < 8.0 * 4.0,
        bytes < 200.0 * 8.0 * 4.0
    )
    .unwrap();
    // All at once; requests that follow one another wait some milliseconds for credit instead.
    let quotas = &site.daemons[1].quotas;
    let answers = join_all((0..500).map(|_| quotas.reserve("usual", 5_270))).await;
    let granted = answers.iter();
    let granted = granted.filter(|answer| matches!(answer, QuotaAnswer::Granted(_)));
    let over = granted.count();
    drop(answers);
    writeln!(
        lines,
        "at many times the rate some are refused: {}",
        over < 500
    )
    .unwrap();
    sleep(Duration::from_secs(3)).await;
    // Whichever daemons are the accountants, two of eight end.
    for name in ["h6", "h7"] {
        site.network.leave(name);
    }
    site.daemons.truncate(6);
    sleep(Duration::from_secs(6)).await;
    let after = site.send(0, 200, 5_270, Duration::from_millis(35)).await;
    writeln!(lines, "after two daemons ended: {after} of 200 admitted").unwrap();
    let answer = site.daemons[0].quotas.reserve("usual", 10_000_000).await;
    writeln!(lines, "a request above the ceiling: {answer:?}").unwrap();
    assert_snapshot!(lines);
}

/// Guards against refusals right after the start, when no daemon owns a share yet.
#[tokio::test(start_paused = true)]
async fn requests_wait_for_the_first_share() {
    let mut lines = String::new();
    for (daemons, ms) in [(1, 0), (1, 500), (8, 100), (8, 990)] {
        let site = site(daemons, Some(&organisations()));
        sleep(Duration::from_millis(ms)).await;
        let start = Instant::now();
        let pause = Duration::from_millis(1);
        let admitted = site.send(daemons - 1, 1, 5_270, pause).await;
        let took = start.elapsed().as_millis();
        writeln!(
            lines,
            "{daemons} daemons, {ms} ms after the start: {admitted} of 1 admitted after {took} ms"
        )
        .unwrap();
    }
    assert_snapshot!(lines);
}

/// Guards against a share that is taken as N = 1 by a daemon that has not read the list.
#[tokio::test(start_paused = true)]
async fn a_daemon_without_the_list_owns_nothing() {
    let mut site = site(2, Some(&organisations()));
    for daemon in &mut site.daemons {
        daemon
            .writers
            .members
            .update(|members| members.is_listed = false);
    }
    sleep(Duration::from_secs(30)).await;
    let admitted = site.send(0, 5, 200, Duration::from_secs(1)).await;
    assert_snapshot!(format!("{admitted} admitted"), @"0 admitted");
}

/// Guards against a limit that stays in force after the configuration has removed it, and against metrics
/// without a bound.
#[tokio::test(start_paused = true)]
async fn quotas_follow_the_configuration() {
    let mut site = site(1, Some(&organisations()));
    sleep(Duration::from_secs(10)).await;
    let admitted = site.send(0, 100, 200, Duration::from_millis(20)).await;
    sleep(Duration::from_secs(6)).await;
    let mut text = String::new();
    encode_metrics(&mut text, &site.daemons[0].registry).unwrap();
    let quotas = text.lines().filter(|line| line.starts_with("quota_rate"));
    let quotas = quotas.collect::<Vec<_>>().join(" ");
    let routing = Routing::new(2, [], HashMap::new(), CallerLimits::default());
    site.daemons[0].writers.routing.publish(routing);
    sleep(Duration::from_millis(10)).await;
    let answer = site.daemons[0].quotas.reserve("usual", 10_000_000).await;
    assert_snapshot!(
        format!("{admitted} of 100, {quotas}, then {answer:?}"),
        @r#"100 of 100, quota_rate{organisation="usual"} 300000, then Unlimited"#
    );
    site.daemons[0].tasks.abort_all();
}
