use super::ReachChange;
use super::reach::EndpointReach;

#[test]
fn a_connection_after_a_failure_shows_that_endpoints_are_reached() {
    let mut reach = EndpointReach::default();
    assert_eq!(reach.record_connected(5, 6), None);
    reach.record_unreachable(10);
    assert!(reach.needs_check() && !reach.is_shown_since(10));
    assert_eq!(reach.record_connected(10, 12), None);
    assert!(!reach.needs_check() && reach.is_shown_since(10));
}

#[test]
fn reach_is_lost_by_a_check_and_regained_by_a_later_connection() {
    let mut reach = EndpointReach::default();
    reach.record_unreachable(10);
    assert_eq!(reach.record_none_reached(11), Some(ReachChange::Lost));
    assert_eq!(reach.record_none_reached(400), None);
    // Attempted before the loss.
    assert_eq!(reach.record_connected(9, 20), None);
    assert!(reach.is_lost() && reach.needs_check());
    let regained = ReachChange::Regained {
        lost_ms: 490,
        connected_before_ms: 9,
    };
    assert_eq!(reach.record_connected(500, 501), Some(regained));
    assert!(!reach.is_lost() && !reach.needs_check());
}

#[test]
fn a_check_that_ends_after_a_connection_does_not_lose_reach() {
    let mut reach = EndpointReach::default();
    reach.record_unreachable(10);
    assert_eq!(reach.record_connected(40, 41), None);
    assert_eq!(reach.record_none_reached(11), None);
    assert!(!reach.is_lost());
}

#[test]
fn an_instance_is_cut_off_only_while_another_one_reaches_endpoints() {
    let mut reach = EndpointReach::default();
    reach.record_unreachable(10);
    reach.record_reached_elsewhere(10);
    reach.record_none_reached(11);
    assert!(reach.is_lost() && !reach.is_cut_off(12));
    // Asked before the loss.
    reach.record_reached_elsewhere(9);
    assert!(!reach.is_cut_off(12));
    reach.record_reached_elsewhere(20);
    assert!(reach.is_cut_off(1_019) && !reach.is_cut_off(1_020));
    reach.record_reached_elsewhere(1_100);
    reach.record_connected(1_200, 1_201);
    assert!(!reach.is_cut_off(1_202));
    reach.record_unreachable(1_300);
    reach.record_none_reached(1_301);
    assert!(reach.is_lost() && !reach.is_cut_off(1_302));
}
