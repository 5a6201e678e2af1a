//! Orders to engines: the plan from the sheet, leases and fences, and a daemon that sends them.

use {
    insta::{assert_debug_snapshot, assert_yaml_snapshot},
    lentillead::{
        board::{Endpoint, EndpointCounters, Fleet, LoadedModels, Pool, Role, Rule, Sheet, Tick},
        border::{EngineClient, OrderLimits, SettingsBuilder, http_client, read_sheet},
        control::{OrderError, OrderLease, OrderLeases, Submission, send_order},
        daemon::Daemon,
        decide::{order_plan, sheet_check},
        fake::{EngineSettings, FakeEngine, FakePlatform, MemoryPlatform, PlatformSettings},
        port::{Clock, Description, HostEntry, Order},
    },
    prometheus_client::metrics::counter::Counter,
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::{sleep, timeout},
};

/// Time within which a condition must come to hold; also the limit of a call.
const TIME_LIMIT: Duration = Duration::from_mins(1);
/// Time limit of an order.
const ORDER_LIMIT: Duration = Duration::from_secs(2);
/// Term of an order lease.
const LEASE_TERM: Duration = Duration::from_secs(5);
const HEADER: &str = "branch,kind,pools,priority,model,version,adapter,repeat,first_token_ms,\
                      per_token_ms,borrow_pools,borrow_hours\n";

/// Clock that the test advances; `sleep` is never called.
#[derive(Clone, Debug, Default)]
struct ManualClock(Arc<AtomicU64>);

