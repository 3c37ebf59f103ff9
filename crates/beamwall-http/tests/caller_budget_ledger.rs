//! Who gets room, who gives way, and that no more is held than the limits allow.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use beamwall_http::caller_budget::{BudgetLimits, ConnectionId, Ledger, Phase, Shortage, Usage};
use beamwall_seeds::on_seeds;
use tokio::time::Instant;

const KB: usize = 1 << 10;
const MB: usize = 1 << 20;
const LIMITS: BudgetLimits = BudgetLimits { memory_bytes: 16 * MB, connections: 8 };
/// Charge of a connection in bytes.
const CHARGE_BYTES: usize = 64 * KB;
/// Longer than a caller may pause.
const LONG: Duration = Duration::from_secs(1);
/// Limits and charge of the random plays: connections run into the bound on memory as well.
const PLAY_LIMITS: BudgetLimits = BudgetLimits { memory_bytes: 16 * MB, connections: 40 };
const PLAY_CHARGE_BYTES: usize = 300 * KB;
const SEEDS: u32 = 100;
/// Steps of one random play.
const STEPS: usize = 200;

fn open(ledger: &mut Ledger, now: Instant) -> ConnectionId {
    ledger.open(CHARGE_BYTES, now).expect("there is room")
}

/// A connection in a phase that holds so much.
fn holder(ledger: &mut Ledger, phase: Phase, bytes: usize, now: Instant) -> ConnectionId {
    let id = open(ledger, now);
    ledger.begin(id, phase, now).expect("it is open");
    ledger.take(id, bytes, now).expect("there is room");
    id
}

/// Guards against: a crowd holds more together than the process has, or a whole request is lost to another.
#[test]
fn no_more_is_held_than_the_limits_allow_and_no_served_connection_gives_way() {
    on_seeds(SEEDS, play);
}

/// A connection of a random play.
struct Played {
    id: ConnectionId,
    held_bytes: usize,
    is_served: bool,
}

fn play(input: &mut Unstructured<'_>) -> Result<()> {
    let mut ledger = Ledger::new(PLAY_LIMITS);
    let mut now = Instant::now();
    let mut played: Vec<Played> = Vec::new();
    for _ in 0..STEPS {
        now += Duration::from_millis(input.int_in_range(0..=400)?);
        step(input, &mut ledger, &mut played, now)?;
        let usage = ledger.usage();
        assert!(usage.memory_bytes <= PLAY_LIMITS.memory_bytes, "{usage:?}");
        assert!(usage.connections <= PLAY_LIMITS.connections, "{usage:?}");
        for gone in ledger.take_evicted() {
            let place = played.iter().position(|other| other.id == gone).expect("it was open");
            let victim = played.swap_remove(place);
            assert!(!victim.is_served, "it was served");
            ledger.give_back(victim.id, victim.held_bytes);
            ledger.close(victim.id);
        }
    }
    for left in played {
        ledger.give_back(left.id, left.held_bytes);
        ledger.close(left.id);
    }
    assert_eq!(ledger.usage(), Usage::default());
    Ok(())
}

fn step(
    input: &mut Unstructured<'_>,
    ledger: &mut Ledger,
    played: &mut Vec<Played>,
    now: Instant,
) -> Result<()> {
    if played.is_empty() || input.ratio(1, 2)? {
        if let Ok(id) = ledger.open(PLAY_CHARGE_BYTES, now) {
            played.push(Played { id, held_bytes: 0, is_served: false });
        }
        return Ok(());
    }
    let place = input.choose_index(played.len())?;
    let chosen = &mut played[place];
    match input.int_in_range(0..=4)? {
        0 => {
            chosen.is_served = input.arbitrary()?;
            let phase = if chosen.is_served { Phase::Serving } else { Phase::ReceivingBody };
            ledger.begin(chosen.id, phase, now).expect("it is open");
        }
        1 | 2 => {
            let bytes = input.int_in_range(1..=MB)?;
            if ledger.take(chosen.id, bytes, now).is_ok() {
                chosen.held_bytes += bytes;
            }
        }
        3 => ledger.note_moved(chosen.id, input.int_in_range(1..=32 * KB)?, now),
        _ => {
            let gone = played.swap_remove(place);
            ledger.give_back(gone.id, gone.held_bytes);
            ledger.close(gone.id);
        }
    }
    Ok(())
}

