//! `acacia status`.

use std::time::Duration;

use acacia_operator::OperatorClient;
use argh::FromArgs;
use hyper::Method;
use serde_json::Value;

const WATCH_INTERVAL: Duration = Duration::from_secs(1);
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";

/// Show the state of the whole system.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusArgs {
    /// print the answer as JSON
    #[argh(switch)]
    json: bool,
    /// show it again each second until interrupted
    #[argh(switch)]
    watch: bool,
}

impl StatusArgs {
    pub(crate) async fn exec(self, client: &OperatorClient) -> anyhow::Result<()> {
        loop {
            let status = client.expect(Method::GET, "/v1/status", None).await?;
            if self.watch {
                print!("{CLEAR_SCREEN}");
            }
            if self.json {
                println!("{status}");
            } else {
                print_status(&status);
            }
            if !self.watch {
                return Ok(());
            }
            tokio::time::sleep(WATCH_INTERVAL).await;
        }
    }
}

fn print_status(status: &Value) {
    print_members(status);
    println!();
    println!(
        "configuration version {} (routes {}, pools {})",
        status["version"], status["routes"], status["pools"]
    );
    print_entries(status);
    print_endpoints(status);
    let orders = rows(&status["unsettled_orders"]);
    println!("\nunsettled orders: {}", orders.len());
    for order in orders {
        println!("  {:<24} number {}", text(order, "endpoint"), order["number"]);
    }
}

/// Prints the replicas of the control group, the leader marked.
pub(super) fn print_members(status: &Value) {
    println!("{:<20} {:>8}  {:<22} part", "control host", "replica", "address");
    for member in rows(&status["members"]) {
        let part = match (&member["leader"], &member["voter"], &member["bound"]) {
            (Value::Bool(true), ..) => "leader",
            (_, Value::Bool(true), _) => "voter",
            (_, _, Value::Bool(true)) => "learner",
            _ => "awaited",
        };
        let replica = member["replica"].as_u64().unwrap_or(0);
        println!(
            "{:<20} {replica:>8}  {:<22} {part}",
            text(member, "host"),
            text(member, "address")
        );
    }
}

fn print_entries(status: &Value) {
    println!(
        "\n{:<20} {:<20} {:>11} {:>9}  serves",
        "entry", "failure domain", "incarnation", "version"
    );
    for entry in rows(&status["entries"]) {
        let serves = if entry["may_serve"] == Value::Bool(true) {
            "yes"
        } else {
            "no"
        };
        let behind = if entry["version"] == status["version"] {
            ""
        } else {
            ", behind"
        };
        let version = entry["version"]
            .as_u64()
            .map_or_else(|| "?".to_owned(), |version| version.to_string());
        println!(
            "{:<20} {:<20} {:>11} {version:>9}  {serves}{behind}",
            text(entry, "host"),
            text(entry, "failure_domain"),
            entry["incarnation"].as_u64().unwrap_or(0),
        );
    }
}

fn print_endpoints(status: &Value) {
    println!("\n{:<20} {:<20} {:<10} running", "endpoint", "failure domain", "state");
    for endpoint in rows(&status["endpoints"]) {
        println!(
            "{:<20} {:<20} {:<10} {}/{}",
            text(endpoint, "endpoint"),
            text(endpoint, "failure_domain"),
            text(endpoint, "state"),
            endpoint["running"],
            endpoint["slots"],
        );
    }
}

fn rows(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn text<'row>(row: &'row Value, field: &str) -> &'row str {
    row[field].as_str().unwrap_or_default()
}
