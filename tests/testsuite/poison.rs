//! Calls that end every endpoint that runs them.

use std::net::TcpStream;

use serde_json::{Value, json};
use test_support::{Caller, ClusterShape, TestCluster, wait_until};

use crate::support::cluster;

const POISON: &str = "a specification that ends engines";
const TOKENS: u64 = 40;
/// After three endpoints have ended, the news of it reaches the entries while a call may be on its way.
const MOST_ENDINGS: usize = 5;

async fn fatal_cluster(shape: ClusterShape) -> (TestCluster, Vec<Caller>) {
    let cluster = cluster(ClusterShape { entries: 2, ..shape });
    let key = cluster.configure().await;
    for endpoint in 0..cluster.endpoints.len() {
        cluster.set_faults(endpoint, &json!({"end_under": POISON})).await;
    }
    let callers = (0..2).map(|entry| cluster.caller(entry, &key)).collect();
    (cluster, callers)
}

fn endings(cluster: &TestCluster) -> usize {
    let addresses = (0..cluster.endpoints.len()).map(|endpoint| cluster.endpoint_address(endpoint));
    addresses.filter(|address| TcpStream::connect(address).is_err()).count()
}

fn code(chunks: &[Value]) -> &str {
    let last = chunks.last().and_then(|chunk| chunk["error"]["code"].as_str());
    last.unwrap_or_default()
}

/// Guards against a completion that ends engine after engine, several of them in each request.
#[tokio::test(flavor = "multi_thread")]
async fn completion_that_ends_engines_is_quarantined_on_every_entry() {
    let (cluster, callers) = fatal_cluster(ClusterShape {
        engines: 9,
        bookings: 0,
        ..ClusterShape::default()
    })
    .await;

    for caller in &callers {
        wait_until("the completion to be quarantined", || async {
            let answer = caller.stream(POISON, TOKENS).await.ok()?;
            (answer.status == 422 && code(&answer.chunks) == "quarantined").then_some(())
        })
        .await;
    }

    let endings = endings(&cluster);
    assert!(endings <= MOST_ENDINGS, "{endings} engines ended");
    let innocent = callers[0].stream("a specification that harms nothing", TOKENS).await;
    assert!(innocent.expect("the entry answers").whole);
}
