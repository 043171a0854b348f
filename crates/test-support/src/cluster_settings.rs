//! The settings files of a cluster's processes.

use std::path::PathBuf;

use acaciabay::util::digest::ContentDigest;
use serde_json::{Value, json};

use crate::cluster::{OPERATOR_TOKEN, TestCluster, control_name};

impl TestCluster {
    pub(crate) fn write_settings(&self, name: &str, settings: &Value) -> PathBuf {
        let path = self.folder.path().join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).expect("the temporary folder can be written");
        path
    }

    pub(crate) fn control_settings(&self, index: usize) -> Value {
        let others = (0..self.shape.controls).filter(|other| *other != index);
        let mut settings = json!({
            "host": control_name(index),
            "failure_domain": domain_of(index),
            "data_folder": self.control_folder(index),
            "peer_address": self.control_address(index, 0).to_string(),
            "operator_address": self.control_address(index, 1).to_string(),
            "admin_address": self.control_address(index, 2).to_string(),
            "control_addresses": others.map(|other| self.member_address(other).to_string()).collect::<Vec<_>>(),
            "peer_hosts": ["127.0.0.1", self.ip.to_string()],
            "operator_token_sha256": ContentDigest::of(OPERATOR_TOKEN).to_hex(),
            "usage_window_ms": 300,
        });
        if self.shape.platform {
            settings["platform_address"] = json!(self.endpoint_address(self.platform()).to_string());
        }
        replace_fields(&mut settings, &self.shape.control_settings);
        settings
    }

    pub(crate) fn entry_settings(&self, index: usize) -> Value {
        let controls = (0..self.shape.controls).map(|control| self.member_address(control).to_string());
        let mut settings = json!({
            "host": format!("entry-{}", index + 1),
            "failure_domain": domain_of(index),
            "caller_address": self.entry_address(index, 0).to_string(),
            "endpoint_address": self.entry_address(index, 1).to_string(),
            "admin_address": self.entry_address(index, 2).to_string(),
            "control_addresses": controls.collect::<Vec<_>>(),
            "limits": {
                "body_bytes": 65_536,
                "head_timeout_ms": 1_000,
                "body_timeout_ms": 1_000,
                "queue_wait_ms": 10_000,
            },
        });
        replace_fields(&mut settings, &self.shape.entry_settings);
        settings
    }

    pub(crate) fn endpoint_settings(&self, index: usize) -> Value {
        let entries = (0..self.shape.entries).map(|entry| self.entry_address(entry, 1).to_string());
        let mut settings = json!({
            "endpoint": self.endpoint_name(index),
            "failure_domain": domain_of(index),
            "address": self.endpoint_address(index).to_string(),
            "entry_addresses": entries.collect::<Vec<_>>(),
            "decode_rate": self.shape.decode_rate,
            "checks_fencing": self.shape.checks_fencing,
        });
        if index == self.platform() {
            settings["platform"] = json!(true);
        } else if index < self.shape.engines {
            settings["models"] = json!(["liuto-7b"]);
        } else {
            settings["service"] = json!("booking");
        }
        if let Some(version) = self.shape.endpoint_versions.get(index) {
            settings["version"] = json!(version);
        }
        replace_fields(&mut settings, &self.shape.endpoint_settings);
        settings
    }
}

fn replace_fields(settings: &mut Value, fields: &Value) {
    for (name, value) in fields.as_object().into_iter().flatten() {
        settings[name] = value.clone();
    }
}

fn domain_of(index: usize) -> String {
    format!("domain-{}", index % 3 + 1)
}
