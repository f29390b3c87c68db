//! Routes by host and longest prefix, and splits by weight.

use gentianridge_core::{
    CallerLimits, ClassKind, HostRoutes, Route, RouteTable, RoutedService, Split, SplitPart,
};
use proptest::prelude::*;
use std::time::Duration;

fn make_route(name: &str, prefix: &str, parts: &[(&str, u32)]) -> Route {
    let parts = parts.iter().map(|(service, weight)| SplitPart {
        service: (*service).into(),
        weight: *weight,
    });
    Route {
        name: name.into(),
        prefix: prefix.into(),
        kind: ClassKind::Interactive,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(600),
        priority: 2,
        max_attempts: 2,
        split: Split::new(parts.collect()),
        is_public: false,
    }
}

fn make_table(routes: Vec<Route>) -> RouteTable {
    let host = HostRoutes {
        host: "shop.example".into(),
        routes,
    };
    let service = RoutedService {
        name: "cart".into(),
        health_path: "/health".into(),
        max_connections: 220,
        cold: None,
    };
    RouteTable::new(3, vec![host], vec![service], CallerLimits::default())
}

fn find_route(table: &RouteTable, host: &str, path: &str) -> Option<String> {
    let key = table.find(host, path)?;
    Some(table.get(key).name.to_string())
}

#[test]
fn longest_prefix() {
    let table = make_table(vec![
        make_route("all", "/", &[("cart", 1)]),
        make_route("a", "/a/", &[("cart", 1)]),
        make_route("ab", "/a/b/", &[("cart", 1)]),
    ]);
    let name = |path| find_route(&table, "shop.example", path);
    assert_eq!(name("/a/b/c").as_deref(), Some("ab"));
    assert_eq!(name("/a/b").as_deref(), Some("a"));
    assert_eq!(name("/ab/").as_deref(), Some("all"));
    assert_eq!(name("/a/").as_deref(), Some("a"));
}

#[test]
fn host_names() {
    let table = make_table(vec![make_route("a", "/a/", &[("cart", 1)])]);
    assert!(find_route(&table, "SHOP.example:8080", "/a/1").is_some());
    assert!(find_route(&table, "other.example", "/a/1").is_none());
    assert!(find_route(&table, "shop.example", "/b/1").is_none());
}

#[test]
fn shared_classes() {
    let table = make_table(vec![
        make_route("a", "/a/", &[("cart", 1)]),
        make_route("b", "/b/", &[("cart", 1), ("next", 1)]),
    ]);
    assert_eq!(table.collect_classes("cart").len(), 1);
    assert_eq!(table.collect_classes("next").len(), 1);
    assert!(table.collect_classes("other").is_empty());
}

proptest! {
    /// At any time, the requests of a part differ from its share by at most one request for
    /// each part of the split.
    #[test]
    fn weights_respected(weights in prop::collection::vec(0u32..100, 1..6), requests in 1usize..400) {
        let total: u32 = weights.iter().sum();
        let parts = weights.iter().enumerate().map(|(index, weight)| SplitPart {
            service: format!("s{index}").into(),
            weight: *weight,
        });
        let mut split = Split::new(parts.collect());
        let mut counts = vec![0u32; weights.len()];
        for _ in 0..requests {
            match split.next_part() {
                Some(part) => {
                    let index: usize = part.service[1..].parse().unwrap();
                    counts[index] += 1;
                }
                None => prop_assert_eq!(total, 0),
            }
        }
        for (count, weight) in counts.iter().zip(&weights) {
            if total > 0 {
                let share = f64::from(*weight) / f64::from(total) * requests as f64;
                prop_assert!((f64::from(*count) - share).abs() <= weights.len() as f64);
            }
        }
    }
}
