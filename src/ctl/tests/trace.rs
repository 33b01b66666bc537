use super::run;

/// A request without chain names where it was sent only by what was known of it.
#[actix_rt::test]
async fn a_trace_has_what_befell_an_endpoint_that_a_plain_request_was_sent_to() {
    let folder = tempfile::tempdir().expect("the temporary folder can be written");
    let path = folder.path().join("a.log");
    let lines = [
        r#"{"at":"10:00:01","message":"endpoint is leaving","values":{"endpoint":"e-7"}}"#,
        r#"{"at":"10:00:01","message":"endpoint is leaving","values":{"endpoint":"e-8"}}"#,
        r#"{"at":"10:00:04","message":"request answered","values":{"request":"r-1","known_at_send":"e-7=store:3016ms"}}"#,
    ];
    std::fs::write(&path, lines.join("\n")).expect("the temporary folder can be written");
    let report = run(&format!("trace r-1 {}", path.display())).await;
    let text = report.expect("the file can be read").text;
    assert!(text.contains("endpoint is leaving endpoint=e-7"), "{text}");
    assert!(!text.contains("e-8"), "{text}");
}
