//! TCP stream to a client, whose end tells whether an answer without framing is whole.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::caller_body::FlushSignal;
use crate::head_account::ConnectionHead;
use crate::socket::set_reset_on_close;

/// Whether the answer on a connection ends with the connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnframedAnswer(Arc<AtomicBool>);

impl UnframedAnswer {
    /// Records that the answer that is about to be written ends with the connection.
    pub(crate) fn begin(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn take(&self) -> bool {
        self.0.load(Ordering::Acquire) && self.0.swap(false, Ordering::AcqRel)
    }
}

/// TCP stream that is reset, unless it is shut down first, once it has carried a part of an answer without framing. Its
/// client could not tell a part from the whole by an orderly close, which also follows if the process is killed.
#[derive(Debug)]
pub(crate) struct CallerStream {
    inner: TcpStream,
    unframed: UnframedAnswer,
    /// Told when everything has been written, if a body may wait for that.
    flush: Option<FlushSignal>,
    head: ConnectionHead,
    resets_on_close: bool,
}

impl CallerStream {
    pub(crate) const fn new(
        inner: TcpStream,
        unframed: UnframedAnswer,
        flush: Option<FlushSignal>,
        head: ConnectionHead,
    ) -> Self {
        Self {
            inner,
            unframed,
            flush,
            head,
            resets_on_close: false,
        }
    }

    fn prepare_write(&mut self) -> io::Result<()> {
        if self.unframed.take() {
            set_reset_on_close(&self.inner, true)?;
            self.resets_on_close = true;
        }
        Ok(())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        let read = buffer.filled().len() - before;
        if !self.head.record_read(read) {
            let error = io::Error::new(io::ErrorKind::OutOfMemory, "too many unfinished request heads");
            return Poll::Ready(Err(error));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    /// Called by the server once it has written everything.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Some(flush) = &self.flush {
            flush.record_flushed();
        }
        Pin::new(&mut self.inner).poll_flush(context)
    }

    /// Ends the connection in order, as the server does after a whole answer.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.resets_on_close {
            set_reset_on_close(&self.inner, false)?;
            self.resets_on_close = false;
        }
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
