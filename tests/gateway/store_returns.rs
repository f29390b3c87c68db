//! A store that returns from an older copy and gives out versions again.

use crate::evacuations::{find_target, start_domains, wait_for_target};
use crate::test_env::{TestEnv, put_config, register, wait_until};
use crate::withdrawn_keys::{LIMIT, WITHDRAWN, ask, start_strict};
use crate::workspaces::{KEY, SECOND_KEY, SOUTH, put_workspaces};
use gentianridge_testkit::{FakeStore, FakeTarget, StoreCopy, StoreFault, write_path};
use std::net::SocketAddr;
use std::time::Duration;

/// Versions that other writers use up.
const OTHER_WRITES: u64 = 50;
/// Time in which a VM reads the store at least once.
const READ_TIME: Duration = Duration::from_millis(1_500);

/// Writes rows that no VM reads.
fn use_up_versions(store: &FakeStore) {
    for number in 0..OTHER_WRITES {
        store.put("other", &number.to_string(), b"{}");
    }
}

/// Takes a copy, and has the VMs continue from a version that it does not have.
async fn copy_and_move_on(store: &FakeStore) -> StoreCopy {
    let copy = store.copy();
    use_up_versions(store);
    tokio::time::sleep(READ_TIME).await;
    copy
}

/// Returns the store to a copy after a moment in which it closes connections; `write` is done
/// before the versions are beyond those of before.
async fn return_to(store: &FakeStore, copy: StoreCopy, write: impl FnOnce()) {
    store.set_fault(StoreFault::Reset);
    tokio::time::sleep(Duration::from_millis(250)).await;
    let before = store.get_version();
    store.return_to(copy);
    write();
    assert!(store.get_version() <= before);
    use_up_versions(store);
    use_up_versions(store);
    store.set_fault(StoreFault::None);
}

/// Writes a configuration with the routes `/n1/` to `/nN/` beside the usual ones.
fn put_routes(store: &FakeStore, version: u64, count: usize) {
    let paths = (1..=count).map(|number| {
        let path = write_path(&format!("n{number}"), &format!("/n{number}/"), "idempotent");
        format!(",{path}")
    });
    put_config(store, version, &paths.collect::<String>());
}

/// Waits until the VM has read the store after a return.
async fn wait_for_era(env: &TestEnv, era: f64) {
    wait_until(LIMIT, || async {
        get_sample(&get_metrics(env).await, "gentianridge_store_era") == Some(era)
    })
    .await;
}

async fn get_status(env: &TestEnv, path: &str) -> u16 {
    env.request("GET", path, "s").await.status
}

async fn start_with_metrics() -> TestEnv {
    TestEnv::start_with(1, |settings| {
        settings.metrics = Some(SocketAddr::from(([127, 0, 0, 1], 0)));
    })
    .await
}

async fn get_metrics(env: &TestEnv) -> String {
    let addr = env.vm.get_settings().metrics.unwrap();
    let mut caller = gentianridge_testkit::CallerConnection::open(addr)
        .await
        .unwrap();
    caller.request("GET", "/metrics", "m").await.unwrap().body
}

fn get_sample(metrics: &str, name: &str) -> Option<f64> {
    let mut lines = metrics.lines().filter(|line| line.starts_with(name));
    lines.next()?.rsplit(' ').next()?.parse().ok()
}

/// Guards against reading on from a version of an earlier era: a key that was withdrawn at
/// the store's return was accepted for good.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn withdrawn_key() {
    let env = start_strict().await;
    let copy = copy_and_move_on(&env.store).await;
    return_to(&env.store, copy, || {
        put_workspaces(&env.store, 3, &[WITHDRAWN, SOUTH]);
    })
    .await;
    wait_until(LIMIT, || async {
        ask(&env.vm, KEY, "a").await.status == 401
    })
    .await;
    wait_until(LIMIT, || async {
        ask(&env.vm, SECOND_KEY, "b").await.status == 200
    })
    .await;
}

/// The copy lacks the newest configuration: the one in force stays, also until it is written
/// again, and later ones are applied.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn older_configuration() {
    let env = start_with_metrics().await;
    let copy = env.store.copy();
    put_routes(&env.store, 2, 1);
    wait_until(LIMIT, || async { get_status(&env, "/n1/x").await == 200 }).await;
    return_to(&env.store, copy, || ()).await;
    wait_for_era(&env, 2.0).await;
    for _ in 0..10 {
        assert_eq!(get_status(&env, "/n1/x").await, 200);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    put_routes(&env.store, 2, 1);
    put_routes(&env.store, 3, 2);
    wait_until(LIMIT, || async { get_status(&env, "/n2/x").await == 200 }).await;
    assert_eq!(get_status(&env, "/n1/x").await, 200);
}

/// The store returns while a read waits there for a change, twice in a row, and keeps the
/// connection open.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn return_within_read() {
    let env = TestEnv::start(1).await;
    for round in 0..3 {
        let copy = copy_and_move_on(&env.store).await;
        env.store.return_to(copy.clone());
        use_up_versions(&env.store);
        env.store.return_to(copy);
        put_routes(&env.store, round + 2, round as usize + 1);
        use_up_versions(&env.store);
        use_up_versions(&env.store);
        let path = format!("/n{}/x", round + 1);
        wait_until(LIMIT, || async { get_status(&env, &path).await == 200 }).await;
    }
}

