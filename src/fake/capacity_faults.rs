use {
    super::{
        CapacityFaultReport, CapacityFigures, CapacityFleet, FaultCounts, ProcessUsage,
        capacity_fleet::own_update,
        capacity_host::CapacityHost,
        fault_watch::{FaultWatch, Sample},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom},
    std::{io, time::Duration},
    tokio::{
        net::TcpListener,
        time::{Instant, interval, sleep_until},
    },
};

/// Interval at which faults are started.
const FAULT_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which the state of the daemons is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Number of daemons in the fleet for each fault that may be active at the same time.
const DAEMONS_PER_FAULT: usize = 6;

/// Time limit for all daemons to agree after the last fault has ended.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(40);

/// Fault that one daemon has at present, and when it ends.
#[derive(Clone, Copy, Debug)]
struct ActiveFault {
    kind: HostFault,
    until: Instant,
}

/// What is wrong with a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HostFault {
    /// Killed, or ended after a leave; it is restarted when the fault ends.
    Down,
    /// It has announced its end and still responds to calls.
    Leaving,
    /// Its tasks and peer handler are not polled.
    Paused,
    /// Peer calls between its group and all other daemons never complete.
    Isolated,
}

/// State of one run with faults; `active` holds one entry for each daemon.
#[derive(Debug)]
struct FaultRun {
    random: StdRng,
    active: Vec<Option<ActiveFault>>,
    counts: FaultCounts,
    watch: FaultWatch,
}

impl CapacityFleet {
    /// Runs a seeded schedule of faults for `time`, then ends all faults and waits until all
    /// daemons agree.
    ///
    /// Fails if a process counter cannot be read, a listener cannot be bound or a sheet is refused.
    pub async fn run_faults(
        &mut self,
        seed: u64,
        time: Duration,
    ) -> io::Result<CapacityFaultReport> {
        let now = Instant::now();
        let mut run = FaultRun {
            random: StdRng::seed_from_u64(seed),
            active: vec![None; self.hosts.len()],
            counts: FaultCounts::default(),
            watch: FaultWatch::new(self.hosts.len(), now),
        };
        let usage_before = (ProcessUsage::read()?, self.shared.traffic.clone());
        let traffic_before = (
            usage_before.1.bytes_out.get(),
            usage_before.1.calls_out.get(),
        );
        let revision_before = self.sheet.revision();
        self.run_schedule(&mut run, now + time).await?;
        let figures = self.usage(usage_before.0, traffic_before, time)?;
        let settled = self.settle(&mut run).await?;
        let FaultRun { counts, watch, .. } = run;
        Ok(CapacityFaultReport {
            daemons: self.hosts.len(),
            time,
            faults: counts,
            changes: (self.sheet.revision() - revision_before) as usize,
            sheet: watch.sheet,
            removal: watch.removal,
            arrival: watch.arrival,
            ownerless: watch.ownerless,
            double_owners: watch.double_owners,
            reverts: watch.reverts,
            settled,
            figures,
        })
    }

    /// Starts and ends faults, submits sheets and takes samples until `end`.
    async fn run_schedule(&mut self, run: &mut FaultRun, end: Instant) -> io::Result<()> {
        let mut faults = interval(FAULT_INTERVAL);
        let mut samples = interval(SAMPLE_INTERVAL);
        let mut sheets = interval(self.sheet_interval());
        loop {
            tokio::select! {
                _ = faults.tick() => self.start_fault(run).await,
                _ = sheets.tick() => {
                    self.sheet.submit().await?;
                    run.watch.accept(self.sheet.revision(), Instant::now());
                }
                _ = samples.tick() => {
                    self.end_faults(run, false).await?;
                    self.sample(run);
                }
                () = sleep_until(end) => return Ok(()),
            }
        }
    }

    /// Ends all faults and waits until all daemons agree; `None` if they do not in time.
    async fn settle(&mut self, run: &mut FaultRun) -> io::Result<Option<Duration>> {
        self.end_faults(run, true).await?;
        let start = Instant::now();
        let mut samples = interval(SAMPLE_INTERVAL);
        while start.elapsed() < SETTLE_TIMEOUT {
            samples.tick().await;
            self.sample(run);
            if run.watch.is_settled(self.sheet.revision()) {
                return Ok(Some(start.elapsed()));
            }
        }
        Ok(None)
    }

    /// Starts one fault, unless as many daemons as allowed already have one.
    async fn start_fault(&mut self, run: &mut FaultRun) {
        let healthy: Vec<_> = (0..self.hosts.len())
            .filter(|i| run.active[*i].is_none())
            .collect();
        let faulty = self.hosts.len() - healthy.len();
        if healthy.is_empty() || faulty >= self.hosts.len() / DAEMONS_PER_FAULT {
            return;
        }
        let host = healthy[run.random.random_range(0..healthy.len())];
        let isolating = run
            .active
            .iter()
            .flatten()
            .any(|t| t.kind == HostFault::Isolated);
        match run.random.random_range(0..100) {
            0..35 => self.kill(run, host),
            35..60 => self.leave(run, host).await,
            60..90 => self.pause(run, host),
            _ if isolating => self.kill(run, host),
            _ => self.isolate(run, healthy),
        }
    }

    /// Drops a daemon without notice to the others.
    fn kill(&mut self, run: &mut FaultRun, host: usize) {
        run.counts.kills += 1;
        run.begin_fault(host, HostFault::Down, 3_000..8_000);
        if let Some(killed) = self.hosts[host].take() {
            run.watch
                .expect(host, &killed.name, killed.incarnation, true);
        }
    }

