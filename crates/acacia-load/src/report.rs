//! What a load came to.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::request::{RequestOutcome, RequestResult};

/// The longest time that the histograms tell apart, in microseconds; a longer one counts as this.
const LONGEST_TIME_US: u64 = 600_000_000;

/// Percentiles of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LatencyReport {
    /// Half of all are quicker.
    pub p50_ms: f64,
    /// 95 in 100 are quicker.
    pub p95_ms: f64,
    /// 99 in 100 are quicker.
    pub p99_ms: f64,
}

/// What one customer got.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CustomerReport {
    /// Requests sent.
    pub sent: u64,
    /// Whole, right answers within their deadline.
    pub good: u64,
    /// Whole, right answers after their deadline.
    pub late: u64,
    /// Refusals by code.
    pub refused: BTreeMap<String, u64>,
    /// Answers that broke off.
    pub broken: u64,
    /// Answers with a wrong text.
    pub wrong: u64,
    /// Tokens of good answers.
    pub good_tokens: u64,
}

/// What the whole load came to.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LoadReport {
    /// How long requests were counted, in seconds.
    pub seconds: f64,
    /// Good answers a second.
    pub goodput: f64,
    /// Tokens of good answers a second.
    pub good_tokens_per_second: f64,
    /// From sending to the first token, over all answers that began.
    pub first_token: LatencyReport,
    /// Between two tokens.
    pub between_tokens: LatencyReport,
    /// Figures for each customer.
    pub customers: BTreeMap<String, CustomerReport>,
    /// Ids of requests that were refused as not run, for comparison with the stand-ins' records.
    #[serde(skip)]
    pub refused_as_not_run: Vec<String>,
}

/// Collects results.
#[derive(Debug)]
pub(crate) struct ReportBuilder {
    report: LoadReport,
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
}

impl ReportBuilder {
    pub(crate) fn new() -> anyhow::Result<Self> {
        Ok(Self {
            report: LoadReport::default(),
            first_token: Histogram::new_with_max(LONGEST_TIME_US, 3)?,
            between_tokens: Histogram::new_with_max(LONGEST_TIME_US, 3)?,
        })
    }

    pub(crate) fn add(&mut self, customer: &str, id: &str, tokens: u64, deadline: Duration, result: RequestResult) {
        let row = self.report.customers.entry(customer.to_owned()).or_default();
        row.sent += 1;
        match result.outcome {
            RequestOutcome::Whole if result.total <= deadline => {
                row.good += 1;
                row.good_tokens += tokens;
            }
            RequestOutcome::Whole => row.late += 1,
            RequestOutcome::Wrong => row.wrong += 1,
            RequestOutcome::Broken => row.broken += 1,
            RequestOutcome::Refused { code, not_run } => {
                *row.refused.entry(code).or_default() += 1;
                if not_run {
                    self.report.refused_as_not_run.push(id.to_owned());
                }
            }
        }
        if let Some(first) = result.first_token {
            self.first_token.saturating_record(micros(first));
        }
        for gap in result.between_tokens {
            self.between_tokens.saturating_record(micros(gap));
        }
    }

    pub(crate) fn finish(mut self, counted: Duration) -> LoadReport {
        let seconds = counted.as_secs_f64().max(f64::MIN_POSITIVE);
        let good: u64 = self.report.customers.values().map(|row| row.good).sum();
        let tokens: u64 = self.report.customers.values().map(|row| row.good_tokens).sum();
        self.report.seconds = seconds;
        self.report.goodput = good as f64 / seconds;
        self.report.good_tokens_per_second = tokens as f64 / seconds;
        self.report.first_token = latency_of(&self.first_token);
        self.report.between_tokens = latency_of(&self.between_tokens);
        self.report
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn latency_of(histogram: &Histogram<u64>) -> LatencyReport {
    let millis = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    LatencyReport {
        p50_ms: millis(0.5),
        p95_ms: millis(0.95),
        p99_ms: millis(0.99),
    }
}
