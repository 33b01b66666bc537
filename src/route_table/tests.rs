use indexmap::IndexMap;

use super::*;
use crate::ids::{AccountId, ServiceName};

fn route(prefix: &str, service: &str) -> Route {
    Route {
        name: prefix.to_owned(),
        prefix: prefix.to_owned(),
        retry_policy: RetryPolicy::Idempotent,
        timeout_ms: 1_000,
        objective_ms: 100,
        pause_objective_ms: None,
        priority: 2,
        services: vec![WeightedService {
            service: ServiceName::from(service),
            weight: 1,
        }],
        max_endpoints: 2,
        is_public: false,
    }
}

fn table(version: u64, routes: Vec<Route>) -> RouteTable {
    let routes = routes
        .into_iter()
        .map(|route| ("Host.example".to_owned(), route))
        .collect();
    let account = Account {
        name: AccountId::from("lac-bistro"),
        priority: Some(0),
    };
    let limits = Limits {
        max_header_bytes: 16_384,
        max_body_bytes: 4_194_304,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    };
    let accounts = IndexMap::from([("key-1".to_owned(), account)]);
    RouteTable::new(version, routes, IndexMap::new(), Some(accounts), limits)
}

#[test]
fn the_longest_prefix_wins_whatever_the_order() {
    let table = table(1, vec![route("/a/", "short"), route("/a/b/", "long")]);
    let service = |path| {
        let found = table.resolve("host.example:80", path, Some("key-1"));
        found.ok().map(|it| it.route.prefix.clone())
    };
    assert_eq!(service("/a/b/c").as_deref(), Some("/a/b/"));
    assert_eq!(service("/a/bc").as_deref(), Some("/a/"));
    assert_eq!(service("/b/"), None);
}

#[test]
fn a_key_is_needed_unless_the_route_is_public() {
    let mut public = route("/open/", "s");
    public.is_public = true;
    let table = table(1, vec![route("/a/", "s"), public]);
    let resolve = |path, key| {
        let found = table.resolve("host.example", path, key);
        found.map(|it| it.priority())
    };
    assert_eq!(resolve("/a/x", Some("key-1")), Ok(0));
    assert_eq!(resolve("/a/x", Some("key-2")), Err(Rejection::UnknownKey));
    assert_eq!(resolve("/a/x", None), Err(Rejection::UnknownKey));
    assert_eq!(resolve("/open/x", None), Ok(2));
}

#[test]
fn services_are_drawn_by_weight() {
    let mut split = route("/a/", "nine");
    split.services[0].weight = 9;
    split.services.push(WeightedService {
        service: ServiceName::from("one"),
        weight: 1,
    });
    let drawn =
        (0..100).filter(|draw| split.pick_service(*draw).map(ServiceName::as_str) == Some("one"));
    assert_eq!(drawn.count(), 10);
}

fn sourced(version: u64) -> TableWithSource {
    TableWithSource {
        table: table(version, vec![]),
        source: format!("document {version}"),
    }
}

#[test]
fn an_older_table_is_never_applied() {
    let mut current = CurrentTable::default();
    assert_eq!(current.source(), None);
    assert_eq!(current.update(sourced(5), 100), TableChange::Applied);
    assert_eq!(current.update(sourced(3), 200), TableChange::Stale);
    assert_eq!(current.age_ms(250), 150);
    assert_eq!(current.update(sourced(5), 220), TableChange::Confirmed);
    assert_eq!(current.age_ms(250), 30);
    current.confirm(90);
    assert_eq!(current.age_ms(250), 30);
}

#[test]
fn the_first_table_is_no_newer_than_the_call_that_read_it() {
    let mut current = CurrentTable::default();
    current.confirm(900);
    assert_eq!(current.update(sourced(5), 100), TableChange::Applied);
    assert_eq!(current.age_ms(1_000), 900);
}

/// Guards against a queue for services whose streams all have the same priority: these must be
/// served as before.
#[test]
fn only_different_priorities_of_streams_count() {
    let stream = |prefix: &str, service: &str, priority, is_public| Route {
        retry_policy: RetryPolicy::Stream { resumable: true },
        priority,
        is_public,
        ..route(prefix, service)
    };
    let table = table(
        1,
        vec![
            stream("/a/", "mixed", 1, true),
            stream("/b/", "mixed", 2, true),
            stream("/c/", "by-account", 1, true),
            stream("/d/", "by-account", 1, false),
            stream("/e/", "same", 1, true),
            stream("/f/", "same", 1, true),
            route("/g/", "same"),
            route("/h/", "plain"),
        ],
    );
    let differ = |service| table.has_several_priorities(&ServiceName::from(service));
    assert!(differ("mixed"));
    assert!(differ("by-account"), "the account has priority 0");
    assert!(!differ("same"), "a route without streams does not count");
    assert!(!differ("plain"));
    assert!(!differ("unknown"));
    let more_urgent = |service, own| table.more_urgent_priorities(&ServiceName::from(service), own);
    assert_eq!(more_urgent("mixed", 2), 1);
    assert_eq!(more_urgent("mixed", 1), 0);
    assert_eq!(more_urgent("same", 1), 0);
}
