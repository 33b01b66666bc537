//! Exit codes are part of the interface: scripts go by them.

use fescueshore::exit_codes::Exit;
use indexmap::IndexSet;

#[test]
fn codes_stay_as_they_are() {
    let table: Vec<String> = Exit::ALL
        .iter()
        .map(|exit| format!("{:>2} {}", exit.code(), exit.name()))
        .collect();
    insta::assert_snapshot!(table.join("\n"));
}

#[test]
fn codes_and_names_are_unique() {
    let codes: IndexSet<u8> = Exit::ALL.iter().map(|exit| exit.code()).collect();
    let names: IndexSet<&str> = Exit::ALL.iter().map(|exit| exit.name()).collect();
    assert_eq!(
        (codes.len(), names.len()),
        (Exit::ALL.len(), Exit::ALL.len())
    );
}
