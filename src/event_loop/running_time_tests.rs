use super::running_time::{MIN_STANDSTILL_MS, RunningTime};

#[test]
fn a_short_pause_is_no_standstill() {
    let mut time = RunningTime::default();
    time.begin(1_000);
    let pause_ms = time.observe(1_000 + MIN_STANDSTILL_MS - 1);
    assert_eq!(
        (pause_ms, time.stood_still_ms()),
        (MIN_STANDSTILL_MS - 1, 0)
    );
}

#[test]
fn standstills_add_up() {
    let mut time = RunningTime::default();
    time.begin(1_000);
    for now_ms in [1_100, 2_600, 2_700, 3_700] {
        time.observe(now_ms);
    }
    assert_eq!(time.stood_still_ms(), 1_500 + 1_000);
}

#[test]
fn a_pause_in_which_no_observation_is_expected_is_no_standstill() {
    let mut time = RunningTime::default();
    time.begin(1_000);
    time.end();
    time.observe(9_000);
    time.begin(20_000);
    time.observe(20_050);
    assert_eq!(time.stood_still_ms(), 0);
}

#[test]
fn a_clock_that_is_set_back_is_no_standstill() {
    let mut time = RunningTime::default();
    time.begin(1_000);
    time.observe(500);
    time.observe(1_100);
    assert_eq!(time.stood_still_ms(), 0);
}
