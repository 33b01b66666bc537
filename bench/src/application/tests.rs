use super::replica::{ApplicationCounters, Echo, RunLedger};

fn echo(run: u64) -> Echo {
    Echo {
        request: "r".into(),
        body_digest: "d".into(),
        call: "POST /stock-counts".into(),
        run,
        endpoint: "ledger-1".into(),
    }
}

#[test]
fn a_second_run_of_a_key_counts_as_double_at_any_replica() {
    let mut ledger = RunLedger::default();
    let (mut first, mut second) = (
        ApplicationCounters::default(),
        ApplicationCounters::default(),
    );
    first.note_key("k", ledger.note(&"ledger-api".into(), "k", &echo(1)));
    second.note_key("k", ledger.note(&"ledger-api".into(), "k", &echo(1)));
    assert_eq!((first.double_runs, second.double_runs), (0, 1));
}

#[test]
fn the_same_key_at_another_service_is_another_key() {
    let mut ledger = RunLedger::default();
    ledger.note(&"ledger-api".into(), "k", &echo(1));
    assert_eq!(ledger.note(&"panel-desk".into(), "k", &echo(1)), 1);
}
