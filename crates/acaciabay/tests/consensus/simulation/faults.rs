//! Faults and repairs of simulated hosts: killed and restarted processes, isolation, lost disks.

use acaciabay::core::consensus::{DiskId, MemberChange, Replica, ReplicaRole};
use rand::Rng;

use super::{CheckResult, Host, Simulation, decode_state, encode_state};
use crate::simulated_disk::SimulatedDisk;

impl Simulation {
    pub(super) fn kill(&mut self, index: usize) {
        self.hosts[index].running = None;
        self.hosts[index].dies_after_entries = None;
    }

    pub(super) fn restart_all(&mut self) {
        for index in 0..self.hosts.len() {
            let now = self.local_time(index);
            let seed = self.random.random();
            let host = &mut self.hosts[index];
            if let (None, Some(id)) = (&host.running, host.id) {
                host.applied = decode_state(&host.disk.snapshot.state);
                host.running = Some(Replica::new(now, id, host.disk.restore(), seed));
            }
        }
    }

    pub(super) fn isolate(&mut self, index: usize) {
        for other in 0..self.hosts.len() {
            self.cuts.insert((index, other));
            self.cuts.insert((other, index));
        }
    }

    pub(super) fn compact(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        let Some(replica) = &mut host.running else { return };
        let snapshot = replica.snapshot_at_delivered(encode_state(&host.applied));
        if snapshot.index > host.disk.base() {
            let index = snapshot.index;
            host.disk.compact(snapshot);
            replica.compact(index);
        }
    }

    pub(super) fn lose_disk(&mut self, index: usize) {
        let all_vote = self.hosts.iter().all(|host| {
            let members = host.running.as_ref().map(Replica::members);
            members.is_some_and(|members| host.id.is_some_and(|id| members.is_voter(id)))
        });
        if self.lost_disk.is_some() || !all_vote {
            return;
        }
        self.kill(index);
        let host = &mut self.hosts[index];
        host.id = None;
        host.disk = SimulatedDisk::default();
        host.disk_id = DiskId(self.random.random_range(1_000..u64::MAX));
        host.applied.clear();
        self.lost_disk = Some(index);
    }

    /// Takes the next step of a repair on the current leader: remove the old member, add a new one, or bind it to its
    /// disk.
    pub(super) fn repair(&mut self) -> CheckResult {
        let Some(lost) = self.lost_disk else { return Ok(()) };
        let leads = |host: &Host| {
            host.running
                .as_ref()
                .is_some_and(|replica| replica.role() == ReplicaRole::Leader)
        };
        let Some(leader) = self.hosts.iter().position(leads) else {
            return Ok(());
        };
        let (name, disk) = (self.hosts[lost].name.clone(), self.hosts[lost].disk_id);
        let Some(replica) = &mut self.hosts[leader].running else {
            return Ok(());
        };
        let host = name.as_str().into();
        let present = replica.members().find_by_host(&host).map(|(id, row)| (id, row.disk));
        let change = match present {
            Some((replica, Some(bound))) if bound != disk => MemberChange::Remove { replica },
            Some((replica, _)) => MemberChange::Bind { replica, disk },
            None => MemberChange::Add {
                host,
                address: String::new(),
            },
        };
        let binds = matches!(change, MemberChange::Bind { .. });
        if let Ok((_, id)) = replica.change_members(change)
            && binds
        {
            let now = self.local_time(lost);
            self.hosts[lost].id = Some(id);
            let restored = self.hosts[lost].disk.restore();
            self.hosts[lost].running = Some(Replica::new(now, id, restored, id.0));
            self.lost_disk = None;
        }
        self.process(leader)
    }
}
