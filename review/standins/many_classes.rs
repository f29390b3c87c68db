//! The configuration grows by many routes with time-outs of their own.

use crate::client::Request;
use crate::config::{HOST, Route, write_config};
use crate::fleet::Fleet;
use crate::target::Work;
use crate::{Case, find_repeated_runs};
use std::time::Duration;

/// Routes that the operator adds.
const ADDED: u64 = 300;
const DRAWS: usize = 240;
/// Time between two draws, about the usual traffic of the deployment.
const DRAW_GAP: Duration = Duration::from_millis(100);

pub fn run(case: &Case) -> std::io::Result<Vec<String>> {
    let record = &case.record;
    let mut routes = vec![
        Route::new("lookup", "abbinamenti", true, 2_000),
        Route::new("archive-read", "storico", true, 5_000),
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
    if case.has_trouble {
        for number in 0..ADDED {
            let name = format!("p{number:03}");
            routes.push(Route::new(&name, "estrazione", true, 1_000 + 5 * number));
        }
        let what = format!("{ADDED} routes more");
        fleet.put_config(&write_config(7, &routes), &what, record);
    }
    std::thread::sleep(Duration::from_secs(4));
    std::thread::scope(|scope| {
        for index in 0..DRAWS {
            let daemon = index % fleet.daemons.len();
            let front = fleet.daemons[daemon].front;
            scope.spawn(move || {
                std::thread::sleep(DRAW_GAP * index as u32);
                let request = Request {
                    id: format!("draw-{index:03}"),
                    method: "POST",
                    host: HOST,
                    path: format!("/draw-confirm/{index}"),
                    body: "x".repeat(1_200),
                    deadline: Duration::from_secs(5),
                    parts: 1,
                    pause: Duration::ZERO,
                };
                request.send(daemon, front, record);
            });
        }
    });
    fleet.record_errors(record);
    Ok(find_repeated_runs(record, "draw-"))
}
