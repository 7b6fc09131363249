//! Starting, steering and stopping the stand-in.

use super::partition::{Condition, Outcome, Partition};
use super::server::Entrance;
use super::{Fault, TOPIC, server};
use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

/// Steers a running stand-in; clones steer the same one.
#[derive(Clone, Debug)]
pub struct Handle {
    address: SocketAddr,
    shared: Arc<server::Shared>,
    entrance: Entrance,
}

impl Handle {
    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The base URL for clients.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Changes the faults; calls already waiting keep those they met.
    pub fn with_fault(&self, change: impl FnOnce(&mut Fault)) {
        change(&mut self.entrance.fault());
    }

    /// Appends without HTTP and regardless of faults; gives the offset.
    pub fn append(&self, bytes: impl Into<Vec<u8>>) -> u64 {
        self.put(TOPIC, bytes)
    }

    /// Appends to any topic as the operator does, without HTTP and regardless of faults.
    pub fn put(&self, topic: &str, bytes: impl Into<Vec<u8>>) -> u64 {
        let records = vec![bytes.into()];
        match self.shared.append(topic, 0, records, &Condition::default()) {
            Some(Outcome::Done(offset, _)) => offset,
            _ => self.end(),
        }
    }

    /// Drops the history of a topic; the newest record of each key stays.
    pub fn compact(&self, topic: &str) {
        self.of(topic, |partition| partition.cut(partition.end()));
    }

    /// The keys of a keyed topic that have a newest record.
    #[must_use]
    pub fn keys(&self, topic: &str) -> Vec<String> {
        self.of(topic, |partition| {
            let newest = partition.newest(None).into_iter();
            newest.map(|(key, ..)| key.to_owned()).collect()
        })
    }

    fn of<T: Default>(&self, topic: &str, work: impl FnOnce(&mut Partition) -> T) -> T {
        let mut store = self.shared.store();
        store.partition(topic, 0).map(work).unwrap_or_default()
    }

    /// Cuts every record below `before`, as retention does.
    pub fn cut(&self, before: u64) {
        self.of(TOPIC, |partition| partition.cut(before));
    }

    /// The offset of the first kept record.
    #[must_use]
    pub fn earliest(&self) -> u64 {
        self.of(TOPIC, |partition| partition.earliest())
    }

    /// The offset that the next append gets.
    #[must_use]
    pub fn end(&self) -> u64 {
        self.of(TOPIC, |partition| partition.end())
    }

    /// All kept records with their offsets.
    #[must_use]
    pub fn records(&self) -> Vec<(u64, Vec<u8>)> {
        self.of(TOPIC, |partition| {
            let kept = partition.read(0, usize::MAX).into_iter();
            kept.map(|(offset, bytes)| (offset, bytes.to_vec()))
                .collect()
        })
    }

    /// How many appends took effect since the start.
    #[must_use]
    pub fn appends(&self) -> u64 {
        self.shared.appends.load(Ordering::Relaxed)
    }

    /// How many reads were asked since the start.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.shared.reads.load(Ordering::Relaxed)
    }

    /// How many bytes of records were read since the start.
    #[must_use]
    pub fn bytes_read(&self) -> u64 {
        self.shared.bytes_read.load(Ordering::Relaxed)
    }
}

/// A running stand-in, stopped on drop.
#[derive(Debug)]
pub struct Stand {
    handle: Handle,
    _stop: oneshot::Sender<()>,
}

impl Stand {
    /// Starts one on a port handed out by the system.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// let stand = cassiarock_test_support::log::Stand::start().await?;
    /// assert_eq!(stand.append("first"), 0);
    /// assert_eq!(stand.end(), 1);
    /// # std::io::Result::Ok(()) })?;
    /// # std::io::Result::Ok(())
    /// ```
    ///
    /// # Errors
    /// If no port of the loopback address can be opened.
    pub async fn start() -> std::io::Result<Self> {
        let shared = Arc::new(server::Shared::new());
        let (handle, stop) = open(shared).await?;
        Ok(Self {
            handle,
            _stop: stop,
        })
    }

    /// Another way into the same store, with faults of its own: for a caller that the store
    /// turns away while it serves the others.
    ///
    /// # Errors
    /// If no port of the loopback address can be opened.
    pub async fn door(&self) -> std::io::Result<Door> {
        let (handle, stop) = open(Arc::clone(&self.handle.shared)).await?;
        Ok(Door {
            handle,
            _stop: stop,
        })
    }
}

/// Another way into a stand-in, closed on drop.
#[derive(Debug)]
pub struct Door {
    handle: Handle,
    _stop: oneshot::Sender<()>,
}

impl Deref for Door {
    type Target = Handle;

    fn deref(&self) -> &Handle {
        &self.handle
    }
}

async fn open(shared: Arc<server::Shared>) -> std::io::Result<(Handle, oneshot::Sender<()>)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let entrance = Entrance {
        shared: Arc::clone(&shared),
        faults: Arc::new(Mutex::new(Fault::default())),
    };
    let router = server::router(entrance.clone());
    let handle = Handle {
        address: listener.local_addr()?,
        shared,
        entrance,
    };
    let (stop, stopped) = oneshot::channel();
    tokio::spawn(async move {
        let serve = axum::serve(listener, router);
        tokio::select! {
            _ = serve.into_future() => {}
            _ = stopped => {}
        }
    });
    Ok((handle, stop))
}

impl Deref for Stand {
    type Target = Handle;

    fn deref(&self) -> &Handle {
        &self.handle
    }
}

impl Drop for Stand {
    /// Connections still open find the log silent, as when its VM is lost.
    fn drop(&mut self) {
        self.handle.with_fault(|fault| fault.silent = true);
    }
}
