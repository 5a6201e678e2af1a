//! Bounds on what is held for callers, and which connection gives way.

use {
    insta::{assert_json_snapshot, assert_yaml_snapshot},
    lentillead::{
        board::{CallerAccount, CallerBounds, ConnectionStanding, ReceiveBounds, Tick},
        border::CallerMemory,
        decide::{
            HTTP1_CONNECTION_BYTES, PROGRESS_BYTES, SMALL_REQUEST_BYTES, Shortage, body_limit,
            caller_bounds, gives_way, is_nearly_full,
        },
    },
    prometheus_client::registry::Registry,
    serde_json::json,
    std::time::Duration,
};

/// Bounds with room for a few connections and bodies.
const BOUNDS: CallerBounds = CallerBounds {
    connections: 4,
    connection_bytes: 96 << 10,
    receive: ReceiveBounds {
        buffer_bytes: 32 << 10,
        queued: 16,
    },
    body_bytes: 512 << 10,
    reserved_bytes: 128 << 10,
    response_bytes: 0,
};

fn ms(ms: u64) -> Tick {
    Tick::default() + Duration::from_millis(ms)
}

/// The parts of small hosts must leave room for the process, and those of large ones must not be tiny.
#[test]
fn bounds_follow_from_the_limits_of_the_host() {
    let hosts = [
        (16, 32),
        (64, 800),
        (88, 3_075),
        (110, 4_100),
        (256, 1_024),
        (512, 10_250),
        (512, 1),
    ];
    let seen = hosts.map(|(memory_mb, descriptors)| {
        let bounds = caller_bounds(memory_mb << 20, descriptors, HTTP1_CONNECTION_BYTES);
        let large = body_limit(&bounds, SMALL_REQUEST_BYTES + 1);
        json!({
            "memory_mb": memory_mb,
            "descriptors": descriptors,
            "connections": bounds.connections,
            "connection_kb": bounds.connection_bytes >> 10,
            "receive_kb": bounds.receive.buffer_bytes >> 10,
            "queued": bounds.receive.queued,
            "body_kb": bounds.body_bytes >> 10,
            "large_body_kb": large >> 10,
            "small_body_kb": body_limit(&bounds, SMALL_REQUEST_BYTES) >> 10,
            "response_kb": bounds.response_bytes >> 10,
            "nearly_full": [is_nearly_full(&bounds, 0), is_nearly_full(&bounds, bounds.connections)],
        })
    });
    assert_json_snapshot!("caller_room_bounds", seen);
}

/// A connection that waits for an endpoint, or has made progress, must never give way.
#[test]
fn the_connection_longest_without_progress_gives_way() {
    let account = CallerAccount::new(BOUNDS);
    let keys = [0, 10, 20, 30].map(|at| account.open(ms(at)).unwrap());
    let [unused, working, receiving, unread] = keys;
    account.begin_body(working, ms(40));
    account.begin_work(working);
    account.end_body(working);
    account.begin_body(receiving, ms(100));
    account.begin_work(unread);
    account.set_blocked(unread, true, ms(200));
    let name = |standing: ConnectionStanding| {
        let names = ["unused", "working", "receiving", "unread"];
        let at = keys.iter().position(|key| *key == standing.key).unwrap();
        names[at]
    };
    let choose = |shortage, at| gives_way(account.standings(), shortage, ms(at)).map(name);
    let mut seen = Vec::new();
    for at in [100, 300, 1_150, 1_250] {
        let connections = choose(Shortage::Connections, at);
        seen.push(json!([at, connections, choose(Shortage::Memory, at)]));
    }
    account.moved(receiving, PROGRESS_BYTES - 1, PROGRESS_BYTES, ms(1_300));
    account.moved(receiving, PROGRESS_BYTES - 1, PROGRESS_BYTES, ms(1_400));
    seen.push(json!(["progress", choose(Shortage::Memory, 1_500)]));
    account.evict(unread);
    seen.push(json!(["evicted", choose(Shortage::Memory, 1_500)]));
    account.leave(unused);
    let reused = account.open(ms(1_500)).unwrap();
    seen.push(json!([
        "reused",
        reused.index == unused.index,
        reused == unused
    ]));
    seen.push(json!([
        "stale key",
        account.join(unused),
        account.open(ms(1_500)).is_some()
    ]));
    assert_json_snapshot!("caller_room_gives_way", seen);
}

/// A caller that sends just fast enough must not keep the last connection from others, nor a fast one lose it.
#[test]
fn the_slowest_sender_gives_way_if_every_connection_makes_progress() {
    let account = CallerAccount::new(BOUNDS);
    let keys = [0; 4].map(|at| account.open(ms(at)).unwrap());
    let [slow, fast, working, _unused] = keys;
    for key in [slow, fast, working] {
        account.begin_body(key, ms(0));
    }
    account.begin_work(working);
    account.end_body(working);
    let name = |standing: ConnectionStanding| {
        let names = ["slow", "fast", "working", "unused"];
        names[keys.iter().position(|key| *key == standing.key).unwrap()]
    };
    let shortages = [
        Shortage::Connections,
        Shortage::AllConnections,
        Shortage::Memory,
    ];
    let mut seen = Vec::new();
    for at in [100, 200, 260, 900, 1_100] {
        for (key, bytes) in keys
            .into_iter()
            .zip([PROGRESS_BYTES, 64 << 10, 0, PROGRESS_BYTES])
        {
            account.received(key, bytes);
            account.moved(key, bytes, PROGRESS_BYTES, ms(at));
        }
        let chosen =
            shortages.map(|shortage| gives_way(account.standings(), shortage, ms(at)).map(name));
        seen.push(json!([at, chosen]));
    }
    assert_json_snapshot!("caller_room_slowest", seen);
}

/// Large bodies must leave the reserved part to small ones, and every byte must be released again.
#[tokio::test(start_paused = true)]
async fn bodies_share_a_bounded_memory() {
    let mut registry = Registry::default();
    let memory = CallerMemory::new(BOUNDS, &mut registry);
    let connection = memory.open().await.unwrap();
    let mut seen = Vec::new();
    let held = || {
        let mut text = String::new();
        prometheus_client::encoding::text::encode(&mut text, &registry).unwrap();
        let line = text.lines().find(|line| line.contains("bodies")).unwrap();
        line.split(' ').next_back().unwrap().to_owned()
    };
    let work = connection.begin_request().unwrap();
    let mut large = work.body(1 << 20);
    let mut taken = 0;
    while large.extend(&[7; 10_000]).await {
        taken += 10_000;
    }
    seen.push(format!("large body took {taken}, held {}", held()));
    let mut small = work.body(100);
    seen.push(format!(
        "small body fits: {}",
        small.extend(&[8; 100]).await
    ));
    let small = small.freeze().await.unwrap();
    seen.push(format!("with the small one {}", held()));
    drop(large);
    seen.push(format!("without the large one {}", held()));
    let mut whole = work.body(200_000);
    for part in 0..200_u8 {
        assert!(whole.extend(&[part; 1_000]).await);
    }
    let whole = whole.freeze().await.unwrap();
    let ordered = (0..200_000).all(|at| whole[at] == (at / 1_000) as u8);
    seen.push(format!(
        "{} bytes in order: {ordered}, held {}",
        whole.len(),
        held()
    ));
    drop((small, whole));
    seen.push(format!("in the end {}", held()));
    assert_yaml_snapshot!("caller_room_bodies", seen);
}
