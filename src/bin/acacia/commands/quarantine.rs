//! `acacia quarantine`.

use acacia_operator::OperatorClient;
use argh::FromArgs;
use hyper::Method;
use serde_json::Value;

/// Calls that are held back because endpoints end under them.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "quarantine")]
pub(crate) struct QuarantineArgs {
    #[argh(subcommand)]
    action: QuarantineAction,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum QuarantineAction {
    List(ListArgs),
    Lift(LiftArgs),
}

/// List the calls under which endpoints have ended.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
struct ListArgs {}

/// Let a call be sent to endpoints again.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "lift")]
struct LiftArgs {
    /// the call's fingerprint
    #[argh(positional)]
    fingerprint: String,
}

impl QuarantineArgs {
    pub(crate) async fn exec(self, client: &OperatorClient) -> anyhow::Result<()> {
        match self.action {
            QuarantineAction::List(ListArgs {}) => list(client).await,
            QuarantineAction::Lift(args) => {
                let path = format!("/v1/quarantine/{}", args.fingerprint);
                client.expect(Method::DELETE, &path, None).await?;
                println!("{} is sent to endpoints again", args.fingerprint);
                Ok(())
            }
        }
    }
}

async fn list(client: &OperatorClient) -> anyhow::Result<()> {
    let answer = client.expect(Method::GET, "/v1/quarantine", None).await?;
    let calls = answer["calls"].as_array().map_or(&[] as &[Value], Vec::as_slice);
    for call in calls {
        let state = if call["quarantined_ms"].is_null() {
            "suspected"
        } else {
            "quarantined"
        };
        println!("{} {state}", text(&call["fingerprint"]));
        println!("  route {}, customer {}", text(&call["route"]), text(&call["customer"]));
        for ending in call["endings"].as_array().into_iter().flatten() {
            println!("  {} ended at {} ms", text(&ending["endpoint"]), ending["ended_ms"]);
        }
    }
    println!("{} calls", calls.len());
    Ok(())
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}
