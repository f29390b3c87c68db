//! A stand-in for the platform's store: `rows-get`, `rows-feed` and `rows-tx`.

use crate::http::{Connection, Message};
use crate::json::{Json, encode_base64};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Time of an answer, as the users' sheet states it.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Row {
    table: String,
    part: String,
    key: String,
    /// Base64; `None` for a removed row.
    value: Option<String>,
    ver: u64,
}

#[derive(Default)]
struct State {
    rows: Vec<Row>,
    history: Vec<Row>,
    ver: u64,
}

/// A store on a loopback address.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
    pub addr: SocketAddr,
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            shared: Arc::default(),
            started: Instant::now(),
            addr: listener.local_addr()?,
        };
        let accepting = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a row, as the operator or a target does; the return is the acknowledgement.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let value = encode_base64(value.as_bytes());
        self.shared
            .0
            .lock()
            .unwrap()
            .write(table, "", key, Some(value));
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read() {
            let (status, body) = self.answer(&request);
            std::thread::sleep(ANSWER_TIME);
            let text = format!(
                "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\n\
                 content-length: {}\r\n\r\n{body}",
                body.len()
            );
            if connection.write(&text).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        match path {
            "/api/rows-get" => self.get(query),
            "/api/rows-feed" => self.feed(query),
            "/api/rows-tx" => self.transact(&request.body),
            _ => (404, "null".into()),
        }
    }

    fn get(&self, query: &str) -> (u16, String) {
        let (table, part) = (param(query, "table"), param(query, "part"));
        let (from, to) = (param(query, "from"), param(query, "to"));
        let state = self.shared.0.lock().unwrap();
        let mut rows: Vec<&Row> = state
            .rows
            .iter()
            .filter(|row| row.table == table && row.part == part && row.value.is_some())
            .filter(|row| row.key >= from && (to.is_empty() || row.key < to))
            .collect();
        rows.sort_by(|a, b| a.key.cmp(&b.key));
        (200, self.reply(&rows, state.ver))
    }

    fn feed(&self, query: &str) -> (u16, String) {
        let table = param(query, "table");
        let after: u64 = param(query, "after").parse().unwrap_or(0);
        let wait: u64 = param(query, "wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let rows: Vec<&Row> = state
                .history
                .iter()
                .filter(|row| row.table == table && row.ver > after)
                .collect();
            let now = Instant::now();
            if !rows.is_empty() || now >= end {
                return (200, self.reply(&rows, state.ver));
            }
            state = self.shared.1.wait_timeout(state, end - now).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(body) = Json::parse(&String::from_utf8_lossy(body)) else {
            return (400, "null".into());
        };
        let (puts, removals) = (body.list("puts"), body.list("remove"));
        let is_read_only = |row: &Json| ["op", "servers"].contains(&row.text("table").as_str());
        if puts.iter().chain(&removals).any(is_read_only) {
            return (403, "null".into());
        }
        let mut state = self.shared.0.lock().unwrap();
        for row in body.list("expected_rev") {
            let known = state.rows.iter().find(|known| {
                known.table == row.text("table")
                    && known.part == row.text("part")
                    && known.key == row.text("key")
                    && known.value.is_some()
            });
            if known.map_or(0, |known| known.ver) != row.number("ver") {
                let rows: Vec<&Row> = known.into_iter().collect();
                return (412, self.reply(&rows, state.ver));
            }
        }
        for row in &puts {
            let value = row.text("value");
            state.write(
                &row.text("table"),
                &row.text("part"),
                &row.text("key"),
                Some(value),
            );
        }
        for row in &removals {
            state.write(
                &row.text("table"),
                &row.text("part"),
                &row.text("key"),
                None,
            );
        }
        self.shared.1.notify_all();
        (200, self.reply(&[], state.ver))
    }

    fn reply(&self, rows: &[&Row], ver: u64) -> String {
        let rows: Vec<String> = rows.iter().map(|row| row.to_json()).collect();
        format!(
            "{{\"rows\":[{}],\"has_more\":false,\"ver\":{ver},\"now\":\"{}ms\"}}",
            rows.join(","),
            self.started.elapsed().as_millis()
        )
    }
}

impl State {
    fn write(&mut self, table: &str, part: &str, key: &str, value: Option<String>) {
        self.ver += 1;
        let row = Row {
            table: table.into(),
            part: part.into(),
            key: key.into(),
            value,
            ver: self.ver,
        };
        self.rows
            .retain(|r| r.table != table || r.part != part || r.key != key);
        self.rows.push(row.clone());
        self.history.push(row);
    }
}

impl Row {
    fn to_json(&self) -> String {
        let content = match &self.value {
            Some(value) => format!("\"value\":\"{value}\""),
            None => "\"tombstone\":true".into(),
        };
        format!(
            "{{\"table\":\"{}\",\"part\":\"{}\",\"key\":\"{}\",{content},\"ver\":{}}}",
            self.table, self.part, self.key, self.ver
        )
    }
}

/// Returns a decoded query parameter.
fn param(query: &str, name: &str) -> String {
    let value = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map_or("", |(_, value)| value);
    let mut bytes = Vec::new();
    let mut rest = value.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits: Vec<u8> = rest.by_ref().take(2).collect();
            let digits = String::from_utf8_lossy(&digits).into_owned();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
