//! Requests of users and agents that wait for the controller's answer.
//!
//! Invariant: a request's id stays registered until the request is answered or its connection is
//! dropped; dropping the connection's [`PendingReply`] removes the id.

use crate::transport::server::HttpResponse;
use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

/// An answer and the time at which the controller gave it.
pub(super) struct TimedReply {
    /// The time at which the answer was given.
    pub given_at: Instant,
    /// The answer.
    pub answer: HttpResponse,
}

/// The waiting requests, by id. Clones share the same requests.
#[derive(Clone, Default)]
pub(super) struct PendingReplies {
    waiting: Rc<RefCell<HashMap<u64, Sender<TimedReply>>>>,
    last_id: Rc<Cell<u64>>,
}

impl PendingReplies {
    /// Registers a request under a new id.
    pub(super) fn register(&self) -> PendingReply {
        self.last_id.set(self.last_id.get() + 1);
        let id = self.last_id.get();
        let (sender, receiver) = async_channel::bounded(1);
        self.waiting.borrow_mut().insert(id, sender);
        PendingReply {
            id,
            receiver,
            replies: self.clone(),
        }
    }

    /// Sends the answer to a request, if the request still waits.
    pub(super) fn complete(&self, id: u64, answer: HttpResponse) {
        if let Some(sender) = self.waiting.borrow_mut().remove(&id) {
            let given_at = Instant::now();
            sender.try_send(TimedReply { given_at, answer }).ok();
        }
    }
}

/// A waiting request; dropped together with its connection.
pub(super) struct PendingReply {
    /// The request's id.
    pub id: u64,
    receiver: Receiver<TimedReply>,
    replies: PendingReplies,
}

impl PendingReply {
    /// Waits for the answer; `None` if the request was dropped without one.
    pub(super) async fn wait(&self) -> Option<TimedReply> {
        self.receiver.recv().await.ok()
    }
}

impl Drop for PendingReply {
    fn drop(&mut self) {
        self.replies.waiting.borrow_mut().remove(&self.id);
    }
}
