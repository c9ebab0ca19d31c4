//! Test of the log writer with a blocked output.

use hoplandingd::{
    event,
    events::Event,
    logging::{LogWriter, dropped_lines},
};
use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, channel},
};

/// Output whose writes block until the sender is dropped.
struct BlockedOutput(Receiver<()>);

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // An error means that the sender was dropped.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

// Guards against a blocked log output that blocks the daemon, or whose lost lines are not counted: 5,000 lines are logged
// while the output accepts none, more than the queue holds.
#[test]
fn blocked_output_does_not_block_logging_and_dropped_lines_are_counted() {
    let (release, blocked) = channel();
    let writer = LogWriter::to("info", BlockedOutput(blocked));
    for number in 0..5_000 {
        event!(Event::CallRefused, request = number; "not run");
    }
    let dropped = dropped_lines();
    assert!((1..5_000).contains(&dropped), "{dropped} dropped");
    drop(release);
    drop(writer);
}
