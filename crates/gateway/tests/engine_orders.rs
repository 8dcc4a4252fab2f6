//! Settings of the engine orders.
#![allow(
    clippy::unwrap_used,
    reason = "test helpers may panic like tests, which clippy.toml allows"
)]

use {
    std::time::Duration,
    tealshore_capacity::{Policy, Sizing},
    tealshore_core::settings::SettingError,
    tealshore_gateway::options::GatewayOptions,
};

fn load(test: &str, section: &str) -> Result<GatewayOptions, SettingError> {
    let settings = format!(
        "[host]\nid = own\nhall = a\ncallers_address = 127.0.0.1:9\n\
         directory_address = 127.0.0.1:10\nreadiness_address = 127.0.0.1:11\n\
         metrics_address = 127.0.0.1:12\n[store]\naddress = 127.0.0.1:13\n\
         [peers]\naddress = 127.0.0.1:14\n[engine_orders]\n{section}"
    );
    let name = format!("tealshore-engine-orders-{test}-{}.ini", std::process::id());
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, settings).unwrap();
    let options = GatewayOptions::load(&file);
    std::fs::remove_file(&file).unwrap();
    options
}

#[test]
fn omitted_keys_have_defaults() {
    let orders = load("default", "").unwrap().engine_orders;
    assert!(orders.is_on);
    let expected = Policy {
        least_on_demand: 1,
        reserve: 0.5,
        sizing: Sizing::Utilisation,
        spare_hall: true,
        shrink_after: Duration::from_secs(30),
    };
    assert_eq!(orders.policy, expected);
}

#[test]
fn each_key_is_read() {
    let section = "orders = off\nleast_on_demand = 9\nreserve = 0.25\nsizing = queueing-delay\n\
                   spare_hall = false\nshrink_after_ms = 60000\n";
    let orders = load("each", section).unwrap().engine_orders;
    assert!(!orders.is_on);
    let expected = Policy {
        least_on_demand: 9,
        reserve: 0.25,
        sizing: Sizing::QueueingDelay,
        spare_hall: false,
        shrink_after: Duration::from_secs(60),
    };
    assert_eq!(orders.policy, expected);
}

#[test]
fn an_invalid_value_is_reported_with_its_key() {
    let bad = [
        ("orders", "perhaps"),
        ("least_on_demand", "-1"),
        ("reserve", "-0.5"),
        ("sizing", "guess"),
        ("spare_hall", "one"),
        ("shrink_after_ms", "0"),
        ("most", "4"),
    ];
    for (key, value) in bad {
        let error = load(key, &format!("{key} = {value}\n")).unwrap_err();
        let text = error.to_string();
        assert!(
            text.starts_with(&format!("[engine_orders] {key}")),
            "{text}"
        );
    }
}
