//! A stand-in for the table service of the platform, with the published calls
//! and injected faults.

use super::http::{Message, MessageStream};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use parking_lot::Mutex;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// Fault of a store endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// Calls are answered.
    None,
    /// Each call is answered with 503.
    Unavailable,
    /// Calls are read and never answered.
    Silent,
    /// A connection is closed without an answer when a call arrives.
    Reset,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct StoredRow {
    table: String,
    key: String,
    /// None for a removed row.
    value: Option<Vec<u8>>,
    ver: u64,
}

/// The content of a store at a moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreCopy {
    rows: Vec<StoredRow>,
    /// All writes in their order, also those that a later write has replaced.
    history: Vec<StoredRow>,
    ver: u64,
    /// Changes up to and including this version have been dropped from the history.
    compacted: u64,
}

#[derive(Debug)]
struct State {
    content: StoreCopy,
    era: u64,
    /// What the header of answers states in place of the era; empty for no header.
    era_text: Option<String>,
    /// Request lines of all calls.
    calls: Vec<String>,
    started: Instant,
}

/// One address of a store with its own fault, so that a fault can be limited to
/// the VMs that use this address.
#[derive(Debug)]
pub struct StoreEndpoint {
    addr: SocketAddr,
    fault: Arc<Mutex<StoreFault>>,
    /// Request lines of the calls at this address.
    calls: Arc<Mutex<Vec<String>>>,
    task: JoinHandle<()>,
}

impl Drop for StoreEndpoint {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl StoreEndpoint {
    async fn open(shared: &Arc<Shared>) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let fault = Arc::new(Mutex::new(StoreFault::None));
        let calls = Arc::new(Mutex::new(Vec::new()));
        let task = tokio::spawn(accept(
            listener,
            shared.clone(),
            fault.clone(),
            calls.clone(),
        ));
        Ok(Self {
            addr,
            fault,
            calls,
            task,
        })
    }

    /// Returns the address.
    pub fn get_addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the fault of this address from now on.
    pub fn set_fault(&self, fault: StoreFault) {
        *self.fault.lock() = fault;
    }

    /// Returns the number of calls at this address whose request line contains the text.
    pub fn count_calls(&self, text: &str) -> usize {
        let calls = self.calls.lock();
        calls.iter().filter(|call| call.contains(text)).count()
    }
}

/// A stand-in for the store on a loopback address.
#[derive(Debug)]
pub struct FakeStore {
    shared: Arc<Shared>,
    endpoint: StoreEndpoint,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

impl FakeStore {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// Fails if no loopback address can be bound.
    pub async fn start() -> anyhow::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                content: StoreCopy {
                    rows: Vec::new(),
                    history: Vec::new(),
                    ver: 0,
                    compacted: 0,
                },
                era: 1,
                era_text: None,
                calls: Vec::new(),
                started: Instant::now(),
            }),
            changed: Notify::new(),
        });
        let endpoint = StoreEndpoint::open(&shared).await?;
        Ok(Self { shared, endpoint })
    }

    /// Opens another address of the same store.
    ///
    /// # Errors
    ///
    /// Fails if no loopback address can be bound.
    pub async fn open_endpoint(&self) -> anyhow::Result<StoreEndpoint> {
        StoreEndpoint::open(&self.shared).await
    }

    /// Returns the first address of the store.
    pub fn get_addr(&self) -> SocketAddr {
        self.endpoint.get_addr()
    }

    /// Sets the fault of the first address from now on.
    pub fn set_fault(&self, fault: StoreFault) {
        self.endpoint.set_fault(fault);
    }

    /// Writes a row, as an operator or a target does.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        self.write(table, key, Some(value.to_vec()));
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    /// Drops the history, which the platform may do at any time.
    pub fn compact(&self) {
        let mut state = self.shared.state.lock();
        state.content.compacted = state.content.ver;
    }

    /// Returns a copy of the content, to which the store may return.
    pub fn copy(&self) -> StoreCopy {
        self.shared.state.lock().content.clone()
    }

    /// Returns to a copy: later writes are lost, their versions are given out again, and a
    /// new era begins.
    pub fn return_to(&self, copy: StoreCopy) {
        let mut state = self.shared.state.lock();
        state.content = copy;
        state.era += 1;
    }

    /// Sets what answers state in place of the era; an empty text leaves the header out,
    /// `None` states the era again.
    pub fn set_era_text(&self, text: Option<&str>) {
        self.shared.state.lock().era_text = text.map(str::to_owned);
    }

    /// Returns the newest version.
    pub fn get_version(&self) -> u64 {
        self.shared.state.lock().content.ver
    }

    /// Returns the number of calls whose request line contains the text.
    pub fn count_calls(&self, text: &str) -> usize {
        let state = self.shared.state.lock();
        state
            .calls
            .iter()
            .filter(|call| call.contains(text))
            .count()
    }

    /// Returns the value of a row, or `None` if the row does not exist.
    pub fn get_value(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.shared.state.lock();
        let mut rows = state.content.rows.iter();
        let row = rows.find(|row| row.table == table && row.key == key)?;
        row.value.clone()
    }

    /// Returns the keys of the existing rows of a table, sorted.
    pub fn get_keys(&self, table: &str) -> Vec<String> {
        let state = self.shared.state.lock();
        let rows = state.content.rows.iter();
        let rows = rows.filter(|row| row.table == table);
        let mut keys: Vec<String> = rows
            .filter(|row| row.value.is_some())
            .map(|row| row.key.clone())
            .collect();
        keys.sort();
        keys
    }

    fn write(&self, table: &str, key: &str, value: Option<Vec<u8>>) {
        self.shared.state.lock().write(table, key, value);
        self.shared.changed.notify_waiters();
    }
}

