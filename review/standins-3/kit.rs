//! Stand-ins for the platform's store, the targets, the operator and the callers, and the
//! start of daemons with the command and the settings template of the deploy file.
//!
//! The standard library is all that this needs. Every address is a loopback address.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------- JSON and base64

/// A JSON value, as far as the store's calls need it.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        parse_value(bytes, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Json::Text(text)) => text,
            _ => "",
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Json::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(items)) => items,
            _ => &[],
        }
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = parse_text(bytes, at)?;
                        skip_space(bytes, at);
                        *at += 1;
                        fields.push((key, parse_value(bytes, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => parse_text(bytes, at).map(Json::Text),
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while bytes
                .get(*at)
                .is_some_and(|b| b"+-.eE0123456789".contains(b))
            {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
            text.parse().ok().map(Json::Number)
        }
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut text = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(text).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        let c = char::from_u32(code).unwrap_or('?');
                        text.extend(c.to_string().bytes());
                        *at += 4;
                    }
                    other => text.push(other),
                }
            }
            other => text.push(other),
        }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0u8; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(word[0]) << 16 | u32::from(word[1]) << 8 | u32::from(word[2]);
        for place in 0..4 {
            if place > chunk.len() {
                text.push('=');
            } else {
                text.push(char::from(BASE64[(bits >> (18 - 6 * place)) as usize & 63]));
            }
        }
    }
    text
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0u32, 0);
    for byte in text.bytes() {
        let Some(digit) = BASE64.iter().position(|known| *known == byte) else {
            continue;
        };
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    bytes
}

// ---------------------------------------------------------------- HTTP

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start_line: String,
    /// Names, in lower case, and values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn get(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    /// Status of a response, 0 if there is none.
    pub fn status(&self) -> u16 {
        let mut words = self.start_line.split(' ');
        words.nth(1).and_then(|w| w.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages with a `Content-Length` or in chunks from one connection.
pub struct Reader {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 * 1024];
        let size = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..size]);
        Ok(size > 0)
    }

    fn take_line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(at) = find(&self.buf, b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..at + 2).take(at).collect();
                return Ok(Some(String::from_utf8_lossy(&line).into_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Returns `None` if the connection ends before the message does.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let mut message = Message::default();
        match self.take_line()? {
            Some(line) => message.start_line = line,
            None => return Ok(None),
        }
        loop {
            let Some(line) = self.take_line()? else {
                return Ok(None);
            };
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                let value = value.trim().to_owned();
                message.headers.push((name.to_ascii_lowercase(), value));
            }
        }
        if message.get("transfer-encoding") == "chunked" {
            loop {
                let Some(line) = self.take_line()? else {
                    return Ok(None);
                };
                let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
                if !self.need(size + 2)? {
                    return Ok(None);
                }
                message.body.extend(self.buf.drain(..size));
                self.buf.drain(..2);
                if size == 0 {
                    return Ok(Some(message));
                }
            }
        }
        let length: usize = message.get("content-length").parse().unwrap_or(0);
        if !self.need(length)? {
            return Ok(None);
        }
        message.body = self.buf.drain(..length).collect();
        Ok(Some(message))
    }

    fn need(&mut self, size: usize) -> io::Result<bool> {
        while self.buf.len() < size {
            if !self.fill()? {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Reads and discards until the peer closes the connection.
    pub fn wait_closed(&mut self) {
        while let Ok(true) = self.fill() {
            self.buf.clear();
        }
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|w| w == pattern)
}

pub fn format_reply(status: u16, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} x\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

// ---------------------------------------------------------------- record

/// Lines with the time since the start, for `record.txt`.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn add(&self, line: impl Into<String>) {
        let at = self.elapsed();
        self.lines.lock().unwrap().push((at, line.into()));
    }

    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut file = File::create(path)?;
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        for (at, line) in lines.iter() {
            writeln!(file, "{:9.3} s  {line}", at.as_secs_f64())?;
        }
        Ok(())
    }
}

