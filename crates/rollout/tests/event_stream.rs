//! Tests of the incremental parser for streams of events.

use havenstage_rollout::event_stream::{EventReader, StreamEvent};
use proptest::prelude::*;

const STREAM: &[u8] = b"id: 1\ndata: one\n\nweight-version: 7\nid: 2\r\ndata: two\r\n\r\n: comment\n\nid: 3\ndata: three\ndata: more\n\nid: 4\ndata: not whole\n";

fn read(pieces: &[&[u8]]) -> Vec<StreamEvent> {
    let mut reader = EventReader::new("Weight-Version");
    let mut events = Vec::new();
    for piece in pieces {
        reader.push(piece);
        while let Some(event) = reader.next_event() {
            events.push(event);
        }
    }
    events
}

#[test]
fn complete_events_are_returned_and_an_incomplete_one_is_not() {
    let events = read(&[STREAM]);
    let texts: Vec<&[u8]> = events.iter().map(|event| &event.data[..]).collect();
    assert_eq!(texts, [&b"one"[..], b"two", b"three\nmore"]);
    let ids: Vec<Option<u64>> = events.iter().map(|event| event.id).collect();
    assert_eq!(ids, [Some(1), Some(2), Some(3)]);
    let versions: Vec<Option<u64>> = events.iter().map(|event| event.version).collect();
    assert_eq!(versions, [None, Some(7), None]);
    assert_eq!(&events[2].raw[..], b"id: 3\ndata: three\ndata: more\n\n");
}

proptest! {
    #[test]
    fn events_do_not_depend_on_how_the_bytes_are_split(
        split_points in proptest::collection::btree_set(0..STREAM.len(), 0..12),
    ) {
        let mut pieces = Vec::new();
        let mut from = 0;
        for split_point in split_points {
            pieces.push(&STREAM[from..split_point]);
            from = split_point;
        }
        pieces.push(&STREAM[from..]);
        prop_assert_eq!(read(&pieces), read(&[STREAM]));
    }
}
