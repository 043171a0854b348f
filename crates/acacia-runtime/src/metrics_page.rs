//! Metrics of the process in the format that Prometheus scrapes.

use anyhow::Context;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Recorder of all metrics of the process, which renders them on request.
#[derive(Clone, Debug)]
pub struct MetricsPage {
    handle: PrometheusHandle,
}

impl MetricsPage {
    /// Installs the global metrics recorder. Call this once per process.
    ///
    /// # Errors
    ///
    /// Fails if the process already has a metrics recorder.
    pub fn install() -> anyhow::Result<Self> {
        let handle = PrometheusBuilder::new()
            .install_recorder()
            .context("failed to install the metrics recorder")?;
        Ok(Self { handle })
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}
