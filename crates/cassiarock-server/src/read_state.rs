//! What has been read of a connection's requests.

use crate::seat::{Seat, Stage};
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, Waker};

/// What has been read of a connection's requests, shared by its socket and its handler.
#[derive(Debug)]
pub(crate) struct ReadState {
    seat: Arc<Seat>,
    /// The last read found the socket empty.
    is_drained: AtomicBool,
    /// A first request has begun, or is no longer expected.
    is_used: AtomicBool,
    /// A request has been read in part.
    is_partial: AtomicBool,
    /// The handler has dropped a body before its end, and the connection is closed after the
    /// response.
    is_discarded: AtomicBool,
    /// An incomplete request is no longer waited for.
    is_expired: AtomicBool,
    /// The connection is about to be closed.
    is_closing: AtomicBool,
}

impl ReadState {
    pub(crate) fn new(seat: Arc<Seat>) -> Self {
        Self {
            seat,
            is_drained: AtomicBool::default(),
            is_used: AtomicBool::default(),
            is_partial: AtomicBool::default(),
            is_discarded: AtomicBool::default(),
            is_expired: AtomicBool::default(),
            is_closing: AtomicBool::default(),
        }
    }

    /// Whether nothing more is to be read, now or soon.
    pub(crate) fn is_idle(&self) -> bool {
        self.is_drained.load(Ordering::Relaxed)
            && self.is_used.load(Ordering::Relaxed)
            && !self.is_partial.load(Ordering::Relaxed)
    }

    /// Whether every byte that was read belongs to a request that was read to its end.
    pub(crate) fn is_whole(&self) -> bool {
        !self.is_partial.load(Ordering::Relaxed) && !self.is_discarded.load(Ordering::Relaxed)
    }

    /// Whether the last body was dropped before its end.
    pub(crate) fn is_discarded(&self) -> bool {
        self.is_discarded.load(Ordering::Relaxed)
    }

    /// Records a read of the socket, which had nothing to read if `length` is `None`.
    pub(crate) fn read(&self, length: Option<usize>) {
        self.is_drained.store(length.is_none(), Ordering::Relaxed);
        if length.is_none() {
            return;
        }
        self.is_used.store(true, Ordering::Relaxed);
        if self.seat.stage() == Stage::Idle {
            self.seat.enter(Stage::Receiving);
        }
        if !self.is_discarded.load(Ordering::Relaxed) {
            self.is_partial.store(true, Ordering::Relaxed);
        }
    }

    /// Makes reads ask the kernel for what has arrived.
    pub(crate) fn close(&self) {
        self.is_closing.store(true, Ordering::Relaxed);
    }

    /// Whether the connection is about to be closed.
    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Relaxed)
    }

    /// Ends the wait for a first request.
    pub(crate) fn expect_none(&self) {
        self.is_used.store(true, Ordering::Relaxed);
    }

    /// Makes the reads of an incomplete request fail.
    pub(crate) fn expire(&self) {
        self.is_expired.store(true, Ordering::Relaxed);
    }

    /// Whether a read without result is to fail.
    pub(crate) fn is_expired(&self) -> bool {
        self.is_expired.load(Ordering::Relaxed) && self.is_partial.load(Ordering::Relaxed)
    }

    fn begin(&self) {
        self.seat.enter(Stage::Receiving);
        self.is_partial.store(true, Ordering::Relaxed);
        self.is_discarded.store(false, Ordering::Relaxed);
    }

    fn complete(&self) {
        self.is_partial.store(false, Ordering::Relaxed);
        self.seat.enter(Stage::Serving);
    }

    /// Records that the response to a request is ready.
    pub(crate) fn respond(&self) {
        self.seat.hold(0);
        self.seat.enter(Stage::Idle);
    }

    fn discard(&self) {
        self.is_partial.store(false, Ordering::Relaxed);
        self.is_discarded.store(true, Ordering::Relaxed);
    }
}

/// A request body that records when it has been read.
pub(crate) struct Tracked {
    body: Incoming,
    input: Arc<ReadState>,
    is_ended: bool,
}

impl Tracked {
    pub(crate) fn new(body: Incoming, input: Arc<ReadState>) -> Self {
        input.begin();
        let is_ended = body.is_end_stream();
        if is_ended {
            input.complete();
        }
        Self {
            body,
            input,
            is_ended,
        }
    }

    /// Drops what hyper has already read of the body.
    fn discard(&mut self) {
        let mut context = Context::from_waker(Waker::noop());
        while !self.is_ended {
            match Pin::new(&mut *self).poll_frame(&mut context) {
                Poll::Ready(Some(Ok(_))) => {}
                Poll::Ready(None) => return,
                Poll::Ready(Some(Err(_))) | Poll::Pending => return self.input.discard(),
            }
        }
    }
}

impl Body for Tracked {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        let is_ended = matches!(polled, Poll::Ready(None)) || self.body.is_end_stream();
        if is_ended && !self.is_ended {
            self.is_ended = true;
            self.input.complete();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for Tracked {
    fn drop(&mut self) {
        self.discard();
    }
}
