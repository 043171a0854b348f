//! TCP stream that counts the written bytes, can refuse to write, and bounds what arrives before an answer has begun.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::connector::Connector;

/// Condition that is checked before each write to a connection.
///
/// A process that is paused between the decision to send and the write may have lost its authority to send, such as a
/// lease, in the meantime. With the check in the write itself, only data that the kernel has already buffered can still
/// be sent, and `TCP_USER_TIMEOUT` limits how long.
#[derive(Clone)]
pub struct WriteGuard {
    permits: Arc<dyn Fn() -> bool + Send + Sync>,
}

impl WriteGuard {
    /// Creates a guard that allows a write if `permits` returns true.
    pub fn new(permits: impl Fn() -> bool + Send + Sync + 'static) -> Self {
        Self {
            permits: Arc::new(permits),
        }
    }
}

impl fmt::Debug for WriteGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WriteGuard").finish_non_exhaustive()
    }
}

/// Counter of the bytes that a connection has passed to the kernel.
#[derive(Clone, Debug, Default)]
pub(crate) struct WrittenBytes(Arc<AtomicU64>);

impl WrittenBytes {
    pub(crate) fn count(&self) -> u64 {
        self.0.load(Ordering::Acquire)
    }

    fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes as u64, Ordering::AcqRel);
    }
}

/// Maximum number of bytes that may arrive before the head of an answer is complete. A peer that sends interim responses without
/// end would otherwise keep the connection's parser busy, and with it the thread, past every time limit.
const MAX_HEAD_BYTES: u64 = 256 * 1024;

/// Bound on the bytes that arrive while the head of an answer is awaited.
#[derive(Clone, Debug)]
pub(crate) struct HeadBound {
    /// Number of bytes that may still arrive, or [`u64::MAX`] while no head is awaited.
    left: Arc<AtomicU64>,
}

impl Default for HeadBound {
    fn default() -> Self {
        Self {
            left: Arc::new(AtomicU64::new(u64::MAX)),
        }
    }
}

impl HeadBound {
    /// Begins to count: a request is about to be sent.
    pub(crate) fn arm(&self) {
        self.left.store(MAX_HEAD_BYTES, Ordering::Release);
    }

    /// Stops counting: the head has come.
    pub(crate) fn disarm(&self) {
        self.left.store(u64::MAX, Ordering::Release);
    }

    /// Counts bytes that have arrived. Fails if they are too many.
    fn count(&self, bytes: u64) -> io::Result<()> {
        let left = self.left.load(Ordering::Acquire);
        if left == u64::MAX {
            return Ok(());
        }
        let Some(left) = left.checked_sub(bytes) else {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the head of the answer has no end",
            ));
        };
        self.left.store(left, Ordering::Release);
        Ok(())
    }
}

#[derive(Debug)]
pub(crate) struct WatchedStream {
    inner: TcpStream,
    written: WrittenBytes,
    head: HeadBound,
    guard: Option<WriteGuard>,
    /// Told when bytes arrive.
    arrivals: Option<Arc<dyn Connector>>,
}

impl WatchedStream {
    pub(crate) const fn new(
        inner: TcpStream,
        written: WrittenBytes,
        head: HeadBound,
        guard: Option<WriteGuard>,
        arrivals: Option<Arc<dyn Connector>>,
    ) -> Self {
        Self {
            inner,
            written,
            head,
            guard,
            arrivals,
        }
    }

    fn check_guard(&self) -> io::Result<()> {
        match &self.guard {
            Some(guard) if !(guard.permits)() => {
                Err(io::Error::new(io::ErrorKind::PermissionDenied, "lease has run out"))
            }
            _ => Ok(()),
        }
    }

    fn record_written(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = result {
            self.written.add(*bytes);
        }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(context, buffer);
        let arrived = buffer.filled().len() - before;
        if arrived > 0
            && let Some(arrivals) = &self.arrivals
        {
            arrivals.record_arrival();
        }
        self.head.count(arrived as u64)?;
        read
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.check_guard()?;
        let result = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.record_written(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_guard()?;
        let result = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.record_written(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
