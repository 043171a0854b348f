//! Waiting for states of a cluster, as its own interfaces show them.

use std::net::SocketAddr;

use acacia_http::{FetchRequest, fetch_json};
use acacia_operator::OperatorClient;
use hyper::Method;
use serde_json::Value;

use crate::cluster::{ANSWER_TIMEOUT, TestCluster, control_name};
use crate::wait::wait_until;

impl TestCluster {
    /// Waits until a control host votes.
    pub async fn wait_voter(&self, index: usize) {
        let operator = self.operator();
        wait_until(&format!("{} votes", control_name(index)), || async {
            let rows = member_rows(&operator).await?;
            rows.iter()
                .any(|row| row["host"] == control_name(index) && row["voter"] == true)
                .then_some(())
        })
        .await;
    }

    /// Waits until a control host is ready.
    pub async fn wait_ready(&self, index: usize) {
        let admin = self.control_address(index, 2);
        wait_ready_at(admin, &format!("{} is ready", control_name(index))).await;
    }

    /// Returns which control host leads.
    pub async fn leader(&self) -> usize {
        let operator = self.operator();
        wait_until("a replica leads", || async {
            let rows = member_rows(&operator).await?;
            let host = rows.iter().find(|row| row["leader"] == true)?["host"]
                .as_str()?
                .to_owned();
            (0..self.shape.controls).find(|index| control_name(*index) == host)
        })
        .await
    }

    /// Waits until every entry that runs has joined and serves.
    pub async fn wait_entries(&self) {
        for index in (0..self.entries.len()).filter(|index| self.entries[*index].is_some()) {
            let admin = self.entry_address(index, 2);
            wait_ready_at(admin, &format!("entry-{} serves", index + 1)).await;
        }
    }

    /// Waits until every entry knows every endpoint and has its share of every pool.
    pub async fn wait_endpoints(&self) {
        for index in 0..self.entries.len() {
            let admin = self.entry_address(index, 2);
            for endpoint in 0..self.shape.engines + self.shape.bookings {
                let name = self.endpoint_name(endpoint);
                wait_until(&format!("entry-{} knows `{name}`", index + 1), || {
                    knows(admin, name.clone())
                })
                .await;
            }
            wait_until(&format!("entry-{} has its shares", index + 1), || has_shares(admin)).await;
        }
    }
}

/// Waits until a process says at its admin address that it is ready.
async fn wait_ready_at(admin: SocketAddr, what: &str) {
    wait_until(what, || async move {
        let request = FetchRequest::new(&Method::GET, "/readyz");
        let answer = fetch_json(admin, request, ANSWER_TIMEOUT).await.ok()?;
        answer.status.is_success().then_some(())
    })
    .await;
}

async fn knows(admin: SocketAddr, endpoint: String) -> Option<()> {
    let request = FetchRequest::new(&Method::GET, "/endpoints");
    let answer = fetch_json(admin, request, ANSWER_TIMEOUT).await.ok()?;
    let rows = answer.body["endpoints"].as_array()?;
    rows.iter()
        .any(|row| row["endpoint"] == endpoint && row["takes_work"] == true)
        .then_some(())
}

async fn has_shares(admin: SocketAddr) -> Option<()> {
    let request = FetchRequest::new(&Method::GET, "/shares");
    let answer = fetch_json(admin, request, ANSWER_TIMEOUT).await.ok()?;
    let rows = answer.body["shares"].as_array()?.clone();
    rows.iter().all(|row| row["granted"] == true).then_some(())
}

/// Returns the members of the group as an operator sees them.
async fn member_rows(operator: &OperatorClient) -> Option<Vec<Value>> {
    let members = operator.expect(Method::GET, "/v1/members", None).await.ok()?;
    members["members"].as_array().cloned()
}
