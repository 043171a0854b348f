//! Body of a response to a client, which breaks off only after everything before the break has been written.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use parking_lot::Mutex;

use crate::body::ResponseBody;

/// Whether everything that was passed to a connection has been written to its socket.
#[derive(Clone, Debug, Default)]
pub(crate) struct FlushSignal(Arc<Mutex<FlushState>>);

#[derive(Debug, Default)]
enum FlushState {
    #[default]
    NotAwaited,
    Awaited(Waker),
    Flushed,
}

impl FlushSignal {
    /// Records that everything has been written.
    pub(crate) fn record_flushed(&self) {
        let mut state = self.0.lock();
        if let FlushState::Awaited(waker) = &*state {
            waker.wake_by_ref();
            *state = FlushState::Flushed;
        }
    }

    /// Waits until everything has been written that was passed on before the first call.
    fn poll_flushed(&self, context: &Context<'_>) -> Poll<()> {
        let mut state = self.0.lock();
        if matches!(*state, FlushState::Flushed) {
            return Poll::Ready(());
        }
        *state = FlushState::Awaited(context.waker().clone());
        Poll::Pending
    }
}

/// Body of a response to a client. The server drops what it has not written when a body fails, so that a client that reads slowly
/// would lose the bytes before a break.
#[derive(Debug)]
pub(crate) struct CallerBody {
    body: ResponseBody,
    /// Error that is passed on after the bytes before it.
    error: Option<io::Error>,
    /// Tells when they have been written, or `None` if the error does not wait for that.
    flush: Option<FlushSignal>,
}

impl CallerBody {
    pub(crate) const fn new(body: ResponseBody, flush: Option<FlushSignal>) -> Self {
        Self {
            body,
            error: None,
            flush,
        }
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.error.is_none() {
            match ready!(Pin::new(&mut self.body).poll_frame(context)) {
                Some(Err(error)) => self.error = Some(error),
                passed => return Poll::Ready(passed),
            }
        }
        if let Some(flush) = &self.flush {
            ready!(flush.poll_flushed(context));
        }
        Poll::Ready(self.error.take().map(Err))
    }

    fn is_end_stream(&self) -> bool {
        self.error.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
