use fescueshore::ids::RequestId;
use indexmap::IndexSet;

use super::{count_double_runs, count_false_not_run};
use crate::application::ApplicationCounters;

fn replica(runs: &[(&str, u32)], answered: &[&str]) -> ApplicationCounters {
    ApplicationCounters {
        runs_by_key: runs
            .iter()
            .map(|(key, n)| ((*key).to_owned(), *n))
            .collect(),
        answered: answered
            .iter()
            .map(|id| ((*id).to_owned(), String::new()))
            .collect(),
        ..ApplicationCounters::default()
    }
}

#[test]
fn a_key_that_ran_at_two_replicas_is_a_double_run() {
    let replicas = [
        replica(&[("a", 1), ("b", 1)], &[]),
        replica(&[("a", 2)], &[]),
    ];
    assert_eq!(count_double_runs(replicas.iter()), 2);
}

#[test]
fn an_abandoned_id_that_ran_is_a_false_not_run() {
    let replicas = [replica(&[("key", 1)], &["request"])];
    let abandoned = ["key", "request", "never"].map(str::to_owned);
    let abandoned: IndexSet<String> = abandoned.into_iter().collect();
    let at_engines = IndexSet::new();
    let count = count_false_not_run(replicas.iter(), &at_engines, &abandoned);
    assert_eq!(count, 2);
}

#[test]
fn an_abandoned_completion_of_which_a_step_ran_is_a_false_not_run() {
    let at_engines = ["ran", "other"].map(RequestId::from).into_iter().collect();
    let abandoned = ["ran", "never"].map(str::to_owned).into_iter().collect();
    let count = count_false_not_run([].iter(), &at_engines, &abandoned);
    assert_eq!(count, 1);
}
