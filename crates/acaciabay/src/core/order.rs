//! Orders to endpoints: committed as intents before they are sent.
//!
//! A new leader reads from the log which orders its predecessor may have sent. It sends nothing to an endpoint whose
//! last order is unresolved, until that order is settled by the endpoint's own state, by a newer incarnation of the
//! endpoint, or by its refusal (`docs/design/orders.md`).

use std::collections::BTreeMap;

use crate::core::endpoint::EndpointIncarnation;
use crate::core::name::EndpointName;

/// The number of an order; it rises over the whole life of the group and serves as the fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderNumber(pub u64);

/// What an endpoint is told to be. An order carries the target, not a difference, so that sending it again is harmless.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderTarget {
    /// Take new work.
    Serve,
    /// Finish what runs and take nothing new.
    Drain,
}

/// One order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRow {
    /// The order's number.
    pub number: OrderNumber,
    /// The start of the endpoint that the order is meant for.
    pub incarnation: EndpointIncarnation,
    /// What the endpoint is told to be.
    pub target: OrderTarget,
    /// Whether the endpoint has carried the order out or can no longer do so.
    pub settled: bool,
}

/// Why an order was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRefusal {
    /// Another order to the endpoint is not settled yet.
    Unsettled(OrderNumber),
}

/// The last order of each endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OrderTable {
    last: OrderNumber,
    rows: BTreeMap<EndpointName, OrderRow>,
}

impl OrderTable {
    /// Rebuilds the table from a snapshot.
    pub fn restore(last: OrderNumber, rows: impl IntoIterator<Item = (EndpointName, OrderRow)>) -> Self {
        Self {
            last,
            rows: rows.into_iter().collect(),
        }
    }

    /// Records the intent to send an order.
    ///
    /// The same target for the same incarnation, asked for again, is the same order.
    ///
    /// # Errors
    ///
    /// Refuses while an order with another target is unsettled, because the endpoint might end up holding both.
    pub fn intend(
        &mut self,
        endpoint: &EndpointName,
        incarnation: EndpointIncarnation,
        target: &OrderTarget,
    ) -> Result<OrderNumber, OrderRefusal> {
        if let Some(row) = self.rows.get(endpoint).filter(|row| !row.settled) {
            let same = row.incarnation == incarnation && row.target == *target;
            return if same {
                Ok(row.number)
            } else {
                Err(OrderRefusal::Unsettled(row.number))
            };
        }
        self.last = OrderNumber(self.last.0 + 1);
        let row = OrderRow {
            number: self.last,
            incarnation,
            target: target.clone(),
            settled: false,
        };
        self.rows.insert(endpoint.clone(), row);
        Ok(self.last)
    }

    /// Marks an order as settled; an older number changes nothing.
    pub fn settle(&mut self, endpoint: &EndpointName, number: OrderNumber) {
        if let Some(row) = self.rows.get_mut(endpoint).filter(|row| row.number == number) {
            row.settled = true;
        }
    }

    /// Returns the number given last.
    pub const fn last(&self) -> OrderNumber {
        self.last
    }

    /// Returns the last order of each endpoint, by the endpoint's name.
    pub fn rows(&self) -> impl Iterator<Item = (&EndpointName, &OrderRow)> {
        self.rows.iter()
    }
}
