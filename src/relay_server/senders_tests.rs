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

    /// The non-zero shares of a limit, by instance name.
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
        let share = |index: usize| {
            let mut others = senders.clone();
            let own = others.remove(index);
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
fn shares_add_up_to_the_limit() {
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
fn each_selected_instance_has_at_least_one_permit_per_second() {
    let fleet = Fleet::new(&[("lac", 100), ("marsa", 200)]);
    assert_eq!(fleet.shares("lac", 5.4).len(), 5);
    assert_eq!(fleet.shares("lac", 0.3).len(), 1);
}

#[test]
fn instances_in_the_zone_of_the_endpoint_are_selected_first() {
    let fleet = Fleet::new(&[("lac", 3), ("marsa", 4)]);
    let shares = fleet.shares("lac", 5.4);
    let in_zone = shares.iter().filter(|it| it.0.starts_with("lac"));
    assert_eq!((in_zone.count(), shares.len()), (3, 5));
    let only_in_zone = fleet.shares("marsa", 3.0);
    assert!(only_in_zone.iter().all(|it| it.0.starts_with("marsa")));
}
