//! The system's own clocks: they can be read, and the clock made of them runs with the steady one.

use std::time::Duration;

use havenstage_clock::{Instant, suspended};

#[test]
fn the_clock_runs_with_the_steady_one_while_nothing_is_suspended() {
    let (steady, began) = (std::time::Instant::now(), Instant::now());
    let before = suspended();
    let mut last = began;
    for _ in 0..2_000 {
        let now = Instant::now();
        assert!(now >= last, "it went back");
        last = now;
    }
    std::thread::sleep(Duration::from_millis(50));
    let (ours, steady) = (began.elapsed(), steady.elapsed());
    let suspended = suspended() - before;
    assert!(ours <= steady + suspended, "{ours:?} against {steady:?}");
    assert!(
        ours + Duration::from_millis(5) >= steady,
        "{ours:?} against {steady:?}"
    );
}
