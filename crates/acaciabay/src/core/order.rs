//! Orders to endpoints: committed as intents before they are sent.
//!
//! A new leader reads from the log which orders its predecessor may have sent. It sends nothing to an endpoint whose
//! last order is unresolved, until that order is settled by the endpoint's own state, by a newer incarnation of the
//! endpoint, or by its refusal (`docs/design/orders.md`).

use std::collections::BTreeMap;

use crate::core::endpoint::EndpointIncarnation;
use crate::core::name::EndpointName;

/// The number of an order. Numbers increase over the whole lifetime of the control group and are used for fencing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderNumber(pub u64);

/// The target state that an order requests. Orders carry a state and not a change, so that sending one again is
/// harmless.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderTarget {
    /// Accept new work.
    Serve,
    /// Finish running requests and accept no new ones.
    Drain,
}

/// An order to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRow {
    /// The number of the order.
    pub number: OrderNumber,
    /// The incarnation of the endpoint that the order is for.
    pub incarnation: EndpointIncarnation,
    /// The target state of the endpoint.
    pub target: OrderTarget,
    /// True once the endpoint has executed the order or can no longer do so.
    pub settled: bool,
}

/// The reason why an order was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRefusal {
    /// An earlier order to the endpoint, with this number, is not settled yet.
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
    /// While an order is unsettled, a request with the same target and incarnation returns the number of that order.
    ///
    /// # Errors
    ///
    /// Returns an error while an order with another target or incarnation is unsettled, because the endpoint could
    /// receive both orders.
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

    /// Marks an order as settled. The call has no effect if `number` is not the endpoint's last order.
    pub fn settle(&mut self, endpoint: &EndpointName, number: OrderNumber) {
        if let Some(row) = self.rows.get_mut(endpoint).filter(|row| row.number == number) {
            row.settled = true;
        }
    }

    /// Returns the number of the last order.
    pub const fn last(&self) -> OrderNumber {
        self.last
    }

    /// Returns the last order of each endpoint, by the endpoint's name.
    pub fn rows(&self) -> impl Iterator<Item = (&EndpointName, &OrderRow)> {
        self.rows.iter()
    }
}
