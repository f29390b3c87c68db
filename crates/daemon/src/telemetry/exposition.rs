//! Instruments of one process and their text for Prometheus.

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Meter whose instruments are rendered as text.
#[derive(Debug)]
pub(crate) struct Exposition {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Exposition {
    /// Bucket bounds of the time histograms in seconds.
    const BOUNDS: [f64; 14] = [
        0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
    ];

    pub(crate) fn new() -> anyhow::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    pub(crate) fn get_meter(&self) -> Meter {
        self.provider.meter("gentianridge")
    }

    /// Returns all metrics as Prometheus text.
    pub(crate) fn render(&self) -> String {
        let mut text = Vec::new();
        let encoder = TextEncoder::new();
        if let Err(error) = encoder.encode(&self.registry.gather(), &mut text) {
            log::warn!("metrics cannot be written: {error}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}

pub(crate) fn time_histogram(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_description(description)
        .with_boundaries(Exposition::BOUNDS.to_vec())
        .build()
}

pub(crate) fn counter(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
) -> Counter<u64> {
    meter
        .u64_counter(name)
        .with_description(description)
        .build()
}

pub(crate) fn gauge(meter: &Meter, name: &'static str, description: &'static str) -> Gauge<f64> {
    meter.f64_gauge(name).with_description(description).build()
}
