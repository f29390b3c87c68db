//! A short soak of real daemons; `cargo run --release --example soak` runs more.

use gentianridge_testkit::{SoakOptions, SoakViolation, run_soak};
use std::path::Path;

/// Runs the faults of a seed on daemons of this build.
async fn soak(seed: u64, slot: u8) {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
    let options = SoakOptions {
        binary: env!("CARGO_BIN_EXE_gentianridged").into(),
        dir,
        seed,
        slot: 200 + slot,
    };
    let report = run_soak(options).await.expect("the fleet starts");
    assert!(report.answered > 0, "nothing was served");
    let none: [SoakViolation; 0] = [];
    assert_eq!(report.violations, none, "steps {:?}", report.steps);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn first_seed() {
    soak(1, 0).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn second_seed() {
    soak(2, 1).await;
}