// ---------------------------------------------------------------- store

#[derive(Debug, Clone)]
struct Change {
    table: String,
    key: String,
    /// `None` for a removed row.
    value: Option<Vec<u8>>,
    ver: u64,
    at: Instant,
}

struct StoreState {
    rows: BTreeMap<(String, String), (Vec<u8>, u64)>,
    history: Vec<Change>,
    ver: u64,
    era: u64,
    is_away: bool,
    /// Raised at the start of each outage: calls that were under way are never answered.
    outages: u64,
}

/// The platform's table service.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<StoreState>, Condvar)>,
    pub addr: SocketAddr,
    started: Instant,
    record: Record,
}

impl Store {
    pub fn start(ip: Ipv4Addr, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let state = StoreState {
            rows: BTreeMap::new(),
            history: Vec::new(),
            ver: 0,
            era: 1,
            is_away: false,
            outages: 0,
        };
        let store = Self {
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            addr: listener.local_addr()?,
            started: Instant::now(),
            record: record.clone(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes or removes a row, as the operator or a target does; false while the store is
    /// away.
    pub fn write(&self, table: &str, key: &str, value: Option<&[u8]>) -> bool {
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        if state.is_away {
            return false;
        }
        state.write(table, key, value);
        changed.notify_all();
        true
    }

    pub fn get_version(&self) -> u64 {
        self.shared.0.lock().unwrap().ver
    }

    pub fn get_era(&self) -> u64 {
        self.shared.0.lock().unwrap().era
    }

    pub fn is_away(&self) -> bool {
        self.shared.0.lock().unwrap().is_away
    }

    /// From now on nothing is done: calls end with a closed connection, those under way too.
    pub fn leave(&self) {
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        state.is_away = true;
        state.outages += 1;
        self.record
            .add(format!("store: away at version {}", state.ver));
        changed.notify_all();
    }

    /// Comes back from a copy that was taken at `copied`.
    pub fn return_from_copy(&self, copied: Instant) {
        let mut state = self.shared.0.lock().unwrap();
        let lost = state.ver;
        state.history.retain(|change| change.at <= copied);
        state.ver = state.history.last().map_or(0, |change| change.ver);
        state.rows.clear();
        let history = state.history.clone();
        for change in history {
            let key = (change.table, change.key);
            match change.value {
                Some(value) => state.rows.insert(key, (value, change.ver)),
                None => state.rows.remove(&key),
            };
        }
        state.era += 1;
        state.is_away = false;
        self.record.add(format!(
            "store: back with Store-Era {} from a copy {:.1} s old; newest version {} (was {lost})",
            state.era,
            copied.elapsed().as_secs_f64(),
            state.ver
        ));
    }

    fn now(&self) -> String {
        format!("{}ms", self.started.elapsed().as_millis())
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(Some(call)) = reader.read() {
            let outages = self.shared.0.lock().unwrap().outages;
            if self.is_away() {
                return;
            }
            let (status, body) = self.answer(&call, outages);
            let (is_cut, era) = {
                let state = self.shared.0.lock().unwrap();
                (state.outages != outages, state.era)
            };
            if is_cut {
                return;
            }
            let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            let text = format_reply(status, &headers, &body);
            if reader.stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message, outages: u64) -> (u16, String) {
        let target = call.start_line.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        match path {
            "/api/rows-get" => self.get_rows(query),
            "/api/rows-feed" => self.feed(query, outages),
            "/api/rows-tx" => self.transact(&String::from_utf8_lossy(&call.body)),
            _ => (404, "{}".into()),
        }
    }

    fn get_rows(&self, query: &str) -> (u16, String) {
        let (table, from, to) = (
            get_param(query, "table"),
            get_param(query, "from"),
            get_param(query, "to"),
        );
        let limit = get_param(query, "limit")
            .parse()
            .unwrap_or(500usize)
            .min(500);
        let state = self.shared.0.lock().unwrap();
        if state.era > 1 && table == "op" {
            let ver = state.ver;
            self.record
                .add(format!("store: full read of op answered, version {ver}"));
        }
        let mut rows: Vec<String> = Vec::new();
        let mut has_more = false;
        for ((row_table, key), (value, ver)) in &state.rows {
            if *row_table != table || *key < from || (!to.is_empty() && *key >= to) {
                continue;
            }
            if rows.len() == limit {
                has_more = true;
                break;
            }
            rows.push(format_row(row_table, key, Some(value), *ver));
        }
        (200, self.format_rows(&rows, has_more, state.ver))
    }

    fn feed(&self, query: &str, outages: u64) -> (u16, String) {
        let table = get_param(query, "table");
        let after: u64 = get_param(query, "after").parse().unwrap_or(0);
        let wait: u64 = get_param(query, "wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        loop {
            if state.outages != outages {
                return (503, "{}".into());
            }
            if after > state.ver {
                self.record.add(format!(
                    "store: 410 to a read of {table} after {after}, newest is {}",
                    state.ver
                ));
                return (410, "{}".into());
            }
            let rows: Vec<String> = state
                .history
                .iter()
                .filter(|change| change.table == table && change.ver > after)
                .map(|c| format_row(&c.table, &c.key, c.value.as_deref(), c.ver))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                if state.era > 1 && table == "op" {
                    self.record.add(format!(
                        "store: read of op after {after} answered with {} rows up to version {}",
                        rows.len(),
                        state.ver
                    ));
                }
                return (200, self.format_rows(&rows, false, state.ver));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else {
            return (400, "{}".into());
        };
        let (puts, removals) = (body.list("puts"), body.list("remove"));
        let is_read_only = |row: &Json| ["op", "servers"].contains(&row.text("table"));
        if puts.iter().chain(removals).any(is_read_only) {
            return (403, "{}".into());
        }
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        let mut is_conflict = false;
        let mut current = Vec::new();
        for row in body.list("expected_rev") {
            let key = (row.text("table").to_owned(), row.text("key").to_owned());
            let found = state.rows.get(&key);
            is_conflict |= row.number("ver") != Some(found.map_or(0, |(_, ver)| *ver));
            if let Some((value, ver)) = found {
                current.push(format_row(&key.0, &key.1, Some(value), *ver));
            }
        }
        if is_conflict {
            return (412, self.format_rows(&current, false, state.ver));
        }
        for row in puts {
            let value = decode_base64(row.text("value"));
            state.write(row.text("table"), row.text("key"), Some(&value));
        }
        for row in removals {
            state.write(row.text("table"), row.text("key"), None);
        }
        changed.notify_all();
        let (ver, now) = (state.ver, self.now());
        (200, format!("{{\"ver\":{ver},\"now\":\"{now}\"}}"))
    }

    fn format_rows(&self, rows: &[String], has_more: bool, ver: u64) -> String {
        let (rows, now) = (rows.join(","), self.now());
        format!("{{\"rows\":[{rows}],\"has_more\":{has_more},\"ver\":{ver},\"now\":\"{now}\"}}")
    }
}

impl StoreState {
    fn write(&mut self, table: &str, key: &str, value: Option<&[u8]>) {
        let place = (table.to_owned(), key.to_owned());
        if value.is_none() && !self.rows.contains_key(&place) {
            return;
        }
        self.ver += 1;
        self.history.push(Change {
            table: table.into(),
            key: key.into(),
            value: value.map(<[u8]>::to_vec),
            ver: self.ver,
            at: Instant::now(),
        });
        match value {
            Some(value) => self.rows.insert(place, (value.to_vec(), self.ver)),
            None => self.rows.remove(&place),
        };
    }
}

fn format_row(table: &str, key: &str, value: Option<&[u8]>, ver: u64) -> String {
    let content = match value {
        Some(value) => format!("\"value\":\"{}\"", encode_base64(value)),
        None => "\"tombstone\":true".into(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{content},\"ver\":{ver}}}")
}

fn get_param(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(key, _)| *key == name).map_or("", |(_, v)| v);
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

// ---------------------------------------------------------------- targets

/// A request that a target has run.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Duration,
    pub id: String,
    pub target: String,
    pub service: String,
    pub zone: String,
    pub tenant: String,
}

/// A target that keeps its entry in the store.
pub struct Target {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    born: u64,
    work: Duration,
    seq: AtomicU64,
    is_leaving: AtomicBool,
    is_registered: AtomicBool,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

/// Time between two writes of a target's entry, as in the settings of the sites.
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Time after which a target repeats a write that failed.
const HEARTBEAT_RETRY: Duration = Duration::from_millis(50);
/// Time within which a target sees that the store came back from a copy.
const ERA_CHECK: Duration = Duration::from_millis(20);

impl Target {
    pub fn start(
        ip: Ipv4Addr,
        id: &str,
        (service, zone): (&str, &str),
        work: Duration,
        runs: &Arc<Mutex<Vec<Run>>>,
        record: &Record,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let target = Arc::new(Self {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            addr: listener.local_addr()?,
            born: born.as_millis() as u64,
            work,
            seq: AtomicU64::new(0),
            is_leaving: AtomicBool::new(false),
            is_registered: AtomicBool::new(true),
            runs: runs.clone(),
            record: record.clone(),
        });
        let served = target.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let target = served.clone();
                thread::spawn(move || target.serve(stream));
            }
        });
        Ok(target)
    }

    /// Writes the entry now and then every heartbeat.
    pub fn register(self: &Arc<Self>, store: &Store, first: Duration) {
        let (target, store) = (self.clone(), store.clone());
        target.beat(&store);
        thread::spawn(move || {
            let mut next = Instant::now() + first;
            let mut era = store.get_era();
            loop {
                let left = next.saturating_duration_since(Instant::now());
                thread::sleep(left.min(ERA_CHECK));
                if !target.is_registered.load(Ordering::SeqCst) {
                    return;
                }
                let is_back = !store.is_away() && store.get_era() != era;
                if is_back {
                    // What it wrote may be gone, and is written again.
                    era = store.get_era();
                    target.beat(&store);
                }
                if Instant::now() < next {
                    continue;
                }
                if target.beat(&store) {
                    next += HEARTBEAT;
                    next = next.max(Instant::now());
                } else {
                    next = Instant::now() + HEARTBEAT_RETRY;
                }
            }
        });
    }

    fn beat(&self, store: &Store) -> bool {
        let seq = self.seq.load(Ordering::SeqCst) + 1;
        let is_leaving = self.is_leaving.load(Ordering::SeqCst);
        let state = if is_leaving { "draining" } else { "ready" };
        let entry = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":4,\
             \"state\":\"{state}\",\"cold_left\":\"0ms\",\"seq\":{seq},\"born\":{}}}",
            self.service, self.addr, self.zone, self.born
        );
        let is_written = store.write("servers", &self.id, Some(entry.as_bytes()));
        if is_written {
            self.seq.store(seq, Ordering::SeqCst);
        }
        is_written
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.read() {
            let text = self.answer(&request);
            if reader.stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> String {
        let id = request.get("gentianridge-attempt-id");
        let mut headers = String::from("Keep-Alive: timeout=10\r\n");
        headers += "Gentianridge-Server-Load: 0,0,4,100\r\n";
        if self.is_leaving.load(Ordering::SeqCst) {
            headers += "Server-Leaving: 1\r\n";
        }
        if request.start_line.starts_with("GET /health ") {
            headers += &format!("Gentianridge-Instance-Id: {}\r\n", self.id);
            return format_reply(200, &headers, "");
        }
        headers += &format!("Gentianridge-Attempt-Id: {id}\r\n");
        if request.get("gentianridge-expected-instance") != self.id {
            return format_reply(421, &headers, "");
        }
        self.runs.lock().unwrap().push(Run {
            at: self.record.elapsed(),
            id: id.into(),
            target: self.id.clone(),
            service: self.service.clone(),
            zone: self.zone.clone(),
            tenant: request.get("gentianridge-tenant").into(),
        });
        self.record.add(format!(
            "target {} of {}: runs {id} of tenant {:?}",
            self.id,
            self.service,
            request.get("gentianridge-tenant")
        ));
        thread::sleep(self.work);
        headers += "Gentianridge-Response-Signature: s.1\r\n";
        format_reply(200, &headers, "done")
    }
}

// ---------------------------------------------------------------- daemons

/// A daemon that is started as the deploy file says, with its filled in settings.
pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Values that the platform fills into the settings template, as `(name, value)`.
pub type Settings = Vec<(&'static str, String)>;

/// Returns settings like those of a deployment of the users' pages.
pub fn make_settings(name: &str, ip: Ipv4Addr, store: SocketAddr, seeds: &[Ipv4Addr]) -> Settings {
    let seeds: Vec<String> = seeds.iter().map(|ip| format!("{ip}:18044")).collect();
    vec![
        ("node", name.into()),
        ("zone", "z1".into()),
        ("listen.front", format!("{ip}:18041")),
        ("listen.ready", format!("{ip}:18042")),
        ("ip", ip.to_string()),
        ("internal_ports.0", "18043".into()),
        ("platform.addr", store.to_string()),
        ("seeds", seeds.join(",")),
        ("bootstrap", "true".into()),
        ("bounds.drain", "2500ms".into()),
        ("bounds.config_apply", "2500ms".into()),
        ("bounds.grace", "6s".into()),
        ("bounds.evacuate", "5000ms".into()),
        ("bounds.probes_per_s", "60".into()),
        ("bounds.budget_window", "10s".into()),
        ("bounds.budget_ratio", "0.2".into()),
        ("bounds.budget_extra", "160".into()),
        ("bounds.revoke_strict", "true".into()),
        ("bounds.revoke", "5000ms".into()),
        ("bounds.quota_window", "5s".into()),
        ("bounds.quota_excess", "0.1".into()),
        ("bounds.quota_slack", "20".into()),
        ("bounds.cold_excess", "1.5".into()),
        ("bounds.cold_slack", "8".into()),
        ("limits.memory_mb", "512".into()),
        ("limits.max_fds", "8192".into()),
    ]
}

impl Daemon {
    /// Starts a daemon; `dir` is a temporary folder for its settings and its log.
    pub fn start(dir: &Path, settings: &Settings) -> io::Result<Self> {
        let get = |name: &str| {
            let found = settings.iter().find(|(key, _)| *key == name);
            found.map(|(_, value)| value.clone()).unwrap_or_default()
        };
        let mut text = std::fs::read_to_string("deploy/settings.ini")?;
        for (name, value) in settings {
            text = text.replace(&format!("{{{{{name}}}}}"), value);
        }
        let name = get("node");
        let path = dir.join(format!("{name}.ini"));
        std::fs::write(&path, text)?;
        let log = File::create(dir.join(format!("{name}.log")))?;
        let child = Command::new("target/release/gentianridged")
            .arg("--gateway")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let parse = |text: String| text.parse().map_err(io::Error::other);
        Ok(Self {
            name,
            front: parse(get("listen.front"))?,
            ready: parse(get("listen.ready"))?,
            child,
        })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the answer of the readiness check.
    pub fn is_ready(&self) -> bool {
        let request = "GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
        let answer = exchange(self.ready, request, Duration::from_millis(500));
        answer.is_some_and(|answer| answer.status() == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

/// Sends a request on a new connection and returns its answer.
pub fn exchange(addr: SocketAddr, request: &str, limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    Reader::new(stream).read().ok()?
}

/// Returns the addresses of a run: an own part of the loopback range, by the process id, so
/// that two runs side by side do not meet.
pub fn make_ip(host: u8) -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 64 + (pid >> 8 & 63) as u8, pid as u8, host)
}

/// Creates a temporary folder.
pub fn make_dir(name: &str) -> io::Result<PathBuf> {
    let dir = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    Ok(dir)
}
