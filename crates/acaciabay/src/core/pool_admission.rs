//! What one entry lets into one pool: no more than its share, in fair order.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::clock::BootTime;
use crate::core::fair_queue::{FairQueue, RequestCost, TicketNumber};
use crate::core::name::CustomerName;

/// How tokens are priced against each other. A generated token occupies an engine about as long as four prompt tokens.
pub const OUTPUT_TOKEN_PRICE: u64 = 4;
/// Tokens in one piece of an engine's memory.
pub const TOKENS_PER_PIECE: u64 = 1_000;
/// Most requests of one customer that wait in one entry.
const MAX_WAITING_PER_CUSTOMER: usize = 512;
/// The share that an entry takes until the leader has granted one.
const INITIAL_SHARE: u32 = 4;
/// Over how long the rate of service is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(2);

impl RequestCost {
    /// Works out what a request asks for.
    pub fn of(prompt_tokens: u64, output_tokens: u64) -> Self {
        let pieces = (prompt_tokens + output_tokens).div_ceil(TOKENS_PER_PIECE).max(1);
        let pieces = u32::try_from(pieces).unwrap_or(u32::MAX);
        Self {
            pieces,
            tokens: prompt_tokens + OUTPUT_TOKEN_PRICE * output_tokens,
        }
    }
}

/// Why a request does not wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// When the customer's line will have moved on enough.
    pub retry_after: Duration,
}

/// What the leader has granted to an entry for one pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolShare {
    /// Pieces that the entry may have in use.
    pub pieces: u32,
    /// The grant's number, which the entry repeats when it asks again.
    pub number: u64,
    /// The weights of the customers that come through this entry.
    pub weights: BTreeMap<CustomerName, f64>,
}

/// The admission of one entry to one pool.
#[derive(Clone, Debug)]
pub struct PoolAdmission {
    queue: FairQueue,
    share: PoolShare,
    used: u64,
    running: BTreeMap<CustomerName, u64>,
    /// Pieces admitted in the present window of time, and pieces a second in the one before.
    window_start: BootTime,
    window_pieces: u64,
    rate: f64,
}

impl PoolAdmission {
    /// Starts without requests and with a small share of its own.
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

    /// Lets a request wait, or refuses it when it would wait longer than `max_wait`.
    ///
    /// # Errors
    ///
    /// Refuses at once: a request that is held although it cannot be served in time costs its caller that time and
    /// the ones behind it their place.
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

    /// Admits the next request if the share has room for it.
    ///
    /// A request larger than the whole share is admitted alone; it would otherwise wait for ever.
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

    /// Counts an admitted request as running.
    pub fn begin(&mut self, customer: &CustomerName, cost: RequestCost) {
        self.used += u64::from(cost.pieces);
        *self.running.entry(customer.clone()).or_default() += u64::from(cost.pieces);
    }

    /// Counts a request as ended.
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

    /// Removes a request that has stopped waiting, and tells whether it was still waiting.
    pub fn cancel(&mut self, customer: &CustomerName, ticket: TicketNumber) -> bool {
        self.queue.cancel(customer, ticket)
    }

    /// Takes over a share from the leader.
    pub fn grant(&mut self, share: PoolShare) {
        self.queue.set_weights(share.weights.clone());
        self.share = share;
    }

    /// Returns the share in force.
    pub const fn share(&self) -> &PoolShare {
        &self.share
    }

    /// Returns the pieces in use.
    pub const fn used(&self) -> u64 {
        self.used
    }

    /// Returns the pieces that each customer uses or waits for.
    pub fn demand(&self) -> BTreeMap<CustomerName, u64> {
        let mut demand = self.running.clone();
        for (customer, pieces) in self.queue.backlog() {
            *demand.entry(customer.clone()).or_default() += pieces;
        }
        demand
    }

    /// Estimates how long a new request of the customer would wait: its own line, served at its part of the rate at
    /// which this entry has admitted lately.
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
