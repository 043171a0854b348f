//! One request's spans, collected from the files of all processes.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use serde_json::{Value, json};
use test_support::{ClusterShape, wait_until};

use crate::support::cluster;

const TRACE: &str = "4bf92f3577b34da6a3ce929d0e0e4736";
const CALLERS_SPAN: &str = "00f067aa0ba902b7";

/// Reads all spans of the trace: their names, and for each span its parent.
fn read_spans(files: &[&Path]) -> (BTreeSet<String>, BTreeMap<String, String>) {
    let (mut names, mut parents) = (BTreeSet::new(), BTreeMap::new());
    let texts = files.iter().filter_map(|file| std::fs::read_to_string(file).ok());
    let lines: Vec<Value> = texts
        .flat_map(|text| whole_lines(&text).map(parse).collect::<Vec<_>>())
        .collect();
    for span in lines
        .iter()
        .filter_map(|line| line["resourceSpans"][0]["scopeSpans"][0]["spans"].as_array())
        .flatten()
    {
        if span["traceId"] == TRACE {
            names.insert(text(span, "name"));
            parents.insert(text(span, "spanId"), text(span, "parentSpanId"));
        }
    }
    (names, parents)
}

/// A line that is being written has no end yet and is left for the next look.
fn whole_lines(text: &str) -> impl Iterator<Item = &str> {
    text.split_inclusive('\n').filter(|line| line.ends_with('\n'))
}

fn parse(line: &str) -> Value {
    serde_json::from_str(line).expect("each line is one export request")
}

fn text(span: &Value, field: &str) -> String {
    span[field].as_str().unwrap_or_default().to_owned()
}

/// An operator looks for where a slow request spent its time. A hop without a span, or under another trace, would
/// leave a gap that nobody can explain.
#[tokio::test(flavor = "multi_thread")]
async fn every_hop_of_a_request_has_a_span_under_its_trace() {
    let folder = tempfile::TempDir::new().expect("the system has a temporary folder");
    let (entry_file, control_file) = (folder.path().join("entry.jsonl"), folder.path().join("control.jsonl"));
    let cluster = cluster(ClusterShape {
        entries: 1,
        entry_settings: json!({"trace_file": entry_file}),
        control_settings: json!({"trace_file": control_file}),
        ..ClusterShape::default()
    });
    let key = cluster.configure().await;
    let caller = cluster.caller(0, &key);
    let traceparent = format!("00-{TRACE}-{CALLERS_SPAN}-01");
    let headers = [("traceparent", traceparent.as_str()), ("idempotency-key", "traced")];

    caller
        .post("/v1/services/booking/slots", &headers, &json!({}))
        .await
        .expect("the entry answers");

    let wanted = [
        "admission",
        "attempt",
        "claim",
        "claim end",
        "control commit",
        "request",
        "usage commit",
    ];
    let wanted: BTreeSet<String> = wanted.into_iter().map(ToOwned::to_owned).collect();
    let parents = wait_until("all spans are written", || async {
        let (names, parents) = read_spans(&[&entry_file, &control_file]);
        (names == wanted).then_some(parents)
    })
    .await;
    for parent in parents.values() {
        assert!(
            parent == CALLERS_SPAN || parents.contains_key(parent),
            "{parent} is nobody's span"
        );
    }
}
