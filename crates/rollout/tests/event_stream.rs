//! Reading a stream of events piece by piece.

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
fn whole_events_are_read_and_a_part_is_not() {
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
    fn cuts_do_not_matter(cuts in proptest::collection::btree_set(0..STREAM.len(), 0..12)) {
        let mut pieces = Vec::new();
        let mut from = 0;
        for cut in cuts {
            pieces.push(&STREAM[from..cut]);
            from = cut;
        }
        pieces.push(&STREAM[from..]);
        prop_assert_eq!(read(&pieces), read(&[STREAM]));
    }
}
