//! The memory that the request bodies of a listener keep.

use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// The bytes of each body that large bodies cannot take from small ones.
const SMALL_BODY: usize = 16 << 10;

/// The share of the memory that is kept for these.
const SMALL_SHARE: usize = 4;

/// The memory for bodies, in two pools: one for the beginning of each body, one for the rest of
/// large bodies.
#[derive(Debug)]
pub(crate) struct Memory {
    small: Pool,
    large: Pool,
}

impl Memory {
    pub(crate) fn new(bytes: usize) -> Self {
        let small = bytes / SMALL_SHARE;
        Self {
            small: Pool::new(small),
            large: Pool::new(bytes - small),
        }
    }

    pub(crate) const fn bytes(&self) -> usize {
        self.small.bytes + self.large.bytes
    }

    /// The largest body for which there can be memory.
    pub(crate) fn largest_body(&self) -> usize {
        if self.small.bytes < SMALL_BODY {
            self.small.bytes
        } else {
            SMALL_BODY + self.large.bytes
        }
    }

    /// Grows what is held to `bytes`, waiting up to `limit` for memory. Returns whether it is held.
    pub(crate) async fn grow(&self, held: &mut Held, bytes: usize, limit: Duration) -> bool {
        let small = bytes.min(SMALL_BODY);
        self.small.grow(&mut held.small, small, limit).await
            && self.large.grow(&mut held.large, bytes - small, limit).await
    }
}

#[derive(Debug)]
struct Pool {
    free: Arc<Semaphore>,
    bytes: usize,
}

impl Pool {
    fn new(bytes: usize) -> Self {
        Self {
            free: Arc::new(Semaphore::new(bytes)),
            bytes,
        }
    }

    async fn grow(
        &self,
        held: &mut Option<OwnedSemaphorePermit>,
        bytes: usize,
        limit: Duration,
    ) -> bool {
        let more = bytes.saturating_sub(permits(held));
        if more == 0 {
            return true;
        }
        let Ok(more) = u32::try_from(more) else {
            return false;
        };
        let granted = match self.free.clone().try_acquire_many_owned(more) {
            Ok(granted) => granted,
            Err(_) => match timeout(limit, self.free.clone().acquire_many_owned(more)).await {
                Ok(Ok(granted)) => granted,
                Ok(Err(_)) | Err(_) => return false,
            },
        };
        match held {
            Some(held) => held.merge(granted),
            None => *held = Some(granted),
        }
        true
    }
}

/// Memory that is held until it is dropped.
#[derive(Debug, Default)]
pub(crate) struct Held {
    small: Option<OwnedSemaphorePermit>,
    large: Option<OwnedSemaphorePermit>,
}

impl Held {
    pub(crate) fn bytes(&self) -> usize {
        permits(&self.small) + permits(&self.large)
    }

    /// Releases all but `bytes`.
    pub(crate) fn shrink(&mut self, bytes: usize) {
        shrink(&mut self.small, bytes.min(SMALL_BODY));
        shrink(&mut self.large, bytes.saturating_sub(SMALL_BODY));
    }
}

fn permits(held: &Option<OwnedSemaphorePermit>) -> usize {
    held.as_ref().map_or(0, OwnedSemaphorePermit::num_permits)
}

fn shrink(held: &mut Option<OwnedSemaphorePermit>, bytes: usize) {
    if let Some(permit) = held {
        let surplus = permit.num_permits().saturating_sub(bytes);
        drop(permit.split(surplus));
    }
}
