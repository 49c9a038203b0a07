//! Prints the mean time of one read of [`Instant`], next to one of tokio's instant.

use std::hint::black_box;
use std::time::Instant as StdInstant;

use havenstage_clock::Instant;

const READS: u32 = 2_000_000;

fn main() {
    let start = StdInstant::now();
    for _ in 0..READS {
        black_box(tokio::time::Instant::now());
    }
    let monotonic = start.elapsed() / READS;
    let start = StdInstant::now();
    for _ in 0..READS {
        black_box(Instant::now());
    }
    println!(
        "monotonic clock {monotonic:?}, with suspended time {:?}",
        start.elapsed() / READS
    );
}
