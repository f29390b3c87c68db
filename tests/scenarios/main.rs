//! Scripted scenarios against real daemons.
//!
//! Each file in `files` is one scenario. The language is described in
//! docs/SCENARIOS.md.

mod caller;
mod language;
mod scenario;

use language::run_case;
use scenario::Scenario;
use std::sync::{Mutex, PoisonError};

/// Scenarios run one at a time, since each starts and loads its own fleet.
static SERIAL: Mutex<()> = Mutex::new(());

fn run_file(path: &str) {
    let _guard = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    let mut scenario = Scenario::default();
    datadriven::walk(path, |file| {
        file.run(|case| runtime.block_on(run_case(&mut scenario, case)));
    });
}

macro_rules! scenarios {
    ($($name:ident)+) => {
        $(
            #[test]
            fn $name() {
                run_file(concat!("tests/scenarios/files/", stringify!($name)));
            }
        )+
    };
}

scenarios! {
    store_down
    store_slow
    reply_lost
    store_down_and_vm_lost
    reply_lost_and_holder_killed
    operators_race
    target_slow
    target_fails_fast
    target_drains
    drain_during_crest
    target_misreports
    crashing_request
    crashing_request_and_vm_lost
    silent_connections
    silent_store_and_target
    vm_killed
    vm_replaced_and_store_down
    stop_with_pull
    revision_stays
    cut_answer_and_slow_target
}
