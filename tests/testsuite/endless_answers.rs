//! Engines that send bytes without end which are no answer, until the entry closes.

use std::time::{Duration, Instant};

use futures::future::join_all;
use test_support::{Caller, ClusterShape, EndlessBytes, EndlessEndpoint, TestCluster, wait_until};

use crate::support::cluster;

/// Calls that are sent at once.
const CALLS: usize = 12;
const TOKENS: u64 = 10;
/// Calls before, whose number allows retries.
const EARLIER_CALLS: usize = 60;
/// Time within which each call is answered: the patience of 10 s for the first token, and an answer after it.
const ANSWER_TIME: Duration = Duration::from_secs(13);
/// Bound on the memory that such answers take.
const MEMORY_BOUND: u64 = 50 * 1024 * 1024;
/// Interval at which the memory is read.
const MEMORY_INTERVAL: Duration = Duration::from_millis(50);

/// Starts two engines and an entry, and puts an endless endpoint in the place of the first.
async fn start(bytes: EndlessBytes) -> (TestCluster, Caller, EndlessEndpoint) {
    let mut cluster = cluster(ClusterShape {
        engines: 2,
        bookings: 0,
        entries: 1,
        ..ClusterShape::default()
    });
    let key = cluster.configure().await;
    let caller = cluster.caller(0, &key);
    for number in 0..EARLIER_CALLS {
        let answer = caller.stream(&format!("earlier {number}"), 1).await;
        assert!(answer.is_ok_and(|answer| answer.whole), "{}", bytes.name);
    }
    let address = cluster.endpoint_address(0);
    cluster.endpoints[0] = None;
    let endless = EndlessEndpoint::start(address, bytes).await;
    (cluster, caller, endless)
}

/// Returns the memory of the entry once it is above the bound, so that a failing test does not take all that there is.
async fn wait_for_memory(cluster: &TestCluster) -> u64 {
    let entry = cluster.entries[0].as_ref().expect("the entry runs");
    loop {
        let memory = entry.resources().expect("the entry runs").0;
        if memory >= MEMORY_BOUND {
            return memory;
        }
        tokio::time::sleep(MEMORY_INTERVAL).await;
    }
}

async fn assert_bounded(bytes: EndlessBytes) {
    let (cluster, caller, endless) = start(bytes).await;

    let calls = (0..CALLS).map(|number| {
        let caller = &caller;
        async move {
            let began_at = Instant::now();
            let answer = caller.stream(&format!("{number} is a prompt"), TOKENS).await;
            (answer.is_ok_and(|answer| answer.whole), began_at.elapsed())
        }
    });
    let answers = tokio::select! {
        answers = tokio::time::timeout(3 * ANSWER_TIME, join_all(calls)) => answers,
        memory = wait_for_memory(&cluster) => panic!("{}: the entry holds {memory} bytes", bytes.name),
    };
    let answers = answers.unwrap_or_else(|_elapsed| panic!("{}: calls are held", bytes.name));

    assert!(endless.requests() > 0, "{}: no call reached the endpoint", bytes.name);
    let late = answers.iter().filter(|(_, took)| *took > ANSWER_TIME).count();
    assert_eq!(late, 0, "{}: late of {CALLS}: {answers:?}", bytes.name);
    let whole = answers.iter().filter(|(whole, _)| *whole).count();
    assert_eq!(whole, CALLS, "{}: {answers:?}", bytes.name);
    wait_until("its connections to be closed", || async {
        (endless.open() == 0).then_some(())
    })
    .await;
}

/// Guards against a refusal that is read as long as it goes on.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_without_end_is_given_up() {
    assert_bounded(EndlessBytes::fast(
        "refusal",
        "HTTP/1.1 500 Internal Server Error\r\n\r\n",
        "x",
    ))
    .await;
}

/// Guards against lines that bring no token and reset the time limit.
#[tokio::test(flavor = "multi_thread")]
async fn lines_without_tokens_are_given_up() {
    assert_bounded(EndlessBytes::fast(
        "comments",
        "HTTP/1.1 200 OK\r\n\r\n",
        ": no token\n",
    ))
    .await;
}

/// Guards against a line that is kept as long as it goes on.
#[tokio::test(flavor = "multi_thread")]
async fn line_without_end_is_given_up() {
    assert_bounded(EndlessBytes::fast("line", "HTTP/1.1 200 OK\r\n\r\ndata:", "x")).await;
}

/// Guards against heads and interim answers that are read as long as they go on.
#[tokio::test(flavor = "multi_thread")]
async fn head_without_end_is_given_up() {
    assert_bounded(EndlessBytes::fast(
        "head",
        "HTTP/1.1 200 OK\r\n",
        "x-more: and more\r\n",
    ))
    .await;
    assert_bounded(EndlessBytes::fast("interim", "", "HTTP/1.1 103 Early Hints\r\n\r\n")).await;
}
