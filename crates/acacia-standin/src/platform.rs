//! The platform's interface that takes usage windows.

use acacia_http::{ResponseBody, json_response};
use hyper::{Response, StatusCode};
use serde_json::json;

use crate::fault::FaultPlan;
use crate::record::WindowRecord;
use crate::routes::{WholeRequest, broken_answer};
use crate::standin::Standin;

const PREFIX: &str = "/v1/usage-windows/";

pub(crate) fn take_window(standin: &Standin, whole: &WholeRequest) -> Response<ResponseBody> {
    let Some(window) = whole.path.strip_prefix(PREFIX).and_then(|number| number.parse().ok()) else {
        return json_response(StatusCode::NOT_FOUND, &json!({"error": "no such path"}));
    };
    let body = String::from_utf8_lossy(&whole.body).into_owned();
    let mut state = standin.lock();
    state.record.windows.push(WindowRecord { window, body });
    if FaultPlan::strike(&mut state.faults.lose_answers) {
        return broken_answer();
    }
    json_response(StatusCode::OK, &json!({"window": window}))
}
