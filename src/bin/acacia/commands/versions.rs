//! `acacia versions`.

use acacia_operator::OperatorClient;
use argh::FromArgs;
use hyper::Method;
use serde_json::Value;

/// List the software versions of each service's endpoints. A stream goes on only at the version that began it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "versions")]
pub(crate) struct VersionsArgs {}

impl VersionsArgs {
    pub(crate) async fn exec(self, client: &OperatorClient) -> anyhow::Result<()> {
        let answer = client.expect(Method::GET, "/v1/versions", None).await?;
        let versions = answer["versions"].as_array().map_or(&[] as &[Value], Vec::as_slice);
        for row in versions {
            println!(
                "{} {}: {} decode, {} prefill, {} others; {} draining, {} silent",
                row["service"].as_str().unwrap_or("-"),
                row["version"].as_str().unwrap_or("(unknown)"),
                row["decode"],
                row["prefill"],
                row["other"],
                row["draining"],
                row["silent"]
            );
        }
        println!("{} versions", versions.len());
        Ok(())
    }
}
