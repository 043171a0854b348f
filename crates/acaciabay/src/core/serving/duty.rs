//! The host that acts for the system towards endpoints and the platform, with a fencing number that receivers can
//! check.

use crate::core::name::HostName;

/// Fencing number that increases with each assignment of the duties. An order that carries a lower number than one
/// already seen is void.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FenceNumber(pub u64);

/// Current assignment of all duties to one host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DutyTable {
    fence: FenceNumber,
    holder: Option<HostName>,
}

impl DutyTable {
    /// Builds a table from stored values.
    pub const fn restored(fence: FenceNumber, holder: Option<HostName>) -> Self {
        Self { fence, holder }
    }

    /// Assigns all duties to a host and returns the new fencing number.
    ///
    /// The number comes from the replicated log and not from the term, so that a host that takes the duties twice in
    /// one term acts under two numbers.
    pub fn assume(&mut self, holder: &HostName) -> FenceNumber {
        self.fence = FenceNumber(self.fence.0 + 1);
        self.holder = Some(holder.clone());
        self.fence
    }

    /// Returns the number of the latest assignment.
    pub const fn fence(&self) -> FenceNumber {
        self.fence
    }

    /// Returns the host of the latest assignment.
    pub const fn holder(&self) -> Option<&HostName> {
        self.holder.as_ref()
    }
}
