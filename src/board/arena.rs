use {
    slotmap::{Key, SlotMap},
    std::{collections::HashMap, sync::Arc},
};

/// Arena of named values: a slot map with an index by name.
///
/// A key stays valid across snapshots for as long as its name is present. After a removal the
/// generation in the key no longer matches, so every stale copy of it finds nothing.
#[derive(Clone, Debug)]
pub struct Arena<K, V>
where
    K: Key,
{
    slots: SlotMap<K, V>,
    by_name: HashMap<Arc<str>, K>,
}

impl<K, V> Default for Arena<K, V>
where
    K: Key,
{
    fn default() -> Self {
        Self {
            slots: SlotMap::with_key(),
            by_name: HashMap::new(),
        }
    }
}

impl<K, V> Arena<K, V>
where
    K: Key,
{
    /// Returns the value at `key`, or `None` if the key is stale.
    pub fn get(&self, key: K) -> Option<&V> {
        self.slots.get(key)
    }

    /// Returns the value at `key` for editing, or `None` if the key is stale.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        self.slots.get_mut(key)
    }

    /// Returns the key of `name`, or `None` if the arena has no value of that name.
    pub fn find(&self, name: &str) -> Option<K> {
        self.by_name.get(name).copied()
    }

    /// Inserts `value` under `name` and returns its key.
    ///
    /// If `name` is present, its value is replaced and its key stays the same.
    pub fn insert(&mut self, name: &str, value: V) -> K {
        if let Some(key) = self.find(name) {
            self.slots[key] = value;
            return key;
        }
        let key = self.slots.insert(value);
        self.by_name.insert(Arc::from(name), key);
        key
    }

    /// Removes `name` and returns its value, or `None` if it was not present.
    pub fn remove(&mut self, name: &str) -> Option<V> {
        let key = self.by_name.remove(name)?;
        self.slots.remove(key)
    }

    /// Iterates over keys and values in slot order, which is not the order of the names.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.slots.iter()
    }

    /// Returns the number of values.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether the arena has no values.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }
}
