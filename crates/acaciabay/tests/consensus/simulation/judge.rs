//! What has to hold in a simulation: one leader at most that acts, one list, nothing acknowledged lost.

use acaciabay::core::consensus::{EntryPayload, LogEntry, Replica};

use super::{Host, Simulation, Verdict, decode_value};

/// How long the group gets to recover at the end: rounds in which an operator takes the next step of a repair.
const SETTLE_ROUNDS: u32 = 8;
const SETTLE_MILLIS: u64 = 1_500;

impl Simulation {
    pub(crate) fn acknowledged(&self) -> usize {
        self.acknowledged.len()
    }

    /// Ends all faults and checks that every replica comes to hold the one list with everything acknowledged in it.
    pub(crate) fn heal_and_settle(&mut self) -> Verdict {
        self.cuts.clear();
        self.network_is_whole = true;
        for host in &mut self.hosts {
            host.paused_until = 0;
            host.dies_in_write = None;
        }
        self.restart_all();
        for _ in 0..SETTLE_ROUNDS {
            self.run(SETTLE_MILLIS)?;
            self.repair()?;
            self.propose()?;
        }
        self.run(3 * SETTLE_MILLIS)?;
        self.check_settled()
    }

    pub(super) fn check_settled(&self) -> Verdict {
        let list = self.committed_list();
        for (_, value) in &self.acknowledged {
            if !list.contains(value) {
                return Err(format!("value {value} was acknowledged and is lost"));
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
                    "{} holds {held:?} in place of {list:?}; its leader: {leader:?}",
                    host.name
                ));
            }
        }
        Ok(())
    }

    pub(super) fn committed_list(&self) -> Vec<u64> {
        self.truth.values().filter_map(|(_, value)| *value).collect()
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

    /// At any moment one replica at most believes that it may act, paused ones included, and it knows all that was
    /// acknowledged.
    pub(super) fn check_leaders(&self) -> Verdict {
        let acting: Vec<&Host> = self.hosts.iter().filter(|host| self.may_act(host)).collect();
        if acting.len() > 1 {
            let names: Vec<&str> = acting.iter().map(|host| host.name.as_str()).collect();
            return Err(format!("at {} both believe that they lead: {names:?}", self.now));
        }
        for host in acting {
            if let Some((index, value)) = self
                .acknowledged
                .iter()
                .find(|(_, value)| !host.applied.contains(value))
            {
                return Err(format!(
                    "{} leads without {value}, acknowledged at {index:?}",
                    host.name
                ));
            }
        }
        Ok(())
    }

    pub(super) fn apply(&mut self, index: usize, entry: &LogEntry) -> Verdict {
        let value = match &entry.payload {
            EntryPayload::Command(bytes) => Some(decode_value(bytes)),
            EntryPayload::Empty | EntryPayload::Members(_) => None,
        };
        let known = self.truth.entry(entry.index).or_insert((entry.term, value));
        if *known != (entry.term, value) {
            return Err(format!(
                "two entries at {:?}: {known:?} and {:?}",
                entry.index,
                (entry.term, value)
            ));
        }
        self.hosts[index].applied.extend(value);
        // Only the replica that took a proposal answers the one who made it, but any replica's word would be true.
        if let Some(value) = self.waiting.remove(&(entry.term, entry.index)) {
            self.acknowledged.push((entry.index, value));
        }
        Ok(())
    }
}
