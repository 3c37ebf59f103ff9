//! The limits, derived from what the process may take of its machine.

/// Memory that the process needs besides what it holds for callers, in bytes.
const OWN_MEMORY_BYTES: usize = 32 << 20;
/// Callers hold at most the rest of the memory divided by this: an allocator keeps more than is in use, and bytes that
/// have arrived but are not read yet count towards the machine's memory as well.
const MEMORY_DIVISOR: usize = 2;
/// Least memory for callers, in bytes, however small the machine is.
const MIN_MEMORY_BYTES: usize = 8 << 20;
/// Descriptors left to listeners, peers, the store and files.
const OWN_DESCRIPTORS: usize = 256;
/// On a small machine that is at most its descriptors divided by this.
const OWN_DESCRIPTORS_DIVISOR: usize = 4;
/// Descriptors of one caller: its connection, and one to the back end that serves it.
const DESCRIPTORS_PER_CALLER: usize = 2;

/// What all callers of a process may hold together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Memory in bytes.
    pub memory_bytes: usize,
    /// Open connections.
    pub connections: usize,
}

impl BudgetLimits {
    /// No limits.
    pub const UNLIMITED: Self = Self { memory_bytes: usize::MAX, connections: usize::MAX };

    /// Limits for a process that may take so much memory, in bytes, and open so many descriptors.
    pub fn of_process(memory_bytes: usize, descriptors: usize) -> Self {
        let own_descriptors = OWN_DESCRIPTORS.min(descriptors / OWN_DESCRIPTORS_DIVISOR);
        Self {
            memory_bytes: (memory_bytes.saturating_sub(OWN_MEMORY_BYTES) / MEMORY_DIVISOR)
                .max(MIN_MEMORY_BYTES),
            connections: ((descriptors - own_descriptors) / DESCRIPTORS_PER_CALLER).max(1),
        }
    }
}