    /// Announces the end of a daemon, which goes on responding to calls for 1 to 2 s.
    async fn leave(&mut self, run: &mut FaultRun, host: usize) {
        run.counts.leaves += 1;
        run.begin_fault(host, HostFault::Leaving, 1_000..2_000);
        if let Some(leaving) = &self.hosts[host] {
            run.watch
                .expect(host, &leaving.name, leaving.incarnation, true);
            let members = leaving.plane.members.clone();
            members.leave().await;
        }
    }

    /// Stops polling the tasks of a daemon for 2 to 10 s.
    fn pause(&mut self, run: &mut FaultRun, host: usize) {
        run.counts.pauses += 1;
        run.begin_fault(host, HostFault::Paused, 2_000..10_000);
        if let Some(paused) = &self.hosts[host] {
            paused.plane.pause.set(true);
        }
    }

    /// Isolates one in twelve of all daemons, at least one, from the rest for 5 to 15 s.
    fn isolate(&mut self, run: &mut FaultRun, mut healthy: Vec<usize>) {
        run.counts.cuts += 1;
        let group_size = (self.hosts.len() / 12).max(1);
        let (group, _) = healthy.partial_shuffle(&mut run.random, group_size);
        let group = group.to_vec();
        let time = run.random.random_range(5_000..15_000);
        for host in &group {
            run.begin_fault(*host, HostFault::Isolated, time..time + 1);
        }
        let entries = &self.shared.hosts.daemons;
        let (inside, outside): (Vec<_>, Vec<_>) = entries
            .iter()
            .enumerate()
            .partition(|(i, _)| group.contains(i));
        let addresses = |group_hosts: Vec<(usize, &crate::board::ListedHost)>| -> Vec<String> {
            group_hosts
                .into_iter()
                .map(|(_, host)| host.address.clone())
                .collect()
        };
        self.shared
            .partition
            .split(&addresses(inside), &addresses(outside));
    }

    /// Ends the faults that are due, or all of them.
    async fn end_faults(&mut self, run: &mut FaultRun, all: bool) -> io::Result<()> {
        let now = Instant::now();
        for host in 0..self.hosts.len() {
            let Some(fault) = run.active[host].filter(|t| all || t.until <= now) else {
                continue;
            };
            run.active[host] = None;
            match fault.kind {
                HostFault::Down => self.restart(run, host).await?,
                HostFault::Leaving => {
                    self.hosts[host] = None;
                    run.begin_fault(host, HostFault::Down, 2_000..4_000);
                    if all {
                        run.active[host] = None;
                        self.restart(run, host).await?;
                    }
                }
                HostFault::Paused => {
                    if let Some(paused) = &self.hosts[host] {
                        paused.plane.pause.set(false);
                    }
                }
                HostFault::Isolated => self.shared.partition.heal(),
            }
        }
        Ok(())
    }

    /// Starts a daemon again as a new incarnation on its old address.
    async fn restart(&mut self, run: &mut FaultRun, host: usize) -> io::Result<()> {
        let entry = &self.shared.hosts.daemons[host];
        let listener = TcpListener::bind(&entry.address).await?;
        let incarnation = self.shared.next_incarnation();
        let own = own_update(entry, incarnation);
        run.watch.expect(host, &own.name, incarnation, false);
        self.hosts[host] = Some(CapacityHost::start(&self.shared, listener, own)?);
        Ok(())
    }

    /// Samples all daemons, with the faults that they have at present.
    fn sample(&self, run: &mut FaultRun) {
        let kind = |i: usize| run.active[i].map(|fault| fault.kind);
        let samples: Vec<_> = self
            .hosts
            .iter()
            .enumerate()
            .map(|(i, host)| Sample {
                host: host.as_ref(),
                paused: kind(i) == Some(HostFault::Paused),
                isolated: matches!(kind(i), Some(HostFault::Isolated | HostFault::Leaving)),
            })
            .collect();
        run.watch.sample(&samples, Instant::now());
    }

    /// Returns the resource use per daemon since `usage_before` and `traffic_before`, which were
    /// taken `time` ago.
    fn usage(
        &self,
        usage_before: ProcessUsage,
        traffic_before: (u64, u64),
        time: Duration,
    ) -> io::Result<CapacityFigures> {
        let usage_after = ProcessUsage::read()?;
        let daemon_seconds = time.as_secs_f64() * self.hosts.len() as f64;
        let traffic = &self.shared.traffic;
        let cpu_time = usage_after.processor.saturating_sub(usage_before.processor);
        Ok(CapacityFigures {
            bytes: (traffic.bytes_out.get() - traffic_before.0) as f64 / daemon_seconds,
            calls: (traffic.calls_out.get() - traffic_before.1) as f64 / daemon_seconds,
            processor: cpu_time.as_secs_f64() * 1_000.0 / daemon_seconds,
            memory: usage_after.memory as f64 / 1_024.0 / self.hosts.len() as f64,
            platform: 0.0,
        })
    }
}

impl FaultRun {
    /// Records a fault of `host` for a random time from `range_ms`.
    fn begin_fault(&mut self, host: usize, kind: HostFault, range_ms: std::ops::Range<u64>) {
        let time = Duration::from_millis(self.random.random_range(range_ms));
        let until = Instant::now() + time;
        self.active[host] = Some(ActiveFault { kind, until });
    }
}
