//! Membership under deaths, restarts, leaves, pauses and network partitions. Deaths, restarts and
//! leaves must be agreed on while the platform is unavailable.

use {
    crate::cluster::{Cluster, name},
    insta::assert_debug_snapshot,
    lentillead::board::HostState::{Alive, Dead, Leaving},
    std::{collections::BTreeSet, time::Duration},
    tokio::time::sleep,
};

const HOSTS: usize = 12;

/// Time in which a false suspicion would end in a removal.
const PARTITION_TIME: Duration = Duration::from_secs(20);

/// Whether all hosts list one another as alive, waiting for it as long as `Cluster::agree` does.
async fn all_alive(cluster: &Cluster) -> bool {
    let mut agreed = true;
    for i in 0..HOSTS {
        agreed &= cluster.agree(i, Alive).await;
    }
    agreed
}

/// The distinct states in which the other hosts list host `number`.
fn states(cluster: &Cluster, number: usize) -> BTreeSet<String> {
    let views = cluster.views(number);
    views.iter().map(|view| format!("{:?}", view.0)).collect()
}

#[tokio::test(start_paused = true)]
async fn deaths_restarts_and_leaves() {
    let mut cluster = Cluster::start(HOSTS);
    cluster.platform.set_unavailable(true);
    let mut steps = vec![("join", all_alive(&cluster).await)];
    cluster.kill(3);
    steps.push(("death", cluster.agree(3, Dead).await));
    cluster.start_host(3, 2);
    steps.push(("restart", cluster.agree(3, Alive).await));
    let renewed = |cluster: &Cluster| cluster.views(3).iter().all(|view| view.1 == 2);
    steps.push(("new incarnation", cluster.until(renewed).await));
    cluster.planes[&name(5)].members.leave().await;
    steps.push(("leave", cluster.agree(5, Leaving).await));
    cluster.kill(5);
    steps.push(("end of leave", cluster.agree(5, Dead).await));
    assert_debug_snapshot!("membership_changes", steps);
}

#[tokio::test(start_paused = true)]
async fn pauses_and_partitions() {
    let cluster = Cluster::start(HOSTS);
    let mut steps = vec![("join", all_alive(&cluster).await)];
    cluster.planes[&name(7)].pause.set(true);
    steps.push(("pause", cluster.agree(7, Dead).await));
    cluster.planes[&name(7)].pause.set(false);
    steps.push(("resume", all_alive(&cluster).await));
    let refuted = |cluster: &Cluster| cluster.views(7).iter().all(|view| view.2 > 0);
    steps.push(("refutation", cluster.until(refuted).await));

    for i in 0..HOSTS / 2 {
        cluster.partition.block(&name(2), &name(i));
        cluster.partition.block(&name(i), &name(2));
    }
    let removed = cluster.within(PARTITION_TIME, |cluster| {
        cluster.views(2).iter().any(|view| view.0 == Dead)
    });
    steps.push(("partitioned from half, never removed", !removed.await));
    cluster.partition.heal();

    let sides: [Vec<_>; 2] = [(0..4).map(name).collect(), (4..HOSTS).map(name).collect()];
    cluster.partition.split(&sides[0], &sides[1]);
    sleep(PARTITION_TIME * 2).await;
    let split = BTreeSet::from([String::from("Alive"), String::from("Dead")]);
    steps.push(("split", (0..HOSTS).all(|i| states(&cluster, i) == split)));
    cluster.partition.heal();
    steps.push(("heal", all_alive(&cluster).await));
    assert_debug_snapshot!("membership_partitions", steps);
}
