use proptest::prelude::*;

use super::{Document, OperatorRole, Priority, ServiceKind, digest};
use crate::checked_toml::tests::mutations;

const LEDGER: &str = include_str!("../../examples/kammoun/ledger-api.toml");
const MENU_MIND: &str = include_str!("../../examples/kammoun/menu-mind.toml");
const COPYWRITER: &str = include_str!("../../examples/consortium/copywriter-pool.toml");
const PANEL_DESK: &str = include_str!("../../examples/consortium/panel-desk.toml");

#[test]
fn the_examples_are_read_whole() {
    for (text, accounts) in [
        (LEDGER, 10),
        (MENU_MIND, 10),
        (COPYWRITER, 10),
        (PANEL_DESK, 10),
    ] {
        let document = Document::parse(text).unwrap();
        assert_eq!(document.accounts.len(), accounts);
        assert_eq!(document.operators.len(), 2);
    }
}

#[test]
fn a_model_service_has_its_offers() {
    let document = Document::parse(MENU_MIND).unwrap();
    let model = document.model("menu-mind-24b").unwrap();
    assert_eq!(model.layers, 24);
    assert_eq!(model.adapters, ["recipe-cost", "waste-notes"]);
    assert!(matches!(document.kind, ServiceKind::Model(_)));
}

#[test]
fn demo_keys_name_their_owners() {
    let document = Document::parse(LEDGER).unwrap();
    let (id, account) = document.account_of_key("demo-key-grill-chain").unwrap();
    assert_eq!(id.as_str(), "grill-chain");
    assert_eq!(account.priority, Priority::Interactive);
    let (name, operator) = document.operator_of_key("demo-operator-sami").unwrap();
    assert_eq!((name, operator.role), ("sami", OperatorRole::Viewer));
    assert!(document.account_of_key("demo-operator-sami").is_none());
}

#[test]
fn rules_match_by_method_and_start_of_path() {
    let document = Document::parse(LEDGER).unwrap();
    let rule = |method, path| document.non_idempotent_rule(method, path).is_some();
    assert!(rule("POST", "/stock-counts"));
    assert!(rule("POST", "/stock-counts/7?day=1"));
    assert!(!rule("GET", "/stock-counts"));
    assert!(!rule("POST", "/prices"));
}

#[test]
fn no_spelling_of_a_path_escapes_its_rule() {
    let document = Document::parse(LEDGER).unwrap();
    for path in [
        "//stock-counts",
        "/./stock-counts",
        "/prices/../stock-counts",
        "/prices/%2e%2E/stock-counts",
        "/%73tock-counts/7",
        "/%2573tock-counts",
        "/\\stock-counts?day=1",
        "/stock-counts/../prices",
        "/../..//%2Fstock-counts/",
    ] {
        let rule = document.non_idempotent_rule("POST", path);
        assert!(rule.is_some(), "{path}");
    }
    assert!(
        document
            .non_idempotent_rule("POST", "/prices?like=/stock-counts")
            .is_none()
    );
}

#[test]
fn a_rule_needs_a_plain_path() {
    for path in ["/stock//counts", "/./stock-counts", "/%73tock", "/a/../b"] {
        let text = LEDGER.replace("\"/stock-counts\"", &format!("\"{path}\""));
        let faults = Document::parse(&text).unwrap_err().to_string();
        assert!(faults.contains("not an absolute path"), "{path}: {faults}");
    }
}

#[test]
fn every_fault_has_its_line_and_remedy() {
    let faults = Document::parse(include_str!("faulty.toml")).unwrap_err();
    insta::assert_snapshot!(faults.render("menu-mind.toml"));
}

#[test]
fn every_fault_of_syntax_has_its_line() {
    let text = "service = menu\nkind = \"model\"\nkind = \"model\"\n[accounts\n";
    insta::assert_snapshot!(Document::parse(text).unwrap_err());
}

#[test]
fn sections_must_go_with_the_kind() {
    let text = MENU_MIND.replace("kind = \"model\"", "kind = \"application\"");
    insta::assert_snapshot!(Document::parse(&text).unwrap_err());
}

