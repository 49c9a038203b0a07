//! Tests of the incremental parser for streams of events.

use havenstage_rollout::event_stream::{EventReader, EventTooLong, MAX_EVENT_BYTES, StreamEvent};
use proptest::prelude::*;

const STREAM: &[u8] = b"id: 1\ndata: one\n\nweight-version: 7\nid: 2\r\ndata: two\r\n\r\n: comment\n\nid: 3\ndata: three\ndata: more\n\nid: 4\ndata: not whole\n";

fn read(pieces: &[&[u8]]) -> Vec<StreamEvent> {
    let mut reader = EventReader::new("Weight-Version");
    let mut events = Vec::new();
    for piece in pieces {
        reader.push(piece);
        while let Some(event) = reader.next_event().unwrap() {
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

/// Guards against holding bytes without end that contain no event, and against searching them again with each piece.
#[test]
fn bytes_without_an_event_are_refused_beyond_a_limit() {
    let mut reader = EventReader::new("Weight-Version");
    let piece = [b'x'; 1_000];
    let mut pushed = 0;
    while pushed + piece.len() <= MAX_EVENT_BYTES {
        reader.push(&piece);
        pushed += piece.len();
        assert_eq!(reader.next_event(), Ok(None));
    }
    reader.push(&piece);
    assert_eq!(reader.next_event(), Err(EventTooLong));
}

#[test]
fn events_of_the_greatest_size_are_returned() {
    let data = "x".repeat(MAX_EVENT_BYTES - "data: \n\n".len());
    let event = format!("data: {data}\n\n");
    let mut reader = EventReader::new("Weight-Version");
    for piece in [event.as_bytes(), event.as_bytes()].concat().chunks(65_536) {
        reader.push(piece);
    }
    for _ in 0..2 {
        let event = reader.next_event().unwrap().unwrap();
        assert_eq!(event.data.len(), data.len());
    }
    assert_eq!(reader.next_event(), Ok(None));
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
