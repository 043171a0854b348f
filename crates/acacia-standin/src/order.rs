//! Orders as an endpoint takes them.

use acacia_http::{ResponseBody, json_response};
use hyper::{Response, StatusCode};
use serde::Deserialize;
use serde_json::json;

use crate::fault::FaultPlan;
use crate::record::OrderRecord;
use crate::standin::Standin;

#[derive(Debug, Deserialize)]
struct OrderBody {
    number: u64,
    incarnation: u64,
    target: String,
}

/// Carries an order out, or refuses it; nothing is answered when the answer is to be lost.
pub(crate) fn take_order(standin: &Standin, body: &[u8]) -> Option<Response<ResponseBody>> {
    let Ok(order) = serde_json::from_slice::<OrderBody>(body) else {
        return Some(json_response(
            StatusCode::BAD_REQUEST,
            &json!({"error": "not an order"}),
        ));
    };
    let mut state = standin.lock();
    if order.incarnation != standin.incarnation {
        let answer = json!({"error": "another incarnation", "incarnation": standin.incarnation});
        return Some(json_response(StatusCode::CONFLICT, &answer));
    }
    if standin.settings.checks_fencing && order.number < state.last_order {
        let answer = json!({"error": "old fencing number", "last": state.last_order});
        return Some(json_response(StatusCode::CONFLICT, &answer));
    }
    state.last_order = order.number.max(state.last_order);
    state.draining = order.target == "drain";
    state.record.orders.push(OrderRecord {
        number: order.number,
        target: order.target,
    });
    let lost = FaultPlan::strike(&mut state.faults.lose_order_answers);
    (!lost).then(|| json_response(StatusCode::OK, &json!({"number": order.number})))
}
