//! Values split over records and joined again.

use bytes::Bytes;
use havenstage_rollout::framing::{Joiner, split};
use proptest::prelude::*;

proptest! {
    #[test]
    fn split_values_are_joined_unchanged(
        values in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..200), 1..8),
        record_bytes in 2_usize..64,
    ) {
        let mut joiner = Joiner::default();
        let mut joined = Vec::new();
        for value in &values {
            let records = split(value, record_bytes);
            prop_assert!(records.iter().all(|record| record.len() <= record_bytes));
            joined.extend(records.into_iter().filter_map(|record| joiner.push(record)));
        }
        prop_assert_eq!(joined, values.into_iter().map(Bytes::from).collect::<Vec<_>>());
    }

    #[test]
    fn a_reader_that_starts_inside_a_value_drops_only_that_value(skipped in 1_usize..5) {
        let mut records = split(&[1; 50], 11);
        records.extend(split(b"next", 11));
        let mut joiner = Joiner::default();
        let read = records.into_iter().skip(skipped).filter_map(|record| joiner.push(record));
        prop_assert_eq!(read.collect::<Vec<_>>(), vec![Bytes::from_static(b"next")]);
    }
}
