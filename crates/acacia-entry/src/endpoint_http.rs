//! The listener for endpoints' announcements and load reports (`docs/ENDPOINTS.md`).

use std::sync::Arc;
use std::time::Duration;

use acacia_http::{BodyRefusal, ResponseBody, empty_body, json_response};
use acacia_runtime::clock::boot_now;
use acaciabay::core::endpoint::{EndpointIncarnation, EndpointRow, EndpointState, EndpointWork};
use acaciabay::core::name::EndpointName;
use acaciabay::core::serving::software_version::SoftwareVersion;
use acaciabay::util::number::whole_millis;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::shared::Entry;

const LARGEST_REPORT: usize = 64 * 1024;
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug, Deserialize)]
struct ReportBody {
    endpoint: String,
    incarnation: u64,
    sequence: u64,
    address: std::net::SocketAddr,
    failure_domain: String,
    #[serde(default)]
    models: Vec<String>,
    service: Option<String>,
    state: ReportedState,
    running: u32,
    slots: u32,
    pieces_used: Option<u32>,
    pieces: Option<u32>,
    /// The version of its software.
    version: Option<String>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ReportedState {
    Ready,
    Draining,
}

pub(crate) async fn answer_endpoint(entry: Arc<Entry>, request: Request<Incoming>) -> Response<ResponseBody> {
    if request.method() != Method::POST || request.uri().path() != "/v1/endpoints/report" {
        return json_response(StatusCode::NOT_FOUND, &json!({"error": "no such path"}));
    }
    let body = match entry
        .intake
        .read(request.into_body(), LARGEST_REPORT, REPORT_TIMEOUT)
        .await
    {
        Ok(body) => body,
        Err(BodyRefusal::NoRoom) => {
            let error = json!({"error": "other requests use the memory for bodies"});
            return json_response(StatusCode::SERVICE_UNAVAILABLE, &error);
        }
        Err(BodyRefusal::TooLarge | BodyRefusal::TimedOut | BodyRefusal::Broken) => {
            let error = json!({"error": "report is too large or did not arrive in time"});
            return json_response(StatusCode::BAD_REQUEST, &error);
        }
    };
    match serde_json::from_slice::<ReportBody>(&body) {
        Ok(report) => {
            take_report(&entry, report);
            let mut response = Response::new(empty_body());
            *response.status_mut() = StatusCode::NO_CONTENT;
            response
        }
        Err(error) => json_response(
            StatusCode::BAD_REQUEST,
            &json!({"error": format!("malformed report: {error}")}),
        ),
    }
}

fn take_report(entry: &Entry, report: ReportBody) {
    let name = EndpointName::new(&report.endpoint);
    let row = row_of(report);
    let mut view = entry.endpoints.lock();
    if view.take_report(&name, row) {
        view.unsent.push(name);
    }
}

fn row_of(report: ReportBody) -> EndpointRow {
    let work = match report.service {
        Some(service) => EndpointWork::Service(service.as_str().into()),
        None => EndpointWork::Models(report.models.iter().map(|model| model.as_str().into()).collect()),
    };
    EndpointRow {
        incarnation: EndpointIncarnation(report.incarnation),
        sequence: report.sequence,
        address: report.address,
        domain: report.failure_domain.as_str().into(),
        work,
        state: match report.state {
            ReportedState::Ready => EndpointState::Ready,
            ReportedState::Draining => EndpointState::Draining,
        },
        running: report.running,
        slots: report.slots,
        pieces_used: report.pieces_used.unwrap_or(report.running),
        pieces: report.pieces.unwrap_or(report.slots),
        version: report.version.as_deref().and_then(SoftwareVersion::from_text),
        heard_at: boot_now(),
    }
}

/// Shows operators what this entry knows of the endpoints.
pub(crate) fn show_endpoints(entry: &Entry) -> Value {
    let now = boot_now();
    let view = entry.endpoints.lock();
    let rows = view.table.rows().map(|(name, row)| {
        json!({
            "endpoint": name.as_str(),
            "address": row.address.to_string(),
            "takes_work": row.takes_work(now),
            "running": row.running,
            "slots": row.slots,
            "pieces_used": row.pieces_used,
            "pieces": row.pieces,
            "version": row.version.as_ref().map(SoftwareVersion::as_str),
            "own_sends": view.sends.get(name).map_or(0, |own| own.requests),
            "report_age_ms": whole_millis(now.since(row.heard_at)),
        })
    });
    json!({"endpoints": rows.collect::<Vec<_>>()})
}
