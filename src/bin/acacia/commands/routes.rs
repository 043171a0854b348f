//! `acacia routes`.

use acacia_operator::OperatorClient;
use acacia_settings::routes_from_json;
use argh::FromArgs;

use super::table::TableAction;

/// Where each customer's traffic goes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "routes")]
pub(crate) struct RoutesArgs {
    #[argh(subcommand)]
    action: TableAction,
}

impl RoutesArgs {
    pub(crate) async fn exec(self, client: &OperatorClient) -> anyhow::Result<()> {
        self.action.exec(client, "routes", routes_from_json).await
    }
}
