//! Runs a small fake of a model engine or of a plain service, for development and tests.

use std::path::PathBuf;
use std::process::ExitCode;

use acacia_runtime::log::open_log;
use acacia_runtime::program::{read_settings, run_program, stop_token};
use acacia_settings::StandinSettings;
use argh::FromArgs;

/// Run a small fake of a model engine or of a plain service.
#[derive(Debug, FromArgs)]
struct StandinArgs {
    /// the settings file, in JSON
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: StandinArgs = argh::from_env();
    let settings = match read_settings(&args.settings, args.check, StandinSettings::from_json) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    run_program(|| async {
        let log = open_log("acacia-standin", &settings.endpoint);
        acacia_standin::start(settings, stop_token()?, log)
            .await?
            .finished()
            .await
    })
}
