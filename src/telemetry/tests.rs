use std::io::{self, Write};
use std::sync::{Arc, Mutex};

use env_logger::Target;
use log::kv::Value;
use log::{Level, Log, Record};

use super::Counters;
use super::log_lines::line_logger;
use super::stdout::LineQueue;
use crate::keys::Secret;
use crate::settings::{LogFormat, LogSettings};

#[test]
fn counts_add_up_and_gauges_replace() {
    let counters = Counters::new();
    let clone = counters.clone();
    counters.count("entry.requests");
    clone.add("entry.requests", 4);
    counters.gauge("entry.in_flight", 9);
    counters.gauge("entry.in_flight", 3);
    assert_eq!(counters.value("entry.requests"), 5);
    assert_eq!(counters.value("entry.in_flight"), 3);
    assert_eq!(counters.value("entry.nothing"), 0);
}

#[test]
fn page_lists_every_series_by_name() {
    let counters = Counters::new();
    counters.time_ms("store.read", 3);
    counters.time_ms("store.read", 40_000);
    counters.count("entry.requests.refused");
    counters.gauge("entry.in_flight", 2);
    insta::assert_snapshot!(counters.render_prometheus());
}

/// A shared buffer for written log lines.
#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the formatted log output of one record.
fn logged(format: LogFormat, target: &str, level: Level) -> String {
    let lines = SharedBuffer::default();
    let settings = LogSettings {
        format,
        ..LogSettings::default()
    };
    let logger = line_logger(&settings)
        .target(Target::Pipe(Box::new(lines.clone())))
        .build();
    let secret = Secret::from("very-private");
    let values: [(&str, Value<'_>); 3] = [
        ("instance", Value::from("entry lac")),
        ("revision", Value::from(4_u64)),
        ("key", Value::from_debug(&secret)),
    ];
    logger.log(
        &Record::builder()
            .level(level)
            .target(target)
            .args(format_args!("document in force"))
            .key_values(&values)
            .build(),
    );
    let lines = lines.0.lock().unwrap().clone();
    String::from_utf8(lines).unwrap()
}

#[test]
fn a_text_line_has_its_values_and_hides_secrets() {
    let line = logged(LogFormat::Text, "fescueshore::control", Level::Info);
    let (_, rest) = line.split_once(' ').unwrap();
    insta::assert_snapshot!(rest);
}

#[test]
fn a_json_line_has_its_values_and_hides_secrets() {
    let line = logged(LogFormat::Json, "fescueshore::control", Level::Info);
    let mut line: serde_json::Value = serde_json::from_str(&line).unwrap();
    line["at"] = "then".into();
    insta::assert_json_snapshot!(line);
}

#[test]
fn library_records_below_warn_are_filtered() {
    assert_eq!(logged(LogFormat::Text, "actix_server", Level::Info), "");
    assert_ne!(logged(LogFormat::Text, "actix_server", Level::Warn), "");
}

#[test]
fn a_stalled_reader_does_not_block_logging() {
    struct BlockedWriter;
    impl Write for BlockedWriter {
        fn write(&mut self, _: &[u8]) -> io::Result<usize> {
            loop {
                std::thread::park();
            }
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let mut queue = LineQueue::start(BlockedWriter);
    let started = std::time::Instant::now();
    for _ in 0..10_000 {
        queue
            .write_all(b"a line\n")
            .expect("lines are dropped, not refused");
    }
    assert!(started.elapsed() < std::time::Duration::from_secs(1));
}

#[test]
fn dropped_lines_are_counted_in_the_next_that_fits() {
    let (sender, lines) = std::sync::mpsc::channel::<Vec<u8>>();
    let (open, gate) = std::sync::mpsc::channel::<()>();
    struct GatedWriter(
        std::sync::mpsc::Sender<Vec<u8>>,
        std::sync::mpsc::Receiver<()>,
        bool,
    );
    impl Write for GatedWriter {
        fn write(&mut self, line: &[u8]) -> io::Result<usize> {
            if !self.2 {
                self.2 = self.1.recv().is_ok();
            }
            self.0.send(line.to_vec()).map_err(io::Error::other)?;
            Ok(line.len())
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let mut queue = LineQueue::start(GatedWriter(sender, gate, false));
    for _ in 0..5_000 {
        queue
            .write_all(b"a line\n")
            .expect("lines are dropped, not refused");
    }
    open.send(()).expect("the writer thread waits for the gate");
    // The writer thread holds at most one line, so the queue has room after the first is written.
    lines.recv().expect("the writer thread continues");
    std::thread::sleep(std::time::Duration::from_millis(50));
    queue.write_all(b"the next\n").expect("there is room");
    let text: Vec<String> = lines
        .iter()
        .map(|line| String::from_utf8_lossy(&line).into_owned())
        .take_while(|line| line != "the next\n")
        .collect();
    let note = text.last().expect("the note comes before the next line");
    assert!(note.contains("log lines were dropped"), "{note}");
}
