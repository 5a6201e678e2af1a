//! Order in which daemons are chosen to place the requests of a pool.

use {
    insta::assert_yaml_snapshot,
    lentillead::{
        board::{Arena, Host, HostState, Tick},
        decide::placer_order,
        key::HostKey,
    },
};

/// Start of the day, in milliseconds since the Unix epoch.
const DAY: u64 = 1_764_806_400_000;

/// The order of daemons, each with its name, its start in seconds of the day and whether it is
/// alive, at `second` of the day; all have the same CPU share.
fn order(daemons: &[(&str, u64, bool)], pool: &str, second: u64) -> String {
    let equal = daemons.iter().map(|daemon| (*daemon, 25));
    order_of(&equal.collect::<Vec<_>>(), pool, second)
}

/// As [`order`], with the CPU share of each daemon in hundredths of a core.
fn order_of(daemons: &[((&str, u64, bool), u32)], pool: &str, second: u64) -> String {
    let mut hosts = Arena::<HostKey, Host>::default();
    for ((name, start, alive), cpu_hundredths) in daemons {
        let host = Host {
            name: (*name).to_owned(),
            address: "10.0.0.1:1".to_owned(),
            zone: "zone-a".to_owned(),
            incarnation: DAY + start * 1_000,
            refutations: 0,
            cpu_hundredths: *cpu_hundredths,
            state: if *alive {
                HostState::Alive
            } else {
                HostState::Dead
            },
            changed_at: Tick::default(),
        };
        hosts.insert(name, host);
    }
    let order = placer_order(pool, hosts.iter(), DAY + second * 1_000);
    let names = order.iter().filter_map(|key| hosts.get(*key));
    names
        .map(|host| host.name.as_str())
        .collect::<Vec<_>>()
        .join(" ")
}

#[test]
fn a_restarted_daemon_does_not_regain_its_pools_at_once() {
    let mut daemons = [
        ("a", 0, true),
        ("b", 1, true),
        ("c", 2, true),
        ("d", 3, true),
    ];
    let mut seen = vec![("new, by age", order(&daemons, "models", 10))];
    seen.push(("settled, by hash", order(&daemons, "models", 100)));
    seen.push(("another pool", order(&daemons, "notes", 100)));
    let first = daemons
        .iter()
        .position(|(name, _, _)| order(&daemons, "models", 100).starts_with(name));
    let first = first.unwrap();
    daemons[first].2 = false;
    seen.push(("the first is dead", order(&daemons, "models", 101)));
    daemons[first] = (daemons[first].0, 103, true);
    seen.push(("it has restarted", order(&daemons, "models", 104)));
    seen.push(("80 s later", order(&daemons, "models", 184)));
    seen.push(("90 s later", order(&daemons, "models", 194)));
    assert_yaml_snapshot!(seen);
}

#[test]
fn hosts_with_more_cpu_come_first() {
    let daemons = [
        (("weak-1", 0, true), 12),
        (("weak-2", 1, true), 12),
        (("strong-1", 2, true), 50),
        (("strong-2", 3, true), 40),
    ];
    let seen = [10, 100].map(|second| (second, order_of(&daemons, "models", second)));
    assert_yaml_snapshot!(seen);
}
