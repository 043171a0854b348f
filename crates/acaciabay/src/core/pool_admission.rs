//! Admission of requests from one entry to one pool, within the entry's share and in fair order.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::clock::BootTime;
use crate::core::fair_queue::{FairQueue, RequestCost, TicketNumber};
use crate::core::name::CustomerName;

/// Cost of an output token, in prompt tokens. Generating a token occupies an engine about as long as four prompt
/// tokens.
pub const OUTPUT_TOKEN_PRICE: u64 = 4;
/// Number of tokens in one piece of an engine's memory.
pub const TOKENS_PER_PIECE: u64 = 1_000;
/// Maximum number of requests of one customer that wait in one entry for one pool.
const MAX_WAITING_PER_CUSTOMER: usize = 512;
/// Share that an entry uses until the leader has granted one, in pieces.
const INITIAL_SHARE: u32 = 4;
/// Length of the window over which the admission rate is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(2);

impl RequestCost {
    /// Computes the cost of a request from its token counts.
    pub fn of(prompt_tokens: u64, output_tokens: u64) -> Self {
        let pieces = (prompt_tokens + output_tokens).div_ceil(TOKENS_PER_PIECE).max(1);
        let pieces = u32::try_from(pieces).unwrap_or(u32::MAX);
        Self {
            pieces,
            tokens: prompt_tokens + OUTPUT_TOKEN_PRICE * output_tokens,
        }
    }
}

/// The refusal of a request that would have to wait too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// The time after which the caller should retry: the expected wait of the customer's queue, at least one second.
    pub retry_after: Duration,
}

/// The share of a pool that the leader has granted to an entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolShare {
    /// The number of pieces that the entry may have in use.
    pub pieces: u32,
    /// The number of the grant, which the entry sends back with its next demand.
    pub number: u64,
    /// The weights of the customers whose requests arrive at this entry.
    pub weights: BTreeMap<CustomerName, f64>,
}

/// The admission state of one pool in one entry.
#[derive(Clone, Debug)]
pub struct PoolAdmission {
    queue: FairQueue,
    share: PoolShare,
    used: u64,
    running: BTreeMap<CustomerName, u64>,
    /// The start of the current rate window.
    window_start: BootTime,
    /// The number of pieces admitted in the current rate window.
    window_pieces: u64,
    /// The number of pieces admitted per second in the previous rate window.
    rate: f64,
}

impl PoolAdmission {
    /// Creates the admission state with no requests and a small initial share.
    pub fn new(now: BootTime) -> Self {
        Self {
            queue: FairQueue::default(),
            share: PoolShare {
                pieces: INITIAL_SHARE,
                ..PoolShare::default()
            },
            used: 0,
            running: BTreeMap::new(),
            window_start: now,
            window_pieces: 0,
            rate: 0.0,
        }
    }

    /// Adds a request to the queue unless its expected wait exceeds `max_wait`.
    ///
    /// # Errors
    ///
    /// Returns an error if the expected wait exceeds `max_wait`, or if too many requests of the customer are waiting.
    /// The request is refused immediately, because holding a request that cannot be served in time wastes the caller's
    /// time and delays the requests behind it.
    pub fn enqueue(
        &mut self,
        now: BootTime,
        customer: &CustomerName,
        cost: RequestCost,
        max_wait: Duration,
    ) -> Result<TicketNumber, AdmissionRefusal> {
        self.roll_rate_window(now);
        let wait = self.expected_wait(customer);
        if self.queue.waiting(customer) >= MAX_WAITING_PER_CUSTOMER || wait > max_wait {
            return Err(AdmissionRefusal {
                retry_after: wait.max(Duration::from_secs(1)),
            });
        }
        Ok(self.queue.push(customer, cost))
    }

    /// Admits the next request if it fits into the share.
    ///
    /// When no piece is in use, the next request is admitted regardless of its size. Otherwise, a request larger than
    /// the whole share would wait forever.
    pub fn admit_next(&mut self, now: BootTime) -> Option<TicketNumber> {
        let cost = self.queue.next_cost()?;
        let fits = self.used + u64::from(cost.pieces) <= u64::from(self.share.pieces);
        if !fits && self.used > 0 {
            return None;
        }
        self.roll_rate_window(now);
        self.window_pieces += u64::from(cost.pieces);
        self.queue.pop()
    }

    /// Records the start of an admitted request.
    pub fn begin(&mut self, customer: &CustomerName, cost: RequestCost) {
        self.used += u64::from(cost.pieces);
        *self.running.entry(customer.clone()).or_default() += u64::from(cost.pieces);
    }

    /// Records the end of a request.
    pub fn end(&mut self, customer: &CustomerName, cost: RequestCost) {
        let pieces = u64::from(cost.pieces);
        self.used = self.used.saturating_sub(pieces);
        if let Some(running) = self.running.get_mut(customer) {
            *running = running.saturating_sub(pieces);
            if *running == 0 {
                self.running.remove(customer);
            }
        }
    }

    /// Removes a request that no longer waits, and returns true if it was still in the queue.
    pub fn cancel(&mut self, customer: &CustomerName, ticket: TicketNumber) -> bool {
        self.queue.cancel(customer, ticket)
    }

    /// Applies a share that the leader has granted.
    pub fn grant(&mut self, share: PoolShare) {
        self.queue.set_weights(share.weights.clone());
        self.share = share;
    }

    /// Returns the current share.
    pub const fn share(&self) -> &PoolShare {
        &self.share
    }

    /// Returns the number of pieces in use.
    pub const fn used(&self) -> u64 {
        self.used
    }

    /// Returns the number of pieces that each customer uses or waits for.
    pub fn demand(&self) -> BTreeMap<CustomerName, u64> {
        let mut demand = self.running.clone();
        for (customer, pieces) in self.queue.backlog() {
            *demand.entry(customer.clone()).or_default() += pieces;
        }
        demand
    }

    /// Estimates the wait of a new request of the customer: the customer's own backlog divided by its weighted fraction
    /// of the entry's recent admission rate.
    fn expected_wait(&self, customer: &CustomerName) -> Duration {
        let backlog: BTreeMap<&CustomerName, u64> = self.queue.backlog().collect();
        let Some(own) = backlog.get(customer).copied() else {
            return Duration::ZERO;
        };
        if self.rate <= 0.0 {
            return Duration::ZERO;
        }
        let total: f64 = backlog.keys().map(|name| self.queue.weight(name)).sum();
        let fraction = self.queue.weight(customer) / total.max(f64::MIN_POSITIVE);
        let seconds = own as f64 / (self.rate * fraction).max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(seconds.min(3_600.0))
    }

    fn roll_rate_window(&mut self, now: BootTime) {
        let elapsed = now.since(self.window_start);
        if elapsed < RATE_WINDOW {
            return;
        }
        self.rate = self.window_pieces as f64 / elapsed.as_secs_f64();
        self.window_pieces = 0;
        self.window_start = now;
    }
}
