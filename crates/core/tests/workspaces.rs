//! Keys of workspaces: how requests carry them, and whose they are.

use gentianridge_core::{
    CallerLimits, ClassKind, HostRoutes, Route, RouteTable, Split, SplitPart, WorkspaceFault,
    WorkspaceSpec, WorkspaceTable, parse_credential,
};
use proptest::prelude::*;
use std::time::Duration;

fn make_workspace(name: &str, keys: &[&str], priority: Option<u8>) -> WorkspaceSpec {
    WorkspaceSpec {
        name: name.into(),
        api_keys: keys.iter().map(|key| (*key).into()).collect(),
        priority,
        limit: None,
    }
}

fn find_name<'a>(table: &'a WorkspaceTable, key: &str) -> Option<&'a str> {
    Some(table.find_by_key(key)?.name.as_str())
}

fn parse<'a>(values: &[&'a str]) -> Option<&'a str> {
    parse_credential(values.iter().map(|value| value.as_bytes()))
}

fn make_route(name: &str, priority: u8, is_public: bool) -> Route {
    Route {
        name: name.into(),
        prefix: format!("/{name}/").into(),
        kind: ClassKind::Interactive,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(600),
        priority,
        max_attempts: 2,
        split: Split::new(vec![SplitPart {
            service: "cart".into(),
            weight: 1,
        }]),
        is_public,
    }
}

fn make_routes(routes: Vec<Route>, workspaces: Vec<WorkspaceSpec>) -> RouteTable {
    let host = HostRoutes {
        host: "shop.example".into(),
        routes,
    };
    let table = RouteTable::new(3, vec![host], Vec::new(), CallerLimits::default());
    table.with_workspaces(WorkspaceTable::new(workspaces))
}

fn collect_priorities(table: &RouteTable) -> Vec<u8> {
    let classes = table.collect_classes("cart");
    let mut priorities: Vec<u8> = classes.iter().map(|class| class.priority).collect();
    priorities.sort_unstable();
    priorities
}

#[test]
fn holders_found() {
    let table = WorkspaceTable::new(vec![
        make_workspace("south", &["s1"], None),
        make_workspace("north", &["n1", "n2"], None),
    ]);
    assert_eq!(find_name(&table, "n1"), Some("north"));
    assert_eq!(find_name(&table, "n2"), Some("north"));
    assert_eq!(find_name(&table, "s1"), Some("south"));
    assert_eq!(find_name(&table, "n"), None);
    assert_eq!(find_name(&table, ""), None);
    assert!(table.get_faults().is_empty());
}

#[test]
fn shared_key() {
    let table = WorkspaceTable::new(vec![
        make_workspace("a", &["x", "own"], None),
        make_workspace("b", &["x"], None),
        make_workspace("c", &["x", "c1"], None),
    ]);
    assert_eq!(find_name(&table, "x"), None, "the key identifies nobody");
    assert_eq!(find_name(&table, "own"), Some("a"));
    assert_eq!(find_name(&table, "c1"), Some("c"));
    let workspaces = ["a".into(), "b".into()];
    assert_eq!(
        table.get_faults(),
        [WorkspaceFault::SharedKey { workspaces }]
    );
    assert!(!table.get_faults()[0].to_string().contains('x'));
}

#[test]
fn repeated_key() {
    let table = WorkspaceTable::new(vec![make_workspace("a", &["k", "k"], None)]);
    assert_eq!(find_name(&table, "k"), Some("a"));
    assert!(table.get_faults().is_empty());
}

#[test]
fn unusable_name() {
    let table = WorkspaceTable::new(vec![
        make_workspace("a\r\nhost: b", &["k"], None),
        make_workspace("", &["e"], None),
    ]);
    assert_eq!(find_name(&table, "k"), None);
    assert_eq!(find_name(&table, "e"), None);
    assert_eq!(table.get_faults().len(), 2);
}

#[test]
fn hidden_keys() {
    let table = WorkspaceTable::new(vec![make_workspace("a", &["secret"], None)]);
    assert!(!format!("{table:?}").contains("secret"));
}

#[test]
fn workspace_priority() {
    let north = make_workspace("north", &[], Some(0));
    let south = make_workspace("south", &[], Some(2));
    let plain = make_workspace("plain", &[], None);
    let table = make_routes(
        vec![make_route("a", 1, false)],
        vec![north.clone(), south.clone()],
    );
    let route = table.find("shop.example", "/a/x").unwrap();
    let class_of = |workspace: &WorkspaceSpec| {
        let name = table.get_class_name(route, Some(workspace)).unwrap();
        let classes = table.collect_classes("cart");
        let class = classes.into_iter().find(|class| class.name == *name);
        class.unwrap().priority
    };
    assert_eq!(class_of(&north), 0);
    assert_eq!(class_of(&south), 2);
    // Nobody's requests have the priority of the route.
    assert_eq!(collect_priorities(&table), [0, 2]);
    assert_eq!(table.get_class_name(route, None), None);
    let table = make_routes(vec![make_route("a", 1, false)], vec![north, plain.clone()]);
    assert_eq!(collect_priorities(&table), [0, 1]);
    assert!(table.get_class_name(route, Some(&plain)).is_some());
}

#[test]
fn public_priority() {
    let north = make_workspace("north", &[], Some(0));
    let table = make_routes(vec![make_route("a", 1, true)], vec![north]);
    let route = table.find("shop.example", "/a/x").unwrap();
    assert_eq!(collect_priorities(&table), [0, 1]);
    assert!(table.get_class_name(route, None).is_some());
}

#[test]
fn refused_headers() {
    let long = format!("Bearer {}", "k".repeat(8 * 1024));
    for value in [
        "",
        "k",
        "Bearer",
        "Bearer ",
        "Bearer  ",
        "Basic k",
        "Bearer\tk",
        "Bearer k k",
        " Bearer",
        "Bearer k\u{e9}",
        &long,
    ] {
        assert_eq!(parse(&[value]), None, "{value:?}");
    }
    assert_eq!(parse(&[]), None);
    assert_eq!(parse(&["Bearer k", "Bearer k"]), None);
    assert_eq!(parse_credential(std::iter::once(&b"Bearer \xff"[..])), None);
}

#[test]
fn accepted_headers() {
    for value in ["Bearer k.-_~+/=", "bearer k.-_~+/=", "BEARER   k.-_~+/= "] {
        assert_eq!(parse(&[value]), Some("k.-_~+/="));
    }
}

proptest! {
    /// What a header holds never ends the process, and a key is found only as a whole.
    #[test]
    fn any_header(value in prop::collection::vec(any::<u8>(), 0..64)) {
        if let Some(key) = parse_credential(std::iter::once(&value[..])) {
            prop_assert!(value.ends_with(key.as_bytes()) || value.ends_with(b" "));
            prop_assert!(key.bytes().all(|byte| byte.is_ascii_graphic()));
        }
    }

    /// Each key that one workspace holds is found, and no other text.
    #[test]
    fn any_keys(
        keys in prop::collection::vec(prop::collection::vec("[a-c]{1,3}", 0..6), 1..8),
        text in "[a-c]{1,4}",
    ) {
        let workspaces = keys.iter().enumerate().map(|(index, keys)| {
            let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
            make_workspace(&format!("w{index}"), &keys, None)
        });
        let table = WorkspaceTable::new(workspaces.collect());
        let holders: Vec<usize> = (0..keys.len()).filter(|index| keys[*index].contains(&text)).collect();
        let expected = match holders[..] {
            [only] => Some(format!("w{only}")),
            _ => None,
        };
        prop_assert_eq!(find_name(&table, &text), expected.as_deref());
    }
}
