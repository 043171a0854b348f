//! Account of the request heads that have begun and not ended, of all connections of a server.
//!
//! The HTTP server buffers a head until it has ended. Clients that send most of a large head each and stop would otherwise fill the
//! memory, one buffer a connection. Small heads are not counted against the limit, so that other callers are served meanwhile.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Size up to which a head is small, in bytes: twice what usual clients send.
const SMALL_HEAD_BYTES: usize = 8 * 1024;
/// Bytes of all heads that have begun and not ended from which on connections that bring more of a large one are closed.
const MAX_HEAD_BYTES: usize = 4 * 1024 * 1024;

/// Heads of all connections of a server.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeadAccount(Arc<AtomicUsize>);

impl HeadAccount {
    /// Adds a connection.
    pub(crate) fn open(&self) -> ConnectionHead {
        ConnectionHead(Arc::new(HeadState {
            account: self.clone(),
            bytes: AtomicUsize::new(0),
            is_read: AtomicBool::new(true),
        }))
    }
}

/// The head that is being read on one connection.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionHead(Arc<HeadState>);

#[derive(Debug)]
struct HeadState {
    account: HeadAccount,
    bytes: AtomicUsize,
    /// False while a request is answered, whose body does not count here.
    is_read: AtomicBool,
}

impl HeadState {
    fn release(&self) {
        let bytes = self.bytes.swap(0, Ordering::AcqRel);
        self.account.0.fetch_sub(bytes, Ordering::AcqRel);
    }
}

impl Drop for HeadState {
    fn drop(&mut self) {
        self.release();
    }
}

impl ConnectionHead {
    /// Records that the head has ended and its request is answered.
    pub(crate) fn end(&self) {
        self.0.is_read.store(false, Ordering::Release);
        self.0.release();
    }

    /// Records that the next head may begin.
    pub(crate) fn begin(&self) {
        self.0.is_read.store(true, Ordering::Release);
    }

    /// Counts bytes that were read. Returns false if the connection has to be closed.
    pub(crate) fn record_read(&self, bytes: usize) -> bool {
        if !self.0.is_read.load(Ordering::Acquire) {
            return true;
        }
        let own = self.0.bytes.fetch_add(bytes, Ordering::AcqRel) + bytes;
        let all = self.0.account.0.fetch_add(bytes, Ordering::AcqRel) + bytes;
        own <= SMALL_HEAD_BYTES || all <= MAX_HEAD_BYTES
    }
}
