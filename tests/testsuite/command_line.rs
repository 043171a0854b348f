//! The binaries as an operator meets them on a terminal.

use std::process::{Command, Output};

use serde_json::Value;
use test_support::{ClusterShape, TestCluster};

use crate::support::{PATHS, cluster};

fn acacia(cluster: &TestCluster, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_acacia"))
        .args(args)
        .env("ACACIA_CONTROL", cluster.control_option())
        .env("ACACIA_TOKEN", cluster.operator_token())
        .output()
        .expect("the command can be run")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn bad_settings_are_all_reported_and_exit_with_2() {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/tests/settings/bad/entry-many-findings.json"
    );

    let output = Command::new(PATHS.entry)
        .args(["--settings", path])
        .output()
        .expect("the program can be run");

    let printed = text(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{printed}");
    assert!(
        printed.contains("/host: expected a name") && printed.contains("/colour: unknown field"),
        "{printed}"
    );
}

#[test]
fn check_reads_settings_and_exits() {
    let folder = tempfile::TempDir::new().expect("the system has a temporary folder");
    let path = folder.path().join("standin.json");
    let settings =
        r#"{"endpoint": "e", "failure_domain": "a", "address": "127.0.0.1:0", "entry_addresses": [], "models": []}"#;
    std::fs::write(&path, settings).expect("the folder can be written");

    let output = Command::new(PATHS.standin)
        .arg("--settings")
        .arg(&path)
        .arg("--check")
        .output();

    let output = output.expect("the program can be run");
    assert!(
        output.status.success() && text(&output.stdout).ends_with("ok\n"),
        "{output:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn operator_edits_tables_and_keys() {
    let cluster = cluster(ClusterShape {
        engines: 0,
        bookings: 0,
        ..ClusterShape::default()
    });
    cluster.wait_entries().await;
    let file = cluster.folder().join("pools.json");
    std::fs::write(&file, r#"[{"name": "p", "kind": "engine", "endpoints": ["e*"]}]"#)
        .expect("the folder can be written");
    let file = file.to_str().expect("the path is text").to_owned();

    let diff = acacia(&cluster, &["pools", "diff", &file]);
    let applied = acacia(&cluster, &["pools", "apply", &file, "--expect", "0", "--wait"]);
    let stale = acacia(&cluster, &["pools", "apply", &file, "--expect", "7"]);
    let issued = acacia(&cluster, &["keys", "issue", "bottega-amati", "--wait", "--json"]);
    let listed = acacia(&cluster, &["keys", "list"]);
    let status = acacia(&cluster, &["status"]);

    assert!(
        text(&diff.stdout).contains("pools would change: 1 rows written"),
        "{diff:?}"
    );
    assert!(text(&applied.stdout).contains("pools is at number 1"), "{applied:?}");
    assert!(
        text(&applied.stdout).contains("is in force on every entry"),
        "{applied:?}"
    );
    assert!(
        !stale.status.success() && text(&stale.stderr).contains("table is at number 1, not at 7"),
        "{stale:?}"
    );
    let line = text(&issued.stdout);
    let key: Value = serde_json::from_str(line.lines().next().unwrap_or_default()).expect("the answer is JSON");
    assert!(
        text(&listed.stdout).contains(key["key"].as_str().expect("the key has an id")),
        "{listed:?}"
    );
    assert!(text(&status.stdout).contains("entry-2"), "{status:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_operator_token_is_refused() {
    let cluster = cluster(ClusterShape {
        engines: 0,
        bookings: 0,
        entries: 1,
        ..ClusterShape::default()
    });

    let output = Command::new(env!("CARGO_BIN_EXE_acacia"))
        .args(["--control", &cluster.control_option(), "keys", "list"])
        .env("ACACIA_TOKEN", "wrong")
        .output()
        .expect("the command can be run");

    assert!(!output.status.success());
    assert!(
        text(&output.stderr).contains("operator token is missing or wrong"),
        "{output:?}"
    );
}
