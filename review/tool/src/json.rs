//! The little JSON that the stand-ins need: raw members of an object, and numbers.

/// Returns the position after the value that starts at `start`.
fn value_end(text: &[u8], start: usize) -> usize {
    let (mut at, mut depth) = (start, 0);
    while at < text.len() {
        match text[at] {
            b'"' => {
                at += 1;
                while at < text.len() && text[at] != b'"' {
                    at += if text[at] == b'\\' { 2 } else { 1 };
                }
                at += 1;
            }
            b'{' | b'[' => {
                depth += 1;
                at += 1;
            }
            b'}' | b']' if depth == 0 => return at,
            b'}' | b']' => {
                depth -= 1;
                at += 1;
            }
            b',' if depth == 0 => return at,
            _ => at += 1,
        }
        if depth == 0 && matches!(text.get(start), Some(b'"' | b'{' | b'[')) {
            return at;
        }
    }
    at
}

/// Returns the raw text of a member of an object.
pub fn member<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let skip = |mut at: usize| {
        while at < bytes.len() && (bytes[at].is_ascii_whitespace() || bytes[at] == b',') {
            at += 1;
        }
        at
    };
    let mut at = skip(text.find('{')? + 1);
    while at < bytes.len() && bytes[at] == b'"' {
        let key_end = value_end(bytes, at);
        let key = &text[at + 1..key_end - 1];
        let mut start = key_end;
        while bytes.get(start).is_some_and(|b| b.is_ascii_whitespace() || *b == b':') {
            start += 1;
        }
        let end = value_end(bytes, start);
        if key == name {
            return Some(text[start..end].trim());
        }
        at = skip(end);
    }
    None
}

/// Returns a whole number of an object.
pub fn number(text: &str, name: &str) -> Option<u64> {
    member(text, name)?.parse().ok()
}

/// Returns a text of an object that needs no unescaping.
pub fn string(text: &str, name: &str) -> Option<String> {
    Some(member(text, name)?.trim_matches('"').to_owned())
}
