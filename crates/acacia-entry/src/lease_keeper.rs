//! Keeps the serving lease and the configuration up to date.

use std::sync::Arc;
use std::time::Duration;

use acacia_runtime::clock::boot_now;
use acacia_runtime::event;
use acacia_wire::{EntryAnswer, EntryCall, LeaseRenewal, LeaseRequest};
use acaciabay::core::entry_config::EntryConfig;
use acaciabay::core::member::JoinNonce;
use acaciabay::core::serving_lease::RENEWAL_INTERVAL;
use rand::Rng;

use crate::control_link::LinkClosed;
use crate::shared::Entry;

/// How long an entry waits before it joins again after another process joined under its host's name.
const REJOIN_PAUSE: Duration = Duration::from_secs(1);

/// Joins the group and renews the lease until the link closes.
pub(crate) async fn keep_lease(entry: Arc<Entry>) {
    // A group that was formed anew by mistake has empty tables; serving by them would be a reversion.
    let mut group = None;
    loop {
        let ended = match join(&entry).await {
            Ok(()) => renew_until_stale(&entry, &mut group).await,
            Err(closed) => Err(closed),
        };
        if ended.is_err() {
            return;
        }
        tokio::time::sleep(REJOIN_PAUSE).await;
    }
}

async fn join(entry: &Entry) -> Result<(), LinkClosed> {
    let call = EntryCall::Join {
        host: entry.settings.host.as_str().into(),
        domain: entry.settings.failure_domain.as_str().into(),
        nonce: JoinNonce(rand::rng().random()),
    };
    if let EntryAnswer::Joined(incarnation) = entry.link.call(call, "").await? {
        entry.set_incarnation(incarnation);
        slog::info!(entry.log, "entry joined"; "event" => event::ENTRY_JOINED, "incarnation" => incarnation.0);
    }
    Ok(())
}

/// Returns when the group no longer knows this incarnation.
async fn renew_until_stale(entry: &Entry, group: &mut Option<u64>) -> Result<(), LinkClosed> {
    let mut status = entry.link.status();
    let mut mark = 0;
    let mut connection = status.borrow().connection;
    let mut reports_due = entry.suspects.reports_due();
    loop {
        let latest = *status.borrow_and_update();
        if latest.connection != connection {
            // Another leader counts reports from its own zero.
            mark = 0;
            connection = latest.connection;
        }
        reports_due.mark_unchanged();
        let asked_at = boot_now();
        let call = EntryCall::Renew(lease_request(entry, mark));
        let renewal = match entry.link.call(call, "").await? {
            EntryAnswer::Renewed(renewal) => renewal,
            EntryAnswer::StaleIncarnation => return Ok(()),
            _ => continue,
        };
        if *group.get_or_insert(renewal.group) != renewal.group {
            slog::error!(entry.log, "answer from another control group refused"; "event" => event::MESSAGE_REFUSED);
            tokio::time::sleep(RENEWAL_INTERVAL).await;
            continue;
        }
        mark = renewal.endpoint_mark;
        let changed = take_renewal(entry, *renewal);
        let held = entry.may_serve(asked_at);
        entry.lease.lock().confirm(asked_at);
        if !held {
            slog::info!(entry.log, "serving lease held"; "event" => event::LEASE_HELD);
        }
        if changed {
            // Asking again at once tells the leader that this entry serves by the new version.
            continue;
        }
        tokio::select! {
            _changed = status.changed() => {}
            _ = reports_due.changed() => {}
            () = tokio::time::sleep(RENEWAL_INTERVAL) => {}
        }
    }
}

fn lease_request(entry: &Entry, endpoint_mark: u64) -> LeaseRequest {
    let mut view = entry.endpoints.lock();
    let names = std::mem::take(&mut view.unsent);
    let config = entry.config();
    let demands = entry.admission.demands(config.pools.rows().map(|pool| &pool.name));
    let rows = names
        .into_iter()
        .filter_map(|name| view.table.get(&name).cloned().map(|row| (name, row)));
    LeaseRequest {
        incarnation: entry.incarnation(),
        host: entry.settings.host.as_str().into(),
        version: config.version,
        demands,
        reports: rows.collect(),
        endpoint_mark,
        suspects: entry.suspects.take_report(),
    }
}

/// Takes over what the leader told, and tells whether the configuration has changed.
fn take_renewal(entry: &Entry, renewal: LeaseRenewal) -> bool {
    let now = boot_now();
    {
        let mut view = entry.endpoints.lock();
        for (name, row) in renewal.endpoints {
            view.take_report(&name, row);
        }
        view.forget_silent(now);
    }
    entry.admission.grant(now, renewal.shares);
    entry.suspects.apply_answer(renewal.suspects);
    if renewal.changes.is_empty() && renewal.whole.is_none() {
        return false;
    }
    let mut next = EntryConfig::clone(&entry.config());
    let changed = match renewal.whole {
        Some(whole) => next.replace(whole),
        None => next.apply_changes(renewal.from, &renewal.changes),
    };
    if changed {
        let version = next.version;
        *entry.config.write() = Arc::new(next);
        slog::info!(entry.log, "configuration applied"; "event" => event::CONFIG_APPLIED, "version" => version.0);
    }
    changed
}
