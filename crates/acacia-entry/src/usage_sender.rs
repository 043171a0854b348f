//! Delivers usage to the control group, in order and each report once.

use std::collections::BTreeMap;
use std::time::Duration;

use acacia_runtime::event;
use acacia_wire::EntryCall;
use acaciabay::core::member::EntryIncarnation;
use acaciabay::core::name::CustomerName;
use acaciabay::core::usage::{UsageFigures, UsageReport};
use slog::Logger;
use tokio::sync::{mpsc, oneshot};

use crate::control_link::ControlLink;

/// How long the end of an answer waits for its usage to be committed.
///
/// A caller is not made to wait longer for our bookkeeping; the report goes on being sent after that.
const COMMIT_WAIT: Duration = Duration::from_millis(500);
const WAITING_ROWS: usize = 16_384;

/// Takes usage from requests.
#[derive(Clone, Debug)]
pub(crate) struct UsageSender {
    rows: mpsc::Sender<UsageRow>,
    log: Logger,
}

#[derive(Debug)]
struct UsageRow {
    incarnation: EntryIncarnation,
    customer: CustomerName,
    figures: UsageFigures,
    committed: oneshot::Sender<()>,
}

impl UsageSender {
    /// Creates a sender and the task that drives it.
    pub(crate) fn open(link: ControlLink, log: Logger) -> (Self, UsageDriver) {
        let (rows, waiting) = mpsc::channel(WAITING_ROWS);
        (
            Self { rows, log },
            UsageDriver {
                link,
                waiting,
                incarnation: EntryIncarnation::default(),
                sequence: 0,
            },
        )
    }

    /// Hands over the usage of one request and waits, for a bounded time, until it is committed.
    pub(crate) async fn record(&self, incarnation: EntryIncarnation, customer: &CustomerName, figures: UsageFigures) {
        let (committed, done) = oneshot::channel();
        let row = UsageRow {
            incarnation,
            customer: customer.clone(),
            figures,
            committed,
        };
        let delivered = async {
            if self.rows.send(row).await.is_ok() {
                let _link_closed = done.await;
            }
        };
        if tokio::time::timeout(COMMIT_WAIT, delivered).await.is_err() {
            slog::warn!(self.log, "usage delayed"; "event" => event::USAGE_DELAYED, "customer" => customer.as_str());
        }
    }
}

/// Drives a [`UsageSender`].
#[derive(Debug)]
pub(crate) struct UsageDriver {
    link: ControlLink,
    waiting: mpsc::Receiver<UsageRow>,
    incarnation: EntryIncarnation,
    sequence: u64,
}

impl UsageDriver {
    /// Runs until every sender is dropped and all usage is delivered, or the link closes.
    pub(crate) async fn run(mut self) {
        let mut rows = Vec::new();
        while self.waiting.recv_many(&mut rows, WAITING_ROWS).await > 0 {
            for batch in by_incarnation(rows.drain(..)) {
                let report = self.report_of(&batch);
                if self.link.call(EntryCall::Usage(report), "").await.is_err() {
                    return;
                }
                for row in batch {
                    // A request that has stopped waiting does not need to know.
                    let _given_up = row.committed.send(());
                }
            }
        }
    }

    fn report_of(&mut self, batch: &[UsageRow]) -> UsageReport {
        let incarnation = batch.first().map_or(self.incarnation, |row| row.incarnation);
        if incarnation != self.incarnation {
            self.incarnation = incarnation;
            self.sequence = 0;
        }
        self.sequence += 1;
        let mut sums: BTreeMap<CustomerName, UsageFigures> = BTreeMap::new();
        for row in batch {
            sums.entry(row.customer.clone()).or_default().add(&row.figures);
        }
        UsageReport {
            incarnation,
            sequence: self.sequence,
            rows: sums.into_iter().collect(),
        }
    }
}

fn by_incarnation(rows: impl Iterator<Item = UsageRow>) -> Vec<Vec<UsageRow>> {
    let mut batches: BTreeMap<EntryIncarnation, Vec<UsageRow>> = BTreeMap::new();
    for row in rows {
        batches.entry(row.incarnation).or_default().push(row);
    }
    batches.into_values().collect()
}
