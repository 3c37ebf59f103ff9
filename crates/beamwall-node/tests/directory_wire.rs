//! Lists of back ends as messages: what is told arrives, and what can't be read is refused.

use arbtest::arbitrary::{Result, Unstructured};
use beamwall_gateway::Backend;
use beamwall_gateway::ports::{DirectoryChange, DirectoryChanges, DirectorySnapshot};
use beamwall_node::gateway::directory_wire::{DirectoryUpdate, DirectoryWireError, decode, encode};
use beamwall_seeds::on_seeds;
use prost::Message;

/// Bytes of a list of the 3,000 back ends of a deployment of 300 nodes: short enough that a link of 10 Mbit/s gives it to
/// several nodes a second at half of its capacity.
const LARGE_LIST_BYTES: usize = 150_000;

fn draw_backend(random: &mut Unstructured<'_>) -> Result<Backend> {
    let number = random.int_in_range(0..=2_000_u16)?;
    Ok(Backend {
        id: format!("i-{number}").as_str().into(),
        instance: format!("i-{number}").as_str().into(),
        born_ms: None,
        service: format!("service-{}", number % 3).as_str().into(),
        address: ([10, 128, 3, 7], 2_000 + number).into(),
        zone: ["a", "b", "c"][usize::from(number % 3)].into(),
        version: "v1".into(),
        slots: u32::from(number),
        draining: random.arbitrary()?,
        reclaimable: random.arbitrary()?,
        leaves_in_ms: random.arbitrary()?,
    })
}

fn draw(random: &mut Unstructured<'_>) -> Result<DirectoryUpdate> {
    let revision: u64 = random.arbitrary()?;
    let length = random.int_in_range(0..=20)?;
    let backends = (0..length).map(|_| draw_backend(random)).collect::<Result<Vec<_>>>()?;
    if random.arbitrary()? {
        return Ok(DirectoryUpdate::Whole(DirectorySnapshot { revision: revision.into(), backends }));
    }
    let gone = DirectoryChange::Gone("i-gone".into());
    let changed = backends.into_iter().map(DirectoryChange::Changed);
    let changes = std::iter::once(gone).chain(changed).collect();
    Ok(DirectoryUpdate::Changes(DirectoryChanges { revision: revision.into(), changes }))
}

#[test]
fn what_is_told_arrives() {
    on_seeds(2_000, |random| {
        let told = draw(random)?;
        assert_eq!(decode(&encode(&told)), Ok(told));
        Ok(())
    });
}

#[test]
fn a_back_end_without_a_name_or_an_address_is_refused() {
    let told = list(1);
    let mut answer = encode(&told);
    answer.listed[0].zone = 9;
    assert_eq!(decode(&answer), Err(DirectoryWireError::Name("i-0".to_owned())));
    let mut answer = encode(&told);
    answer.listed[0].address = "nowhere".to_owned();
    assert_eq!(decode(&answer), Err(DirectoryWireError::Address("i-0".to_owned())));
}

#[test]
fn a_large_list_and_a_single_change_are_short() {
    let whole = encode(&list(3_000)).encoded_len();
    assert!(whole < LARGE_LIST_BYTES, "{whole} bytes");
    let DirectoryUpdate::Whole(snapshot) = list(1) else { unreachable!("a whole list") };
    let changes = vec![DirectoryChange::Changed(snapshot.backends[0].clone())];
    let change =
        encode(&DirectoryUpdate::Changes(DirectoryChanges { revision: 900.into(), changes })).encoded_len();
    println!("{whole} bytes for 3,000 back ends, {change} for a change");
    assert!(change < 100, "{change} bytes");
}

fn list(length: u16) -> DirectoryUpdate {
    let backend = |number: u16| Backend {
        id: format!("i-{number}").as_str().into(),
        instance: format!("i-{number}").as_str().into(),
        born_ms: None,
        service: "pool".into(),
        address: ([10, 128, 3, 7], 2_000 + number).into(),
        zone: "ulemiste".into(),
        version: "v1".into(),
        slots: 96,
        draining: false,
        reclaimable: true,
        leaves_in_ms: None,
    };
    let backends = (0..length).map(backend).collect();
    DirectoryUpdate::Whole(DirectorySnapshot { revision: 900.into(), backends })
}
