//! A configuration as operators write it.

/// Service of the repeatable requests below `/look/` and the others below `/once/`.
pub const CART: &str = "cart";

/// Writes a configuration with the routes `/look/` and `/once/`; `more` are
/// further paths, each with a leading comma, see [`write_path`].
pub fn write_config(version: u64, more: &str) -> String {
    format!(
        r#"{{"version":"{version:08x}","base_version":"00000000","services":[
        {{"name":"{CART}","health_path":"/health","max_conns":220}},
        {{"name":"other","health_path":"/health","max_conns":220}}],
        "limits":{{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout":"3000ms","idle_timeout":"15000ms"}},
        "hosts":[{{"host":"shop.example","paths":[{},{}{more}]}}]}}"#,
        write_path("look", "/look/", "idempotent"),
        write_path("once", "/once/", "non_idempotent")
    )
}

/// Writes one path that goes to [`CART`].
pub fn write_path(name: &str, prefix: &str, kind: &str) -> String {
    format!(
        r#"{{"name":"{name}","path_prefix":"{prefix}","kind":"{kind}","timeout":"2000ms",
        "slo_latency":"600ms","priority":1,"service":"{CART}","max_attempts":2}}"#
    )
}
