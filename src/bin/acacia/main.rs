//! The operators' command.

mod commands;
mod connection;

use std::process::ExitCode;

use acacia_runtime::program::run_program;
use argh::FromArgs;

use crate::commands::Command;
use crate::connection::ConnectionOptions;

/// Operate acaciabay: routes, pools, keys, members, status and usage.
#[derive(Debug, FromArgs)]
struct OperatorArgs {
    /// operator addresses of the control group, separated by commas; default: the `ACACIA_CONTROL` variable
    #[argh(option)]
    control: Option<String>,
    /// file with the operators' token; default: the `ACACIA_TOKEN` variable
    #[argh(option)]
    token_file: Option<std::path::PathBuf>,
    #[argh(subcommand)]
    command: Command,
}

fn main() -> ExitCode {
    let args: OperatorArgs = argh::from_env();
    let options = ConnectionOptions {
        control: args.control,
        token_file: args.token_file,
    };
    run_program(|| async move { args.command.exec(&options.open()?).await })
}