impl ManualClock {
    fn advance(&self, time: Duration) {
        self.0.fetch_add(time.as_micros() as u64, Ordering::AcqRel);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Tick {
        Tick(self.0.load(Ordering::Acquire))
    }

    fn since_boot(&self) -> Duration {
        Duration::from_micros(self.0.load(Ordering::Acquire))
    }

    fn unix_ms(&self) -> u64 {
        0
    }

    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + Send {
        sleep(duration)
    }
}

/// Rules with one row each: branch, model, version, adapter and pools to borrow.
fn rules(lines: &[[&str; 5]]) -> Vec<Rule> {
    let row = |[branch, model, version, adapter, borrow]: &[&str; 5]| {
        let hours = if borrow.is_empty() { "" } else { "17:00-21:30" };
        format!(
            "{branch},notes,p/d,3,{model},{version},{adapter},idempotent,60000,1000,{borrow},{hours}\n"
        )
    };
    let text = lines.iter().map(row).collect::<String>();
    let rows = read_sheet(format!("{HEADER}{text}").as_bytes()).unwrap();
    sheet_check(&rows, None).unwrap()
}

/// Fleet with the given pools, the role of their engines and the number of these.
fn fleet(pools: &[(&str, Role, usize)]) -> Fleet {
    let mut fleet = Fleet::default();
    for (name, role, count) in pools {
        let pool = Pool {
            name: (*name).to_owned(),
            members: Vec::new(),
        };
        let pool = fleet.pools.insert(name, pool);
        let members = (1..=*count).map(|number| {
            let name = format!("{name}-{number}");
            let endpoint = Endpoint {
                name: name.clone(),
                address: String::new(),
                zone: "a".to_owned(),
                pool,
                role: *role,
                loaded: LoadedModels::default(),
                pieces: 1,
                piece_tokens: 1,
                slots: 1,
                fenced: true,
                draining: false,
                counters: Arc::new(EndpointCounters::default()),
            };
            fleet.endpoints.insert(&name, endpoint)
        });
        fleet.pools.get_mut(pool).unwrap().members = members.collect();
    }
    fleet
}

#[test]
fn plan_follows_the_sheet() {
    let fleet = fleet(&[
        ("p", Role::Prefill, 2),
        ("d", Role::Decode, 5),
        ("lent", Role::Decode, 1),
        ("idle", Role::Decode, 1),
    ]);
    let sheets = [
        rules(&[
            ["north", "m", "1", "", ""],
            ["south", "m", "1", "welsh", ""],
        ]),
        rules(&[["north", "m", "1", "", ""], ["south", "m", "2", "", ""]]),
        rules(&[
            ["north", "m", "1", "", "lent/lent"],
            ["south", "n", "7", "", ""],
        ]),
    ];
    let plans = sheets.map(|rules| {
        let plan = order_plan(&Sheet::new(1, rules), &fleet);
        let named = plan.into_iter().map(|(key, loaded)| {
            let name = fleet.endpoints.get(key).unwrap().name.clone();
            (name, (loaded.models, loaded.adapters))
        });
        named.collect::<BTreeMap<_, _>>()
    });
    assert_yaml_snapshot!("orders_plan", plans);
}

/// A lease holder that was paused, before or after it checked its lease, sends its order after
/// another holder has taken over. A fenced engine refuses the order. For an engine without a fence,
/// the second holder waits until the lease has expired, and the check of the lease stops the late
/// order; after a pause behind that check, the order still takes effect.
#[tokio::test]
async fn late_holder_is_stopped_by_the_fence_or_the_lease() {
    let mut seen = Vec::new();
    for fenced in [true, false] {
        for paused_after_check in [false, true] {
            let outcome = late_holder(fenced, paused_after_check).await;
            seen.push((fenced, paused_after_check, outcome));
        }
    }
    assert_debug_snapshot!("orders_late_holder", seen);
}

/// Returns the errors of the second holder while it waits, the result of the first one's late
/// order, and the version loaded at the end.
async fn late_holder(
    fenced: bool,
    paused_after_check: bool,
) -> (Vec<String>, Result<u64, OrderError>, String) {
    let settings = EngineSettings::builder(Role::Decode).fenced(fenced).build();
    let engine = FakeEngine::start(settings).await.unwrap();
    let client = EngineClient::new(http_client(TIME_LIMIT).unwrap(), Counter::default());
    let address = engine.address().to_string();
    let (platform, clock) = (MemoryPlatform::default(), ManualClock::default());
    let leases =
        |host: &str| OrderLeases::new(platform.clone(), clock.clone(), host.to_owned(), LEASE_TERM);
    let (first, second) = (leases("first"), leases("second"));
    let old = first
        .acquire("orders/endpoints/e", 1, fenced)
        .await
        .unwrap();
    let mut waits = Vec::new();
    let new = loop {
        match second.acquire("orders/endpoints/e", 2, fenced).await {
            Ok(lease) => break lease,
            Err(error) => waits.push(error.to_string()),
        }
        clock.advance(LEASE_TERM);
    };
    let sent = send_order(
        &client,
        &clock,
        &address,
        &new,
        &order(&new, "2"),
        ORDER_LIMIT,
    )
    .await;
    assert_eq!(sent.unwrap().models["m"], "2");
    // The first holder continues after its pause.
    let mut late = old.clone();
    if paused_after_check {
        late.until = clock.now() + LEASE_TERM;
    }
    let ended = send_order(
        &client,
        &clock,
        &address,
        &late,
        &order(&old, "1"),
        ORDER_LIMIT,
    )
    .await;
    let stale = first.acquire("orders/endpoints/e", 1, true).await;
    assert_eq!(stale, Err(OrderError::Stale(2)));
    let version = engine.description().models["m"].clone();
    (waits, ended.map(|description| description.fence), version)
}

fn order(lease: &OrderLease, version: &str) -> Order {
    Order {
        fence: lease.fence,
        role: Role::Decode,
        models: BTreeMap::from([("m".to_owned(), version.to_owned())]),
        adapters: Vec::new(),
    }
}

/// A daemon, its platform, one prefill engine and two decode engines that have version 1 loaded.
struct Setup {
    engines: Vec<FakeEngine>,
    daemon: Daemon,
    _platform: FakePlatform,
}

impl Setup {
    async fn start(orders: OrderLimits) -> Self {
        let mut engines = Vec::new();
        let mut hosts = Vec::new();
        let listed = [
            ("p", "prefill", Role::Prefill),
            ("d", "decode", Role::Decode),
            ("d", "decode", Role::Decode),
        ];
        for (number, (pool, word, role)) in listed.into_iter().enumerate() {
            let settings = EngineSettings::builder(role).scale(0.05).build();
            let engine = FakeEngine::start(settings).await.unwrap();
            hosts.push(HostEntry {
                name: format!("engine-{number}"),
                role: word.to_owned(),
                address: engine.address().to_string(),
                zone: "a".to_owned(),
                pool: pool.to_owned(),
                leaving: false,
            });
            engines.push(engine);
        }
        let settings = PlatformSettings {
            hosts,
            ..PlatformSettings::default()
        };
        let platform = FakePlatform::start(settings).await.unwrap();
        let settings = SettingsBuilder::new("entry", "a", &platform.address().to_string())
            .branch("north", "north-key")
            .branch("south", "south-key")
            .orders(orders)
            .build();
        let daemon = Daemon::start(&settings).unwrap();
        Self {
            engines,
            daemon,
            _platform: platform,
        }
    }

