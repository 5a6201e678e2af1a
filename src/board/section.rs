use {
    arc_swap::{ArcSwap, Guard},
    std::sync::Arc,
    tokio::sync::watch,
};

/// Read side of one section of the blackboard.
///
/// `load` is what the path of a request uses: it takes no lock. `changed` is what controllers
/// sleep on.
#[derive(Debug)]
pub struct Section<T> {
    cell: Arc<ArcSwap<T>>,
    seen: watch::Receiver<u64>,
}

impl<T> Clone for Section<T> {
    fn clone(&self) -> Self {
        Self {
            cell: Arc::clone(&self.cell),
            seen: self.seen.clone(),
        }
    }
}

impl<T> Section<T> {
    /// Borrows the current snapshot.
    pub fn load(&self) -> Guard<Arc<T>> {
        self.cell.load()
    }

    /// Returns the current snapshot as an owned pointer, for use across an await.
    pub fn snapshot(&self) -> Arc<T> {
        self.cell.load_full()
    }

    /// Waits until a snapshot newer than the last one seen by this handle is published.
    ///
    /// Returns `false` when the writer is gone and nothing will change any more.
    pub async fn changed(&mut self) -> bool {
        self.seen.changed().await.is_ok()
    }
}

/// Write side of one section; it is not `Clone`, so a section has exactly one writing controller.
#[derive(Debug)]
pub struct Writer<T> {
    cell: Arc<ArcSwap<T>>,
    count: watch::Sender<u64>,
}

impl<T> Writer<T> {
    /// Borrows the current snapshot.
    pub fn load(&self) -> Guard<Arc<T>> {
        self.cell.load()
    }

    /// Publishes `next` as the new snapshot and wakes every sleeping reader.
    pub fn publish(&mut self, next: T) {
        self.cell.store(Arc::new(next));
        self.count.send_modify(|count| *count += 1);
    }
}

impl<T> Writer<T>
where
    T: Clone,
{
    /// Copies the current snapshot, lets `change` edit the copy, and publishes it.
    pub fn update<F, R>(&mut self, change: F) -> R
    where
        F: FnOnce(&mut T) -> R,
    {
        let mut next = T::clone(&self.cell.load());
        let result = change(&mut next);
        self.publish(next);
        result
    }
}

/// Creates a section that holds `initial`.
pub fn section<T>(initial: T) -> (Writer<T>, Section<T>) {
    let cell = Arc::new(ArcSwap::from_pointee(initial));
    let (count, seen) = watch::channel(0);
    (
        Writer {
            cell: Arc::clone(&cell),
            count,
        },
        Section { cell, seen },
    )
}
