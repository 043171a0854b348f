//! Invariants of the simulation: at most one acting leader, the same entries on all replicas, no lost acknowledged
//! entry.

use acaciabay::core::consensus::{EntryPayload, LogEntry, Replica};

use super::{CheckResult, Host, Simulation, decode_value};

/// Number of recovery rounds at the end of a simulation. In each, the operator takes the next step of a repair.
const RECOVERY_ROUNDS: u32 = 8;
/// Length of a recovery round.
const RECOVERY_ROUND_MILLIS: u64 = 1_500;

impl Simulation {
    pub(crate) fn acknowledged(&self) -> usize {
        self.acknowledged.len()
    }

    /// Ends all faults and checks that every member converges to the same list, which includes all acknowledged values.
    pub(crate) fn heal_and_recover(&mut self) -> CheckResult {
        self.cuts.clear();
        self.network_is_reliable = true;
        for host in &mut self.hosts {
            host.paused_until = 0;
            host.dies_after_entries = None;
        }
        self.restart_all();
        for _ in 0..RECOVERY_ROUNDS {
            self.run(RECOVERY_ROUND_MILLIS)?;
            self.repair()?;
            self.propose()?;
        }
        self.run(3 * RECOVERY_ROUND_MILLIS)?;
        self.check_recovered()
    }

    pub(super) fn check_recovered(&self) -> CheckResult {
        let list = self.committed_list();
        for (_, value) in &self.acknowledged {
            if !list.contains(value) {
                return Err(format!("value {value} was acknowledged but lost"));
            }
        }
        let leader = self
            .hosts
            .iter()
            .find(|host| self.may_act(host))
            .ok_or("no leader after healing")?;
        let members = leader
            .running
            .as_ref()
            .map(Replica::members)
            .ok_or("leader does not run")?;
        for host in self
            .hosts
            .iter()
            .filter(|host| host.id.is_some_and(|id| members.get(id).is_some()))
        {
            if host.applied != list {
                let held = &host.applied;
                return Err(format!(
                    "{} applied {held:?} instead of {list:?}; leader: {leader:?}",
                    host.name
                ));
            }
        }
        Ok(())
    }

    pub(super) fn committed_list(&self) -> Vec<u64> {
        self.reference_log.values().filter_map(|(_, value)| *value).collect()
    }

    pub(super) fn may_act(&self, host: &Host) -> bool {
        let index = self
            .hosts
            .iter()
            .position(|other| std::ptr::eq(other, host))
            .unwrap_or(0);
        host.running
            .as_ref()
            .is_some_and(|replica| replica.may_act(self.local_time(index)))
    }

    /// Checks that at most one replica, paused ones included, believes that it may act, and that it has applied every
    /// acknowledged value.
    pub(super) fn check_leaders(&self) -> CheckResult {
        let acting: Vec<&Host> = self.hosts.iter().filter(|host| self.may_act(host)).collect();
        if acting.len() > 1 {
            let names: Vec<&str> = acting.iter().map(|host| host.name.as_str()).collect();
            return Err(format!("several acting leaders at {} ms: {names:?}", self.now));
        }
        for host in acting {
            if let Some((index, value)) = self
                .acknowledged
                .iter()
                .find(|(_, value)| !host.applied.contains(value))
            {
                return Err(format!(
                    "{} leads without value {value}, acknowledged at {index:?}",
                    host.name
                ));
            }
        }
        Ok(())
    }

    pub(super) fn apply(&mut self, index: usize, entry: &LogEntry) -> CheckResult {
        let value = match &entry.payload {
            EntryPayload::Command(bytes) => Some(decode_value(bytes)),
            EntryPayload::Empty | EntryPayload::Members(_) => None,
        };
        let known = self.reference_log.entry(entry.index).or_insert((entry.term, value));
        if *known != (entry.term, value) {
            return Err(format!(
                "conflicting entries at {:?}: {known:?} and {:?}",
                entry.index,
                (entry.term, value)
            ));
        }
        self.hosts[index].applied.extend(value);
        // Only the replica that accepted a proposal replies to its client, but any replica that applies it could
        // confirm it.
        if let Some(value) = self.waiting.remove(&(entry.term, entry.index)) {
            self.acknowledged.push((entry.index, value));
        }
        Ok(())
    }
}
