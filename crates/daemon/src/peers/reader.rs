//! Taking an answer, from this daemon or over a link.

use crate::{
    calls::{CallBuffer, CallFrame, CallId, FRAME_WINDOW},
    peers::{PeerLink, PeerMessage, link::LinkEvent},
};
use std::{sync::Arc, time::Duration};
use tokio::sync::mpsc;

/// Frames after which an acknowledgement is sent.
const ACKNOWLEDGE_EVERY: u64 = FRAME_WINDOW as u64 / 4;

/// What came of the next read.
#[derive(Debug)]
pub enum ReadEvent {
    /// A frame, in order and without a gap.
    Frame(CallFrame),
    /// The link broke and did not come back in time, or the maker forgot the call.
    Lost(&'static str),
}

/// One taker of one answer; dropping it says that nobody wants the rest.
#[derive(Debug)]
pub struct CallReader {
    source: FrameSource,
    next: u64,
    acknowledged: u64,
    ended: bool,
}

#[derive(Debug)]
enum FrameSource {
    Local(Arc<CallBuffer>),
    Peer {
        link: PeerLink,
        call: CallId,
        events: mpsc::UnboundedReceiver<LinkEvent>,
        patience: Duration,
    },
}

impl CallReader {
    /// Takes an answer that this daemon makes.
    #[must_use]
    pub fn local(buffer: Arc<CallBuffer>) -> Self {
        Self::new(FrameSource::Local(buffer))
    }

    /// Sends a call over a link and takes its answer; a broken link is re-attached within `patience`.
    ///
    /// Returns `None` if the link is down, so that the call was certainly not sent.
    pub async fn over_link(
        link: &PeerLink,
        call: CallId,
        message: PeerMessage,
        patience: Duration,
    ) -> Option<Self> {
        if !link.is_connected() {
            return None;
        }
        let events = link.calls.register(call);
        // From here on the call counts as handed over: the message may go out even if the link breaks now.
        let _ = link.send(message).await;
        Some(Self::new(FrameSource::Peer {
            link: link.clone(),
            call,
            events,
            patience,
        }))
    }

    fn new(source: FrameSource) -> Self {
        Self {
            source,
            next: 0,
            acknowledged: 0,
            ended: false,
        }
    }

    /// Takes the next frame.
    pub async fn next(&mut self) -> ReadEvent {
        let event = match &self.source {
            FrameSource::Local(buffer) => match buffer.next(self.next).await {
                Some(numbered) => ReadEvent::Frame(numbered.frame),
                None => ReadEvent::Lost("the answer was dropped"),
            },
            FrameSource::Peer { .. } => self.next_over_link().await,
        };
        if let ReadEvent::Frame(frame) = &event {
            self.next += 1;
            self.ended = matches!(frame, CallFrame::End(_));
            self.acknowledge();
        }
        event
    }

    async fn next_over_link(&mut self) -> ReadEvent {
        let FrameSource::Peer {
            link,
            call,
            events,
            patience,
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
                    let back = link.wait_connected(*patience).await;
                    if !back || !link.send(PeerMessage::Attach(*call, self.next)).await {
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
                if self.ended || self.next >= self.acknowledged + ACKNOWLEDGE_EVERY {
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
            FrameSource::Local(buffer) if !self.ended => buffer.abandon(),
            FrameSource::Local(_) => {}
            FrameSource::Peer { link, call, .. } => {
                link.calls.forget(*call);
                if !self.ended {
                    link.try_send(PeerMessage::Cancel(*call));
                }
            }
        }
    }
}
