//! Stages of the start of a daemon, each without the one before: hundreds of daemons start at once, and none
//! may wait for another.

use {
    crate::{
        forward_site::{Act, placed, site},
        listed::{listed, publish_engines},
    },
    insta::assert_yaml_snapshot,
    lentillead::{
        board::{Blackboard, Fleet, Health, Role},
        control::{AllocationController, AllocationHandle},
        port::{MonoClock, PeerCall, PeerReply, PlacementOutcome, PlacementRequest},
    },
    std::{mem, time::Duration},
    tokio::{
        join,
        time::{Instant, sleep},
    },
};

fn request(id: u64) -> PlacementRequest {
    PlacementRequest {
        id,
        pool: "models".to_owned(),
        prompt_tokens: 100,
        output_tokens: 100,
        late: false,
        waited: Duration::ZERO,
        target: Duration::from_millis(900),
        priority: 0,
        organisation: None,
        remote_prefill: false,
        avoid: Vec::new(),
        unreachable: Vec::new(),
        causes: Vec::new(),
        limits: Vec::new(),
    }
}

/// Returns the outcome of placement request `id` and the time it took in milliseconds.
async fn place(handle: &AllocationHandle, id: u64, from_peer: bool) -> (PlacementOutcome, u128) {
    let start = Instant::now();
    let call = PeerCall::Place(request(id));
    let reply = if from_peer {
        handle.handle_peer(call).await
    } else {
        handle.handle(call).await
    };
    let PeerReply::Placement(reply) = reply else {
        panic!("reply of another kind");
    };
    (reply.outcome, start.elapsed().as_millis())
}

/// A daemon that had just started kept the streams of all others waiting, although they knew endpoints.
#[tokio::test(start_paused = true)]
async fn a_daemon_without_endpoints_does_not_keep_the_streams_of_others_waiting() {
    let (board, mut writers) = Blackboard::new();
    let (controller, handle) = AllocationController::new(board, MonoClock::start());
    tokio::spawn(controller.run());
    let mut seen = Vec::new();
    seen.push(("another daemon", place(&handle, 1, true).await));
    seen.push(("itself", place(&handle, 2, false).await));
    publish_engines(&mut writers, &[listed("d1", "models", Role::Decode)]);
    seen.push(("another daemon, listed", place(&handle, 3, true).await));
    // All endpoints leave: nothing is about to be listed, but the daemon is not starting.
    writers.health.update(|health| health.ready = true);
    writers.fleet.publish(Fleet::default());
    seen.push(("another daemon, all left", place(&handle, 4, true).await));
    assert_yaml_snapshot!(seen);
}

/// Streams that arrive before the endpoints are listed wait for them within their time, also while no daemon
/// places requests.
#[tokio::test(start_paused = true)]
async fn a_stream_waits_for_the_first_list_of_endpoints() {
    let mut seen = Vec::new();
    for listed_after_ms in [50, 300, 5_000] {
        let events = Act::Events(vec![1], true);
        let acts = vec![Act::Answer(200, 1), Act::Answer(200, 90), events];
        let mut site = site(PlacementOutcome::Unavailable, acts);
        let mut writers = mem::replace(&mut site.writers, Blackboard::new().1);
        let fleet = Fleet::clone(&writers.fleet.load());
        writers.fleet.publish(Fleet::default());
        writers.health.publish(Health::default());
        let list = async {
            sleep(Duration::from_millis(listed_after_ms)).await;
            writers.fleet.publish(fleet);
        };
        let (seen_stream, ()) = join!(site.send("/stream/"), list);
        seen.push((listed_after_ms, seen_stream));
    }
    assert_yaml_snapshot!(seen);
}

/// A placement request named the endpoints of all pools that its sender could not use, which after the failure of
/// many of them are thousands of names in each request.
#[tokio::test(start_paused = true)]
async fn a_placement_request_names_endpoints_of_its_own_pool_only() {
    let site = site(placed(), Vec::new());
    let now = site.entry.shared().now();
    let later = now + Duration::from_mins(1);
    let fleet = site.writers.fleet.load();
    for (_, endpoint) in fleet.endpoints.iter() {
        if ["s1", "d2"].contains(&endpoint.name.as_str()) {
            endpoint.counters.traffic.pause(later);
            endpoint.counters.traffic.avoid(later);
        }
    }
    drop(fleet);
    site.send("/stream/").await;
    let requests = site.placer.requests.lock().unwrap();
    let request = requests.first().unwrap();
    assert_yaml_snapshot!((&request.avoid, &request.unreachable));
}
