//! Planning of the next step for each unsettled order: send it, settle it or wait.

use crate::core::clock::BootTime;
use crate::core::delivery::DeliveryTable;
use crate::core::endpoint::{EndpointRow, EndpointState, EndpointTable};
use crate::core::name::EndpointName;
use crate::core::order::{OrderRow, OrderTable, OrderTarget};

/// The next step for one order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeliveryStep {
    /// Send the order to the endpoint.
    Send {
        /// The endpoint.
        endpoint: EndpointName,
        /// The address of the endpoint.
        address: std::net::SocketAddr,
        /// The order.
        order: OrderRow,
    },
    /// Record that the order is settled and can have no further effect.
    Settle {
        /// The endpoint.
        endpoint: EndpointName,
        /// The order.
        order: OrderRow,
    },
}

/// Returns the next step of every unsettled order that needs one.
///
/// An order is settled without an answer in two cases only:
///
/// - The endpoint has a newer incarnation, which has never received the order.
/// - The endpoint has reported the state that the order asks for, and the report is newer than the moment from which no
///   copy of the order can still be in transit. An older report may show the state before the preceding order, and a
///   copy in transit could undo a later order.
pub fn plan_deliveries(
    now: BootTime,
    orders: &OrderTable,
    endpoints: &EndpointTable,
    deliveries: &DeliveryTable,
) -> Vec<DeliveryStep> {
    let unsettled = orders.rows().filter(|(_, order)| !order.settled);
    unsettled
        .filter_map(|(name, order)| plan_delivery(now, name, order, endpoints.get(name), deliveries))
        .collect()
}

fn plan_delivery(
    now: BootTime,
    name: &EndpointName,
    order: &OrderRow,
    endpoint: Option<&EndpointRow>,
    deliveries: &DeliveryTable,
) -> Option<DeliveryStep> {
    let endpoint = endpoint?;
    let number = order.number.0;
    let in_flight_until = deliveries.in_flight_until(number);
    let reported_after = in_flight_until.is_some_and(|until| endpoint.heard_at >= until);
    let is_superseded = endpoint.incarnation > order.incarnation;
    let same_incarnation = endpoint.incarnation == order.incarnation;
    let is_fulfilled = same_incarnation && reported_after && is_in_target_state(endpoint, &order.target);
    if is_superseded || is_fulfilled {
        return Some(DeliveryStep::Settle {
            endpoint: name.clone(),
            order: order.clone(),
        });
    }
    let should_send = same_incarnation && deliveries.may_send(number, now);
    let (address, order) = (endpoint.address, order.clone());
    should_send.then(|| DeliveryStep::Send {
        endpoint: name.clone(),
        address,
        order,
    })
}

const fn is_in_target_state(endpoint: &EndpointRow, target: &OrderTarget) -> bool {
    match (endpoint.state, target) {
        (EndpointState::Ready, OrderTarget::Serve) | (EndpointState::Draining, OrderTarget::Drain) => true,
        (EndpointState::Ready, OrderTarget::Drain) | (EndpointState::Draining, OrderTarget::Serve) => false,
    }
}