/// Answers whose era is missing, cannot be read or is lower than that of earlier ones change
/// nothing; requests are served all the while.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_eras() {
    let env = start_with_metrics().await;
    for (round, text) in ["", "0", "soon", "-1", "1.5"].into_iter().enumerate() {
        env.store.set_era_text(Some(text));
        let path = format!("/n{}/x", round + 1);
        put_routes(&env.store, round as u64 + 2, round + 1);
        tokio::time::sleep(READ_TIME).await;
        assert_eq!(get_status(&env, &path).await, 404, "{text}");
        assert_eq!(get_status(&env, "/look/x").await, 200, "{text}");
        env.store.set_era_text(None);
        wait_until(LIMIT, || async { get_status(&env, &path).await == 200 }).await;
    }
    let metrics = get_metrics(&env).await;
    let older = get_sample(&metrics, "gentianridge_store_eras_total{order=\"older\"");
    assert!(older.is_some_and(|count| count > 0.0), "{metrics}");
    env.store.set_era_text(Some("7"));
    put_routes(&env.store, 20, 9);
    wait_until(LIMIT, || async { get_status(&env, "/n9/x").await == 200 }).await;
}

/// Guards against comparing versions of different eras: an evacuation after the return was
/// dropped for good, since its version was lower than that of an earlier taking back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn emptied_again() {
    let env = start_domains().await;
    env.store.put("op", "evacuate/d1", b"{}");
    wait_for_target(&env.vm, "done by t1").await;
    let copy = copy_and_move_on(&env.store).await;
    env.store.remove("op", "evacuate/d1");
    env.store.put("op", "evacuate/d2", b"{}");
    wait_for_target(&env.vm, "done by t0").await;
    let before = env.store.get_version();
    env.store.return_to(copy);
    env.store.remove("op", "evacuate/d1");
    env.store.put("op", "evacuate/d2", b"{}");
    tokio::time::sleep(READ_TIME).await;
    env.store.remove("op", "evacuate/d2");
    env.store.put("op", "evacuate/d1", b"{}");
    assert!(env.store.get_version() < before);
    wait_for_target(&env.vm, "done by t1").await;
}

/// The copy lacks an evacuation: the domain gets nothing before it is written again. Once it
/// is not, the domain is used again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn emptied_through_return() {
    let env = start_domains().await;
    let copy = env.store.copy();
    env.store.put("op", "evacuate/d1", b"{}");
    wait_for_target(&env.vm, "done by t1").await;
    return_to(&env.store, copy.clone(), || ()).await;
    for index in 0..15 {
        let id = format!("a{index}");
        assert_eq!(find_target(&env.vm, &id).await, "done by t1");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    env.store.put("op", "evacuate/d1", b"{}");
    for index in 0..40 {
        let id = format!("b{index}");
        assert_eq!(find_target(&env.vm, &id).await, "done by t1");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    return_to(&env.store, copy, || ()).await;
    env.store.put("op", "evacuate/d2", b"{}");
    wait_until(LIMIT, || async {
        find_target(&env.vm, "c").await == "done by t0"
    })
    .await;
}

/// The copy holds an evacuation that was taken back: the last targets of a service stay in
/// use until that is written again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn given_back_through_return() {
    let env = start_with_metrics().await;
    env.store.put("op", "evacuate/d1", b"{}");
    wait_until(LIMIT, || async { get_status(&env, "/look/x").await == 503 }).await;
    let copy = env.store.copy();
    env.store.remove("op", "evacuate/d1");
    wait_until(LIMIT, || async { get_status(&env, "/look/x").await == 200 }).await;
    return_to(&env.store, copy, || ()).await;
    wait_for_era(&env, 2.0).await;
    for _ in 0..10 {
        assert_eq!(get_status(&env, "/look/x").await, 200);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    env.store.remove("op", "evacuate/d1");
    for _ in 0..30 {
        assert_eq!(get_status(&env, "/look/x").await, 200);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against discarding reads of the targets until the versions have passed those of
/// before the return: no VM followed targets that joined or drained meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn targets_after_return() {
    let env = TestEnv::start(1).await;
    let copy = copy_and_move_on(&env.store).await;
    env.store.return_to(copy);
    let joined = FakeTarget::start("t1").await.unwrap();
    register(&env.store, &joined, false, 1);
    register(&env.store, &env.targets[0], true, 1);
    wait_for_target(&env.vm, "done by t1").await;
}

/// The copy lists a target that had left and lacks one that had joined: the first gets
/// nothing, and the second stays in use until it is written again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn targets_of_copy() {
    let env = TestEnv::start(1).await;
    let copy = env.store.copy();
    let joined = FakeTarget::start("t1").await.unwrap();
    register(&env.store, &joined, false, 1);
    register(&env.store, &env.targets[0], true, 1);
    wait_for_target(&env.vm, "done by t1").await;
    env.store.remove("servers", "t0");
    tokio::time::sleep(READ_TIME).await;
    return_to(&env.store, copy, || ()).await;
    for index in 0..15 {
        let id = format!("a{index}");
        assert_eq!(find_target(&env.vm, &id).await, "done by t1");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    register(&env.store, &joined, false, 1);
    for index in 0..20 {
        let id = format!("b{index}");
        assert_eq!(find_target(&env.vm, &id).await, "done by t1");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