    /// Submits a sheet in which `south` has the version, and waits until it is in force.
    async fn submit(&self, revision: u64, version: &str) {
        let submission = Submission {
            base: revision - 1,
            rules: rules(&[["north", "m", "1", "", ""], ["south", "m", version, "", ""]]),
            change: format!("change-{revision}"),
            author: "test".to_owned(),
            time: 0,
            known_revision: 0,
        };
        let store = &self.daemon.control().store;
        store.submit(submission).await.unwrap();
        self.until(|setup| setup.daemon.board().sheet.load().revision == revision)
            .await;
    }

    async fn until<F>(&self, met: F)
    where
        F: Fn(&Self) -> bool,
    {
        let waiting = async {
            while !met(self) {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(TIME_LIMIT, waiting).await.unwrap();
    }

    /// Sends a request of the branch; returns the status, and `reason` and `ran` of the body.
    async fn request(&self, branch: &str) -> (u16, Value, Value) {
        let url = format!("http://{}/v1/completions", self.daemon.addresses().callers);
        let body = json!({"model": "notes", "prompt": "one two three", "max_tokens": 4});
        let client = http_client(TIME_LIMIT).unwrap();
        let call = client.post(url).bearer_auth(format!("{branch}-key"));
        let response = call.json(&body).send().await.unwrap();
        let status = response.status().as_u16();
        let body = response.json::<Value>().await.unwrap();
        (status, body["reason"].clone(), body["ran"].clone())
    }

    fn described(&self) -> Vec<Description> {
        self.engines.iter().map(FakeEngine::description).collect()
    }
}

/// Without orders, requests for a version that no engine has loaded are refused, and those for a
/// loaded version are served.
#[tokio::test]
async fn version_that_no_engine_has_is_refused() {
    let setup = Setup::start(OrderLimits {
        loads: 0,
        ..OrderLimits::default()
    })
    .await;
    setup
        .until(|setup| setup.daemon.board().owners.load().by_endpoint.len() == 3)
        .await;
    setup.submit(1, "2").await;
    let refused = setup.request("south").await;
    let north = setup.request("north").await;
    setup.submit(2, "1").await;
    let served = setup.request("south").await;
    let fences: Vec<_> = setup.described().iter().map(|seen| seen.fence).collect();
    assert_yaml_snapshot!("orders_off", (refused, north, served, fences));
}

/// With orders, engines load the versions of the sheet, and the branch's requests go to them.
#[tokio::test]
async fn engines_load_the_versions_of_the_sheet() {
    let orders = OrderLimits {
        retry: Duration::from_millis(50),
        ..OrderLimits::default()
    };
    let setup = Setup::start(orders).await;
    setup.submit(1, "1").await;
    let as_found: Vec<_> = setup.described().iter().map(|seen| seen.fence).collect();
    setup.submit(2, "2").await;
    setup
        .until(|setup| setup.described()[2].models["m"] == "2")
        .await;
    let decoded = || -> Vec<u64> {
        let seen = setup.engines.iter().map(FakeEngine::observed);
        seen.map(|seen| seen.totals.generated).collect()
    };
    let mut responses = Vec::new();
    for branch in ["north", "south"] {
        responses.push((branch, setup.request(branch).await, decoded()));
    }
    setup
        .until(|setup| setup.daemon.board().orders.load().open.is_empty())
        .await;
    let models: Vec<_> = setup
        .described()
        .iter()
        .map(|seen| seen.models.clone())
        .collect();
    assert_yaml_snapshot!("orders_carried_out", (as_found, responses, models));
}
