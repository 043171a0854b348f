//! `acacia retries`.

use acacia_operator::OperatorClient;
use argh::FromArgs;
use hyper::Method;
use serde_json::Value;

/// List the services whose calls were to be retried beyond what entries may do on their own, and who was granted how much.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "retries")]
pub(crate) struct RetriesArgs {}

impl RetriesArgs {
    pub(crate) async fn exec(self, client: &OperatorClient) -> anyhow::Result<()> {
        let answer = client.expect(Method::GET, "/v1/retries", None).await?;
        let services = answer["retries"].as_array().map_or(&[] as &[Value], Vec::as_slice);
        for service in services {
            println!(
                "{}: {} of a slack of {} may be granted at once, {} were asked for",
                service["service"].as_str().unwrap_or("-"),
                service["available"],
                service["slack"],
                service["wanted"]
            );
            for (entry, granted) in service["granted"].as_object().into_iter().flatten() {
                println!("  {entry} was granted {granted}");
            }
        }
        println!("{} services", services.len());
        Ok(())
    }
}
