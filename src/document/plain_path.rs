//! One spelling for all spellings of a path that an endpoint may take for the same.

/// Rounds of decoding; an endpoint that decodes more often than this is not known.
const MAX_DECODINGS: usize = 3;

/// Returns the path without query, escapes, empty segments and dot segments.
pub(super) fn plain_path(path: &str) -> String {
    let end = path.find(['?', '#']).unwrap_or(path.len());
    let decoded = decode_fully(&path[..end]);
    let mut segments: Vec<&str> = Vec::new();
    for segment in decoded.split(['/', '\\']) {
        match segment {
            "" | "." => {}
            ".." => {
                segments.pop();
            }
            _ => segments.push(segment),
        }
    }
    let mut plain = format!("/{}", segments.join("/"));
    if decoded.ends_with(['/', '\\']) && !segments.is_empty() {
        plain.push('/');
    }
    plain
}

fn decode_fully(path: &str) -> String {
    let mut decoded = path.to_owned();
    for _ in 0..MAX_DECODINGS {
        if !decoded.contains('%') {
            break;
        }
        decoded = decode_once(&decoded);
    }
    decoded
}

fn decode_once(path: &str) -> String {
    let bytes = path.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while let Some(&byte) = bytes.get(at) {
        match escaped(&bytes[at..]) {
            Some(value) => {
                decoded.push(value);
                at += 3;
            }
            None => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// The byte that an escape at the start stands for.
fn escaped(bytes: &[u8]) -> Option<u8> {
    let digits = bytes.strip_prefix(b"%")?.get(..2)?;
    let mut value = [0];
    hex::decode_to_slice(digits, &mut value).ok()?;
    Some(value[0])
}
