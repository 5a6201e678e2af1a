use {
    super::{
        FakePlatform, PlatformObserved, PlatformSettings, ProcessUsage,
        capacity_host::{CapacityHost, HostShared},
        capacity_sheet::CapacitySheet,
    },
    crate::{
        board::{
            Endpoint, EndpointCounters, Fleet, HostList, HostState, ListedHost, LoadedModels, Pool,
            Role,
        },
        border::{PeerTraffic, PlatformClient},
        decide::MemberTiming,
        port::{MemberUpdate, MonoClock},
    },
    rand::{SeedableRng, rngs::StdRng},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, io, sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        time::{Instant, interval, sleep, timeout},
    },
};

/// Timeout of one call to the fake platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limit for all daemons of a run to see each other and hold the sheet.
const JOIN_TIMEOUT: Duration = Duration::from_mins(1);

/// Size of the fleet and of the sheet in one capacity run.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct CapacitySize {
    /// Number of daemons.
    pub daemons: usize,
    /// Availability zones over which daemons and endpoints are spread in turn.
    pub zones: usize,
    /// Number of endpoints of the complete fleet.
    pub endpoints: usize,
    /// Number of branches in the sheet.
    pub branches: usize,
    /// Number of rules for each branch.
    pub rules: usize,
    /// Changes of the sheet per second, each of one rule of one branch; 0 for none.
    pub changes: f64,
}

/// Resource use in one run, per daemon unless stated otherwise.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CapacityFigures {
    /// Bytes sent to peers per second; as many are received.
    pub bytes: f64,
    /// Calls made to peers per second; as many are received.
    pub calls: f64,
    /// Processor time in milliseconds per second.
    pub processor: f64,
    /// Resident memory in kilobytes of 1,024 bytes.
    pub memory: f64,
    /// Calls of all daemons together to the platform per second.
    pub platform: f64,
}

/// Control planes of many daemons in one process, connected by real TCP connections on loopback.
#[derive(Debug)]
pub struct CapacityFleet {
    pub(super) shared: HostShared,
    pub(super) hosts: Vec<Option<CapacityHost>>,
    pub(super) platform: FakePlatform,
    pub(super) sheet: CapacitySheet,
    size: CapacitySize,
    /// Resource use of the process before the first daemon was started.
    usage_at_start: ProcessUsage,
}

impl CapacityFleet {
    /// Starts the daemons and submits the first sheet.
    ///
    /// Fails if a listener cannot be bound, the sheet is refused or `/proc` cannot be read.
    pub async fn start(size: CapacitySize) -> io::Result<Self> {
        let platform = FakePlatform::start(PlatformSettings::default()).await?;
        let client = PlatformClient::new(&platform.url(), PLATFORM_TIMEOUT);
        let client = client.map_err(io::Error::other)?;
        let mut sheet = CapacitySheet::new(client.clone(), size.branches, size.rules);
        sheet.submit().await?;
        let mut listeners = Vec::new();
        for _ in 0..size.daemons {
            listeners.push(TcpListener::bind("127.0.0.1:0").await?);
        }
        let usage_at_start = ProcessUsage::read()?;
        let mut shared = HostShared {
            clock: MonoClock::start(),
            partition: super::NetworkPartition::default(),
            fleet: fleet(&size),
            hosts: HostList::default(),
            platform: client,
            timing: MemberTiming::default(),
            traffic: PeerTraffic::default(),
        };
        let mut hosts = Vec::new();
        for (i, listener) in listeners.iter().enumerate() {
            let address = listener.local_addr()?.to_string();
            shared.hosts.daemons.push(listed(i, &size, address));
        }
        for (i, listener) in listeners.into_iter().enumerate() {
            let own = own_update(&shared.hosts.daemons[i], 1);
            hosts.push(Some(CapacityHost::start(&shared, listener, own)?));
        }
        Ok(Self {
            shared,
            hosts,
            platform,
            sheet,
            size,
            usage_at_start,
        })
    }

    /// Waits until all daemons see each other alive and hold the sheet; returns the time it took.
    ///
    /// Fails if that takes longer than `JOIN_TIMEOUT`.
    pub async fn join(&mut self) -> io::Result<Duration> {
        let start = Instant::now();
        let revision = self.sheet.revision();
        let joined = |host: &CapacityHost| {
            host.sees_alive(self.size.daemons) && host.plane.board.sheet.load().revision >= revision
        };
        let all = async {
            while !self.hosts.iter().flatten().all(joined) {
                sleep(Duration::from_millis(50)).await;
            }
        };
        let timed_out = |_| {
            io::Error::other(
                "not all daemons saw each other and held the sheet within 60 s; try fewer daemons",
            )
        };
        timeout(JOIN_TIMEOUT, all).await.map_err(timed_out)?;
        for host in self.hosts.iter_mut().flatten() {
            host.record_owned();
        }
        Ok(start.elapsed())
    }

