//! The log's writer before an output that takes nothing.

use hoplandingd::{
    event,
    events::Event,
    logging::{LogWriter, dropped_lines},
};
use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, channel},
};

/// Blocks until its sender is dropped.
struct StuckOutput(Receiver<()>);

impl Write for StuckOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // An error is the end of the wait.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn an_output_that_takes_nothing_holds_nobody_up_and_what_is_lost_is_counted() {
    let (release, stuck) = channel();
    let writer = LogWriter::to("info", StuckOutput(stuck));
    for number in 0..5_000 {
        event!(Event::CallRefused, request = number; "not run");
    }
    let dropped = dropped_lines();
    assert!((1..5_000).contains(&dropped), "{dropped} dropped");
    drop(release);
    drop(writer);
}
