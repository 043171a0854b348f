//! How the command finds the control group.

use std::net::SocketAddr;
use std::path::PathBuf;

use acacia_operator::OperatorClient;
use anyhow::Context;

/// What the command line says about the connection.
#[derive(Debug)]
pub(crate) struct ConnectionOptions {
    pub(crate) control: Option<String>,
    pub(crate) token_file: Option<PathBuf>,
}

impl ConnectionOptions {
    /// Creates a client from the options and the environment.
    pub(crate) fn open(self) -> anyhow::Result<OperatorClient> {
        let listed = self.control.or_else(|| std::env::var("ACACIA_CONTROL").ok());
        let listed = listed.context("no control address; give --control or set ACACIA_CONTROL")?;
        let addresses = listed
            .split(',')
            .map(parse_address)
            .collect::<anyhow::Result<Vec<_>>>()?;
        let token = match self.token_file {
            Some(path) => std::fs::read_to_string(&path)
                .with_context(|| format!("failed to read the token file `{}`", path.display()))?,
            None => std::env::var("ACACIA_TOKEN").context("no token; give --token-file or set ACACIA_TOKEN")?,
        };
        OperatorClient::new(addresses, token.trim())
    }
}

fn parse_address(text: &str) -> anyhow::Result<SocketAddr> {
    text.trim()
        .parse()
        .with_context(|| format!("`{text}` is not an IP address with a port"))
}