impl State {
    fn write(&mut self, table: &str, key: &str, value: Option<Vec<u8>>) {
        let content = &mut self.content;
        content.ver += 1;
        let row = StoredRow {
            table: table.into(),
            key: key.into(),
            value,
            ver: content.ver,
        };
        content
            .rows
            .retain(|row| row.table != table || row.key != key);
        content.rows.push(row.clone());
        content.history.push(row);
    }

    /// Returns the header that states the era.
    fn get_era_header(&self) -> String {
        let text = self.era_text.clone();
        match text.unwrap_or_else(|| self.era.to_string()) {
            text if text.is_empty() => text,
            text => format!("store-era: {text}\r\n"),
        }
    }

    /// Returns the time of the store's clock.
    fn get_time(&self) -> String {
        format!("{}ms", self.started.elapsed().as_millis())
    }

    /// Returns the version of a row, 0 if it does not exist.
    fn get_version(&self, table: &str, key: &str) -> u64 {
        let row = self
            .content
            .rows
            .iter()
            .find(|row| row.table == table && row.key == key && row.value.is_some());
        row.map_or(0, |row| row.ver)
    }

    /// Returns the rows with keys in `from..to`.
    fn read(&self, table: &str, from: &str, to: &str) -> Value {
        let mut rows: Vec<&StoredRow> = self
            .content
            .rows
            .iter()
            .filter(|row| row.table == table && row.value.is_some())
            .filter(|row| row.key.as_str() >= from && (to.is_empty() || row.key.as_str() < to))
            .collect();
        rows.sort_by(|a, b| a.key.cmp(&b.key));
        self.reply(&rows)
    }

    /// Returns every change of a table after a version, so that a row that changed
    /// twice is in the reply twice.
    fn read_history(&self, table: &str, after: u64) -> Value {
        let changes = self.content.history.iter();
        let changes: Vec<&StoredRow> = changes
            .filter(|row| row.table == table && row.ver > after)
            .collect();
        self.reply(&changes)
    }

    fn reply(&self, rows: &[&StoredRow]) -> Value {
        let rows: Vec<Value> = rows.iter().map(|row| row_json(row)).collect();
        json!({
            "rows": rows, "has_more": false, "ver": self.content.ver, "now": self.get_time(),
        })
    }
}

fn row_json(row: &StoredRow) -> Value {
    match &row.value {
        Some(value) => json!({
            "table": row.table, "part": "", "key": row.key,
            "value": STANDARD.encode(value), "ver": row.ver,
        }),
        None => json!({
            "table": row.table, "part": "", "key": row.key, "tombstone": true, "ver": row.ver,
        }),
    }
}

async fn accept(
    listener: TcpListener,
    shared: Arc<Shared>,
    fault: Arc<Mutex<StoreFault>>,
    calls: Arc<Mutex<Vec<String>>>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(stream, shared.clone(), fault.clone(), calls.clone()));
    }
}

