use {
    crate::{
        board::{HostList, ListedEndpoint, ListedHost, Role, Tick},
        port::HostEntry,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Successive lists without a host after which the host is removed.
const ABSENCES_MAX: u32 = 2;
/// Role of a daemon in the platform's list.
const DAEMON: &str = "daemon";

/// Hosts as the platform's lagging list tells of them.
///
/// A host that disappears from the list is treated as leaving at once and removed when the next
/// list lacks it too, because a single answer may be an old one.
#[derive(Debug, Default)]
pub struct HostRoster {
    hosts: BTreeMap<String, Known>,
}

#[derive(Debug)]
struct Known {
    entry: HostEntry,
    absences: u32,
}

impl HostRoster {
    /// Takes over a list. An empty one is ignored: it is a platform that has lost its hosts.
    pub fn absorb(&mut self, list: Vec<HostEntry>) {
        if list.is_empty() {
            return;
        }
        let listed: BTreeSet<_> = list.iter().map(|entry| entry.name.clone()).collect();
        for entry in list {
            let known = Known { entry, absences: 0 };
            self.hosts.insert(known.entry.name.clone(), known);
        }
        self.hosts.retain(|name, known| {
            if !listed.contains(name) {
                known.absences += 1;
            }
            known.absences < ABSENCES_MAX
        });
    }

    /// Returns the list as the blackboard holds it; entries with an unknown role are left out.
    pub fn list(&self, heard: Tick) -> HostList {
        let mut list = HostList {
            heard,
            ..HostList::default()
        };
        for known in self.hosts.values() {
            let leaving = known.entry.leaving || known.absences > 0;
            let entry = known.entry.clone();
            if entry.role == DAEMON {
                list.entries.push(daemon(entry, leaving));
            } else if let Some(role) = role(&entry.role) {
                list.endpoints.push(endpoint(entry, role, leaving));
            }
        }
        list
    }
}

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

fn endpoint(entry: HostEntry, role: Role, leaving: bool) -> ListedEndpoint {
    ListedEndpoint {
        name: entry.name,
        role,
        address: entry.address,
        zone: entry.zone,
        pool: entry.pool,
        leaving,
    }
}