#[test]
fn an_overlong_document_is_refused() {
    let text = "#".repeat(super::MAX_DOCUMENT_BYTES + 1);
    insta::assert_snapshot!(Document::parse(&text).unwrap_err());
}

#[test]
fn a_diff_names_each_place() {
    let before = Document::parse(LEDGER).unwrap();
    let text = LEDGER
        .replace("weight = 6", "weight = 7.5")
        .replace("leaving = []", "leaving = [\"ledger-2\"]")
        .replace("[accounts.ariana-diner]", "[accounts.sfax-diner]");
    let after = Document::parse(&text).unwrap();
    let lines: Vec<String> = before
        .diff(&after)
        .iter()
        .map(ToString::to_string)
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
    assert!(before.diff(&before).is_empty());
}

#[test]
fn the_digest_is_of_every_byte() {
    assert_eq!(digest("a").to_string().len(), 64);
    assert_ne!(digest("a"), digest("a\n"));
}

proptest! {
    #[test]
    fn any_text_is_read_or_refused(text in "\\PC{0,200}") {
        check_any(&text)?;
    }

    #[test]
    fn a_damaged_document_is_read_or_refused(
        text in prop_oneof![mutations(MENU_MIND), mutations(LEDGER)],
    ) {
        check_any(&text)?;
    }
}

/// Whatever the text, there is a document or at least one fault on one of its lines.
fn check_any(text: &str) -> Result<(), TestCaseError> {
    match Document::parse(text) {
        Ok(document) => prop_assert!(document.accounts.values().all(|a| a.weight > 0.0)),
        Err(faults) => {
            prop_assert!(!faults.faults.is_empty());
            let lines = text.matches('\n').count() + 1;
            prop_assert!(faults.faults.iter().all(|f| (1..=lines).contains(&f.line)));
        }
    }
    Ok(())
}

#[test]
fn hostile_texts_are_refused_within_bounds() {
    let keys = |count: usize| -> String { (0..count).map(|i| format!("k{i}=1\n")).collect() };
    let hostile = [
        "[".repeat(200_000),
        "=\n".repeat(100_000),
        format!("{}a = 1", "a.".repeat(120_000)),
        format!("{} = 1", "a".repeat(250_000)),
        keys(25_000),
        format!("x = {}", "[".repeat(200_000)),
        format!("x = {}", "{a=".repeat(80_000)),
        format!("[accounts.\"{}\"]\n{}", "b".repeat(200_000), keys(5_000)),
    ];
    for text in &hostile {
        let faults = Document::parse(text).unwrap_err();
        assert!(faults.faults.len() <= 501, "{} faults", faults.faults.len());
        assert!(faults.to_string().len() < 256 * 1024);
    }
}

#[test]
fn more_accounts_than_can_be_served_are_refused() {
    let accounts = (0..1_025).map(|i| format!("[accounts.a{i}]\nweight = 1\n"));
    let text: String = accounts.collect();
    let faults = Document::parse(&text).unwrap_err().to_string();
    assert!(faults.contains("accounts: 1025 of them; keep at most 1024"));
}

/// A document of which a few values vary.
fn varied() -> impl Strategy<Value = Document> {
    let values = (1..4_u32, any::<bool>(), any::<bool>(), 0..3_usize);
    values.prop_map(|(weight, leaving, deduplicates, priority)| {
        let priority = ["interactive", "standard", "batch"][priority];
        let text = LEDGER
            .replace("weight = 6", &format!("weight = {weight}"))
            .replace(
                "endpoint_deduplicates = false",
                &format!("endpoint_deduplicates = {deduplicates}"),
            )
            .replace(
                "priority = \"batch\"",
                &format!("priority = \"{priority}\""),
            );
        let text = match leaving {
            true => text.replace("leaving = []", "leaving = [\"ledger-api-1\"]"),
            false => text,
        };
        Document::parse(&text).unwrap()
    })
}

proptest! {
    #[test]
    fn a_diff_is_empty_for_equal_documents_only(before in varied(), after in varied()) {
        prop_assert_eq!(before.diff(&after).is_empty(), before == after);
        prop_assert_eq!(before.diff(&after).len(), after.diff(&before).len());
    }
}