/// Guards against: connections that send nothing keep others out.
#[test]
fn the_connection_that_has_waited_longest_gives_way_to_a_new_one() {
    let mut ledger = Ledger::new(LIMITS);
    let start = Instant::now();
    let all: Vec<ConnectionId> =
        (0..LIMITS.connections as u32).map(|number| open(&mut ledger, start + LONG * number)).collect();
    ledger.begin(all[0], Phase::Serving, start).expect("it is open");
    open(&mut ledger, start + LONG * 20);
    assert_eq!(ledger.take_evicted(), [all[1]]);
    assert_eq!(ledger.eviction(all[1]), Some(Shortage::Connections));
}

/// Guards against: a request that was received as a whole is given up for a new connection.
#[test]
fn a_new_connection_is_refused_while_all_are_served() {
    let mut ledger = Ledger::new(LIMITS);
    let now = Instant::now();
    for _ in 0..LIMITS.connections {
        holder(&mut ledger, Phase::Serving, 1, now);
    }
    assert_eq!(ledger.open(CHARGE_BYTES, now + LONG), Err(Shortage::Connections));
    assert!(ledger.take_evicted().is_empty());
}

/// Guards against: bodies that stop short of their end keep others out until their time is up.
#[test]
fn the_largest_body_that_has_paused_gives_way() {
    let mut ledger = Ledger::new(LIMITS);
    let start = Instant::now();
    let small = holder(&mut ledger, Phase::ReceivingBody, 3 * MB, start);
    let large = holder(&mut ledger, Phase::ReceivingBody, 4 * MB, start);
    let served = holder(&mut ledger, Phase::Serving, 4 * MB, start);
    let newcomer = open(&mut ledger, start + LONG);
    ledger.begin(newcomer, Phase::ReceivingBody, start + LONG).expect("it is open");
    ledger.take(newcomer, 4 * MB, start + LONG).expect("one gives way");
    assert_eq!(ledger.take_evicted(), [large]);
    for kept in [small, served, newcomer] {
        assert_eq!(ledger.eviction(kept), None);
    }
}

/// Guards against: a body that goes on by a byte now and then counts as one that makes progress.
#[test]
fn single_bytes_are_no_progress_and_larger_pieces_are() {
    let mut ledger = Ledger::new(LIMITS);
    let start = Instant::now();
    let dripping = holder(&mut ledger, Phase::ReceivingBody, 5 * MB, start);
    let flowing = holder(&mut ledger, Phase::ReceivingBody, 6 * MB, start);
    let later = start + LONG;
    ledger.note_moved(dripping, 1, later);
    ledger.note_moved(flowing, 16 * KB, later);
    let newcomer = open(&mut ledger, later);
    ledger.begin(newcomer, Phase::ReceivingBody, later).expect("it is open");
    ledger.take(newcomer, 4 * MB, later).expect("one gives way");
    assert_eq!(ledger.take_evicted(), [dripping]);
}

/// Guards against: large requests, sent as fast as they can be, keep small ones out.
#[test]
fn small_requests_find_room_beside_large_ones() {
    let mut ledger = Ledger::new(LIMITS);
    let now = Instant::now();
    for _ in 0..2 {
        holder(&mut ledger, Phase::Serving, 5 * MB, now);
    }
    let newcomer = open(&mut ledger, now);
    ledger.begin(newcomer, Phase::ReceivingBody, now).expect("it is open");
    assert_eq!(ledger.take(newcomer, 4 * MB, now), Err(Shortage::Memory));
    assert_eq!(ledger.take(newcomer, 32 * KB, now), Ok(()));
}

/// Guards against: callers that don't read their responses keep the memory of these.
#[test]
fn a_response_that_is_not_read_gives_way() {
    let mut ledger = Ledger::new(LIMITS);
    let start = Instant::now();
    let unread = holder(&mut ledger, Phase::Serving, 11 * MB, start);
    ledger.begin(unread, Phase::AwaitingRequest, start).expect("it is open");
    holder(&mut ledger, Phase::ReceivingBody, 4 * MB, start + LONG);
    assert_eq!(ledger.take_evicted(), [unread]);
}

/// Guards against: a request is sent on whose connection gave way just before it was whole, and is lost with it.
#[test]
fn a_request_of_a_connection_that_gave_way_is_not_served() {
    let mut ledger = Ledger::new(LIMITS);
    let start = Instant::now();
    let receiving = holder(&mut ledger, Phase::ReceivingBody, 11 * MB, start);
    holder(&mut ledger, Phase::ReceivingBody, 4 * MB, start + LONG);
    assert_eq!(ledger.take_evicted(), [receiving]);
    assert_eq!(ledger.begin(receiving, Phase::Serving, start + LONG), Err(Shortage::Memory));
}
