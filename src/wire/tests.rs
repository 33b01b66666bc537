use proptest::prelude::*;

use super::sse::{SseError, SseReader};

fn read_all(chunks: &[&[u8]], limit_bytes: usize) -> Result<Vec<(String, String)>, SseError> {
    let mut reader = SseReader::new(limit_bytes);
    let mut events = Vec::new();
    for chunk in chunks {
        reader.push(chunk, |event, data| {
            let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
            events.push((text(event), text(data)));
        })?;
    }
    Ok(events)
}

fn event(event: &str, data: &str) -> (String, String) {
    (event.to_owned(), data.to_owned())
}

#[test]
fn events_are_read_with_type_data_and_comments() {
    let stream = b": hello\nevent: error\ndata: a\ndata: b\n\ndata:c\r\n\r\nid: 7\n\ndata: cut";
    let events = read_all(&[stream], 100).unwrap();
    assert_eq!(events, [event("error", "a\nb"), event("", "c")]);
}

#[test]
fn a_line_without_end_is_bounded() {
    let error = read_all(&[b"data: 12345", b"67890", b"1234567890"], 16).unwrap_err();
    assert_eq!(error, SseError::TooLong { limit_bytes: 16 });
}

#[test]
fn an_event_of_many_lines_is_bounded() {
    let lines = b"data: 12345678\n".repeat(10);
    let error = read_all(&[&lines], 16).unwrap_err();
    assert_eq!(error, SseError::TooLong { limit_bytes: 16 });
}

proptest! {
    #[test]
    fn cuts_do_not_change_what_is_read(texts in prop::collection::vec("[ -~]{0,20}", 1..8), cut in 1usize..9) {
        let stream: String = texts.iter().map(|text| format!("data: {text}\n\n")).collect();
        let chunks: Vec<&[u8]> = stream.as_bytes().chunks(cut).collect();
        let events = read_all(&chunks, 100).unwrap();
        let expected: Vec<_> = texts.iter().map(|text| event("", text)).collect();
        prop_assert_eq!(events, expected);
    }

    #[test]
    fn arbitrary_bytes_neither_panic_nor_grow(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = read_all(&[&bytes], 64);
    }
}
