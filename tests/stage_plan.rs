//! Choice of the engines that change between the prefill and the decode role.

use {
    crate::listed::listed,
    insta::assert_yaml_snapshot,
    lentillead::{
        board::{Fleet, Role},
        decide::{merge_described, prefill_goal, stage_changes},
    },
};

/// A fleet of one pool, from the name, zone, role and draining state of its engines.
fn fleet(engines: &[(&str, &str, Role, bool)]) -> Fleet {
    let entries: Vec<_> = engines
        .iter()
        .map(|(name, zone, role, draining)| {
            let (mut listed, description) = listed(name, "models", *role);
            (*zone).clone_into(&mut listed.zone);
            listed.draining = *draining;
            (listed, description)
        })
        .collect();
    let described: Vec<_> = entries.iter().map(|(l, d)| (l, d)).collect();
    let mut fleet = Fleet::default();
    merge_described(&mut fleet, &described);
    fleet
}

/// Role changes that a pool needs when 22 percent of its engines are to prefill.
fn changes(engines: &[(&str, &str, Role, bool)]) -> Vec<String> {
    let fleet = fleet(engines);
    let pool = fleet.pools.find("models").unwrap();
    let changes = stage_changes(&fleet, pool, 22);
    let described = changes.iter().map(|change| {
        let name = &fleet.endpoints.get(change.key).unwrap().name;
        format!("{name} to {:?}", change.role)
    });
    described.collect()
}

#[test]
fn goal_by_the_size_of_the_pool() {
    let goals: Vec<_> = [0, 1, 2, 3, 5, 6, 9, 12, 38, 300]
        .into_iter()
        .map(|count| (count, prefill_goal(count, 22)))
        .collect();
    assert_yaml_snapshot!(goals);
}

#[test]
fn engines_come_from_the_most_crowded_zone() {
    use Role::{Decode, Prefill};
    let four = [
        ("1", "a", Prefill, false),
        ("2", "a", Prefill, false),
        ("3", "b", Prefill, false),
        ("4", "c", Prefill, false),
        ("5", "a", Decode, false),
        ("6", "b", Decode, false),
        ("7", "b", Decode, false),
        ("8", "c", Decode, false),
        ("9", "c", Decode, false),
    ];
    let at_goal = [&four[..1], &four[2..3], &four[4..]].concat();
    let draining = [&[("1", "a", Prefill, true)][..], &four[4..]].concat();
    let alone = [("1", "a", Decode, false)];
    let service = [
        ("1", "a", Role::Service, false),
        ("2", "a", Role::Service, false),
    ];
    assert_yaml_snapshot!(vec![
        ("too many prefill engines", changes(&four)),
        ("at the goal", changes(&at_goal)),
        ("the only one drains", changes(&draining)),
        ("one engine", changes(&alone)),
        ("plain services", changes(&service)),
    ]);
}
