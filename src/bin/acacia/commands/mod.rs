//! One file for each subcommand, with its arguments and its `exec`.

mod endpoints;
mod entries;
mod keys;
mod limits;
mod members;
mod pools;
mod quarantine;
mod retries;
mod routes;
mod status;
mod table;
mod usage;
mod versions;

use std::time::Duration;

use acacia_operator::OperatorClient;
use argh::FromArgs;

/// How long `--wait` waits. A cut-off entry's lease runs out within seconds, so that only a fault takes longer.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// What the operator wants.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Routes(routes::RoutesArgs),
    Pools(pools::PoolsArgs),
    Keys(keys::KeysArgs),
    Members(members::MembersArgs),
    Entries(entries::EntriesArgs),
    Endpoints(endpoints::EndpointsArgs),
    Limits(limits::LimitsArgs),
    Quarantine(quarantine::QuarantineArgs),
    Retries(retries::RetriesArgs),
    Status(status::StatusArgs),
    Usage(usage::UsageArgs),
    Versions(versions::VersionsArgs),
}

impl Command {
    /// Carries the command out.
    pub(crate) async fn exec(self, client: &OperatorClient) -> anyhow::Result<()> {
        match self {
            Self::Routes(args) => args.exec(client).await,
            Self::Pools(args) => args.exec(client).await,
            Self::Keys(args) => args.exec(client).await,
            Self::Members(args) => args.exec(client).await,
            Self::Entries(args) => args.exec(client).await,
            Self::Endpoints(args) => args.exec(client).await,
            Self::Limits(args) => args.exec(client).await,
            Self::Quarantine(args) => args.exec(client).await,
            Self::Retries(args) => args.exec(client).await,
            Self::Status(args) => args.exec(client).await,
            Self::Usage(args) => args.exec(client).await,
            Self::Versions(args) => args.exec(client).await,
        }
    }
}

/// Waits until a change is in force and says so.
async fn wait_in_force(client: &OperatorClient, version: u64) -> anyhow::Result<()> {
    client.wait_in_force(version, WAIT_TIMEOUT).await?;
    println!("version {version} is in force on every entry");
    Ok(())
}
