//! The accountant counts a share for no longer than its daemon does without it, and credit expires.

use {
    insta::assert_snapshot,
    lentillead::{
        board::{Quota, QuotaCredit, QuotaUnit},
        decide::{QuotaFleet, QuotaLimits, QuotaPool},
        port::{QuotaNeed, QuotaReport, QuotaStamp},
    },
    std::{collections::BTreeMap, fmt::Write, sync::Arc, time::Duration},
};

const ORGANISATION: u64 = 4;

fn at(ms: u64) -> Duration {
    Duration::from_millis(100_000 + ms)
}

/// A pool for an organisation with 1,000 requests a second.
fn pool() -> QuotaPool {
    let quota = Quota {
        rate: 1_000,
        burst: 1_000,
        unit: QuotaUnit::Requests,
    };
    let mut pool = QuotaPool::new(7, at(0));
    let limits = BTreeMap::from([(ORGANISATION, QuotaLimits::new(&quota))]);
    pool.set_limits(&limits, at(0));
    pool
}

/// A report that hands over half of the quota and answers the stamp of `stamped` after `elapsed` ms.
fn report(sequence: u64, stamped: u64, elapsed: u64, missing: u64) -> QuotaReport {
    let stamp = QuotaStamp {
        run: 7,
        time: at(stamped).as_micros() as u64,
    };
    QuotaReport {
        shard: 0,
        sender: 1,
        sequence,
        echo: Some((stamp, elapsed * 1_000)),
        daemons: 2,
        term: 2_000_000,
        needs: vec![QuotaNeed {
            organisation: ORGANISATION,
            missing,
            first_missing: missing,
            ..QuotaNeed::default()
        }],
    }
}

/// Guards against a share that counts at the accountant after its daemon has taken it back, because the
/// report was late, repeated, or meant for an earlier run of the accountant.
#[test]
fn a_late_share_counts_only_for_the_rest_of_its_term() {
    let mut lines = String::new();
    let mut show = |what: &str, report: &QuotaReport, received: u64| {
        let mut pool = pool();
        let handled = pool.report(report, at(received)).is_some();
        let part = pool.uses(at(received)).first().unwrap().part;
        let credit = pool.uses(at(received + 10_000)).first().unwrap().level;
        // What the share has brought, before it lapsed.
        let mut early = pool_after(report, received);
        let level = early.uses(at(received + 400)).first().unwrap().level;
        writeln!(
            lines,
            "{what}: handled {handled}, part {part}, credit after 400 ms {level:.0}, after 10 s {credit:.0}"
        )
        .unwrap();
    };
    show("in time", &report(1, 1_000, 500, 0), 1_510);
    show("1.8 s late", &report(1, 1_000, 500, 0), 3_300);
    show("2.5 s late", &report(1, 1_000, 500, 0), 4_000);
    show("stamp of the future", &report(1, 90_000, 500, 0), 1_500);
    let other_run = QuotaReport {
        echo: Some((QuotaStamp { run: 6, time: 0 }, 0)),
        ..report(1, 0, 0, 0)
    };
    show("stamp of another run", &other_run, 1_500);
    let no_stamp = QuotaReport {
        echo: None,
        ..report(1, 0, 0, 0)
    };
    show("without a stamp", &no_stamp, 1_500);
    let nothing = QuotaReport {
        daemons: 0,
        ..report(1, 1_000, 500, 0)
    };
    show("without a share", &nothing, 1_510);
    assert_snapshot!(lines);
}

fn pool_after(report: &QuotaReport, received: u64) -> QuotaPool {
    let mut pool = pool();
    pool.report(report, at(received));
    pool
}

/// Guards against an older report that replaces what a later one said, and against grants beyond the share.
#[test]
fn grants_follow_the_share_and_the_order_of_reports() {
    let mut pool = pool();
    let mut lines = String::new();
    for (received, report) in [
        (0, report(1, 0, 0, 0)),
        (900, report(3, 0, 900, 400)),
        (900, report(2, 0, 500, 400)),
        (910, report(4, 0, 910, 100)),
        (1_000, report(5, 0, 1_000, 100)),
        (1_900, report(6, 0, 1_900, 2_000)),
        // After a pause of the accountant the share has lapsed, and the credit with it.
        (9_000, report(7, 0, 1_950, 10)),
    ] {
        let reply = pool.report(&report, at(received));
        let grants = reply.map(|reply| {
            let grant = reply.grants[0];
            format!("{} granted, wait {} ms", grant.amount, grant.wait / 1_000)
        });
        writeln!(
            lines,
            "{received} ms, report {}: {}",
            report.sequence,
            grants.unwrap_or_else(|| "ignored".to_owned())
        )
        .unwrap();
    }
    assert_snapshot!(lines);
}

/// Guards against the use of credit after a pause of the daemon, also of credit that was reserved before it.
#[test]
fn credit_expires_while_a_daemon_is_paused() {
    let credit = Arc::new(QuotaCredit::default());
    credit.add(100, at(2_000));
    let sent = credit.reserve(10, at(100)).unwrap();
    let waits = credit.reserve(20, at(100)).unwrap();
    let mut lines = String::new();
    let mut show = |what: &str, done: bool| {
        let (free, held, used) = (credit.free(), credit.held(), credit.used());
        writeln!(
            lines,
            "{what}: {done}, free {free}, held {held}, used {used}"
        )
        .unwrap();
    };
    show("sent in time", sent.spend(at(1_999)));
    show("sent again", sent.spend(at(1_999)));
    show(
        "reserved after the pause",
        credit.reserve(1, at(5_000)).is_some(),
    );
    show("sent after the pause", waits.spend(at(5_000)));
    show("expired", credit.expire(at(5_000)));
    credit.add(50, at(7_000));
    show(
        "reserved credit sent with new credit",
        waits.spend(at(5_100)),
    );
    drop(waits);
    show("reserved credit dropped", true);
    drop(credit.reserve(5, at(5_100)));
    show("reserved anew and dropped", true);
    sent.refund();
    sent.refund();
    show(
        "refunded once",
        credit.take_refunded() == 10 && credit.take_refunded() == 0,
    );
    assert_snapshot!(lines);
}

/// Guards against a daemon that takes a greater share than the others leave to it, because it knows too few.
#[test]
fn a_daemon_owns_a_share_once_the_others_count_it() {
    let mut lines = String::new();
    let mut show = |what: &str, fleet: &mut QuotaFleet, times: &[u64]| {
        for ms in times {
            let daemons = fleet.daemons(at(*ms));
            writeln!(lines, "{what}, {ms} ms: {daemons:?}").unwrap();
        }
    };
    let own = 1_000_000;
    let mut unread = QuotaFleet::default();
    show("list not read", &mut unread, &[0, 100_000]);
    let mut together = QuotaFleet::default();
    together.observe(at(0), own, [own]);
    together.observe(at(500), own, [own, own + 400, own - 300]);
    show("all start together", &mut together, &[900, 1_400, 1_600]);
    let mut joins = QuotaFleet::default();
    joins.observe(at(0), own, [own, own - 60_000, own - 60_000]);
    show("joins older ones", &mut joins, &[1_600, 5_900, 6_000]);
    joins.observe(at(10_000), own, [own, own - 60_000]);
    show("one has left", &mut joins, &[10_000, 39_000, 41_000]);
    joins.observe(at(50_000), own, [own; 9]);
    show("others join", &mut joins, &[50_000]);
    assert_snapshot!(lines);
}
