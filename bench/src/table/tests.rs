use fescueshore::wire::platform::{
    Condition, ReadRows, ScanRows, TransactReply, Transaction, Write,
};

use super::store::Store;

fn put(key: &str, value: &str) -> Write {
    Write::Put {
        key: key.into(),
        value: value.into(),
    }
}

fn absent(key: &str) -> Condition {
    Condition::BeAbsent { key: key.into() }
}

fn transact(store: &mut Store, conditions: &[Condition], writes: &[Write]) -> TransactReply {
    store.transact(Transaction {
        conditions: conditions.to_vec(),
        writes: writes.to_vec(),
    })
}

#[test]
fn a_row_is_created_only_once_under_must_be_absent() {
    let mut store = Store::default();
    let first = transact(&mut store, &[absent("a")], &[put("a", "1")]);
    let second = transact(&mut store, &[absent("a")], &[put("a", "2")]);
    assert_eq!(first, TransactReply::Committed { version: 1 });
    let TransactReply::Conflict { rows } = second else {
        panic!("the second write took effect");
    };
    assert_eq!(rows[0].value, "1");
}

#[test]
fn an_unmet_condition_leaves_every_row_as_it_is() {
    let mut store = Store::default();
    transact(&mut store, &[], &[put("a", "1")]);
    transact(&mut store, &[absent("b"), absent("a")], &[put("b", "1")]);
    let keys = vec!["a".into(), "b".into()];
    assert_eq!(store.read(&ReadRows { keys }).rows.len(), 1);
}

#[test]
fn a_version_condition_holds_only_for_that_version() {
    let mut store = Store::default();
    transact(&mut store, &[], &[put("a", "1")]);
    let at = |version| Condition::BeAtVersion {
        key: "a".into(),
        version,
    };
    let stale = transact(&mut store, &[at(7)], &[put("a", "2")]);
    let current = transact(&mut store, &[at(1)], &[put("a", "2")]);
    assert!(matches!(stale, TransactReply::Conflict { .. }));
    assert_eq!(current, TransactReply::Committed { version: 2 });
}

#[test]
fn a_scan_is_in_key_order_and_goes_on_after_a_key() {
    let mut store = Store::default();
    transact(
        &mut store,
        &[],
        &[put("x/2", ""), put("x/1", ""), put("x/3", ""), put("y", "")],
    );
    let rows = store.scan(&ScanRows {
        prefix: "x/".into(),
        after: Some("x/1".into()),
        limit: 5,
    });
    let keys: Vec<_> = rows.rows.iter().map(|row| row.key.as_str()).collect();
    assert_eq!(keys, ["x/2", "x/3"]);
}
