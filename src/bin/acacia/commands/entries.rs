//! `acacia entries`.

use acacia_operator::OperatorClient;
use argh::FromArgs;
use hyper::Method;

/// Entry hosts.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "entries")]
pub(crate) struct EntriesArgs {
    #[argh(subcommand)]
    action: EntryAction,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum EntryAction {
    Remove(RemoveArgs),
}

/// Forget an entry host that was taken out of service; calls that it had claimed and not ended are of unknown outcome.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove")]
struct RemoveArgs {
    /// the host's name
    #[argh(positional)]
    host: String,
}

impl EntriesArgs {
    pub(crate) async fn exec(self, client: &OperatorClient) -> anyhow::Result<()> {
        match self.action {
            EntryAction::Remove(args) => {
                client
                    .expect(Method::DELETE, &format!("/v1/entries/{}", args.host), None)
                    .await?;
                println!("entry {} is removed", args.host);
                Ok(())
            }
        }
    }
}
