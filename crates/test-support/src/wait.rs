//! Waiting for a state, with a bound.

use std::time::Duration;

use tokio::time::Instant;

/// How long a test waits for something that should happen within seconds; generous, since CI may be busy.
const PATIENCE: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls until `holds` returns a value.
///
/// # Panics
///
/// Panics, naming `what`, when that takes longer than 30 seconds.
pub async fn wait_until<T, F: Future<Output = Option<T>>>(what: &str, mut holds: impl FnMut() -> F) -> T {
    let give_up = Instant::now() + PATIENCE;
    loop {
        if let Some(value) = holds().await {
            return value;
        }
        assert!(Instant::now() < give_up, "waited in vain for: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
