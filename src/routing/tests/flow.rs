//! Compares the throughput bound with a linear program over all paths and with enumerated cuts.

use proptest::prelude::*;

use crate::routing::flow::{Network, solve};
use crate::routing::simplex::{Column, maximize};

/// Returns every path through the network, as the position of the holder in each segment.
fn paths(network: &Network) -> Vec<Vec<usize>> {
    let mut paths = vec![Vec::new()];
    for holders in &network.holders {
        let longer = paths.iter().flat_map(|path| {
            (0..holders.len()).map(move |holder| [path.as_slice(), &[holder]].concat())
        });
        paths = longer.collect();
    }
    paths
}

/// Solves the bound as a linear program with one variable for each path.
fn solve_over_paths(network: &Network) -> f64 {
    let mut limits = network.rates.clone();
    let first_link = limits.len();
    let mut link_rows = Vec::new();
    for links in &network.links {
        link_rows.push(limits.len());
        limits.extend(links.iter().map(|link| link.min(1e9)));
    }
    assert_eq!(
        limits.len(),
        first_link + network.links.iter().map(Vec::len).sum::<usize>()
    );
    let column = |path: &Vec<usize>| {
        let mut uses = Vec::new();
        for (segment, holder) in path.iter().enumerate() {
            let engine = network.holders[segment][*holder];
            uses.push((engine, network.segment_layers[segment]));
            if segment > 0 {
                let width = network.holders[segment].len();
                let link = path[segment - 1] * width + holder;
                uses.push((link_rows[segment - 1] + link, 1.0));
            }
        }
        Column { gain: 1.0, uses }
    };
    let columns: Vec<Column> = paths(network).iter().map(column).collect();
    maximize(&columns, &limits).iter().sum()
}

/// Returns the minimum cut by enumerating all sets of holders on the source side.
fn minimum_cut(network: &Network) -> f64 {
    let starts: Vec<usize> = network
        .holders
        .iter()
        .scan(0, |next, holders| {
            Some(std::mem::replace(next, *next + holders.len()))
        })
        .collect();
    let count: usize = network.holders.iter().map(Vec::len).sum();
    // Two bits for each holder: whether its input and its output are on the source side.
    let cut = |sides: u32| {
        let near = |segment: usize, holder: usize, out: usize| {
            sides >> (2 * (starts[segment] + holder) + out) & 1 == 1
        };
        let mut capacity = 0.0;
        for (segment, holders) in network.holders.iter().enumerate() {
            let last = segment + 1 == network.holders.len();
            for (holder, engine) in holders.iter().enumerate() {
                if segment == 0 && !near(segment, holder, 0) || last && near(segment, holder, 1) {
                    return f64::INFINITY;
                }
                if near(segment, holder, 0) && !near(segment, holder, 1) {
                    capacity += network.rates[*engine] / network.segment_layers[segment];
                }
                if last || !near(segment, holder, 1) {
                    continue;
                }
                let width = network.holders[segment + 1].len();
                for next in (0..width).filter(|next| !near(segment + 1, *next, 0)) {
                    capacity += network.links[segment][holder * width + next];
                }
            }
        }
        capacity
    };
    (0..1_u32 << (2 * count))
        .map(cut)
        .fold(f64::INFINITY, f64::min)
}

/// Engines that hold one segment each, with links of any capacity.
fn disjoint() -> impl Strategy<Value = Network> {
    let sizes = prop::collection::vec(1..3_usize, 1..4);
    sizes.prop_flat_map(|sizes| {
        let count: usize = sizes.iter().sum();
        let rates = prop::collection::vec(1..100_u32, count);
        let layers = prop::collection::vec(1..5_u32, sizes.len());
        let links = prop::collection::vec(1..60_u32, 4 * sizes.len());
        (Just(sizes), rates, layers, links).prop_map(|(sizes, rates, layers, links)| {
            let mut next = 0;
            let holders: Vec<Vec<usize>> = sizes
                .iter()
                .map(|size| {
                    next += size;
                    (next - size..next).collect()
                })
                .collect();
            let cuts = holders.windows(2).enumerate();
            Network {
                segment_layers: layers.into_iter().map(f64::from).collect(),
                rates: rates
                    .into_iter()
                    .map(|rate| f64::from(rate) * 10.0)
                    .collect(),
                links: cuts
                    .map(|(cut, pair)| {
                        let width = pair[0].len() * pair[1].len();
                        let links = &links[4 * cut..4 * cut + width];
                        links.iter().map(|link| f64::from(*link) * 4.0).collect()
                    })
                    .collect(),
                holders,
            }
        })
    })
}

/// Engines that hold several segments, with links that are limited or unlimited.
fn overlapping(limiting: bool) -> impl Strategy<Value = Network> {
    let engine = (0..3_usize, 1..4_usize, 1..100_u32);
    let engines = prop::collection::vec(engine, 1..5);
    let layers = prop::collection::vec(1..5_u32, 3);
    let links = prop::collection::vec(1..60_u32, 2 * 7 * 7);
    (engines, layers, links).prop_map(move |(engines, layers, links)| {
        // Three engines hold one segment each, so that every segment has a holder.
        let mut held: Vec<(usize, usize, u32)> = (0..3).map(|first| (first, 1, 20)).collect();
        held.extend(engines);
        let holders: Vec<Vec<usize>> = (0..3)
            .map(|segment| {
                let holds = |(first, length, _): &(usize, usize, u32)| {
                    (*first..first + length).contains(&segment)
                };
                (0..held.len())
                    .filter(|engine| holds(&held[*engine]))
                    .collect()
            })
            .collect();
        let mut links = links.into_iter().map(|link| f64::from(link) * 4.0);
        let mut link = |from: usize, to: usize| match links.next() {
            Some(link) if limiting && from != to => link,
            _ => f64::INFINITY,
        };
        let links = holders
            .windows(2)
            .map(|pair| {
                let mut row = Vec::new();
                for from in &pair[0] {
                    row.extend(pair[1].iter().map(|to| link(*from, *to)));
                }
                row
            })
            .collect();
        Network {
            segment_layers: layers.into_iter().map(f64::from).collect(),
            rates: held
                .iter()
                .map(|(.., rate)| f64::from(*rate) * 10.0)
                .collect(),
            holders,
            links,
        }
    })
}

fn near(one: f64, other: f64) -> bool {
    (one - other).abs() <= 0.02 + 1e-4 * other
}

proptest! {
    #[test]
    fn without_overlap_the_bound_is_the_minimum_cut(network in disjoint()) {
        let (flow, cut) = (solve(&network), minimum_cut(&network));
        prop_assert!(near(flow, cut), "{flow} against {cut}");
        let program = solve_over_paths(&network);
        prop_assert!(near(flow, program), "{flow} against {program}");
    }

    #[test]
    fn with_overlap_and_fast_links_the_bound_is_exact(network in overlapping(false)) {
        let (flow, program) = (solve(&network), solve_over_paths(&network));
        prop_assert!(near(flow, program), "{flow} against {program}");
    }

    #[test]
    fn with_overlap_and_limiting_links_the_bound_is_exact(network in overlapping(true)) {
        let (flow, program) = (solve(&network), solve_over_paths(&network));
        prop_assert!(near(flow, program), "{flow} against {program}");
    }
}
