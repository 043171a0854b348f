//! HTTP server for health checks, metrics and inspection pages.

use acacia_http::{ResponseBody, ServerBounds, json_response, serve_http, text_response};
use hyper::{Response, StatusCode};
use serde_json::Value;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::metrics_page::MetricsPage;

/// Serves `/healthz`, `/readyz`, `/metrics` and each path for which `inspect` returns a value, until `stop` is
/// cancelled.
///
/// `is_ready` is called for each request to `/readyz`, so that a load balancer stops sending requests to a process that
/// drains or has lost its lease.
pub async fn serve_admin(
    listener: TcpListener,
    stop: CancellationToken,
    page: MetricsPage,
    is_ready: impl Fn() -> bool + Clone + Send + Sync + 'static,
    inspect: impl Fn(&str) -> Option<Value> + Clone + Send + Sync + 'static,
) {
    serve_http(listener, ServerBounds::default(), stop, move |request| {
        let (page, is_ready, inspect) = (page.clone(), is_ready.clone(), inspect.clone());
        async move { respond(request.uri().path(), &page, is_ready, inspect) }
    })
    .await;
}

fn respond(
    path: &str,
    page: &MetricsPage,
    is_ready: impl Fn() -> bool,
    inspect: impl Fn(&str) -> Option<Value>,
) -> Response<ResponseBody> {
    match path {
        "/healthz" => text_response(StatusCode::OK, "ok\n"),
        "/readyz" if is_ready() => text_response(StatusCode::OK, "ready\n"),
        "/readyz" => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/metrics" => text_response(StatusCode::OK, page.render()),
        path => match inspect(path) {
            Some(value) => json_response(StatusCode::OK, &value),
            None => text_response(StatusCode::NOT_FOUND, "no such page\n"),
        },
    }
}
