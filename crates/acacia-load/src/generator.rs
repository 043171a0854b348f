//! Sends a plan's requests when they are due.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::plan::{CustomerPlan, LoadPlan, RequestShape};
use crate::report::{LoadReport, ReportBuilder};
use crate::request::{DueRequest, LoadClient, RequestResult};

/// How long a customer that sends nothing in this phase sleeps before it looks again.
const IDLE_PAUSE: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct FinishedRequest {
    customer: String,
    due: DueRequest,
    counted: bool,
    result: RequestResult,
}

/// Sends a load and waits until every request has come to its end.
///
/// # Errors
///
/// Fails when the histograms cannot be made.
pub async fn run_load(plan: &LoadPlan) -> anyhow::Result<LoadReport> {
    let mut builder = ReportBuilder::new()?;
    let client = Arc::new(LoadClient::new());
    let (finished, mut results) = mpsc::unbounded_channel();
    let started_at = Instant::now();
    for (number, customer) in (0_u64..).zip(&plan.customers) {
        let sender = CustomerSender {
            plan: plan.clone(),
            customer: customer.clone(),
            client: Arc::clone(&client),
            finished: finished.clone(),
            started_at,
            random: StdRng::seed_from_u64(plan.seed.wrapping_add(number)),
        };
        tokio::spawn(sender.run());
    }
    drop(finished);
    while let Some(FinishedRequest {
        customer,
        due,
        counted,
        result,
    }) = results.recv().await
    {
        if counted {
            builder.add(&customer, &due.id, due.output_tokens, due.deadline, result);
        }
    }
    let counted = plan.duration_ms.saturating_sub(plan.warmup_ms);
    Ok(builder.finish(Duration::from_millis(counted)))
}

/// Sends one customer's requests.
#[derive(Debug)]
struct CustomerSender {
    plan: LoadPlan,
    customer: CustomerPlan,
    client: Arc<LoadClient>,
    finished: mpsc::UnboundedSender<FinishedRequest>,
    started_at: Instant,
    random: StdRng,
}

impl CustomerSender {
    async fn run(mut self) {
        let mut number = 0_u64;
        let mut due_at = self.started_at;
        loop {
            let elapsed = due_at.duration_since(self.started_at);
            if elapsed >= Duration::from_millis(self.plan.duration_ms) {
                return;
            }
            let phase = self.plan.phase_at(elapsed);
            let rate = self.customer.rates[phase];
            if rate <= 0.0 {
                due_at += IDLE_PAUSE;
                continue;
            }
            due_at += self.interval(rate);
            tokio::time::sleep_until(due_at).await;
            number += 1;
            self.send(number, phase, elapsed);
        }
    }

    /// Draws the time to the next arrival, so that arrivals are independent of each other.
    fn interval(&mut self, rate: f64) -> Duration {
        let uniform: f64 = self.random.random_range(1e-9..1.0);
        Duration::from_secs_f64((-uniform.ln() / rate).min(3_600.0))
    }

    fn send(&mut self, number: u64, phase: usize, elapsed: Duration) {
        let shape = self.plan.shapes[phase];
        let entries = &self.plan.entries;
        let due = DueRequest {
            entry: entries[self.random.random_range(0..entries.len())],
            key: self.customer.key.clone(),
            model: self.plan.model.clone(),
            id: format!("{}-{number}", self.customer.customer),
            prompt: self.prompt(number, shape),
            output_tokens: shape.output_tokens,
            deadline: Duration::from_millis(shape.deadline_ms),
        };
        let counted = elapsed >= Duration::from_millis(self.plan.warmup_ms);
        let (client, finished) = (Arc::clone(&self.client), self.finished.clone());
        let customer = self.customer.customer.clone();
        tokio::spawn(async move {
            let result = client.send(&due).await;
            let _collector_gone = finished.send(FinishedRequest {
                customer,
                due,
                counted,
                result,
            });
        });
    }

    /// Makes a prompt that shares its start with others of the customer.
    fn prompt(&mut self, number: u64, shape: RequestShape) -> String {
        let prefix = self.random.random_range(0..self.plan.prefixes.max(1));
        let start = format!("{} {prefix}", self.customer.customer);
        let words = usize::try_from(shape.prompt_words).unwrap_or(0).saturating_sub(3);
        format!("{start}{} {number}", " specs".repeat(words))
    }
}
