use {
    crate::{
        board::{HostList, ListedEndpoint, ListedHost, Role, Tick},
        port::HostEntry,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Number of successive lists without a host after which the host is removed.
const MAX_ABSENCES: u32 = 2;
/// Role of daemons in the platform's list.
const DAEMON_ROLE: &str = "daemon";

/// Hosts by the platform's list, which may be stale.
///
/// A host that disappears from the list counts as leaving at once, and is removed when the next list
/// lacks it too, because a single response may be stale.
#[derive(Debug, Default)]
pub struct HostRoster {
    hosts: BTreeMap<String, ListedEntry>,
}

/// Latest entry of a host, and the number of successive lists without it since.
#[derive(Debug)]
struct ListedEntry {
    entry: HostEntry,
    absences: u32,
}

impl HostRoster {
    /// Updates the hosts from a list. An empty list is ignored, since it shows that the platform has
    /// lost its data, not that all hosts have left.
    pub fn update(&mut self, list: Vec<HostEntry>) {
        if list.is_empty() {
            return;
        }
        let listed: BTreeSet<_> = list.iter().map(|entry| entry.name.clone()).collect();
        for entry in list {
            let known = ListedEntry { entry, absences: 0 };
            self.hosts.insert(known.entry.name.clone(), known);
        }
        self.hosts.retain(|name, known| {
            if !listed.contains(name) {
                known.absences += 1;
            }
            known.absences < MAX_ABSENCES
        });
    }

    /// Returns the list for the blackboard, as read from the platform at `read_at`; entries with an
    /// unknown role are left out.
    pub fn list(&self, read_at: Tick) -> HostList {
        let mut list = HostList {
            read_at,
            ..HostList::default()
        };
        for known in self.hosts.values() {
            let leaving = known.entry.leaving || known.absences > 0;
            let entry = known.entry.clone();
            if entry.role == DAEMON_ROLE {
                list.daemons.push(daemon(entry, leaving));
            } else if let Some(role) = role(&entry.role) {
                list.endpoints.push(endpoint(entry, role, leaving));
            }
        }
        list
    }
}

/// Returns the role of an endpoint that the list calls `word`; `None` if it is not known.
fn role(word: &str) -> Option<Role> {
    match word {
        "prefill" => Some(Role::Prefill),
        "decode" => Some(Role::Decode),
        "service" => Some(Role::Service),
        _ => None,
    }
}

fn daemon(entry: HostEntry, leaving: bool) -> ListedHost {
    ListedHost {
        name: entry.name,
        zone: entry.zone,
        address: entry.address,
        leaving,
    }
}

fn endpoint(entry: HostEntry, role: Role, draining: bool) -> ListedEndpoint {
    ListedEndpoint {
        name: entry.name,
        role,
        address: entry.address,
        zone: entry.zone,
        pool: entry.pool,
        draining,
    }
}
