//! Splitting of event streams into whole events, however their bytes are chunked.

use beamwall_gateway::event_stream::EventSplitter;
use beamwall_seeds::on_seeds;

fn split(pieces: &[&[u8]]) -> (Vec<Option<u64>>, Vec<u8>, Vec<u8>) {
    let mut splitter = EventSplitter::default();
    let (mut ids, mut bytes) = (Vec::new(), Vec::new());
    for piece in pieces {
        splitter.push(piece);
        while let Some(event) = splitter.next_event() {
            ids.push(event.id);
            bytes.extend_from_slice(&event.bytes);
        }
    }
    (ids, bytes, splitter.rest().to_vec())
}

#[test]
fn whole_events_are_returned_and_the_rest_is_kept() {
    let (ids, bytes, rest) =
        split(&[b"id: 1\ndata: a\n\nx-weight-versions: 3\nid: 2\ndata: b\r\n\r\nid: 3\nda"]);
    assert_eq!(ids, [Some(1), Some(2)]);
    assert_eq!(bytes, b"id: 1\ndata: a\n\nx-weight-versions: 3\nid: 2\ndata: b\r\n\r\n");
    assert_eq!(rest, b"id: 3\nda");
}

#[test]
fn events_without_an_id_are_returned() {
    let (ids, _, rest) = split(&[b": comment\n\ndata: x\n\n"]);
    assert_eq!(ids, [None, None]);
    assert!(rest.is_empty());
}

#[test]
fn any_split_of_the_bytes_gives_the_same_events() {
    on_seeds(2_000, |random| {
        let count = random.int_in_range(0..=6_u64)?;
        let text: String =
            (1..=count).map(|id| format!("id: {id}\ndata: {}\n\n", "x".repeat(id as usize))).collect();
        let bytes = text.as_bytes();
        let mut split_points = vec![0, bytes.len()];
        for _ in 0..random.int_in_range(0..=5)? {
            split_points.push(random.int_in_range(0..=bytes.len())?);
        }
        split_points.sort_unstable();
        let pieces: Vec<&[u8]> = split_points.windows(2).map(|pair| &bytes[pair[0]..pair[1]]).collect();
        let (ids, passed, rest) = split(&pieces);
        assert_eq!(ids, (1..=count).map(Some).collect::<Vec<_>>());
        assert_eq!((passed, rest.is_empty()), (bytes.to_vec(), true));
        Ok(())
    });
}