    /// Runs the fleet for `settle` without measuring, then measures it for `time`.
    ///
    /// Fails if a sheet is refused or `/proc` cannot be read.
    pub async fn measure(
        &mut self,
        settle: Duration,
        time: Duration,
    ) -> io::Result<CapacityFigures> {
        let mut random = StdRng::seed_from_u64(1);
        self.run(settle, &mut random).await?;
        let (usage_before, calls, observed) = (
            ProcessUsage::read()?,
            self.calls(),
            self.platform.observed(),
        );
        let bytes = self.shared.traffic.bytes_out.get();
        let start = Instant::now();
        self.run(time, &mut random).await?;
        let seconds = start.elapsed().as_secs_f64();
        let usage_after = ProcessUsage::read()?;
        let daemon_seconds = seconds * self.size.daemons as f64;
        let sent = self.shared.traffic.bytes_out.get() - bytes;
        let cpu_time = usage_after.processor.saturating_sub(usage_before.processor);
        let memory_growth = usage_after
            .memory
            .saturating_sub(self.usage_at_start.memory);
        Ok(CapacityFigures {
            bytes: sent as f64 / daemon_seconds,
            calls: (self.calls() - calls) as f64 / daemon_seconds,
            processor: cpu_time.as_secs_f64() * 1_000.0 / daemon_seconds,
            memory: memory_growth as f64 / 1_024.0 / self.size.daemons as f64,
            platform: (platform_calls(&self.platform.observed()) - platform_calls(&observed))
                as f64
                / seconds,
        })
    }

    /// Changes the load of all endpoints once a second, and the sheet at the rate of the run.
    async fn run(&mut self, time: Duration, random: &mut StdRng) -> io::Result<()> {
        let end = Instant::now() + time;
        let mut loads = interval(Duration::from_secs(1));
        let mut sheets = interval(self.sheet_interval());
        sheets.tick().await;
        loop {
            tokio::select! {
                _ = loads.tick() => {
                    for host in self.hosts.iter().flatten() {
                        host.change_load(random);
                    }
                }
                _ = sheets.tick(), if self.size.changes > 0.0 => {
                    self.sheet.submit().await?;
                }
                () = tokio::time::sleep_until(end) => return Ok(()),
            }
        }
    }

    /// Returns the time between two changes of the sheet; 1 h if `size` has none.
    pub(super) fn sheet_interval(&self) -> Duration {
        if self.size.changes > 0.0 {
            Duration::from_secs_f64(1.0 / self.size.changes)
        } else {
            Duration::from_hours(1)
        }
    }

    /// Returns the size of the run.
    pub fn size(&self) -> &CapacitySize {
        &self.size
    }

    /// Returns the calls between daemons so far.
    fn calls(&self) -> u64 {
        self.shared.traffic.calls_out.get()
    }
}

/// Returns the calls to the platform; a waiting watch counts as one.
fn platform_calls(observed: &PlatformObserved) -> u64 {
    observed.reads + observed.watches + observed.hosts + observed.lists
}

/// Returns the first membership update of the daemon `listed` about itself.
pub(super) fn own_update(listed: &ListedHost, incarnation: u64) -> MemberUpdate {
    MemberUpdate {
        name: listed.name.clone(),
        zone: listed.zone.clone(),
        address: listed.address.clone(),
        incarnation,
        refutations: 0,
        state: HostState::Alive,
    }
}

fn listed(number: usize, size: &CapacitySize, address: String) -> ListedHost {
    ListedHost {
        name: format!("daemon-{number:04}.region-1.example"),
        zone: zone(number, size),
        address,
        leaving: false,
    }
}

fn zone(number: usize, size: &CapacitySize) -> String {
    format!("region-1-{}", number % size.zones.max(1))
}

fn fleet(size: &CapacitySize) -> Fleet {
    let mut fleet = Fleet::default();
    let pool = fleet.pools.insert(
        "decode",
        Pool {
            name: String::from("decode"),
            members: Vec::new(),
        },
    );
    for i in 0..size.endpoints {
        let name = format!("engine-{i:05}.region-1.example");
        let endpoint = Endpoint {
            name: name.clone(),
            address: format!("10.{}.{}.{}:8000", i >> 16, (i >> 8) & 255, i & 255),
            zone: zone(i, size),
            pool,
            role: Role::Decode,
            loaded: LoadedModels {
                models: BTreeMap::from([(String::from("summaries"), String::from("2026-11"))]),
                ..LoadedModels::default()
            },
            pieces: 2_000,
            piece_tokens: 16,
            slots: 20,
            fenced: true,
            draining: false,
            counters: Arc::new(EndpointCounters::default()),
        };
        let key = fleet.endpoints.insert(&name, endpoint);
        if let Some(pool) = fleet.pools.get_mut(pool) {
            pool.members.push(key);
        }
    }
    fleet
}
