//! Tests of the outcome of orders for endpoints.

use std::time::Duration;

use acaciabay::core::serving::issued_order::IssuedOrder;

use crate::fixtures::at;

const BOOT: Duration = Duration::from_secs(4);

fn accepted(desired: u32) -> IssuedOrder {
    let mut order = IssuedOrder::issue(at(0), desired, BOOT, None);
    order.record_answer(at(100), true);
    order
}

/// The platform reclaims the endpoints of a failure domain two seconds after they have started. If the accepted order
/// still counted as pending, the gap would stay open for eight more seconds in the middle of a burst.
#[test]
fn reclaimed_endpoints_are_ordered_again_at_once() {
    let mut order = accepted(5);
    order.record_present(3);
    let while_starting = order.is_pending(at(4_000), 5);

    order.record_present(5);
    order.record_present(0);

    assert!(while_starting);
    assert!(!order.is_pending(at(6_000), 5));
}

/// An order is executed late. If it were issued again before it could take effect, its endpoints would be paid for
/// twice.
#[test]
fn an_order_is_not_repeated_while_it_may_still_have_its_effect() {
    let order = accepted(5);

    assert!(order.is_pending(at(9_000), 5));
    assert!(!order.is_pending(at(9_000), 6));
    assert!(!order.is_pending(at(10_000), 5));
}

/// The platform has no endpoints available. The order is issued again after two seconds and counts as refused until the
/// platform accepts it.
#[test]
fn a_refused_order_is_given_again_soon_and_counts_as_refused_meanwhile() {
    let mut order = IssuedOrder::issue(at(0), 5, BOOT, None);
    order.record_answer(at(100), false);
    let again = IssuedOrder::issue(at(2_200), 5, BOOT, Some(&order));

    assert!(order.is_pending(at(2_000), 5));
    assert!(!order.is_pending(at(2_200), 5));
    assert_eq!((order.accepted_count(), again.accepted_count()), (None, None));
    assert!(order.is_refused() && again.is_refused());
}
