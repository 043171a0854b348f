//! `acacia endpoints`.

use acacia_operator::OperatorClient;
use argh::FromArgs;
use hyper::Method;

/// Order endpoints to drain or to serve.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "endpoints")]
pub(crate) struct EndpointsArgs {
    #[argh(subcommand)]
    action: EndpointAction,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum EndpointAction {
    Drain(DrainArgs),
    Serve(ServeArgs),
}

/// Let an endpoint finish what it runs and give it nothing new.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
struct DrainArgs {
    /// the endpoint's name
    #[argh(positional)]
    endpoint: String,
}

/// Let a drained endpoint take new work again.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "serve")]
struct ServeArgs {
    /// the endpoint's name
    #[argh(positional)]
    endpoint: String,
}

impl EndpointsArgs {
    pub(crate) async fn exec(self, client: &OperatorClient) -> anyhow::Result<()> {
        match self.action {
            EndpointAction::Drain(args) => order(client, &args.endpoint, "drain").await,
            EndpointAction::Serve(args) => order(client, &args.endpoint, "serve").await,
        }
    }
}

async fn order(client: &OperatorClient, endpoint: &str, target: &str) -> anyhow::Result<()> {
    let answer = client
        .expect(Method::POST, &format!("/v1/endpoints/{endpoint}/{target}"), None)
        .await?;
    println!(
        "order {} to {endpoint}: {target}; `acacia status` shows when it is settled",
        answer["number"]
    );
    Ok(())
}
