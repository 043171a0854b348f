//! Prompts of one urgency that wait at an entry.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::core::clock::BootTime;
use crate::core::fair_queue::{FairQueue, RequestCost, TicketNumber};
use crate::core::name::CustomerName;

use super::prompt_room::{PassNumber, QueuedPrompt};

/// Whether a prompt can still meet its target latency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Timeliness {
    Timely,
    /// The target is missed, but not the deadline.
    Late,
}

/// Urgency of a lane; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct LaneKey {
    pub(super) priority: u8,
    pub(super) timeliness: Timeliness,
}

/// What one customer has waiting in a lane.
#[derive(Clone, Debug, Default)]
struct CustomerBacklog {
    /// Prompts by the time at which each misses its target latency.
    by_target: BTreeSet<(BootTime, PassNumber)>,
    prefill: Duration,
}

/// Waiting prompts of one urgency: fair between customers by tokens, and within a customer by target.
#[derive(Clone, Debug, Default)]
pub(super) struct PromptLane {
    queue: FairQueue,
    /// Turn of each prompt in the fair queue, and the reverse.
    tickets: HashMap<PassNumber, TicketNumber>,
    owners: HashMap<TicketNumber, (CustomerName, PassNumber)>,
    backlogs: HashMap<CustomerName, CustomerBacklog>,
    prefill: Duration,
    /// Number of the turn in which the lane was last served.
    pub(super) last_turn: u64,
}

impl PromptLane {
    pub(super) fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Returns the prefill time of all prompts.
    pub(super) const fn prefill(&self) -> Duration {
        self.prefill
    }

    pub(super) fn push(&mut self, number: PassNumber, prompt: &QueuedPrompt) {
        let cost = RequestCost {
            pieces: 1,
            tokens: prompt.tokens,
        };
        let ticket = self.queue.push(&prompt.customer, cost);
        self.tickets.insert(number, ticket);
        self.owners.insert(ticket, (prompt.customer.clone(), number));
        let backlog = self.backlogs.entry(prompt.customer.clone()).or_default();
        backlog.by_target.insert((prompt.target, number));
        backlog.prefill += prompt.prefill;
        self.prefill += prompt.prefill;
    }

    /// Takes the turn of the next customer, and returns that of its prompts which would miss its target first. The prompt
    /// has to be removed from the lane with [`remove_served`](Self::remove_served).
    pub(super) fn next(&mut self) -> Option<PassNumber> {
        let turn = self.queue.pop()?;
        let (customer, owner) = self.owners.remove(&turn)?;
        let backlog = self.backlogs.get(&customer)?;
        let (_, chosen) = *backlog.by_target.first()?;
        if chosen != owner {
            // The prompt that had this turn gets the later one of the chosen prompt.
            let later = self.tickets.remove(&chosen)?;
            self.owners.insert(later, (customer, owner));
            self.tickets.insert(owner, later);
        }
        self.tickets.remove(&chosen);
        Some(chosen)
    }

    /// Removes a prompt that goes now. Its customer pays for it.
    pub(super) fn remove_served(&mut self, number: PassNumber, prompt: &QueuedPrompt) {
        if let Some(ticket) = self.tickets.remove(&number) {
            self.owners.remove(&ticket);
            self.queue.cancel(&prompt.customer, ticket);
        }
        self.subtract(number, prompt);
    }

    /// Removes a prompt that does not go. Its customer does not pay for it.
    pub(super) fn remove_unserved(&mut self, number: PassNumber, prompt: &QueuedPrompt) {
        if let Some(ticket) = self.tickets.remove(&number) {
            self.owners.remove(&ticket);
            self.queue.withdraw(&prompt.customer, ticket);
        }
        self.subtract(number, prompt);
    }

    /// Returns the prefill time of the prompts that go before another one of this customer: its own `earlier` ones, and as
    /// much of each other customer.
    pub(super) fn prefill_before(&self, customer: &CustomerName, earlier: Duration, prefill: Duration) -> Duration {
        let others = self.backlogs.iter().filter(|(name, _)| *name != customer);
        let others = others.map(|(_, backlog)| backlog.prefill.min(earlier + prefill));
        earlier + others.sum::<Duration>()
    }

    /// Returns the prefill time of a customer's prompts.
    pub(super) fn customer_prefill(&self, customer: &CustomerName) -> Duration {
        self.backlogs
            .get(customer)
            .map_or(Duration::ZERO, |backlog| backlog.prefill)
    }

    fn subtract(&mut self, number: PassNumber, prompt: &QueuedPrompt) {
        self.prefill = self.prefill.saturating_sub(prompt.prefill);
        let Some(backlog) = self.backlogs.get_mut(&prompt.customer) else {
            return;
        };
        backlog.by_target.remove(&(prompt.target, number));
        backlog.prefill = backlog.prefill.saturating_sub(prompt.prefill);
        if backlog.by_target.is_empty() {
            self.backlogs.remove(&prompt.customer);
        }
    }
}
