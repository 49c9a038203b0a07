//! Prints what a read of the clock takes, beside one of tokio's.

use std::hint::black_box;
use std::time::Instant as Steady;

use havenstage_clock::Instant;

const READS: u32 = 2_000_000;

fn main() {
    let began = Steady::now();
    for _ in 0..READS {
        black_box(tokio::time::Instant::now());
    }
    let steady = began.elapsed() / READS;
    let began = Steady::now();
    for _ in 0..READS {
        black_box(Instant::now());
    }
    println!(
        "steady clock {steady:?}, with suspended time {:?}",
        began.elapsed() / READS
    );
}
