//! Callers with keys: who is admitted, and what targets learn of the caller.

use crate::test_env::{TestEnv, wait_until};
use gentianridge_testkit::{
    FakeStore, Reply, WorkspaceValue, write_config, write_keyed_config, write_public_path,
};
use std::time::Duration;

pub(crate) const KEY: &str = "492cqf75rjvz48wuakn2";
pub(crate) const SECOND_KEY: &str = "ftimaj3nr26tta828m82";
pub(crate) const OTHER_KEY: &str = "zz9plural0zalpha7777";
/// Header in which targets receive the name of the workspace.
const NAME: &str = "gentianridge-tenant";

pub(crate) const NORTH: WorkspaceValue<'static> = WorkspaceValue {
    name: "north",
    keys: &[KEY, SECOND_KEY],
    priority: 0,
};
pub(crate) const SOUTH: WorkspaceValue<'static> = WorkspaceValue {
    name: "south",
    keys: &[OTHER_KEY],
    priority: 2,
};

pub(crate) fn put_workspaces(store: &FakeStore, version: u64, workspaces: &[WorkspaceValue<'_>]) {
    let public = format!(",{}", write_public_path("open", "/open/", "idempotent"));
    let config = write_keyed_config(version, &public, workspaces);
    store.put("op", "config", config.as_bytes());
}

/// Starts an environment in which requests need keys.
async fn start_keyed() -> TestEnv {
    let env = TestEnv::start(1).await;
    put_workspaces(&env.store, 2, &[NORTH, SOUTH]);
    wait_until(Duration::from_secs(5), || async {
        env.request("GET", "/look/x", "first").await.status == 401
    })
    .await;
    env
}

/// Sends a request with header lines and waits for the answer.
pub(crate) async fn request_with(env: &TestEnv, headers: &str, path: &str, id: &str) -> Reply {
    let mut caller = env.vm.open().await.unwrap();
    caller.set_headers(headers);
    caller.request("GET", path, id).await.unwrap()
}

pub(crate) fn bearer(key: &str) -> String {
    format!("authorization: Bearer {key}\r\n")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_admit() {
    let env = start_keyed().await;
    let target = &env.targets[0];
    for (id, key, name) in [
        ("a1", KEY, "north"),
        ("a2", SECOND_KEY, "north"),
        ("a3", OTHER_KEY, "south"),
    ] {
        let reply = request_with(&env, &bearer(key), "/look/x", id).await;
        assert_eq!(reply.status, 200);
        assert_eq!(target.get_header_values(id, NAME), [name]);
        assert!(target.get_header_values(id, "authorization").is_empty());
    }
}

/// Whatever a caller says of its workspace, targets receive the name that its key has.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn forged_name() {
    let env = start_keyed().await;
    let target = &env.targets[0];
    for (id, forged) in [
        ("a1", "Gentianridge-Tenant: south\r\n"),
        (
            "a2",
            "gentianridge-tenant: south\r\nGENTIANRIDGE-TENANT: south\r\n",
        ),
        ("a3", "connection: gentianridge-tenant\r\n"),
        ("a4", "connection: authorization, gentianridge-tenant\r\n"),
    ] {
        let headers = format!("{forged}{}", bearer(KEY));
        let reply = request_with(&env, &headers, "/look/x", id).await;
        assert_eq!(reply.status, 200);
        assert_eq!(target.get_header_values(id, NAME), ["north"], "{forged}");
        assert!(target.get_header_values(id, "authorization").is_empty());
    }
    let forged = "gentianridge-tenant: south\r\n";
    let reply = request_with(&env, forged, "/open/x", "b1").await;
    assert_eq!(reply.status, 200);
    assert!(target.get_header_values("b1", NAME).is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_credentials() {
    let env = start_keyed().await;
    let long = "k".repeat(8 * 1024);
    let cases = [
        String::new(),
        "authorization:\r\n".into(),
        "authorization: Bearer\r\n".into(),
        "authorization: Bearer \r\n".into(),
        bearer("unknown"),
        bearer(&KEY.to_uppercase()),
        bearer(&format!("{KEY} {KEY}")),
        bearer(&format!("{KEY}\u{e9}")),
        bearer(&long),
        format!("authorization: Basic {KEY}\r\n"),
        format!("authorization: {KEY}\r\n"),
        format!("authorization: Bearer\t{KEY}\r\n"),
        bearer(KEY) + &bearer(KEY),
        bearer(KEY) + &bearer(OTHER_KEY),
    ];
    for headers in cases {
        let reply = request_with(&env, &headers, "/look/x", "a1").await;
        assert_eq!(reply.status, 401, "{headers}");
        assert_eq!(reply.get("gentianridge-code"), Some("1008"));
        assert_eq!(reply.get("gentianridge-run"), Some("not-run"));
        assert_eq!(reply.get("www-authenticate"), Some("Bearer"));
        assert!(reply.get("retry-after").is_none());
    }
    assert_eq!(env.count_runs("a1"), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn scheme_case() {
    let env = start_keyed().await;
    for scheme in ["bearer", "BEARER", "bEaReR"] {
        let headers = format!("authorization: {scheme} {KEY}\r\n");
        let reply = request_with(&env, &headers, "/look/x", scheme).await;
        assert_eq!(reply.status, 200);
        assert_eq!(env.targets[0].get_header_values(scheme, NAME), ["north"]);
    }
}

/// A route that does not exist is refused as such, with or without a key.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn missing_route() {
    let env = start_keyed().await;
    assert_eq!(env.request("GET", "/none/x", "a1").await.status, 404);
    let reply = request_with(&env, &bearer(KEY), "/none/x", "a2").await;
    assert_eq!(reply.status, 404);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn public_routes() {
    let env = start_keyed().await;
    let target = &env.targets[0];
    assert_eq!(env.request("GET", "/open/x", "a1").await.status, 200);
    assert!(target.get_header_values("a1", NAME).is_empty());
    let reply = request_with(&env, &bearer("unknown"), "/open/x", "a2").await;
    assert_eq!(reply.status, 200);
    assert!(target.get_header_values("a2", NAME).is_empty());
    assert!(target.get_header_values("a2", "authorization").is_empty());
    let reply = request_with(&env, &bearer(KEY), "/open/x", "a3").await;
    assert_eq!(reply.status, 200);
    assert_eq!(target.get_header_values("a3", NAME), ["north"]);
    assert!(target.get_header_values("a3", "authorization").is_empty());
}

/// A key that a new configuration withdraws is refused on a kept connection too, and one
/// that it adds is accepted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changed_keys() {
    let env = start_keyed().await;
    let mut kept = env.vm.open().await.unwrap();
    kept.set_key(KEY);
    assert_eq!(
        kept.request("GET", "/look/x", "a1").await.unwrap().status,
        200
    );
    let changed = WorkspaceValue {
        keys: &[SECOND_KEY, "added"],
        ..NORTH
    };
    put_workspaces(&env.store, 3, &[changed, SOUTH]);
    wait_until(Duration::from_secs(5), || async {
        request_with(&env, &bearer("added"), "/look/x", "b")
            .await
            .status
            == 200
    })
    .await;
    let reply = kept.request("GET", "/look/x", "a2").await.unwrap();
    assert_eq!(reply.status, 401);
    assert_eq!(env.count_runs("a2"), 0);
}

/// Without workspaces, requests are forwarded with the headers that they came with.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_workspaces() {
    let env = TestEnv::start(1).await;
    let headers = format!("{}gentianridge-tenant: mine\r\n", bearer(KEY));
    let reply = request_with(&env, &headers, "/look/x", "a1").await;
    assert_eq!(reply.status, 200);
    let target = &env.targets[0];
    assert_eq!(
        target.get_header_values("a1", "authorization"),
        [format!("Bearer {KEY}")]
    );
    assert_eq!(target.get_header_values("a1", NAME), ["mine"]);
}

/// A configuration without workspaces that follows one with them ends the need for keys.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn workspaces_removed() {
    let env = start_keyed().await;
    env.store
        .put("op", "config", write_config(3, "").as_bytes());
    wait_until(Duration::from_secs(5), || async {
        env.request("GET", "/look/x", "a").await.status == 200
    })
    .await;
}
