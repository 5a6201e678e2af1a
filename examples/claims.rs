//! Measures the platform calls, bytes and latency of at-most-once claims for each way of storing
//! them, and the memory of a claim in a committer's table.
//!
//! Run with `cargo run --release --example claims`.

use {
    bytes::Bytes,
    hdrhistogram::Histogram,
    lentillead::{
        board::Blackboard,
        border::{ClaimObjects, PlatformClient},
        control::{ClaimCommitters, ClaimSettings},
        decide::ClaimTable,
        fake::{FakePlatform, PlatformControl, PlatformSettings},
        key::{AttemptId, RequestId},
        port::{
            ClaimEnd, ClaimKey, ClaimOutcome, ClaimRecord, ClaimRequest, Claimer, MonoClock,
            ObjectStore,
        },
    },
    std::{
        error::Error,
        fs::read_to_string,
        time::{Duration, Instant},
    },
    tokio::time::{MissedTickBehavior, interval},
};

const DELAY_MS: u64 = 3;
const RUN: Duration = Duration::from_secs(4);
const RATES: [u64; 3] = [10, 100, 500];
const PARTITIONS: u32 = 16;
const TIMEOUT: Duration = Duration::from_secs(10);
const TABLE_RECORDS: u64 = 200_000;
const PAGE_BYTES: u64 = 4_096;

/// A way of storing claims on the platform.
#[derive(Clone, Debug)]
enum ClaimStorage {
    /// One object for each claim, written by one create and one update.
    Object(PlatformClient),
    /// Claims of a partition are written together by its committer.
    Group(ClaimCommitters<MonoClock>),
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    println!("platform delay {DELAY_MS} ms, {PARTITIONS} partitions, {RUN:?} a row");
    println!("way            claims/s  calls/claim  bytes/claim  take p50 ms  p99 ms");
    for rate in RATES {
        measure("object", rate, None).await?;
        for window_ms in [0, 5, 50] {
            let window = Duration::from_millis(window_ms);
            measure(&format!("group {window_ms} ms"), rate, Some(window)).await?;
        }
    }
    let before = resident();
    let table = table();
    let held = resident().saturating_sub(before) / table.len() as u64;
    println!("memory of a claim in a committer's table: {held} bytes");
    Ok(())
}

async fn measure(name: &str, rate: u64, window: Option<Duration>) -> Result<(), Box<dyn Error>> {
    let fake = FakePlatform::start(PlatformSettings::default()).await?;
    let client = PlatformClient::new(&fake.url(), TIMEOUT)?;
    fake.control(PlatformControl {
        delay_ms: Some(DELAY_MS),
        ..PlatformControl::default()
    });
    let storage = match window {
        None => ClaimStorage::Object(client),
        Some(window) => ClaimStorage::Group(start(client, window)),
    };
    let total = rate * RUN.as_secs();
    let mut ticks = interval(Duration::from_secs(1) / u32::try_from(rate)?);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut running = Vec::new();
    for i in 0..total {
        ticks.tick().await;
        let storage = storage.clone();
        running.push(tokio::spawn(async move { claim(&storage, i).await }));
    }
    let mut taken = Histogram::<u64>::new(3)?;
    for claim in running {
        taken.record(claim.await?.as_micros() as u64)?;
    }
    let seen = fake.observed();
    let calls = seen.reads + seen.creates + seen.updates;
    println!(
        "{name:<13} {rate:>9} {:>12.2} {:>12} {:>12.1} {:>7.1}",
        calls as f64 / total as f64,
        seen.written / total,
        taken.value_at_quantile(0.5) as f64 / 1e3,
        taken.value_at_quantile(0.99) as f64 / 1e3,
    );
    Ok(())
}

fn start(client: PlatformClient, window: Duration) -> ClaimCommitters<MonoClock> {
    let settings = ClaimSettings {
        partitions: PARTITIONS,
        window,
        retention: Duration::from_hours(24),
    };
    let (board, _) = Blackboard::new();
    let store = ClaimObjects::new(client);
    ClaimCommitters::start(&store, MonoClock::start(), &board.members, settings, 1)
}

/// Takes and finishes one claim; returns the duration of the take.
async fn claim(storage: &ClaimStorage, i: u64) -> Duration {
    let started = Instant::now();
    match storage {
        ClaimStorage::Object(client) => {
            let name = format!("claims/{i}");
            let body = Bytes::from(vec![0; 80]);
            let version = client.create(&name, body.clone()).await;
            let duration = started.elapsed();
            let version = version.expect("the fake platform has no faults");
            let finished = client.update(&name, version, body).await;
            finished.expect("the fake platform has no faults");
            duration
        }
        ClaimStorage::Group(claims) => {
            let take = ClaimRequest::Take {
                key: key(i),
                body_hash: i,
                attempt: attempt(i),
                remaining: TIMEOUT,
            };
            let outcome = claims.submit(take).await;
            let duration = started.elapsed();
            assert_eq!(outcome, ClaimOutcome::Taken);
            let finish = ClaimRequest::Finish {
                key: key(i),
                attempt: attempt(i),
                end: end(),
            };
            assert_eq!(claims.submit(finish).await, ClaimOutcome::Recorded);
            duration
        }
    }
}

fn key(i: u64) -> ClaimKey {
    ClaimKey {
        branch: "anglesey".into(),
        kind: "deposit".into(),
        key: format!("5f0c6c1e-0000-4000-8000-{i:012}"),
    }
}

fn attempt(sequence: u64) -> AttemptId {
    let request = RequestId {
        host: u64::MAX / 3,
        incarnation: 1_790_000_000_000,
        sequence,
    };
    AttemptId { request, number: 0 }
}

fn end() -> ClaimEnd {
    ClaimEnd::Answered {
        status: 201,
        content_type: "application/json".into(),
        body: br#"{"receipt":"00000000"}"#.to_vec(),
        complete: true,
    }
}

fn table() -> ClaimTable {
    let mut table = ClaimTable::default();
    table.merge((0..TABLE_RECORDS).map(|i| ClaimRecord {
        key: key(i),
        body_hash: Some(i),
        attempt: attempt(i),
        end: Some(end()),
        at_ms: i,
    }));
    table
}

/// Resident memory of this process in bytes, or 0 if it can't be read.
fn resident() -> u64 {
    let pages = read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = pages.split_whitespace().nth(1);
    let pages: u64 = pages.and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * PAGE_BYTES
}
