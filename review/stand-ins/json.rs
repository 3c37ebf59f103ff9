//! The little JSON that the stand-ins read: members of an object as raw text, and strings.

/// The raw text of a member of a JSON object; `None` if there is none.
pub fn member<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let bytes = object.as_bytes();
    let mut at = skip_blanks(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_blanks(bytes, at);
        match bytes.get(at)? {
            b',' => at += 1,
            b'"' => {
                let key_end = value_end(bytes, at)?;
                let key = &object[at + 1..key_end - 1];
                at = skip_blanks(bytes, key_end);
                if bytes.get(at) != Some(&b':') {
                    return None;
                }
                at = skip_blanks(bytes, at + 1);
                let end = value_end(bytes, at)?;
                if key == name {
                    return Some(&object[at..end]);
                }
                at = end;
            }
            _ => return None,
        }
    }
}

/// The text of a JSON string without its quotes; the names that are read here hold no escapes.
pub fn text(raw: &str) -> &str {
    raw.trim_matches('"')
}

/// A JSON string.
pub fn quoted(text: &str) -> String {
    let escaped = text.replace('\\', "\\\\").replace('"', "\\\"");
    format!("\"{escaped}\"")
}

fn skip_blanks(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// The position after the value that begins at `at`.
fn value_end(bytes: &[u8], at: usize) -> Option<usize> {
    let mut depth = 0;
    let mut position = at;
    loop {
        match bytes.get(position)? {
            b'"' => position = string_end(bytes, position)?,
            b'{' | b'[' => {
                depth += 1;
                position += 1;
            }
            b'}' | b']' if depth == 0 => return Some(position),
            b'}' | b']' => {
                depth -= 1;
                position += 1;
            }
            b',' if depth == 0 => return Some(position),
            _ => {
                position += 1;
                continue;
            }
        }
        if depth == 0 {
            return Some(position);
        }
    }
}

fn string_end(bytes: &[u8], at: usize) -> Option<usize> {
    let mut position = at + 1;
    loop {
        match bytes.get(position)? {
            b'\\' => position += 2,
            b'"' => return Some(position + 1),
            _ => position += 1,
        }
    }
}
