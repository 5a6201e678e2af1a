use {
    arc_swap::{ArcSwap, Guard},
    std::sync::Arc,
    tokio::sync::watch,
};

/// Read side of one section of the blackboard.
///
/// The request path reads with `load`, which takes no lock. Controllers wait for the next snapshot
/// with `changed`.
#[derive(Debug)]
pub struct Section<T> {
    current: Arc<ArcSwap<T>>,
    version_rx: watch::Receiver<u64>,
}

impl<T> Clone for Section<T> {
    fn clone(&self) -> Self {
        Self {
            current: Arc::clone(&self.current),
            version_rx: self.version_rx.clone(),
        }
    }
}

impl<T> Section<T> {
    /// Borrows the current snapshot without taking a lock.
    pub fn load(&self) -> Guard<Arc<T>> {
        self.current.load()
    }

    /// Returns the current snapshot as an owned pointer, which may be held across an await.
    pub fn snapshot(&self) -> Arc<T> {
        self.current.load_full()
    }

    /// Returns whether the writer still exists, so that the snapshot may be current.
    pub fn is_open(&self) -> bool {
        self.version_rx.has_changed().is_ok()
    }

    /// Waits until a snapshot newer than the last one seen by this handle is published.
    ///
    /// Returns `false` if the writer has been dropped, so that no further snapshot follows.
    pub async fn changed(&mut self) -> bool {
        self.version_rx.changed().await.is_ok()
    }
}

/// Write side of one section; it is not `Clone`, so that exactly one controller writes a section.
#[derive(Debug)]
pub struct Writer<T> {
    current: Arc<ArcSwap<T>>,
    version_tx: watch::Sender<u64>,
}

impl<T> Writer<T> {
    /// Borrows the current snapshot without taking a lock.
    pub fn load(&self) -> Guard<Arc<T>> {
        self.current.load()
    }

    /// Publishes `next` as the current snapshot and wakes every task that waits in `changed`.
    pub fn publish(&mut self, next: T) {
        self.current.store(Arc::new(next));
        self.version_tx.send_modify(|version| *version += 1);
    }
}

impl<T> Writer<T>
where
    T: Clone,
{
    /// Copies the current snapshot, lets `change` edit the copy, and publishes it.
    ///
    /// Returns the result of `change`.
    pub fn update<F, R>(&mut self, change: F) -> R
    where
        F: FnOnce(&mut T) -> R,
    {
        let mut next = T::clone(&self.current.load());
        let result = change(&mut next);
        self.publish(next);
        result
    }
}

/// Creates a section with `initial` as its first snapshot.
pub fn section<T>(initial: T) -> (Writer<T>, Section<T>) {
    let current = Arc::new(ArcSwap::from_pointee(initial));
    let (version_tx, version_rx) = watch::channel(0);
    (
        Writer {
            current: Arc::clone(&current),
            version_tx,
        },
        Section {
            current,
            version_rx,
        },
    )
}
