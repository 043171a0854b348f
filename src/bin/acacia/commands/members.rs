//! `acacia members`.

use acacia_operator::OperatorClient;
use argh::FromArgs;
use hyper::Method;
use serde_json::json;

use super::status::print_members;

/// The replicas of the control group.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "members")]
pub(crate) struct MembersArgs {
    #[argh(subcommand)]
    action: MemberAction,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum MemberAction {
    List(ListArgs),
    Add(AddArgs),
    Remove(RemoveArgs),
    Replace(ReplaceArgs),
}

/// Print the members.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
struct ListArgs {
    /// print the answer as JSON
    #[argh(switch)]
    json: bool,
}

/// Admit a host with an empty data folder. It votes once it has caught up.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "add")]
struct AddArgs {
    /// the host's name, as in its settings
    #[argh(positional)]
    host: String,
    /// the host's peer address
    #[argh(positional)]
    address: String,
}

/// Remove a host for good.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove")]
struct RemoveArgs {
    /// the host's name
    #[argh(positional)]
    host: String,
}

/// Replace the member on a host whose disk was lost. The host comes back as a new member.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "replace")]
struct ReplaceArgs {
    /// the host's name
    #[argh(positional)]
    host: String,
}

impl MembersArgs {
    pub(crate) async fn exec(self, client: &OperatorClient) -> anyhow::Result<()> {
        match self.action {
            MemberAction::List(args) => list(client, args.json).await,
            MemberAction::Add(args) => {
                let body = json!({"host": args.host, "address": args.address});
                let answer = client.expect(Method::POST, "/v1/members", Some(&body)).await?;
                println!("host {} is admitted as replica {}", args.host, answer["replica"]);
                Ok(())
            }
            MemberAction::Remove(args) => {
                let answer = client
                    .expect(Method::DELETE, &format!("/v1/members/{}", args.host), None)
                    .await?;
                println!("replica {} on host {} is removed", answer["removed"], args.host);
                Ok(())
            }
            MemberAction::Replace(args) => {
                let answer = client
                    .expect(Method::POST, &format!("/v1/members/{}/replace", args.host), None)
                    .await?;
                let (old, new) = (&answer["removed"], &answer["replica"]);
                println!("replica {old} on host {} is replaced by replica {new}", args.host);
                Ok(())
            }
        }
    }
}

async fn list(client: &OperatorClient, json: bool) -> anyhow::Result<()> {
    let answer = client.expect(Method::GET, "/v1/members", None).await?;
    if json {
        println!("{answer}");
    } else {
        print_members(&answer);
    }
    Ok(())
}
