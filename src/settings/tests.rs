use std::path::Path;

use log::LevelFilter;
use proptest::prelude::*;

use super::{LogFormat, SettingsError, parse, read};
use crate::checked_toml::tests::mutations;

const WHOLE: &str = include_str!("../../examples/settings.toml");

#[test]
fn the_example_is_read_whole() {
    let settings = parse(WHOLE).unwrap();
    assert_eq!(settings.instance.name.as_str(), "entry-lac-1");
    assert_eq!(settings.entry.advertise, settings.entry.listen);
    assert_eq!(settings.platform.table_url, "http://127.0.0.1:7100");
    assert_eq!(settings.log.format, LogFormat::Text);
    assert_eq!(settings.log.level, LevelFilter::Info);
    assert_eq!(settings.stop.limit_ms, None);
}

#[test]
fn optional_sections_may_be_absent() {
    let end = WHOLE.find("[log]").unwrap();
    let settings = parse(&WHOLE[..end]).unwrap();
    assert_eq!(settings, parse(WHOLE).unwrap());
}

#[test]
fn every_fault_has_its_line_and_remedy() {
    let faults = parse(include_str!("faulty.toml")).unwrap_err();
    insta::assert_snapshot!(faults.render("settings.toml"));
}

#[test]
fn an_empty_file_lists_every_missing_section() {
    insta::assert_snapshot!(parse("").unwrap_err());
}

#[test]
fn a_wildcard_needs_an_address_to_advertise() {
    let text = WHOLE.replace("127.0.0.1:7001", "0.0.0.0:7001");
    insta::assert_snapshot!(parse(&text).unwrap_err());
}

#[test]
fn a_wildcard_needs_an_address_to_tell_peers() {
    let listen = "listen = \"127.0.0.1:7002\"";
    let wildcard = "listen = \"0.0.0.0:7002\"";
    let faults = parse(&WHOLE.replace(listen, wildcard)).unwrap_err();
    assert!(faults.to_string().contains("control.advertise"), "{faults}");
    let both = format!("{wildcard}\nadvertise = \"10.0.0.1:7002\"");
    let settings = parse(&WHOLE.replace(listen, &both)).unwrap();
    assert_eq!(settings.control.advertise.to_string(), "10.0.0.1:7002");
}

#[test]
fn a_missing_file_is_named() {
    let error = read(Path::new("no-such.toml")).unwrap_err();
    assert!(matches!(error, SettingsError::Unreadable { .. }));
    assert!(error.to_string().starts_with("no-such.toml: "));
}

#[test]
fn the_peers_key_is_shown_nowhere() {
    let settings = parse(WHOLE).unwrap();
    let key = settings.peers.key.expose().to_owned();
    assert!(!format!("{settings:?}").contains(&key));
    let faulty = WHOLE.replace(&key, "short-key");
    assert!(
        !parse(&faulty)
            .unwrap_err()
            .to_string()
            .contains("short-key")
    );
}

proptest! {
    #[test]
    fn any_text_is_read_or_refused(text in prop_oneof!["\\PC{0,200}", mutations(WHOLE)]) {
        if let Err(faults) = parse(&text) {
            prop_assert!(!faults.faults.is_empty());
            let lines = text.matches('\n').count() + 1;
            prop_assert!(faults.faults.iter().all(|f| (1..=lines).contains(&f.line)));
        }
    }
}
