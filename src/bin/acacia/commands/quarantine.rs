//! `acacia quarantine`.

use acacia_operator::OperatorClient;
use argh::FromArgs;
use hyper::Method;
use serde_json::Value;

/// Calls and parts of prompts that are held back because endpoints end under them.
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
    LiftPart(LiftPartArgs),
}

/// List the calls and parts of prompts under which endpoints have ended.
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

/// Let calls with a part of a prompt be sent to endpoints again.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "lift-part")]
struct LiftPartArgs {
    /// the part in hexadecimal
    #[argh(positional)]
    part: String,
}

impl QuarantineArgs {
    pub(crate) async fn exec(self, client: &OperatorClient) -> anyhow::Result<()> {
        match self.action {
            QuarantineAction::List(ListArgs {}) => list(client).await,
            QuarantineAction::Lift(args) => lift(client, &args.fingerprint, &args.fingerprint).await,
            QuarantineAction::LiftPart(args) => lift(client, &format!("parts/{}", args.part), &args.part).await,
        }
    }
}

async fn lift(client: &OperatorClient, path: &str, what: &str) -> anyhow::Result<()> {
    client
        .expect(Method::DELETE, &format!("/v1/quarantine/{path}"), None)
        .await?;
    println!("{what} is sent to endpoints again");
    Ok(())
}

async fn list(client: &OperatorClient) -> anyhow::Result<()> {
    let answer = client.expect(Method::GET, "/v1/quarantine", None).await?;
    let calls = answer["calls"].as_array().map_or(&[] as &[Value], Vec::as_slice);
    for call in calls {
        println!("{} {}", text(&call["fingerprint"]), state(call, "suspected"));
        println!("  route {}, customer {}", text(&call["route"]), text(&call["customer"]));
        print_endings(call);
    }
    let groups = answer["parts"].as_array().map_or(&[] as &[Value], Vec::as_slice);
    for group in groups {
        let parts: Vec<_> = group["parts"].as_array().into_iter().flatten().map(text).collect();
        println!("parts {} {}", parts.join(","), state(group, "lapsed"));
        println!("  route {}", text(&group["route"]));
        print_endings(group);
    }
    println!("{} calls, {} groups of parts", calls.len(), groups.len());
    Ok(())
}

fn state(row: &Value, other: &'static str) -> &'static str {
    if row["quarantined_ms"].is_null() {
        other
    } else {
        "quarantined"
    }
}

fn print_endings(row: &Value) {
    for ending in row["endings"].as_array().into_iter().flatten() {
        println!("  {} ended at {} ms", text(&ending["endpoint"]), ending["ended_ms"]);
    }
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}
