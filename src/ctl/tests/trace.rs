use super::run;

/// The log lines of a request to an application service have no chain: the endpoint it was sent to
/// is only named under `known_at_send`.
#[actix_rt::test]
async fn a_trace_has_earlier_events_of_the_endpoint_of_a_request_without_chain() {
    let directory = tempfile::tempdir().expect("the temporary directory is writable");
    let path = directory.path().join("a.log");
    let lines = [
        r#"{"at":"10:00:01","message":"endpoint is leaving","values":{"endpoint":"e-7"}}"#,
        r#"{"at":"10:00:01","message":"endpoint is leaving","values":{"endpoint":"e-8"}}"#,
        r#"{"at":"10:00:04","message":"request answered","values":{"request":"r-1","known_at_send":"e-7=store:3016ms"}}"#,
    ];
    std::fs::write(&path, lines.join("\n")).expect("the temporary directory is writable");
    let report = run(&format!("trace r-1 {}", path.display())).await;
    let text = report.expect("the file can be read").text;
    assert!(text.contains("endpoint is leaving endpoint=e-7"), "{text}");
    assert!(!text.contains("e-8"), "{text}");
}
