//! `acacia keys`.

use acacia_operator::OperatorClient;
use argh::FromArgs;
use hyper::Method;
use serde_json::json;

use super::wait_in_force;

/// Give keys to customers and withdraw them.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "keys")]
pub(crate) struct KeysArgs {
    #[argh(subcommand)]
    action: KeyAction,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum KeyAction {
    Issue(IssueArgs),
    Withdraw(WithdrawArgs),
    List(ListArgs),
}

/// Make a key for a customer and print it, once.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "issue")]
struct IssueArgs {
    /// the customer
    #[argh(positional)]
    customer: String,
    /// wait until the key works on every entry
    #[argh(switch)]
    wait: bool,
    /// print the answer as JSON
    #[argh(switch)]
    json: bool,
}

/// Withdraw a key.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "withdraw")]
struct WithdrawArgs {
    /// the key's identifier, as `list` prints it
    #[argh(positional)]
    key: String,
    /// wait until the key works on no entry
    #[argh(switch)]
    wait: bool,
}

/// Print the identifiers of all keys.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
struct ListArgs {
    /// print the answer as JSON
    #[argh(switch)]
    json: bool,
}

impl KeysArgs {
    pub(crate) async fn exec(self, client: &OperatorClient) -> anyhow::Result<()> {
        match self.action {
            KeyAction::Issue(args) => issue(client, args).await,
            KeyAction::Withdraw(args) => withdraw(client, args).await,
            KeyAction::List(args) => list(client, args).await,
        }
    }
}

async fn issue(client: &OperatorClient, args: IssueArgs) -> anyhow::Result<()> {
    let issued = client.issue_key(&args.customer).await?;
    if args.json {
        println!(
            "{}",
            json!({"key": issued.id, "secret": issued.secret, "version": issued.version})
        );
    } else {
        println!(
            "key {} of customer {}; the secret is shown only now:\n{}",
            issued.id, args.customer, issued.secret
        );
    }
    if args.wait {
        wait_in_force(client, issued.version).await
    } else {
        Ok(())
    }
}

async fn withdraw(client: &OperatorClient, args: WithdrawArgs) -> anyhow::Result<()> {
    let version = client.withdraw_key(&args.key).await?;
    println!("key {} is withdrawn", args.key);
    if args.wait {
        wait_in_force(client, version).await
    } else {
        Ok(())
    }
}

async fn list(client: &OperatorClient, args: ListArgs) -> anyhow::Result<()> {
    let answer = client.expect(Method::GET, "/v1/keys", None).await?;
    if args.json {
        println!("{answer}");
        return Ok(());
    }
    for key in answer["keys"].as_array().into_iter().flatten() {
        let text = |field: &str| key[field].as_str().unwrap_or_default();
        println!("{}  {}", text("key"), text("customer"));
    }
    Ok(())
}
