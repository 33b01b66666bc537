//! `fescuectl demand` against a stand-in of a metrics page.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

use super::run;
use crate::exit_codes::Exit;

const GAUGES: &str = "\
# TYPE fescue_relay_open_requests gauge
fescue_relay_open_requests 3
# TYPE fescue_relay_demand_age_ms gauge
fescue_relay_demand_age_ms{service=\"draft\",zone=\"lac\"} 240
fescue_relay_demand_age_ms{service=\"draft\",zone=\"marsa\"} 500
# TYPE fescue_relay_demand_instances gauge
fescue_relay_demand_instances{service=\"draft\",zone=\"lac\"} 24
fescue_relay_demand_instances{service=\"draft\",zone=\"marsa\"} 23
# TYPE fescue_relay_demand_peak_streams_per_s gauge
fescue_relay_demand_peak_streams_per_s{service=\"draft\",zone=\"lac\"} 120.25
fescue_relay_demand_peak_streams_per_s{service=\"draft\",zone=\"marsa\"} 12
# TYPE fescue_relay_demand_prompt_tokens_per_s gauge
fescue_relay_demand_prompt_tokens_per_s{service=\"draft\",zone=\"lac\",priority=\"0\"} 52000.5
fescue_relay_demand_prompt_tokens_per_s{service=\"draft\",zone=\"lac\",priority=\"2\"} 7000
# TYPE fescue_relay_demand_streams_per_s gauge
fescue_relay_demand_streams_per_s{service=\"draft\",zone=\"lac\",priority=\"0\"} 80.5
fescue_relay_demand_streams_per_s{service=\"draft\",zone=\"lac\",priority=\"2\"} 10
# TYPE fescue_relay_demand_unserved_per_s gauge
fescue_relay_demand_unserved_per_s{service=\"draft\",zone=\"lac\",priority=\"0\"} 4.5
fescue_relay_demand_unserved_per_s{service=\"draft\",zone=\"lac\",priority=\"2\"} 0
";

/// Serves one response to each connection.
fn instance(status: &'static str, page: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("connections are accepted");
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request);
            let length = page.len();
            let response = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{page}");
            stream
                .write_all(response.as_bytes())
                .expect("the command reads");
        }
    });
    address
}

#[actix_rt::test]
async fn demand_is_a_table_by_service_zone_and_priority() {
    let address = instance("200 OK", GAUGES);
    let report = run(&format!("demand {address}")).await.expect("it is read");
    assert_eq!(report.json[0]["streams_per_s"], 90.5);
    insta::assert_snapshot!(report.text);
}

/// Guards against unknown demand that is shown as none.
#[actix_rt::test]
async fn a_page_without_demand_is_said_to_be_so() {
    let address = instance("200 OK", "fescue_relay_open_requests 3\n");
    let report = run(&format!("demand {address}")).await.expect("it is read");
    assert_eq!(
        report.text,
        "demand is unknown: no streams were seen lately"
    );
}

#[actix_rt::test]
async fn an_address_without_a_metrics_page_is_named() {
    let address = instance("404 Not Found", "");
    let error = run(&format!("demand {address}"))
        .await
        .expect_err("it is no page");
    assert_eq!(error.exit(), Exit::Unavailable);
    let expected = format!(
        "{address}: responded with status 404; name the metrics address of a running instance"
    );
    assert_eq!(error.to_string(), expected);
}
