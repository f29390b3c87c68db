//! The platform's store: rows with versions, transactions and a feed.

use crate::http::{Head, Stream};
use crate::json::Json;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Row {
    table: String,
    key: String,
    /// Base64 text; `None` if the row was removed.
    value: Option<String>,
    ver: u64,
}

struct State {
    rows: Vec<Row>,
    history: Vec<Row>,
    ver: u64,
}

pub struct Store {
    pub addr: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Self {
            addr: listener.local_addr().expect("an address"),
            state: Mutex::new(State {
                rows: Vec::new(),
                history: Vec::new(),
                ver: 0,
            }),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let shared = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || shared.serve(stream));
            }
        });
        store
    }

    /// Writes a row, as the operator, a target or another writer does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(encode(value.as_bytes())));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        write_row(&mut self.state.lock().unwrap(), table, key, value);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut stream = Stream::new(stream);
        while let Ok(Some(head)) = stream.head() {
            let Ok(body) = stream.body(&head) else { return };
            let (status, text) = self.answer(&head, &body);
            std::thread::sleep(Duration::from_millis(4));
            let reply = format!(
                "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{text}",
                text.len()
            );
            if stream.write(reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (u16, String) {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let param = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(key, _)| *key == name);
            found.map_or_else(String::new, |(_, value)| unescape(value))
        };
        match path {
            "/api/rows-get" => {
                let (table, from, to) = (param("table"), param("from"), param("to"));
                let state = self.state.lock().unwrap();
                let mut rows: Vec<Row> = state
                    .rows
                    .iter()
                    .filter(|row| row.table == table && row.value.is_some())
                    .filter(|row| row.key >= from && (to.is_empty() || row.key < to))
                    .cloned()
                    .collect();
                rows.sort_by(|a, b| a.key.cmp(&b.key));
                (200, self.reply(&rows, state.ver))
            }
            "/api/rows-feed" => {
                let after = param("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(param("wait_ms").parse().unwrap_or(0));
                self.feed(&param("table"), after, wait)
            }
            "/api/rows-tx" => self.transact(&String::from_utf8_lossy(body)),
            _ => (404, "{}".into()),
        }
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let rows: Vec<Row> = state
                .history
                .iter()
                .filter(|row| row.table == table && row.ver > after)
                .cloned()
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return (200, self.reply(&rows, state.ver));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(call) = Json::parse(body) else {
            return (400, "{}".into());
        };
        let mut state = self.state.lock().unwrap();
        for expected in call.list("expected_rev") {
            let (table, key) = (expected.text("table"), expected.text("key"));
            let mut rows = state.rows.iter();
            let row = rows.find(|r| r.table == table && r.key == key && r.value.is_some());
            let row = row.cloned();
            if expected.number("ver") != Some(row.as_ref().map_or(0, |row| row.ver)) {
                let current: Vec<Row> = row.into_iter().collect();
                return (412, self.reply(&current, state.ver));
            }
        }
        let is_read_only = |entry: &Json| ["op", "servers"].contains(&entry.text("table").as_str());
        let (puts, removals) = (call.list("puts"), call.list("remove"));
        if puts.iter().chain(&removals).any(is_read_only) {
            return (403, "{}".into());
        }
        for put in puts {
            let value = Some(put.text("value"));
            write_row(&mut state, &put.text("table"), &put.text("key"), value);
        }
        for row in removals {
            write_row(&mut state, &row.text("table"), &row.text("key"), None);
        }
        self.changed.notify_all();
        (200, self.reply(&[], state.ver))
    }

    fn reply(&self, rows: &[Row], ver: u64) -> String {
        let rows: Vec<String> = rows
            .iter()
            .map(|row| {
                let place = format!(
                    "\"table\":\"{}\",\"part\":\"\",\"key\":\"{}\",\"ver\":{}",
                    row.table, row.key, row.ver
                );
                match &row.value {
                    Some(value) => format!("{{{place},\"value\":\"{value}\"}}"),
                    None => format!("{{{place},\"tombstone\":true}}"),
                }
            })
            .collect();
        format!(
            "{{\"rows\":[{}],\"has_more\":false,\"ver\":{ver},\"now\":\"{}ms\"}}",
            rows.join(","),
            self.started.elapsed().as_millis() + 50_000
        )
    }
}

fn write_row(state: &mut State, table: &str, key: &str, value: Option<String>) {
    state.ver += 1;
    let row = Row {
        table: table.into(),
        key: key.into(),
        value,
        ver: state.ver,
    };
    state.rows.retain(|r| r.table != table || r.key != key);
    state.rows.push(row.clone());
    state.history.push(row);
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        out.push(code.unwrap_or(bytes[at]));
        at += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..part.len()].copy_from_slice(part);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            if index <= part.len() {
                let digit = (bits >> (18 - 6 * index)) & 63;
                out.push(char::from(DIGITS[digit as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
