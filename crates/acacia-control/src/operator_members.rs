//! Operator requests that list and change the members of the group.

use std::time::Duration;

use acacia_runtime::clock::boot_now;
use acaciabay::core::consensus::{MemberChange, MemberChangeError, ReplicaId};
use acaciabay::core::name::HostName;
use hyper::StatusCode;
use serde_json::{Value, json};

use crate::daemon::Control;
use crate::driver::describe_change_error;
use crate::operator_api::{OperatorRefusal, OperatorRequest, OperatorResult};

/// Maximum time for which a change waits until the preceding one is committed.
const PENDING_CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay between two attempts while the preceding change is not committed.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

pub(crate) async fn list_members(control: &Control) -> OperatorResult {
    control.group.confirm_leadership().await?;
    Ok(json!({"members": members_json(control)}))
}

/// Encodes the members for a response.
pub(crate) fn members_json(control: &Control) -> Value {
    let status = control.group.status().borrow().clone();
    let rows = status.members.rows().map(|(id, row)| {
        json!({
            "replica": id.0,
            "host": row.host.as_str(),
            "address": row.address,
            "voter": row.voter,
            "bound": row.disk.is_some(),
            "leader": status.leader == Some(id),
        })
    });
    rows.collect()
}

pub(crate) async fn add_member(control: &Control, request: &OperatorRequest) -> OperatorResult {
    let body = request.json()?;
    let host = body["host"].as_str().filter(|host| !host.is_empty());
    let address = body["address"]
        .as_str()
        .filter(|address| address.parse::<std::net::SocketAddr>().is_ok());
    let (Some(host), Some(address)) = (host, address) else {
        let message = "expected `host` and `address` (an IP address with a port)";
        return Err(OperatorRefusal::new(StatusCode::BAD_REQUEST, "bad_member", message));
    };
    let addition = MemberChange::Add {
        host: host.into(),
        address: address.to_owned(),
    };
    let replica = match change(control, addition).await {
        Ok(replica) => replica,
        // The host is already a member under this address: the answer to an earlier identical request was lost, and the
        // client has sent the request again.
        Err(MemberChangeError::HostTaken(replica)) if member_address(control, replica).as_deref() == Some(address) => {
            replica
        }
        Err(refusal) => return Err(refusal_from(control, &refusal)),
    };
    Ok(json!({"host": host, "replica": replica.0}))
}

pub(crate) async fn remove_member(control: &Control, host: &str) -> OperatorResult {
    control.group.confirm_leadership().await?;
    let (replica, _) = find_member(control, host)?;
    let removed = change(control, MemberChange::Remove { replica }).await;
    removed.map_err(|refusal| refusal_from(control, &refusal))?;
    Ok(json!({"host": host, "removed": replica.0}))
}

/// Removes a member whose disk was lost and adds its host again as a new member with another replica number.
pub(crate) async fn replace_member(control: &Control, host: &str) -> OperatorResult {
    control.group.confirm_leadership().await?;
    let (old, address) = find_member(control, host)?;
    let removed = change(control, MemberChange::Remove { replica: old }).await;
    removed.map_err(|refusal| refusal_from(control, &refusal))?;
    let addition = MemberChange::Add {
        host: host.into(),
        address,
    };
    let added = change(control, addition).await;
    let replica = added.map_err(|refusal| refusal_from(control, &refusal))?;
    Ok(json!({"host": host, "removed": old.0, "replica": replica.0}))
}

fn find_member(control: &Control, host: &str) -> Result<(ReplicaId, String), OperatorRefusal> {
    let status = control.group.status().borrow().clone();
    let found = status
        .members
        .find_by_host(&HostName::new(host))
        .map(|(id, row)| (id, row.address.clone()));
    found.ok_or_else(|| {
        let message = format!("host `{host}` is not a member");
        OperatorRefusal::new(StatusCode::NOT_FOUND, "no_such_member", message)
    })
}

/// Makes a change, and retries it for up to `PENDING_CHANGE_TIMEOUT` while the preceding one is not committed.
async fn change(control: &Control, change: MemberChange) -> Result<ReplicaId, MemberChangeError> {
    let deadline = boot_now() + PENDING_CHANGE_TIMEOUT;
    loop {
        match control.group.change_members(change.clone()).await {
            Ok(replica) => return Ok(replica),
            Err(MemberChangeError::ChangePending) if boot_now() < deadline => tokio::time::sleep(RETRY_INTERVAL).await,
            Err(refusal) => return Err(refusal),
        }
    }
}

fn member_address(control: &Control, replica: ReplicaId) -> Option<String> {
    let status = control.group.status().borrow().clone();
    status.members.get(replica).map(|row| row.address.clone())
}

fn refusal_from(control: &Control, refusal: &MemberChangeError) -> OperatorRefusal {
    match refusal {
        MemberChangeError::NotLeader(_) => {
            let status = control.group.status().borrow().clone();
            let leader = status
                .leader
                .and_then(|leader| status.members.get(leader).map(|row| row.address.clone()));
            crate::group::NotLeading {
                leader_address: leader.unwrap_or_default(),
            }
            .into()
        }
        other => OperatorRefusal::new(StatusCode::CONFLICT, "member_refused", describe_change_error(other)),
    }
}
