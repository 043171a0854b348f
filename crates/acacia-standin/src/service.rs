//! A plain service: a booking or dispatch application.

use std::sync::Arc;
use std::time::Duration;

use acacia_http::{ResponseBody, json_response};
use hyper::{Response, StatusCode};
use serde_json::{Value, json};

use crate::fault::FaultPlan;
use crate::record::{RunRecord, RunState};
use crate::routes::{WholeRequest, broken_answer, cut_answer, refuse};
use crate::standin::Standin;

pub(crate) async fn run_service(standin: Arc<Standin>, whole: WholeRequest) -> Response<ResponseBody> {
    let Some(slot) = standin.take_slot() else {
        return refuse(&standin);
    };
    let body = String::from_utf8_lossy(&whole.body).into_owned();
    let echoed: Value = serde_json::from_slice(&whole.body).unwrap_or(Value::Null);
    let place = standin.begin_run(RunRecord {
        id: whole.id.clone(),
        path: whole.path.clone(),
        body,
        saw_authorization: whole.saw_authorization,
        traceparent: whole.traceparent,
        tokens: 0,
        state: RunState::Started,
    });
    let (delay, lost, cut) = {
        let mut state = standin.lock();
        (
            state.faults.delay_answers_ms,
            FaultPlan::strike(&mut state.faults.lose_answers),
            FaultPlan::strike(&mut state.faults.cut_answers),
        )
    };
    tokio::time::sleep(Duration::from_millis(delay)).await;
    standin.finish_run(place, 0);
    drop(slot);
    if lost {
        return broken_answer();
    }
    let booked = json!({"endpoint": standin.settings.endpoint, "path": whole.path, "confirmation": place + 1, "request": echoed});
    let mut answer = if cut {
        cut_answer(&booked)
    } else {
        json_response(StatusCode::OK, &booked)
    };
    if let Ok(id) = whole.id.parse() {
        answer.headers_mut().insert("x-request-id", id);
    }
    answer
}
