use fescue_bench::standin::faults::Fault;
use fescueshore::wire::platform::{ReadRows, Rows, TransactReply, Transaction, Write};

use crate::env::{apply_here, post, start};

fn put(value: &str) -> Transaction {
    Transaction {
        conditions: Vec::new(),
        writes: vec![Write::Put {
            key: "k".into(),
            value: value.into(),
        }],
    }
}

#[actix_rt::test]
async fn a_write_whose_reply_is_lost_took_effect() {
    let fleet = start().await;
    let table = fleet.topology().platform.table;
    apply_here(&fleet, table, Fault::lose_replies(1)).await;
    let lost: Option<TransactReply> = post(table, "/v1/transact", &put("1")).await;
    assert_eq!(lost, None);
    let keys = vec!["k".into()];
    let rows: Rows = post(table, "/v1/read", &ReadRows { keys }).await.unwrap();
    assert_eq!(rows.rows[0].value, "1");
}

#[actix_rt::test]
async fn nothing_takes_effect_during_an_outage() {
    let fleet = start().await;
    let table = fleet.topology().platform.table;
    apply_here(&fleet, table, Fault::Outage).await;
    let refused: Option<TransactReply> = post(table, "/v1/transact", &put("1")).await;
    assert_eq!(refused, None);
    apply_here(&fleet, table, Fault::Clear).await;
    let keys = vec!["k".into()];
    let rows: Rows = post(table, "/v1/read", &ReadRows { keys }).await.unwrap();
    assert!(rows.rows.is_empty());
}