async fn serve(
    stream: TcpStream,
    shared: Arc<Shared>,
    fault: Arc<Mutex<StoreFault>>,
    calls: Arc<Mutex<Vec<String>>>,
) {
    let mut messages = MessageStream::new(stream);
    while let Ok(Some(request)) = messages.read().await {
        calls.lock().push(request.start_line.clone());
        shared.state.lock().calls.push(request.start_line.clone());
        let reply = answer(&shared, &request).await;
        // Read after the call, so that a fault that began while the call waited
        // applies to its answer too.
        let fault = *fault.lock();
        let (status, body) = match fault {
            StoreFault::None => reply,
            StoreFault::Unavailable => (503, Value::Null),
            StoreFault::Reset => return,
            StoreFault::Silent => {
                messages.wait_closed().await;
                return;
            }
        };
        let body = body.to_string();
        let era = shared.state.lock().get_era_header();
        let text = format!(
            "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\n{era}content-length: {}\r\n\r\n{body}",
            body.len()
        );
        if messages.write(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Executes a call before any fault is applied, so that a write takes effect even
/// if its answer is lost.
async fn answer(shared: &Shared, request: &Message) -> (u16, Value) {
    let target = request.start_line.split(' ').nth(1).unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    match path {
        "/api/rows-get" => {
            let state = shared.state.lock();
            let rows = state.read(
                &param(query, "table"),
                &param(query, "from"),
                &param(query, "to"),
            );
            (200, rows)
        }
        "/api/rows-feed" => feed(shared, query).await,
        "/api/rows-tx" => transact(shared, &request.body),
        _ => (404, Value::Null),
    }
}

/// Waits up to `wait_ms` for a change after the version `after` (long poll).
async fn feed(shared: &Shared, query: &str) -> (u16, Value) {
    let table = param(query, "table");
    let after: u64 = param(query, "after").parse().unwrap_or(0);
    let wait: u64 = param(query, "wait_ms").parse().unwrap_or(0);
    let end = tokio::time::Instant::now() + Duration::from_millis(wait);
    loop {
        let changed = shared.changed.notified();
        {
            let state = shared.state.lock();
            let content = &state.content;
            if after < content.compacted || after > content.ver {
                return (410, Value::Null);
            }
            let has_changes = content
                .rows
                .iter()
                .any(|row| row.table == table && row.ver > after);
            if has_changes || tokio::time::Instant::now() >= end {
                return (200, state.read_history(&table, after));
            }
        }
        // A timeout needs no handling: the clock is compared with `end` above.
        let _ = tokio::time::timeout_at(end, changed).await;
    }
}

/// Applies either all entries of a transaction or none; rows of the tables `op`
/// and `servers` belong to operators and targets and are refused with 403.
fn transact(shared: &Shared, body: &[u8]) -> (u16, Value) {
    let Ok(body) = serde_json::from_slice::<Value>(body) else {
        return (400, Value::Null);
    };
    let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    let text = |entry: &Value, name: &str| entry[name].as_str().unwrap_or_default().to_owned();
    let (puts, removals) = (list("puts"), list("remove"));
    let is_read_only = |entry: &Value| ["op", "servers"].contains(&text(entry, "table").as_str());
    if puts.iter().chain(&removals).any(is_read_only) {
        return (403, Value::Null);
    }
    let mut state = shared.state.lock();
    for expected in list("expected_rev") {
        let version = state.get_version(&text(&expected, "table"), &text(&expected, "key"));
        if expected["ver"].as_u64() != Some(version) {
            let current = state.content.rows.iter().filter(|row| {
                row.table == text(&expected, "table")
                    && row.key == text(&expected, "key")
                    && row.value.is_some()
            });
            let current: Vec<&StoredRow> = current.collect();
            return (412, state.reply(&current));
        }
    }
    for put in &puts {
        let value = STANDARD.decode(text(put, "value")).unwrap_or_default();
        state.write(&text(put, "table"), &text(put, "key"), Some(value));
    }
    for row in &removals {
        state.write(&text(row, "table"), &text(row, "key"), None);
    }
    shared.changed.notify_waiters();
    (
        200,
        json!({"ver": state.content.ver, "now": state.get_time()}),
    )
}

/// Returns the decoded value of a query parameter, empty if it is missing.
fn param(query: &str, name: &str) -> String {
    let value = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map_or("", |(_, value)| value);
    unescape(value)
}

/// Decodes percent-encoded text.
fn unescape(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits: Vec<u8> = rest.by_ref().take(2).collect();
        let decoded = u8::from_str_radix(&String::from_utf8_lossy(&digits), 16);
        bytes.push(decoded.unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
