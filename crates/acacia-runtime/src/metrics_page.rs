//! The page from which Prometheus reads a process's metrics.

use anyhow::Context;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Collects all metrics of the process and renders them.
#[derive(Clone, Debug)]
pub struct MetricsPage {
    handle: PrometheusHandle,
}

impl MetricsPage {
    /// Starts to collect metrics; to be called once in a process.
    ///
    /// # Errors
    ///
    /// Fails when the process already collects metrics.
    pub fn install() -> anyhow::Result<Self> {
        let handle = PrometheusBuilder::new()
            .install_recorder()
            .context("failed to install the metrics recorder")?;
        Ok(Self { handle })
    }

    /// Renders all metrics in Prometheus' text format.
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}
