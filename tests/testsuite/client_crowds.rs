//! Crowds of clients with large, unfinished bodies at the own interface of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use test_support::{ClusterShape, Program, unread_bytes};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::cluster;

/// Most that a process may use, in bytes, with what is unread in its sockets.
const MEMORY: u64 = 64_000_000;
/// Largest body of a caller, and number of callers that send all of it but the last byte.
const CALLER_CROWD: (usize, usize) = (65_536, 1_000);
/// Time for which the crowd stays.
const HOLDING_TIME: Duration = Duration::from_secs(2);
/// Interval at which memory is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time for which a client goes on sending.
const SENDING_TIME: Duration = Duration::from_secs(8);

async fn send_unfinished(address: SocketAddr, head: String, bytes: usize) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let head = format!("{head}content-length: {bytes}\r\n\r\n");
    let sending = async {
        if stream.write_all(head.as_bytes()).await.is_ok() {
            let _closed = stream.write_all(&vec![b' '; bytes - 1]).await;
        }
    };
    let _stopped = tokio::time::timeout(SENDING_TIME, sending).await;
    Some(stream)
}

/// Sends a crowd and returns the most memory that was seen, and the connections, which are still open.
async fn press(
    program: &Program,
    address: SocketAddr,
    head: &str,
    (bytes, count): (usize, usize),
) -> (u64, Vec<Option<TcpStream>>) {
    let clients = (0..count).map(|_client| send_unfinished(address, head.to_owned(), bytes));
    let sending = async {
        let crowd = join_all(clients).await;
        tokio::time::sleep(HOLDING_TIME).await;
        crowd
    };
    let mut sending = std::pin::pin!(sending);
    let mut peak = 0;
    loop {
        tokio::select! {
            crowd = &mut sending => return (peak, crowd),
            () = tokio::time::sleep(SAMPLE_INTERVAL) => {
                let resident = program.resources().expect("the process lives").0;
                peak = peak.max(resident + unread_bytes(address));
            }
        }
    }
}

/// Guards against callers whose unfinished bodies fill the memory of an entry.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_of_callers_do_not_fill_the_memory() {
    let cluster = cluster(ClusterShape {
        entries: 1,
        ..ClusterShape::default()
    });
    let key = cluster.configure().await;
    let entry = cluster.entries[0].as_ref().expect("it runs");
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {}\r\n",
        key.secret
    );

    let (peak, crowd) = press(entry, cluster.entry_address(0, 0), &head, CALLER_CROWD).await;
    let beside = cluster.caller(0, &key).get("/v1/models").await;
    drop(crowd);
    let after = cluster.caller(0, &key).get("/v1/models").await;

    println!("{peak} bytes");
    assert!(peak < MEMORY, "{peak} bytes");
    assert_eq!(beside.expect("the entry answers").status, 200);
    assert_eq!(after.expect("the entry answers").status, 200);
}
