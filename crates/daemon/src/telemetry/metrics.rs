//! Metrics in the form that Prometheus reads.

use super::exposition::{Exposition, counter, time_histogram};
use crate::fleet::Routes;
use gentianridge_core::{Counters, ResultCode};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter, ObservableCounter};
use parking_lot::RwLock;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Measurements of one call.
#[derive(Debug)]
pub(crate) struct CallMetric<'a> {
    pub(crate) service: &'a str,
    pub(crate) class: &'a str,
    pub(crate) status: u16,
    pub(crate) elapsed: Duration,
    pub(crate) queued: Duration,
}

/// The instruments of one daemon.
///
/// Names and units follow the conventions of OpenTelemetry; every metric is
/// explained in docs/METRICS-AND-LOGS.md.
#[derive(Debug)]
pub(crate) struct Metrics {
    exposition: Exposition,
    duration: Histogram<f64>,
    queued: Histogram<f64>,
    refusals: Counter<u64>,
    peer_bytes: Counter<u64>,
    peer_faults: Counter<u64>,
    store_operations: Counter<u64>,
    _totals: Vec<ObservableCounter<u64>>,
}

/// Routes of the revision in force, from which the totals are read.
pub(crate) type SharedRoutes = Arc<RwLock<Option<Arc<Routes>>>>;

impl Metrics {
    pub(crate) fn new(routes: &SharedRoutes) -> anyhow::Result<Self> {
        let exposition = Exposition::new()?;
        let meter = exposition.get_meter();
        Ok(Self {
            duration: time_histogram(
                &meter,
                "http.server.request.duration",
                "Time until the answer or refusal",
            ),
            queued: time_histogram(
                &meter,
                "gentianridge.queue.duration",
                "Time in the queue of a VM",
            ),
            refusals: counter(&meter, "gentianridge.refusals", "Refusals by result code"),
            peer_bytes: counter(&meter, "gentianridge.peer.sent", "Bytes sent to peers"),
            peer_faults: counter(
                &meter,
                "gentianridge.peer.faults",
                "Messages of peers that were dropped",
            ),
            store_operations: counter(
                &meter,
                "gentianridge.store.operations",
                "Operations of the platform's store",
            ),
            _totals: observe_totals(&meter, routes),
            exposition,
        })
    }

    pub(crate) fn record_call(&self, call: &CallMetric<'_>) {
        let service = KeyValue::new("service", call.service.to_owned());
        let class = KeyValue::new("class", call.class.to_owned());
        let status = KeyValue::new("http.response.status_code", i64::from(call.status));
        self.queued
            .record(call.queued.as_secs_f64(), &[service.clone(), class.clone()]);
        self.duration
            .record(call.elapsed.as_secs_f64(), &[service, class, status]);
    }

    pub(crate) fn record_refusal(&self, code: ResultCode) {
        self.refusals
            .add(1, &[KeyValue::new("code", i64::from(code.number()))]);
    }

    pub(crate) fn record_peer_bytes(&self, bytes: usize) {
        self.peer_bytes.add(bytes as u64, &[]);
    }

    pub(crate) fn record_peer_fault(&self) {
        self.peer_faults.add(1, &[]);
    }

    pub(crate) fn record_store_operation(&self, operation: &'static str, outcome: &'static str) {
        let labels = [
            KeyValue::new("operation", operation),
            KeyValue::new("outcome", outcome),
        ];
        self.store_operations.add(1, &labels);
    }

    /// Returns all metrics as Prometheus text.
    pub(crate) fn render(&self) -> String {
        self.exposition.render()
    }
}

/// A total of a service with its metric name.
struct Total {
    name: &'static str,
    description: &'static str,
    read: fn(&Counters) -> u64,
}

const TOTALS: [Total; 8] = [
    Total {
        name: "gentianridge.calls",
        description: "Calls that arrived",
        read: |c| c.arrivals,
    },
    Total {
        name: "gentianridge.attempts.first",
        description: "First attempts",
        read: |c| c.first_attempts,
    },
    Total {
        name: "gentianridge.attempts.retry",
        description: "Repeated attempts",
        read: |c| c.retries,
    },
    Total {
        name: "gentianridge.attempts.hedge",
        description: "Second attempts beside a slow one",
        read: |c| c.hedges,
    },
    Total {
        name: "gentianridge.sheds",
        description: "Attempts that a target shed",
        read: |c| c.sheds,
    },
    Total {
        name: "gentianridge.failures",
        description: "Attempts that failed",
        read: |c| c.failures,
    },
    Total {
        name: "gentianridge.ejections",
        description: "Ejections of targets",
        read: |c| c.ejections,
    },
    Total {
        name: "gentianridge.stragglers",
        description: "Attempts far above the usual time",
        read: |c| c.stragglers,
    },
];

fn observe_totals(meter: &Meter, routes: &SharedRoutes) -> Vec<ObservableCounter<u64>> {
    let mut observed: Vec<ObservableCounter<u64>> = TOTALS
        .iter()
        .map(|total| observe_total(meter, routes, total))
        .collect();
    observed.push(observe_probes(meter, routes));
    observed
}

fn observe_total(meter: &Meter, routes: &SharedRoutes, total: &Total) -> ObservableCounter<u64> {
    let routes = routes.clone();
    let read = total.read;
    meter
        .u64_observable_counter(total.name)
        .with_description(total.description)
        .with_callback(move |observer| {
            for service in routes.read().iter().flat_map(|routes| &routes.services) {
                let counters = service.read(|machine, _| machine.get_counters());
                observer.observe(
                    read(&counters),
                    &[KeyValue::new("service", service.name.to_string())],
                );
            }
        })
        .build()
}

fn observe_probes(meter: &Meter, routes: &SharedRoutes) -> ObservableCounter<u64> {
    let routes = routes.clone();
    meter
        .u64_observable_counter("gentianridge.probes")
        .with_description("Probes sent")
        .with_callback(move |observer| {
            for service in routes.read().iter().flat_map(|routes| &routes.services) {
                let probes = service.probes.load(Ordering::Relaxed);
                observer.observe(
                    probes,
                    &[KeyValue::new("service", service.name.to_string())],
                );
            }
        })
        .build()
}
