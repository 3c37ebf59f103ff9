//! Buffers take their memory from the budget, and give it back when nobody uses their bytes any more.

use beamwall_http::caller_budget::{BudgetLimits, CallerBudget, HeldBuffer, Shortage};
use bytes::Bytes;

const MB: usize = 1 << 20;
const LIMITS: BudgetLimits = BudgetLimits { memory_bytes: 16 * MB, connections: 8 };
const HEAD_BYTES: usize = 16 << 10;

fn part(bytes: usize) -> Bytes {
    Bytes::from(vec![b'p'; bytes])
}

/// Guards against: memory counts as free while a clone of a body is still sent somewhere.
#[test]
fn memory_is_given_back_with_the_last_clone_of_a_body() {
    let budget = CallerBudget::new(LIMITS);
    let caller = budget.open(HEAD_BYTES).expect("there is room");
    let empty = budget.usage().memory_bytes;
    let mut buffer = HeldBuffer::new(&caller, MB);
    for _ in 0..8 {
        buffer.push(part(100_000)).expect("there is room");
    }
    let body = buffer.into_bytes();
    assert_eq!(body.len(), 800_000);
    let clone = body.clone();
    drop(body);
    assert!(budget.usage().memory_bytes >= empty + 800_000, "{:?}", budget.usage());
    drop(clone);
    assert_eq!(budget.usage().memory_bytes, empty);
    drop(caller);
    assert_eq!(budget.usage().memory_bytes, 0);
}

/// Guards against: a buffer's capacity, up to twice its length, isn't counted.
#[test]
fn a_buffer_counts_by_its_capacity() {
    let budget = CallerBudget::new(LIMITS);
    let caller = budget.open(HEAD_BYTES).expect("there is room");
    let empty = budget.usage().memory_bytes;
    let mut buffer = HeldBuffer::new(&caller, 8 * MB);
    buffer.push(part(MB)).expect("there is room");
    buffer.push(part(1)).expect("there is room");
    let counted = budget.usage().memory_bytes - empty;
    buffer.push(part(MB / 2)).expect("there is room");
    let grown = budget.usage().memory_bytes - empty;
    assert!(counted > MB && grown >= MB + MB / 2, "{counted} {grown}");
}

/// Guards against: a body is taken although there is no memory for it, or what it held isn't free again.
#[test]
fn a_body_without_room_is_refused_and_leaves_nothing_behind() {
    let budget = CallerBudget::new(LIMITS);
    let caller = budget.open(HEAD_BYTES).expect("there is room");
    let empty = budget.usage().memory_bytes;
    let mut buffer = HeldBuffer::new(&caller, 64 * MB);
    let refused = (0..64).find_map(|_| buffer.push(part(MB)).err());
    assert_eq!(refused, Some(Shortage::Memory));
    drop(buffer);
    assert_eq!(budget.usage().memory_bytes, empty);
}

/// Guards against: the task that serves a connection isn't told that it gave way.
#[tokio::test]
async fn a_connection_that_gives_way_is_told() {
    let budget = CallerBudget::new(BudgetLimits { connections: 1, ..LIMITS });
    let first = budget.open(HEAD_BYTES).expect("there is room");
    let second = budget.open(HEAD_BYTES).expect("the first gives way");
    assert_eq!(first.evicted().await, Shortage::Connections);
    assert_eq!(budget.usage().connections, 1);
    drop(first);
    drop(second);
    assert_eq!(budget.usage().connections, 0);
}
