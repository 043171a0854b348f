//! Typed names, so that a customer can never be passed where a pool is expected.

use std::fmt;
use std::sync::Arc;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Copies the text into a shared name.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(Arc::from(text.as_ref()))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &*self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }
    };
}

name_type! {
    /// Names a customer, the party that a key belongs to and that usage is billed to.
    CustomerName
}
name_type! {
    /// Names a pool of endpoints; routes refer to pools by this name only.
    PoolName
}
name_type! {
    /// Names an endpoint, a back end that runs requests.
    EndpointName
}
name_type! {
    /// Names a host of the system.
    HostName
}
name_type! {
    /// Names a failure domain, a set of hosts that may be lost together.
    DomainName
}
name_type! {
    /// Names a language model as callers ask for it.
    ModelName
}
name_type! {
    /// Names a plain service, for example a booking application.
    ServiceName
}
name_type! {
    /// The idempotency key with which a caller marks a call that may run at most once.
    IdempotencyKey
}
