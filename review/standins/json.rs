//! A reader for the JSON of transactions, and base64.

use std::collections::BTreeMap;

#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        parse_value(&chars, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Map(map) => map.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Json::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self, name: &str) -> Vec<Json> {
        match self.get(name) {
            Some(Json::List(list)) => list.clone(),
            _ => Vec::new(),
        }
    }
}

fn skip(chars: &[char], at: &mut usize) {
    while chars
        .get(*at)
        .is_some_and(|c| c.is_whitespace() || *c == ',' || *c == ':')
    {
        *at += 1;
    }
}

fn parse_value(chars: &[char], at: &mut usize) -> Option<Json> {
    skip(chars, at);
    match *chars.get(*at)? {
        '{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                skip(chars, at);
                if *chars.get(*at)? == '}' {
                    *at += 1;
                    return Some(Json::Map(map));
                }
                let key = parse_text(chars, at)?;
                let value = parse_value(chars, at)?;
                map.insert(key, value);
            }
        }
        '[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(chars, at);
                if *chars.get(*at)? == ']' {
                    *at += 1;
                    return Some(Json::List(list));
                }
                list.push(parse_value(chars, at)?);
            }
        }
        '"' => parse_text(chars, at).map(Json::Text),
        _ => {
            let start = *at;
            while chars
                .get(*at)
                .is_some_and(|c| c.is_alphanumeric() || "+-.".contains(*c))
            {
                *at += 1;
            }
            let word: String = chars[start..*at].iter().collect();
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" | "false" => Some(Json::Bool),
                _ => word.parse().ok().map(Json::Number),
            }
        }
    }
}

fn parse_text(chars: &[char], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut text = String::new();
    loop {
        let c = *chars.get(*at)?;
        *at += 1;
        match c {
            '"' => return Some(text),
            '\\' => {
                let escaped = *chars.get(*at)?;
                *at += 1;
                match escaped {
                    'n' => text.push('\n'),
                    't' => text.push('\t'),
                    'r' => text.push('\r'),
                    'u' => {
                        let digits: String = chars.get(*at..*at + 4)?.iter().collect();
                        *at += 4;
                        let code = u32::from_str_radix(&digits, 16).ok()?;
                        text.push(char::from_u32(code).unwrap_or('?'));
                    }
                    other => text.push(other),
                }
            }
            other => text.push(other),
        }
    }
}

pub fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(char::from(DIGITS[(word >> (18 - 6 * digit)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
