//! Order of a queue by lateness, priority, ageing and fair share, in usual and in late turns.

use {
    lentillead::{
        board::Tick,
        decide::{AGING_STEP, Waiting, late_rank, rank},
    },
    std::time::Duration,
};

const NOW: Tick = Tick(60_000_000);

fn waiting(priority: u8, waited: Duration, left: Duration, share: f64) -> Waiting {
    Waiting {
        arrived: Tick(NOW.0 - waited.as_micros() as u64),
        priority,
        due: NOW + left,
        work: Duration::from_millis(100),
        share,
    }
}

#[test]
fn order_under_priorities_ageing_and_shares() {
    let short = Duration::from_millis(500);
    let long = Duration::from_secs(9);
    let queue = [
        ("urgent, due soon", waiting(0, short, short, 1.0)),
        ("urgent, due later", waiting(0, short, long, 1.0)),
        (
            "urgent, branch over its share",
            waiting(0, short, short, 5.0),
        ),
        ("usual, due soon", waiting(1, short, short, 1.0)),
        ("usual, aged by one step", waiting(1, AGING_STEP, long, 1.0)),
        (
            "urgent, cannot be in time",
            waiting(0, long, Duration::from_millis(50), 1.0),
        ),
        ("usual, late", waiting(1, long, Duration::ZERO, 1.0)),
    ];
    let ordered = |late: bool| {
        let order = if late { late_rank } else { rank };
        let mut names = queue;
        names.sort_by_key(|(_, waiting)| order(waiting, NOW));
        names.map(|(name, _)| name)
    };
    insta::assert_yaml_snapshot!("queue_order", ordered(false));
    insta::assert_yaml_snapshot!("queue_order_late_turn", ordered(true));
}
