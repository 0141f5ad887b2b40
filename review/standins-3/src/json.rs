//! As much JSON as the stand-ins need: the raw text of a member, and quoting.

/// Returns the raw text of a member of the outermost object.
pub fn member<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut position = text.find('{')? + 1;
    loop {
        while position < bytes.len()
            && (bytes[position].is_ascii_whitespace() || bytes[position] == b',')
        {
            position += 1;
        }
        if bytes.get(position) != Some(&b'"') {
            return None;
        }
        let key_end = skip_value(bytes, position);
        let key = &text[position + 1..key_end - 1];
        position = key_end;
        while bytes.get(position).is_some_and(|b| b.is_ascii_whitespace() || *b == b':') {
            position += 1;
        }
        let end = skip_value(bytes, position);
        if key == name {
            return Some(text[position..end].trim());
        }
        position = end;
    }
}

/// Returns a member that is a text, without its quotes.
pub fn text_member<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    member(text, name)?.strip_prefix('"')?.strip_suffix('"')
}

/// Returns a member that is a whole number.
pub fn number_member(text: &str, name: &str) -> Option<u64> {
    member(text, name)?.parse().ok()
}

fn skip_value(bytes: &[u8], start: usize) -> usize {
    let mut position = start;
    let mut depth = 0;
    while position < bytes.len() {
        match bytes[position] {
            b'"' => {
                position += 1;
                while position < bytes.len() && bytes[position] != b'"' {
                    position += if bytes[position] == b'\\' { 2 } else { 1 };
                }
                position += 1;
                if depth == 0 {
                    return position;
                }
                continue;
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return position,
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return position + 1;
                }
            }
            b',' if depth == 0 => return position,
            _ => {}
        }
        position += 1;
    }
    position
}
