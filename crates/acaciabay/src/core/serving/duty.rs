//! Who acts for the system towards endpoints and the platform, as a number that others can check.

use crate::core::name::HostName;

/// A number that rises with each holder; an order under a lower one than was seen before is void.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FenceNumber(pub u64);

/// The holder of all duties.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DutyTable {
    fence: FenceNumber,
    holder: Option<HostName>,
}

impl DutyTable {
    /// Builds a table from what was stored.
    pub const fn restored(fence: FenceNumber, holder: Option<HostName>) -> Self {
        Self { fence, holder }
    }

    /// Gives all duties to a host and returns its number.
    ///
    /// The number comes from the replicated log and not from the term, so that a host that takes the duties twice in
    /// one term acts under two numbers.
    pub fn assume(&mut self, holder: &HostName) -> FenceNumber {
        self.fence = FenceNumber(self.fence.0 + 1);
        self.holder = Some(holder.clone());
        self.fence
    }

    /// Returns the latest number given.
    pub const fn fence(&self) -> FenceNumber {
        self.fence
    }

    /// Returns the latest holder.
    pub const fn holder(&self) -> Option<&HostName> {
        self.holder.as_ref()
    }
}
