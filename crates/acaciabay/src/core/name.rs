//! Distinct types for names, so that the compiler rejects a customer name where a pool name is expected.

use std::fmt;
use std::sync::Arc;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from text. Clones of the name share one copy of the text.
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
    /// The name of a customer, which owns keys and is billed for usage.
    CustomerName
}
name_type! {
    /// The name of a pool of endpoints. Routes refer to pools only by this name.
    PoolName
}
name_type! {
    /// The name of an endpoint, a back end that runs requests.
    EndpointName
}
name_type! {
    /// The name of a host of the system.
    HostName
}
name_type! {
    /// The name of a failure domain, a set of hosts that can fail together.
    DomainName
}
name_type! {
    /// The name of a language model, as used in requests.
    ModelName
}
name_type! {
    /// The name of a plain service, for example a booking application.
    ServiceName
}
name_type! {
    /// The idempotency key that a caller sends with a call that must run at most once.
    IdempotencyKey
}
