//! `acacia limits`.

use acacia_operator::OperatorClient;
use argh::FromArgs;
use hyper::Method;
use serde_json::Value;

/// List the rate limits that endpoints name at present.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "limits")]
pub(crate) struct LimitsArgs {}

impl LimitsArgs {
    pub(crate) async fn exec(self, client: &OperatorClient) -> anyhow::Result<()> {
        let answer = client.expect(Method::GET, "/v1/limits", None).await?;
        let limits = answer["limits"].as_array().map_or(&[] as &[Value], Vec::as_slice);
        for limit in limits {
            println!(
                "{} takes {} requests a second since {} ms",
                limit["endpoint"].as_str().unwrap_or("-"),
                limit["limit"],
                limit["age_ms"]
            );
            println!(
                "  {} entries want {} a second and hold {} permits, {} are free",
                limit["entries"], limit["demand"], limit["outstanding"], limit["available"]
            );
        }
        println!("{} limits", limits.len());
        Ok(())
    }
}
