//! Start-time fair queueing: customers are served in proportion to their weights by what their requests cost, however
//! many requests each of them sends.
//!
//! Every request gets a start tag, the later of the queue's virtual time and the finish tag of the same customer's
//! request before it, and a finish tag its cost divided by the weight later. The request with the lowest start tag goes
//! first. A customer with one request now and then therefore never waits behind another one's backlog.

use std::collections::{BTreeMap, VecDeque};

use crate::core::name::CustomerName;

/// Identifies a waiting request within its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketNumber(pub u64);

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestCost {
    /// Pieces of engine memory that it holds while it runs.
    pub pieces: u32,
    /// Its priced tokens, by which fairness is counted.
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
    /// The finish tag of the customer's last request, waiting or gone.
    last_finish: f64,
    pieces: u64,
}

/// Requests that wait for the same pool, in one queue for each customer.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    queues: BTreeMap<CustomerName, CustomerQueue>,
    weights: BTreeMap<CustomerName, f64>,
    virtual_time: f64,
    last_ticket: u64,
}

impl FairQueue {
    /// Sets the weights of customers.
    pub fn set_weights(&mut self, weights: BTreeMap<CustomerName, f64>) {
        self.weights = weights;
    }

    /// Returns a customer's weight. One that is not named has just come, and counts as the others do on the average.
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

    /// Returns the cost of the request that is next.
    pub fn next_cost(&self) -> Option<RequestCost> {
        self.next_request().map(|(_, request)| request.cost)
    }

    /// Takes the request that is next.
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

    /// Removes a request that has stopped waiting.
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

    /// Returns how many requests of a customer wait.
    pub fn waiting(&self, customer: &CustomerName) -> usize {
        self.queues.get(customer).map_or(0, |queue| queue.waiting.len())
    }

    /// Returns how many pieces each customer waits for.
    pub fn backlog(&self) -> impl Iterator<Item = (&CustomerName, u64)> {
        self.queues
            .iter()
            .filter(|(_, queue)| queue.pieces > 0)
            .map(|(customer, queue)| (customer, queue.pieces))
    }

    /// Tells whether nothing waits.
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

    /// Forgets customers whose last request lies in the past of the virtual time: a later one starts afresh anyway.
    fn remove_idle(&mut self) {
        let now = self.virtual_time;
        self.queues
            .retain(|_, queue| !queue.waiting.is_empty() || queue.last_finish > now);
    }
}
