//! Tests of the selection of the engines that live calls try first.

use havenstage_placement::live_engines::live_engines;
use havenstage_types::ids::EngineName;

fn engines(count: usize) -> Vec<EngineName> {
    (0..count)
        .map(|number| EngineName(format!("e-{number}")))
        .collect()
}

#[test]
fn the_selection_does_not_depend_on_the_order_of_the_engines() {
    let names = engines(9);
    let mut reversed = names.clone();
    reversed.reverse();
    let selected = live_engines(&names, 20);
    assert_eq!(selected.len(), 2);
    assert_eq!(selected, live_engines(&reversed, 20));
}

#[test]
fn very_small_pools_and_zero_percent_select_none() {
    assert!(live_engines(&engines(2), 20).is_empty());
    assert!(live_engines(&engines(9), 0).is_empty());
    assert_eq!(live_engines(&engines(3), 20).len(), 1);
    assert_eq!(live_engines(&engines(680), 20).len(), 136);
}
