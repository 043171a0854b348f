//! A client for the operators' interface of the control group, used by the `acacia` command, by tests and by tools.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use acacia_http::{FetchRequest, FetchedAnswer, fetch_json};
use acaciabay::util::digest::ContentDigest;
use anyhow::{Context, bail};
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::time::Instant;

/// How long one replica may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// How long to go on looking for a leader. Elections take about a second.
const LEADER_TIMEOUT: Duration = Duration::from_secs(15);
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// How often the progress of a change is looked at.
const WAIT_INTERVAL: Duration = Duration::from_millis(20);

/// Talks to whichever replica leads.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    addresses: Vec<SocketAddr>,
    token: String,
    patience: Duration,
    /// Which address answered last; it is asked first.
    last: Arc<AtomicUsize>,
}

/// A key that was just made.
#[derive(Clone)]
pub struct IssuedKey {
    /// What the customer sends with its requests. It is kept nowhere.
    pub secret: String,
    /// What operators call the key.
    pub id: String,
    /// The version of the configuration that contains it.
    pub version: u64,
}

impl std::fmt::Debug for IssuedKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("IssuedKey")
            .field("id", &self.id)
            .field("version", &self.version)
            .finish_non_exhaustive()
    }
}

impl OperatorClient {
    /// Creates a client for the replicas' operator addresses.
    ///
    /// # Errors
    ///
    /// Fails without an address.
    pub fn new(addresses: Vec<SocketAddr>, token: impl Into<String>) -> anyhow::Result<Self> {
        if addresses.is_empty() {
            bail!("no control address was given");
        }
        Ok(Self {
            addresses,
            token: token.into(),
            patience: LEADER_TIMEOUT,
            last: Arc::default(),
        })
    }

    /// Returns the client with another bound on how long it looks for a leader.
    #[must_use]
    pub fn with_patience(self, patience: Duration) -> Self {
        Self { patience, ..self }
    }

    /// Sends a request to the leader, trying every replica until one leads.
    ///
    /// A request whose answer was lost is sent again, which is safe: every write is recognised by its content.
    ///
    /// # Errors
    ///
    /// Fails when no leader answers within 15 seconds, or the time given to [`Self::with_patience`].
    pub async fn request(&self, method: Method, path: &str, body: Option<&Value>) -> anyhow::Result<FetchedAnswer> {
        let give_up = Instant::now() + self.patience;
        let mut last_error = None;
        loop {
            let first = self.last.load(Ordering::Relaxed);
            for offset in 0..self.addresses.len() {
                let index = (first + offset) % self.addresses.len();
                let address = self.addresses[index];
                let request = FetchRequest {
                    token: Some(&self.token),
                    body,
                    ..FetchRequest::new(&method, path)
                };
                let sent = fetch_json(address, request, ANSWER_TIMEOUT).await;
                match sent {
                    Ok(answer) if answer.status != StatusCode::SERVICE_UNAVAILABLE => {
                        self.last.store(index, Ordering::Relaxed);
                        return Ok(answer);
                    }
                    Ok(answer) => last_error = Some(error_of(&answer)),
                    Err(error) => last_error = Some(error),
                }
            }
            if Instant::now() >= give_up {
                let error = last_error.unwrap_or_else(|| anyhow::anyhow!("no replica was asked"));
                return Err(error.context("no replica of the control group leads"));
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Sends a request and returns the answer's body.
    ///
    /// # Errors
    ///
    /// Fails with the group's message when it refuses the request.
    pub async fn expect(&self, method: Method, path: &str, body: Option<&Value>) -> anyhow::Result<Value> {
        let answer = self.request(method, path, body).await?;
        if answer.status.is_success() {
            Ok(answer.body)
        } else {
            Err(error_of(&answer))
        }
    }

    /// Reads a table: its `number` and its `rows`.
    ///
    /// # Errors
    ///
    /// Fails when no leader answers.
    pub async fn read_table(&self, table: &str) -> anyhow::Result<Value> {
        self.expect(Method::GET, &format!("/v1/tables/{table}"), None).await
    }

    /// Replaces a table's rows, provided that the table is still at `expected`.
    ///
    /// # Errors
    ///
    /// Fails when the table has moved on, when a row is wrong, or when no leader answers.
    pub async fn write_table(&self, table: &str, expected: u64, rows: &Value, dry_run: bool) -> anyhow::Result<Value> {
        let path = format!("/v1/tables/{table}?expect={expected}&dry_run={dry_run}");
        self.expect(Method::PUT, &path, Some(rows)).await
    }

    /// Makes a key for a customer. The secret is made here and only its digest is sent.
    ///
    /// # Errors
    ///
    /// Fails when the system has no randomness or no leader answers.
    pub async fn issue_key(&self, customer: &str) -> anyhow::Result<IssuedKey> {
        let mut random = [0; 32];
        getrandom::fill(&mut random).context("failed to read random bytes")?;
        let secret = format!("ak-{}", ContentDigest(random).to_hex());
        let body = json!({"customer": customer, "sha256": ContentDigest::of(&secret).to_hex()});
        let answer = self.expect(Method::POST, "/v1/keys", Some(&body)).await?;
        let id = answer["key"].as_str().unwrap_or_default().to_owned();
        Ok(IssuedKey {
            secret,
            id,
            version: answer["version"].as_u64().unwrap_or(0),
        })
    }

    /// Withdraws a key and returns the version of the configuration without it.
    ///
    /// # Errors
    ///
    /// Fails when no leader answers.
    pub async fn withdraw_key(&self, id: &str) -> anyhow::Result<u64> {
        let answer = self.expect(Method::DELETE, &format!("/v1/keys/{id}"), None).await?;
        Ok(answer["version"].as_u64().unwrap_or(0))
    }

    /// Waits until every entry that may serve does so by `version` or a later one.
    ///
    /// # Errors
    ///
    /// Fails with the hosts that are still behind when `timeout` has passed.
    pub async fn wait_in_force(&self, version: u64, timeout: Duration) -> anyhow::Result<()> {
        let give_up = Instant::now() + timeout;
        loop {
            let answer = self
                .expect(Method::GET, &format!("/v1/in-force?version={version}"), None)
                .await?;
            if answer["in_force"] == Value::Bool(true) {
                return Ok(());
            }
            if Instant::now() >= give_up {
                bail!(
                    "version {version} is not in force after {timeout:?}; behind are {}",
                    answer["behind"]
                );
            }
            tokio::time::sleep(WAIT_INTERVAL).await;
        }
    }
}

fn error_of(answer: &FetchedAnswer) -> anyhow::Error {
    let error = &answer.body["error"];
    match error["message"].as_str() {
        Some(message) => anyhow::anyhow!("{message}"),
        None => anyhow::anyhow!("control answered {}", answer.status),
    }
}
