//! Which instances share an endpoint's limit.

use super::senders::{LimitedEndpoint, Sender, share_per_s};
use crate::ids::{EndpointId, InstanceId, ZoneName};

struct Fleet(Vec<(InstanceId, ZoneName)>);

impl Fleet {
    fn new(zones: &[(&str, usize)]) -> Self {
        let of_zone = |(zone, count): &(&str, usize)| {
            let zone = ZoneName::from(*zone);
            let names = 0..*count;
            let name = move |it| InstanceId::from(format!("{zone}-{it}"));
            names.map(name).collect::<Vec<_>>()
        };
        let zoned = zones.iter().flat_map(|it| {
            let zone = ZoneName::from(it.0);
            of_zone(it).into_iter().map(move |id| (id, zone.clone()))
        });
        Self(zoned.collect())
    }

    /// The share of each instance, by name.
    fn shares(&self, zone: &str, limit_per_s: f64) -> Vec<(&str, f64)> {
        let senders: Vec<Sender<'_>> = self
            .0
            .iter()
            .map(|(instance, zone)| Sender { instance, zone })
            .collect();
        let limited = LimitedEndpoint {
            endpoint: &EndpointId::from("e1@100"),
            zone: &ZoneName::from(zone),
            limit_per_s,
        };
        let share = |place: usize| {
            let mut others = senders.clone();
            let own = others.remove(place);
            (own.instance.as_str(), share_per_s(limited, own, &others))
        };
        let mut shares: Vec<(&str, f64)> = (0..senders.len()).map(share).collect();
        shares.retain(|it| it.1 > 0.0);
        shares
    }
}

fn sum(shares: &[(&str, f64)]) -> f64 {
    shares.iter().map(|it| it.1).sum()
}

#[test]
fn the_shares_of_all_add_up_to_the_limit() {
    for zones in [
        &[("lac", 1), ("marsa", 0)],
        &[("lac", 3), ("marsa", 4)],
        &[("lac", 100), ("marsa", 200)],
    ] {
        let fleet = Fleet::new(zones);
        for limit_per_s in [0.3, 1.0, 4.1, 5.4, 60.0, 900.0] {
            let shares = fleet.shares("marsa", limit_per_s);
            assert!((sum(&shares) - limit_per_s).abs() < 1e-9, "{limit_per_s}");
        }
    }
}

#[test]
fn so_many_send_that_each_has_a_permit_a_second() {
    let fleet = Fleet::new(&[("lac", 100), ("marsa", 200)]);
    assert_eq!(fleet.shares("lac", 5.4).len(), 5);
    assert_eq!(fleet.shares("lac", 0.3).len(), 1);
}

#[test]
fn instances_of_the_endpoints_zone_come_first() {
    let fleet = Fleet::new(&[("lac", 3), ("marsa", 4)]);
    let shares = fleet.shares("lac", 5.4);
    let near = shares.iter().filter(|it| it.0.starts_with("lac"));
    assert_eq!((near.count(), shares.len()), (3, 5));
    let only_near = fleet.shares("marsa", 3.0);
    assert!(only_near.iter().all(|it| it.0.starts_with("marsa")));
}
