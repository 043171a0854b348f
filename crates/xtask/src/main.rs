//! Tasks of the project's developers; `cargo run -p xtask -- generate` renews the code made from `.proto` files.

use std::path::Path;

use anyhow::Context;
use argh::FromArgs;

const PROTO_FOLDER: &str = "crates/acacia-wire/proto";
const GENERATED_FOLDER: &str = "crates/acacia-wire/src/generated";
const PROTO_FILES: [&str; 4] = ["state.proto", "entry.proto", "serving.proto", "replica.proto"];

/// Tasks of the project's developers.
#[derive(Debug, FromArgs)]
struct TaskArgs {
    #[argh(subcommand)]
    task: Task,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Task {
    Generate(GenerateArgs),
}

/// Generate the message types of crates/acacia-wire from its .proto files.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "generate")]
struct GenerateArgs {}

fn main() -> anyhow::Result<()> {
    let args: TaskArgs = argh::from_env();
    match args.task {
        Task::Generate(GenerateArgs {}) => generate(),
    }
}

fn generate() -> anyhow::Result<()> {
    let files = protox::compile(PROTO_FILES, [PROTO_FOLDER])
        .with_context(|| format!("failed to compile the files in `{PROTO_FOLDER}`"))?;
    prost_build::Config::new()
        .bytes(["."])
        .out_dir(Path::new(GENERATED_FOLDER))
        .compile_fds(files)
        .with_context(|| format!("failed to write `{GENERATED_FOLDER}`"))
}
