//! Why a quota refused work.

/// Why work was refused, by what this node knows of the work that all nodes have admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// The work known to this node uses up the tenant's limit.
    LimitUsed,
    /// The level covers the work, but this node or its zone may admit no more before others receive its
    /// reports.
    ShareUsed,
    /// The level would cover the work if nothing were reserved for work of which this node cannot know: that
    /// of unreachable nodes, or from before its start.
    Withheld,
}

impl RefusalCause {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::LimitUsed => "limit_used",
            Self::ShareUsed => "share_used",
            Self::Withheld => "withheld",
        }
    }
}
