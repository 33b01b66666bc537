use super::fit::{Line, Sample, fit_line, fit_two};
use super::usage::{Usage, counter_of, parse_cpu_ticks, parse_rss_kb};

#[test]
fn a_line_is_found_through_its_own_points() {
    let line = Line {
        base: 3.0,
        slope: 0.5,
    };
    let points: Vec<(f64, f64)> = [3.0, 7.0, 16.0]
        .map(|size| (size, line.base + line.slope * size))
        .to_vec();
    let found = fit_line(&points);
    assert!((found.base - line.base).abs() < 1e-9);
    assert!((found.slope - line.slope).abs() < 1e-9);
}

#[test]
fn two_costs_are_told_apart() {
    let sample = |first: f64, second: f64| Sample {
        first,
        second,
        cost: 2.0 * first + 0.1 * second,
    };
    let found = fit_two(&[sample(10.0, 20.0), sample(5.0, 900.0), sample(7.0, 100.0)]);
    let (first, second) = found.expect("independent samples");
    assert!((first - 2.0).abs() < 1e-9);
    assert!((second - 0.1).abs() < 1e-9);
}

#[test]
fn proportional_counts_are_not_told_apart() {
    let sample = |n: f64| Sample {
        first: n,
        second: 2.0 * n,
        cost: n,
    };
    assert_eq!(fit_two(&[sample(1.0), sample(2.0), sample(5.0)]), None);
}

#[test]
fn the_kernels_pages_are_read() {
    let stat = "42 (a ) name) S 1 2 3 4 5 6 7 8 9 10 111 22 0 0 20 0";
    assert_eq!(parse_cpu_ticks(stat), Some(133));
    let status = "Name:\tx\nVmRSS:\t   20480 kB\n";
    assert_eq!(parse_rss_kb(status), Some(20_480));
}

#[test]
fn a_counter_is_found_by_its_whole_name() {
    let page = "# TYPE fescue_a counter\nfescue_a_b 7\nfescue_a 5\n";
    assert_eq!(counter_of(page, "fescue_a"), 5);
}

#[test]
fn usage_between_two_times_is_a_rate() {
    let earlier = Usage {
        cpu_ms: 1_000.0,
        rss_mb: 10.0,
    };
    let later = Usage {
        cpu_ms: 1_050.0,
        rss_mb: 12.0,
    };
    assert!((later.core_percent_since(earlier, 5.0) - 1.0).abs() < 1e-9);
}
