//! Without suspensions, `Instant` on the system clocks advances like the monotonic clock and never goes backwards.

use std::time::Duration;

use havenstage_clock::{Instant, suspended};

#[test]
fn the_clock_advances_like_the_monotonic_clock() {
    let (monotonic, start) = (std::time::Instant::now(), Instant::now());
    let before = suspended();
    let mut last = start;
    for _ in 0..2_000 {
        let now = Instant::now();
        assert!(now >= last, "the clock went backwards");
        last = now;
    }
    std::thread::sleep(Duration::from_millis(50));
    let (advanced, monotonic) = (start.elapsed(), monotonic.elapsed());
    let suspended = suspended() - before;
    assert!(
        advanced <= monotonic + suspended,
        "{advanced:?} vs monotonic {monotonic:?}"
    );
    assert!(
        advanced + Duration::from_millis(5) >= monotonic,
        "{advanced:?} vs monotonic {monotonic:?}"
    );
}
