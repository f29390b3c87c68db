//! A configuration is applied while clients upload requests that may run once at most.

use crate::client::Request;
use crate::config::{HOST, Route, write_config};
use crate::fleet::Fleet;
use crate::target::Work;
use crate::{Case, find_repeated_runs};
use std::time::Duration;

/// Configurations that the operator sends, and the uploads that each meets.
const CHANGES: u32 = 4;
const UPLOADS: usize = 60;
/// An upload takes `PARTS` times `PAUSE`.
const PARTS: usize = 4;
const PAUSE: Duration = Duration::from_millis(200);
/// Time between the starts of two uploads.
const START_GAP: Duration = Duration::from_millis(5);

pub fn run(case: &Case) -> std::io::Result<Vec<String>> {
    let record = &case.record;
    let mut routes = vec![
        Route::new("lookup", "abbinamenti", true, 2_000),
        Route::new("archive-read", "storico", true, 5_000),
        // Organisers read the state of a draw from the service that runs it.
        Route::new("draw-state", "estrazione", true, 2_000),
        Route::new("draw-confirm", "estrazione", false, 2_500),
    ];
    let mut fleet = Fleet::new(&write_config(5, &routes))?;
    let work = Work {
        usual: Duration::from_millis(250),
        long_each: 33,
        long: Duration::from_millis(1_750),
    };
    fleet.add_targets("abbinamenti", 9, work, record)?;
    fleet.add_targets("estrazione", 6, work, record)?;
    fleet.add_targets("storico", 11, work, record)?;
    fleet.start_daemons(&case.root, record)?;
    std::thread::sleep(Duration::from_secs(4));
    for change in 0..CHANGES {
        std::thread::scope(|scope| {
            for index in 0..UPLOADS {
                let daemon = index % fleet.daemons.len();
                let front = fleet.daemons[daemon].front;
                scope.spawn(move || {
                    std::thread::sleep(START_GAP * index as u32);
                    let request = Request {
                        id: format!("draw-{change}-{index:03}"),
                        method: "POST",
                        host: HOST,
                        path: format!("/draw-confirm/{change}-{index}"),
                        body: "x".repeat(1_200),
                        deadline: Duration::from_secs(5),
                        parts: PARTS,
                        pause: PAUSE,
                    };
                    request.send(daemon, front, record);
                });
            }
            std::thread::sleep(Duration::from_millis(400));
            if case.has_trouble {
                routes[2].timeout_ms += 100;
                let version = 7 + 2 * change;
                let what = format!("time-out of draw-state {} ms", routes[2].timeout_ms);
                fleet.put_config(&write_config(version, &routes), &what, record);
            }
        });
        std::thread::sleep(Duration::from_secs(1));
    }
    fleet.record_errors(record);
    Ok(find_repeated_runs(record, "draw-"))
}
