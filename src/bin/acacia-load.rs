//! Sends load and reports what became of it.

use std::path::PathBuf;
use std::process::ExitCode;

use acacia_load::{LoadPlan, run_load};
use acacia_runtime::program::run_program;
use anyhow::Context;
use argh::FromArgs;

/// Send the load of a plan and print a report as JSON.
#[derive(Debug, FromArgs)]
struct LoadArgs {
    /// the plan, in JSON
    #[argh(option)]
    plan: PathBuf,
}

fn main() -> ExitCode {
    let args: LoadArgs = argh::from_env();
    run_program(|| async move {
        let path = args.plan.display();
        let text = std::fs::read_to_string(&args.plan).with_context(|| format!("failed to read `{path}`"))?;
        let plan: LoadPlan =
            serde_json::from_str(&text).with_context(|| format!("failed to read the plan `{path}`"))?;
        println!("{}", serde_json::to_string_pretty(&run_load(&plan).await?)?);
        Ok(())
    })
}
