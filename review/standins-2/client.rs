//! Clients that send one request after the other on kept connections.

use crate::http::{Outcome, Stream};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// One request of a client and its end.
#[derive(Clone)]
pub struct Sent {
    pub id: String,
    pub at: Instant,
    pub took: Duration,
    pub vm: usize,
    pub outcome: Outcome,
}

pub type Log = Arc<Mutex<Vec<Sent>>>;

pub struct Plan {
    pub name: String,
    pub vm: usize,
    pub front: SocketAddr,
    pub method: &'static str,
    pub path: &'static str,
    pub deadline_ms: u64,
    pub pause: Duration,
}

pub fn head(method: &str, path: &str, id: &str, deadline_ms: u64, length: usize) -> String {
    let length = match method {
        "GET" => String::new(),
        _ => format!("Content-Length: {length}\r\n"),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: depot.example\r\nGentianridge-Attempt-Id: {id}\r\nGentianridge-Deadline-Ms: {deadline_ms}\r\n{length}\r\n"
    )
}

/// Sends requests until `stop`; a connection that ends is replaced by a new one.
pub fn run(plan: Plan, log: Log, stop: Arc<AtomicBool>) -> std::thread::JoinHandle<()> {
    std::thread::spawn(move || {
        let mut connection: Option<Stream> = None;
        let mut number = 0;
        while !stop.load(Ordering::SeqCst) {
            if connection.is_none() {
                connection = TcpStream::connect_timeout(&plan.front, Duration::from_secs(1))
                    .ok()
                    .map(Stream::new);
            }
            let Some(stream) = &mut connection else {
                std::thread::sleep(Duration::from_millis(100));
                continue;
            };
            number += 1;
            let id = format!("{}-{number:05}", plan.name);
            let at = Instant::now();
            let outcome = exchange(stream, &plan, &id);
            let is_kept = matches!(outcome, Outcome::Answer(..));
            log.lock().unwrap().push(Sent {
                id,
                at,
                took: at.elapsed(),
                vm: plan.vm,
                outcome,
            });
            if !is_kept {
                connection = None;
            }
            std::thread::sleep(plan.pause);
        }
    })
}

fn exchange(stream: &mut Stream, plan: &Plan, id: &str) -> Outcome {
    let limit = Duration::from_millis(plan.deadline_ms);
    let _ = stream.stream.set_read_timeout(Some(limit));
    let head = head(plan.method, plan.path, id, plan.deadline_ms, 0);
    let answer = stream.write(head.as_bytes()).and_then(|()| stream.head());
    let answer = answer.and_then(|head| match head {
        Some(head) => stream.body(&head).map(|body| (Some(head), body)),
        None => Ok((None, Vec::new())),
    });
    match answer {
        Ok((Some(head), body)) => Outcome::Answer(head.word(1).parse().unwrap_or(0), body),
        Ok((None, _)) => Outcome::Broken("closed".into()),
        Err(error) => Outcome::Broken(error.to_string()),
    }
}
