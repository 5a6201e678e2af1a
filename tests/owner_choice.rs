//! Order in which an entry host sends grant requests to owners, and to how many.

use lentillead::{
    decide::{OwnerOption, order_owners, owners_to_request},
    key::HostKey,
};

fn option(free: u32, waiting: u32, same_zone: bool, tie_break: u64) -> OwnerOption {
    OwnerOption {
        host: HostKey::default(),
        free,
        endpoints: 5,
        waiting,
        same_zone,
        tie_break,
    }
}

#[test]
fn free_memory_then_zone_then_queue() {
    let mut options = [
        option(0, 9, true, 1),
        option(0, 2, true, 2),
        option(0, 1, false, 3),
        option(8, 5, false, 4),
        option(4, 0, true, 6),
        option(8, 0, true, 5),
        option(3, 0, true, 0),
    ];
    order_owners(&mut options, 4);
    let order: Vec<_> = options
        .iter()
        .map(|o| (o.free, o.waiting, o.same_zone, o.tie_break))
        .collect();
    insta::assert_debug_snapshot!("owner_order", order);
}

#[test]
fn requests_go_to_owners_until_enough_endpoints_are_covered() {
    let options = [option(1, 0, true, 0); 8];
    assert_eq!(owners_to_request(&options, 2), 3);
    assert_eq!(owners_to_request(&options, 4), 4);
    assert_eq!(owners_to_request(&[], 0), 1);
}
