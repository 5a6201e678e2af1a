use {
    slotmap::{Key, SlotMap},
    std::{collections::HashMap, sync::Arc},
};

/// Arena of named values: a slot map with an index by name.
///
/// A key stays valid across snapshots for as long as the name is present; after a removal the
/// generation in the key makes every stale copy of it miss.
#[derive(Clone, Debug)]
pub struct Arena<K, V>
where
    K: Key,
{
    slots: SlotMap<K, V>,
    names: HashMap<Arc<str>, K>,
}

impl<K, V> Default for Arena<K, V>
where
    K: Key,
{
    fn default() -> Self {
        Self {
            slots: SlotMap::with_key(),
            names: HashMap::new(),
        }
    }
}

impl<K, V> Arena<K, V>
where
    K: Key,
{
    /// Returns the value at `key`, or nothing if the key is stale.
    pub fn get(&self, key: K) -> Option<&V> {
        self.slots.get(key)
    }

    /// Returns the value at `key` for editing.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        self.slots.get_mut(key)
    }

    /// Returns the key of `name`.
    pub fn find(&self, name: &str) -> Option<K> {
        self.names.get(name).copied()
    }

    /// Inserts `value` under `name`, or replaces the value and keeps the key.
    pub fn insert(&mut self, name: &str, value: V) -> K {
        if let Some(key) = self.find(name) {
            self.slots[key] = value;
            return key;
        }
        let key = self.slots.insert(value);
        self.names.insert(Arc::from(name), key);
        key
    }

    /// Removes `name` and returns its value.
    pub fn remove(&mut self, name: &str) -> Option<V> {
        let key = self.names.remove(name)?;
        self.slots.remove(key)
    }

    /// Iterates over keys and values in slot order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.slots.iter()
    }

    /// Number of values.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether the arena holds nothing.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }
}
