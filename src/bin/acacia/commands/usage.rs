//! `acacia usage`.

use acacia_operator::OperatorClient;
use argh::FromArgs;
use hyper::Method;

/// Print what each customer has used.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "usage")]
pub(crate) struct UsageArgs {
    /// print the answer as JSON
    #[argh(switch)]
    json: bool,
}

impl UsageArgs {
    pub(crate) async fn exec(self, client: &OperatorClient) -> anyhow::Result<()> {
        let answer = client.expect(Method::GET, "/v1/usage", None).await?;
        if self.json {
            println!("{answer}");
            return Ok(());
        }
        println!(
            "{:<24} {:>14} {:>14} {:>10}",
            "customer", "prompt tokens", "output tokens", "calls"
        );
        for row in answer["usage"].as_array().into_iter().flatten() {
            let customer = row["customer"].as_str().unwrap_or_default();
            let number = |field: &str| row[field].as_u64().unwrap_or(0);
            let (prompt, output) = (number("prompt_tokens"), number("output_tokens"));
            println!("{customer:<24} {prompt:>14} {output:>14} {:>10}", number("calls"));
        }
        Ok(())
    }
}
