//! Start-time fair queueing: while several customers have waiting requests, the total cost of the requests that are
//! served for each of them is proportional to its weight, regardless of the number of requests that it sends.
//!
//! The start tag of a request is the later of the current virtual time and the finish tag of the same customer's
//! previous request. Its finish tag is the start tag plus the cost divided by the customer's weight. The request with
//! the lowest start tag is served first. A customer that sends occasional requests therefore never waits behind the
//! backlog of another customer.

use std::collections::{BTreeMap, VecDeque};

use crate::core::name::CustomerName;

/// The number of a request, unique within its [`FairQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketNumber(pub u64);

/// The resources that a request needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestCost {
    /// The number of pieces of engine memory that the request occupies while it runs.
    pub pieces: u32,
    /// The cost used for fair queueing. For an engine it is the prompt tokens plus the output tokens, each of which
    /// counts as [`OUTPUT_TOKEN_PRICE`](crate::core::pool_admission::OUTPUT_TOKEN_PRICE) prompt tokens.
    pub tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    ticket: TicketNumber,
    cost: RequestCost,
    start: f64,
}

#[derive(Clone, Debug, Default)]
struct CustomerQueue {
    waiting: VecDeque<WaitingRequest>,
    /// The finish tag of the customer's last request, which may have been served already.
    last_finish: f64,
    /// The number of pieces that the waiting requests need.
    pieces: u64,
}

/// The requests that wait for a pool, in one queue for each customer.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    queues: BTreeMap<CustomerName, CustomerQueue>,
    weights: BTreeMap<CustomerName, f64>,
    virtual_time: f64,
    last_ticket: u64,
}

impl FairQueue {
    /// Sets the weights of all customers.
    pub fn set_weights(&mut self, weights: BTreeMap<CustomerName, f64>) {
        self.weights = weights;
    }

    /// Returns the weight of a customer. A customer without a weight is new and gets the mean of all weights.
    pub fn weight(&self, customer: &CustomerName) -> f64 {
        let mean = || self.weights.values().sum::<f64>() / self.weights.len() as f64;
        let configured = self.weights.get(customer).copied();
        let weight = configured.unwrap_or_else(|| if self.weights.is_empty() { 1.0 } else { mean() });
        weight.max(f64::MIN_POSITIVE)
    }

    /// Adds a request to its customer's queue.
    pub fn push(&mut self, customer: &CustomerName, cost: RequestCost) -> TicketNumber {
        self.last_ticket += 1;
        let ticket = TicketNumber(self.last_ticket);
        let weight = self.weight(customer);
        let queue = self.queues.entry(customer.clone()).or_default();
        let start = queue.last_finish.max(self.virtual_time);
        queue.last_finish = start + cost.tokens as f64 / weight;
        queue.pieces += u64::from(cost.pieces);
        queue.waiting.push_back(WaitingRequest { ticket, cost, start });
        ticket
    }

    /// Returns the cost of the next request.
    pub fn next_cost(&self) -> Option<RequestCost> {
        self.next_request().map(|(_, request)| request.cost)
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<TicketNumber> {
        let (customer, request) = self
            .next_request()
            .map(|(customer, request)| (customer.clone(), *request))?;
        self.virtual_time = self.virtual_time.max(request.start);
        if let Some(queue) = self.queues.get_mut(&customer) {
            queue.waiting.pop_front();
            queue.pieces -= u64::from(request.cost.pieces);
        }
        self.remove_idle();
        Some(request.ticket)
    }

    /// Removes a request whose caller no longer waits, and returns true if it was in the queue.
    ///
    /// The finish tags of the customer's other requests and its last finish tag stay: they still include the cost of
    /// the removed request.
    pub fn cancel(&mut self, customer: &CustomerName, ticket: TicketNumber) -> bool {
        let Some(queue) = self.queues.get_mut(customer) else {
            return false;
        };
        let Some(index) = queue.waiting.iter().position(|request| request.ticket == ticket) else {
            return false;
        };
        if let Some(request) = queue.waiting.remove(index) {
            queue.pieces -= u64::from(request.cost.pieces);
        }
        true
    }

    /// Removes a request that will not be served, and returns true if it was in the queue.
    ///
    /// Unlike [`cancel`](Self::cancel), it also gives the cost back: otherwise a customer whose requests were refused or
    /// abandoned would pay for them with its later ones.
    pub fn withdraw(&mut self, customer: &CustomerName, ticket: TicketNumber) -> bool {
        let weight = self.weight(customer);
        let Some(queue) = self.queues.get_mut(customer) else {
            return false;
        };
        let Some(index) = queue.waiting.iter().position(|request| request.ticket == ticket) else {
            return false;
        };
        if let Some(request) = queue.waiting.remove(index) {
            let returned = request.cost.tokens as f64 / weight;
            for later in queue.waiting.iter_mut().skip(index) {
                later.start -= returned;
            }
            queue.last_finish -= returned;
            queue.pieces -= u64::from(request.cost.pieces);
        }
        true
    }

    /// Returns the number of waiting requests of a customer.
    pub fn waiting(&self, customer: &CustomerName) -> usize {
        self.queues.get(customer).map_or(0, |queue| queue.waiting.len())
    }

    /// Returns the number of pieces that each customer with waiting requests needs for them.
    pub fn backlog(&self) -> impl Iterator<Item = (&CustomerName, u64)> {
        self.queues
            .iter()
            .filter(|(_, queue)| queue.pieces > 0)
            .map(|(customer, queue)| (customer, queue.pieces))
    }

    /// Returns true if no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.queues.values().all(|queue| queue.waiting.is_empty())
    }

    fn next_request(&self) -> Option<(&CustomerName, &WaitingRequest)> {
        let heads = self
            .queues
            .iter()
            .filter_map(|(customer, queue)| queue.waiting.front().map(|head| (customer, head)));
        heads.min_by(|first, second| {
            first
                .1
                .start
                .total_cmp(&second.1.start)
                .then(first.1.ticket.cmp(&second.1.ticket))
        })
    }

    /// Removes idle customers whose last finish tag the virtual time has reached: their next request would start at the
    /// virtual time anyway.
    fn remove_idle(&mut self) {
        let now = self.virtual_time;
        self.queues
            .retain(|_, queue| !queue.waiting.is_empty() || queue.last_finish > now);
    }
}
