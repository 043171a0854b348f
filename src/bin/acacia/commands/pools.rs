//! `acacia pools`.

use acacia_operator::OperatorClient;
use acacia_settings::pools_from_json;
use argh::FromArgs;

use super::table::TableAction;

/// Which endpoints serve each pool.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "pools")]
pub(crate) struct PoolsArgs {
    #[argh(subcommand)]
    action: TableAction,
}

impl PoolsArgs {
    pub(crate) async fn exec(self, client: &OperatorClient) -> anyhow::Result<()> {
        self.action.exec(client, "pools", pools_from_json).await
    }
}
