//! Typed identifiers. Each wraps a shared string, so cloning is cheap.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Deserializer, Serialize, Serializer};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates an identifier from its text.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(Arc::from(text.as_ref()))
            }

            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                Ok(Self::new(String::deserialize(deserializer)?))
            }
        }
    };
}

name_type!(
    /// An entry node or a gateway of the deployment.
    NodeId
);
name_type!(
    /// One generation (process run) of a model engine or an application back end.
    BackendId
);
name_type!(
    /// The name under which a back end is listed and responds. A restarted back end may keep its name.
    InstanceName
);
impl BackendId {
    /// Identifies the generation of `instance` that started at `born_ms`, in milliseconds since 1970, or the
    /// instance alone if its back end does not report a start time.
    pub fn for_generation(instance: &InstanceName, born_ms: Option<u64>) -> Self {
        match born_ms {
            None => Self::new(instance.as_str()),
            Some(born_ms) => Self::new(format!("{instance}#{born_ms}")),
        }
    }
}

name_type!(
    /// The version of the software that a back end runs.
    EngineVersion
);
name_type!(
    /// A tenant: the last segment of its path in the settings tree.
    TenantName
);
name_type!(
    /// A service: the last segment of its path in the settings tree.
    ServiceName
);
name_type!(
    /// An availability zone of the cloud.
    ZoneName
);
name_type!(
    /// One request as accepted from a caller.
    RequestId
);
name_type!(
    /// One attempt to run a request at one back end; unique across nodes and restarts.
    AttemptId
);

/// Generates request and attempt identifiers that are unique across nodes and restarts. They consist of the
/// name of the node, a random number generated at start, and a counter.
#[derive(Debug)]
pub struct IdentifierSource {
    prefix: String,
    next: AtomicU64,
}

impl IdentifierSource {
    /// Creates a source for one process run of a node.
    pub fn new(node: &NodeId) -> Self {
        let start: u32 = rand::random();
        Self { prefix: format!("{node}-{start:08x}"), next: AtomicU64::new(1) }
    }

    /// Generates a request identifier.
    pub fn request(&self) -> RequestId {
        RequestId::new(self.next_identifier())
    }

    /// Generates an attempt identifier.
    pub fn attempt(&self) -> AttemptId {
        AttemptId::new(self.next_identifier())
    }

    fn next_identifier(&self) -> String {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number:x}", self.prefix)
    }
}
