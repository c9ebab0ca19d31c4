//! Reading an answer, from a local buffer or over a link.

use crate::{
    calls::{CallBuffer, CallFrame, CallId, FRAME_WINDOW},
    peers::{PeerLink, PeerMessage, link::LinkEvent},
};
use std::{sync::Arc, time::Duration};
use tokio::sync::mpsc;

/// Frames between two acknowledgements; well below the window, so that the sender is not blocked by a late one.
const FRAMES_PER_ACKNOWLEDGEMENT: u64 = FRAME_WINDOW as u64 / 4;

/// Result of reading the next frame.
#[derive(Debug)]
pub enum ReadEvent {
    /// The next frame, in order and without gaps.
    Frame(CallFrame),
    /// The link broke and did not reconnect in time, or the sender has discarded the call.
    Lost(&'static str),
}

/// Reader of one answer; dropping it before the end cancels the call.
#[derive(Debug)]
pub struct CallReader {
    source: FrameSource,
    next: u64,
    acknowledged: u64,
    has_ended: bool,
}

#[derive(Debug)]
enum FrameSource {
    Local(Arc<CallBuffer>),
    Peer {
        link: PeerLink,
        call: CallId,
        events: mpsc::UnboundedReceiver<LinkEvent>,
        reconnect_timeout: Duration,
    },
}

impl CallReader {
    /// Reads an answer that this daemon produces.
    #[must_use]
    pub fn local(buffer: Arc<CallBuffer>) -> Self {
        Self::new(FrameSource::Local(buffer))
    }

    /// Sends a call over a link and reads its answer; re-attaches if a broken link reconnects within
    /// `reconnect_timeout`.
    ///
    /// Returns `None` if the link is down: the call was certainly not sent.
    pub async fn over_link(
        link: &PeerLink,
        call: CallId,
        message: PeerMessage,
        reconnect_timeout: Duration,
    ) -> Option<Self> {
        if !link.is_connected() {
            return None;
        }
        let events = link.calls.register(call);
        // From here on the call counts as sent: the queued message may be sent even if the link breaks now.
        let _ = link.send(message).await;
        Some(Self::new(FrameSource::Peer {
            link: link.clone(),
            call,
            events,
            reconnect_timeout,
        }))
    }

    fn new(source: FrameSource) -> Self {
        Self {
            source,
            next: 0,
            acknowledged: 0,
            has_ended: false,
        }
    }

    /// Waits for the next frame.
    pub async fn next(&mut self) -> ReadEvent {
        let event = match &self.source {
            FrameSource::Local(buffer) => match buffer.next(self.next).await {
                Some(numbered) => ReadEvent::Frame(numbered.frame),
                None => ReadEvent::Lost("the answer was dropped"),
            },
            FrameSource::Peer { .. } => self.read_from_link().await,
        };
        if let ReadEvent::Frame(frame) = &event {
            self.next += 1;
            self.has_ended = matches!(frame, CallFrame::End(_));
            self.acknowledge();
        }
        event
    }

    async fn read_from_link(&mut self) -> ReadEvent {
        let FrameSource::Peer {
            link,
            call,
            events,
            reconnect_timeout,
        } = &mut self.source
        else {
            unreachable!("only called for a peer");
        };
        loop {
            match events.recv().await {
                Some(LinkEvent::Frame(numbered)) if numbered.seq < self.next => {}
                Some(LinkEvent::Frame(numbered)) if numbered.seq == self.next => {
                    return ReadEvent::Frame(numbered.frame);
                }
                Some(LinkEvent::Frame(_)) => return ReadEvent::Lost("frames are missing"),
                Some(LinkEvent::Gone) => {
                    return ReadEvent::Lost("the holder no longer has the answer");
                }
                Some(LinkEvent::Lost) => {
                    let is_reconnected = link.wait_connected(*reconnect_timeout).await;
                    if !is_reconnected || !link.send(PeerMessage::Attach(*call, self.next)).await {
                        return ReadEvent::Lost("the link to the holder broke");
                    }
                }
                None => return ReadEvent::Lost("the link to the holder ended"),
            }
        }
    }

    fn acknowledge(&mut self) {
        match &self.source {
            FrameSource::Local(buffer) => buffer.acknowledge(self.next),
            FrameSource::Peer { link, call, .. } => {
                if self.has_ended || self.next >= self.acknowledged + FRAMES_PER_ACKNOWLEDGEMENT {
                    self.acknowledged = self.next;
                    link.try_send(PeerMessage::Acknowledge(*call, self.next));
                }
            }
        }
    }
}

impl Drop for CallReader {
    fn drop(&mut self) {
        match &self.source {
            FrameSource::Local(buffer) if !self.has_ended => buffer.abandon(),
            FrameSource::Local(_) => {}
            FrameSource::Peer { link, call, .. } => {
                link.calls.unregister(*call);
                if !self.has_ended {
                    link.try_send(PeerMessage::Cancel(*call));
                }
            }
        }
    }
}
