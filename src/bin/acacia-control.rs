//! Runs one replica of the control group.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use acacia_control::form_group;
use acacia_runtime::log::open_log;
use acacia_runtime::metrics_page::MetricsPage;
use acacia_runtime::program::{read_settings, report_error, run_program, stop_token};
use acacia_settings::ControlSettings;
use argh::FromArgs;

/// Run one replica of the control group.
#[derive(Debug, FromArgs)]
struct ControlArgs {
    /// the settings file, in JSON
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
    /// make the empty data folder the first replica of a new group and exit
    #[argh(switch)]
    form: bool,
    /// with --form: the address under which the other replicas reach this one, if it differs from the settings
    #[argh(option)]
    peer_address: Option<SocketAddr>,
}

fn main() -> ExitCode {
    let args: ControlArgs = argh::from_env();
    let settings = match read_settings(&args.settings, args.check, ControlSettings::from_json) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    if args.form {
        return match form_group(&settings, args.peer_address.unwrap_or(settings.peer_address)) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => report_error(&error),
        };
    }
    run_program(|| async {
        let log = open_log("acacia-control", &settings.host);
        let running = acacia_control::start(settings, stop_token()?, MetricsPage::install()?, log).await?;
        running.finished().await
    })
}
