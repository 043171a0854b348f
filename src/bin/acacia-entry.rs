//! Takes callers' requests and routes them to endpoints.

use std::path::PathBuf;
use std::process::ExitCode;

use acacia_runtime::log::open_log;
use acacia_runtime::metrics_page::MetricsPage;
use acacia_runtime::program::{read_settings, run_program, stop_token};
use acacia_settings::EntrySettings;
use argh::FromArgs;

/// Take callers' requests and route them to endpoints.
#[derive(Debug, FromArgs)]
struct EntryArgs {
    /// the settings file, in JSON
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: EntryArgs = argh::from_env();
    let settings = match read_settings(&args.settings, args.check, EntrySettings::from_json) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    run_program(|| async {
        let log = open_log("acacia-entry", &settings.host);
        let running = acacia_entry::start(settings, stop_token()?, MetricsPage::install()?, log).await?;
        running.finished().await
    })
}
