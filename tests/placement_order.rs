//! Order in which the daemon that places requests serves them.

use {
    crate::listed::{listed, publish_engines},
    insta::assert_yaml_snapshot,
    lentillead::{
        board::{Blackboard, Role},
        control::AllocationController,
        port::{MonoClock, PlacementOutcome, PlacementRequest},
    },
    std::time::Duration,
    tokio::{
        join,
        time::{Instant, sleep},
    },
};

/// Requests an engine of one pool for a stream that arrived two seconds ago.
fn request(id: u64, avoid: &[&str], late: bool) -> PlacementRequest {
    PlacementRequest {
        id,
        pool: "models".to_owned(),
        prompt_tokens: 100,
        output_tokens: 100,
        late,
        waited: Duration::from_secs(2),
        target: Duration::from_millis(900),
        priority: 0,
        organisation: None,
        remote_prefill: false,
        avoid: avoid.iter().map(ToString::to_string).collect(),
        unreachable: Vec::new(),
        causes: Vec::new(),
        limits: Vec::new(),
    }
}

#[tokio::test(start_paused = true)]
async fn a_stream_that_can_meet_its_target_does_not_wait_behind_late_ones_that_fit_nowhere() {
    let (board, mut writers) = Blackboard::new();
    publish_engines(&mut writers, &[listed("d1", "models", Role::Decode)]);
    let (controller, handle) = AllocationController::new(board, MonoClock::start());
    tokio::spawn(controller.run());
    let mut seen = Vec::new();
    for late in [false, true] {
        let after = |ms, request| {
            let handle = handle.clone();
            async move {
                sleep(Duration::from_millis(ms)).await;
                let start = Instant::now();
                let outcome = handle.place(request).await.outcome;
                let placed = matches!(outcome, PlacementOutcome::Placed { .. });
                (placed, start.elapsed().as_millis())
            }
        };
        let fits_nowhere = |ms| after(ms, request(ms + u64::from(late), &["d1"], late));
        let new = PlacementRequest {
            waited: Duration::ZERO,
            ..request(2 + u64::from(late), &[], false)
        };
        let (_, _, new) = join!(fits_nowhere(0), fits_nowhere(70), after(10, new));
        seen.push((late, new));
    }
    assert_yaml_snapshot!(seen);
}
