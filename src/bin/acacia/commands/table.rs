//! What `routes` and `pools` have in common.

use std::path::{Path, PathBuf};

use acacia_operator::OperatorClient;
use acacia_settings::{Findings, read_document};
use argh::FromArgs;
use serde_json::Value;

use super::wait_in_force;

/// What to do with a table.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum TableAction {
    Show(ShowArgs),
    Apply(ApplyArgs),
    Diff(DiffArgs),
}

/// Print the table with its number.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct ShowArgs {
    /// print only the rows, in the form that `apply` reads
    #[argh(switch)]
    rows: bool,
}

/// Replace the table by the rows of a file.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct ApplyArgs {
    /// the file with the rows, in JSON
    #[argh(positional)]
    file: PathBuf,
    /// the number of the table that the file was made from; without it the table's present number is taken, and an
    /// edit that another operator makes at the same moment may be overwritten
    #[argh(option)]
    expect: Option<u64>,
    /// wait until the change is in force on every entry
    #[argh(switch)]
    wait: bool,
    /// check and compare, but change nothing
    #[argh(switch)]
    dry_run: bool,
    /// print the answer as JSON
    #[argh(switch)]
    json: bool,
}

/// Say what `apply` would change.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct DiffArgs {
    /// the file with the rows, in JSON
    #[argh(positional)]
    file: PathBuf,
}

impl TableAction {
    /// Carries the action out on the table called `name`, whose files `check` understands.
    pub(crate) async fn exec<T>(
        self,
        client: &OperatorClient,
        name: &str,
        check: impl FnOnce(&Value) -> Result<T, Findings>,
    ) -> anyhow::Result<()> {
        match self {
            Self::Show(args) => show(client, name, args.rows).await,
            Self::Apply(args) => {
                let rows = read_rows(&args.file, check)?;
                apply(client, name, args, &rows).await
            }
            Self::Diff(args) => {
                let rows = read_rows(&args.file, check)?;
                diff(client, name, &rows).await
            }
        }
    }
}

/// Reads a file and checks it here already, so that findings name the file.
fn read_rows<T>(path: &Path, check: impl FnOnce(&Value) -> Result<T, Findings>) -> anyhow::Result<Value> {
    read_document(path, |document| check(document).map(|_rows| document.clone()))
}

async fn show(client: &OperatorClient, name: &str, only_rows: bool) -> anyhow::Result<()> {
    let table = client.read_table(name).await?;
    let shown = if only_rows { &table["rows"] } else { &table };
    println!("{}", serde_json::to_string_pretty(shown)?);
    Ok(())
}

async fn apply(client: &OperatorClient, name: &str, args: ApplyArgs, rows: &Value) -> anyhow::Result<()> {
    let expected = match args.expect {
        Some(number) => number,
        None => present_number(client, name).await?,
    };
    let answer = client.write_table(name, expected, rows, args.dry_run).await?;
    if args.json {
        println!("{answer}");
    } else {
        print_answer(name, &answer, args.dry_run);
    }
    match answer["version"].as_u64() {
        Some(version) if args.wait => wait_in_force(client, version).await,
        _ => Ok(()),
    }
}

async fn diff(client: &OperatorClient, name: &str, rows: &Value) -> anyhow::Result<()> {
    let expected = present_number(client, name).await?;
    let answer = client.write_table(name, expected, rows, true).await?;
    print_answer(name, &answer, true);
    Ok(())
}

async fn present_number(client: &OperatorClient, name: &str) -> anyhow::Result<u64> {
    Ok(client.read_table(name).await?["number"].as_u64().unwrap_or(0))
}

fn print_answer(name: &str, answer: &Value, dry_run: bool) {
    let verb = if dry_run { "would change" } else { "changed" };
    println!(
        "{name} {verb}: {} rows written, {} removed",
        answer["upserts"], answer["removals"]
    );
    for warning in answer["warnings"].as_array().into_iter().flatten() {
        let place = warning["place"].as_str().unwrap_or("/");
        println!("warning: {place}: {}", warning["message"].as_str().unwrap_or_default());
    }
    if !dry_run {
        println!("{name} is at number {}", answer["number"]);
    }
}
