//! Reads request bodies within an account of memory that all of them share.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use acaciabay::core::clock::BootTime;
use acaciabay::core::intake_room::{BodyNumber, IntakeDecision, IntakeRoom};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use crate::body::BodyRefusal;

#[derive(Debug)]
struct IntakeState {
    room: IntakeRoom,
    /// Cancelled when a body has to give way to others.
    reading: HashMap<BodyNumber, CancellationToken>,
}

/// Request bodies of all clients of a process, those that are being read and those that are held.
#[derive(Debug)]
pub struct BodyIntake {
    state: Mutex<IntakeState>,
    refused: AtomicU64,
    clock: fn() -> BootTime,
}

impl BodyIntake {
    /// Creates an intake with a budget in bytes. `clock` returns the present time.
    pub fn new(budget: usize, clock: fn() -> BootTime) -> Arc<Self> {
        let state = IntakeState {
            room: IntakeRoom::new(budget),
            reading: HashMap::new(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
            refused: AtomicU64::new(0),
            clock,
        })
    }

    /// Returns how many bodies were refused or dropped for want of memory since this was last asked.
    pub fn take_refused(&self) -> u64 {
        self.refused.swap(0, Ordering::Relaxed)
    }

    /// Returns the bytes that are counted.
    pub fn held(&self) -> usize {
        self.state.lock().room.held()
    }

    /// Reads a body to its end, as far as there is memory for it. The memory is released with the last copy of the body.
    ///
    /// # Errors
    ///
    /// Fails as soon as the body is known to be larger than `limit` bytes, when it takes longer than `timeout`, or when others need the
    /// memory.
    pub async fn read(self: &Arc<Self>, body: Incoming, limit: usize, timeout: Duration) -> Result<Bytes, BodyRefusal> {
        if body.size_hint().lower() > limit as u64 {
            return Err(BodyRefusal::TooLarge);
        }
        let share = self.open();
        let read = tokio::time::timeout(timeout, collect(body, limit, share)).await;
        let read = read.unwrap_or(Err(BodyRefusal::TimedOut));
        if read == Err(BodyRefusal::NoRoom) {
            self.refused.fetch_add(1, Ordering::Relaxed);
        }
        read
    }

    fn open(self: &Arc<Self>) -> IntakeShare {
        let dropped = CancellationToken::new();
        let mut state = self.state.lock();
        let number = state.room.open((self.clock)());
        state.reading.insert(number, dropped.clone());
        IntakeShare {
            intake: Arc::clone(self),
            number,
            dropped,
        }
    }
}

/// Memory of one body, until this is dropped.
#[derive(Debug)]
struct IntakeShare {
    intake: Arc<BodyIntake>,
    number: BodyNumber,
    dropped: CancellationToken,
}

impl IntakeShare {
    /// Counts so many more bytes. Returns false if there is no room for them.
    fn grow(&self, bytes: usize) -> bool {
        let mut state = self.intake.state.lock();
        let IntakeDecision { is_admitted, dropped } = state.room.grow((self.intake.clock)(), self.number, bytes);
        for number in dropped {
            if let Some(token) = state.reading.remove(&number) {
                token.cancel();
            }
        }
        is_admitted
    }

    fn record_progress(&self) {
        let now = (self.intake.clock)();
        self.intake.state.lock().room.record_progress(now, self.number);
    }

    /// Returns the body with its share.
    fn hold(self, bytes: Vec<u8>) -> Bytes {
        {
            let mut state = self.intake.state.lock();
            state.room.finish(self.number);
            state.reading.remove(&self.number);
        }
        if bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(HeldBody { bytes, _share: self })
    }
}

impl Drop for IntakeShare {
    fn drop(&mut self) {
        let mut state = self.intake.state.lock();
        state.room.close(self.number);
        state.reading.remove(&self.number);
    }
}

struct HeldBody {
    bytes: Vec<u8>,
    _share: IntakeShare,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

async fn collect(mut body: Incoming, limit: usize, share: IntakeShare) -> Result<Bytes, BodyRefusal> {
    let declared = body.size_hint().exact().and_then(|bytes| usize::try_from(bytes).ok());
    let largest = declared.unwrap_or(limit);
    let mut whole = Vec::new();
    loop {
        let frame = tokio::select! {
            biased;
            () = share.dropped.cancelled() => return Err(BodyRefusal::NoRoom),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|_source| BodyRefusal::Broken)?;
        let Ok(data) = frame.into_data() else { continue };
        let needed = whole.len() + data.len();
        if needed > limit {
            return Err(BodyRefusal::TooLarge);
        }
        if needed > whole.capacity() {
            let capacity = needed.max((2 * whole.capacity()).min(largest));
            if !share.grow(capacity - whole.capacity()) {
                return Err(BodyRefusal::NoRoom);
            }
            whole.reserve_exact(capacity - whole.len());
        } else {
            share.record_progress();
        }
        whole.extend_from_slice(&data);
    }
    Ok(share.hold(whole))
}
