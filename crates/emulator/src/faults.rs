//! Link faults: which messages are held back, refused, executed late, or lose their response.
//!
//! A link has a direction. A fault may affect only a share of the machines. A hash of their names
//! selects the share, so the same machines are affected as long as the fault lasts.

use async_io::Timer;
use event_listener::Event;
use futures_lite::FutureExt;
use serde::{Deserialize, Serialize};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Party {
    /// A controller, by its number.
    Node(usize),
    /// The controller that leads when the fault begins.
    Leader,
    State,
    Cloud,
    Workers,
    /// Any sender of direct commands to machines.
    Direct,
    Users,
}

/// A link in one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Route {
    pub from: Party,
    pub to: Party,
}

impl Route {
    /// Returns the link from one party to another.
    pub(crate) fn between(from: Party, to: Party) -> Route {
        Route { from, to }
    }

    /// Returns the link in the opposite direction.
    pub(crate) fn back(self) -> Route {
        Route::between(self.to, self.from)
    }
}

/// A kind of link fault.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub(crate) enum LinkFault {
    /// All messages are held back, and delivered in order when the fault is over.
    Cut,
    /// Each message is delayed by a random time up to `delay_ms`.
    Slow { delay_ms: u64 },
    /// This share of the requests is refused.
    Refuses { share: f64 },
    /// Instead of this share of the messages, the connection is closed.
    Resets { share: f64 },
    /// This share of the requests is executed, and the response is lost.
    LosesAnswers { share: f64 },
    /// This share of the requests is executed after a random delay, without a response.
    Late { share: f64, least_s: f64, most_s: f64 },
    /// A copy of this share of the messages arrives after a random delay.
    Copies { share: f64, least_s: f64, most_s: f64 },
}

/// The treatment of one message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Delivery {
    Deliver,
    Refuse,
    Reset,
    LoseAnswer,
    Late(Duration),
}

/// A fault in effect on a link, with its end.
struct ActiveFault {
    route: Route,
    /// Share of the machines that are affected.
    hosts: f64,
    fault: LinkFault,
    until: Instant,
}

impl ActiveFault {
    /// Returns whether the fault affects a message; an empty `host` matches any share.
    fn affects(&self, route: &Route, host: &str) -> bool {
        self.route == *route && Instant::now() < self.until && (host.is_empty() || name_fraction(host) < self.hosts)
    }
}

/// Maps a name to a number from 0 to 1 by its FNV-1a hash.
fn name_fraction(name: &str) -> f64 {
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

struct FaultState {
    active: Vec<ActiveFault>,
    rng: fastrand::Rng,
}

/// The active link faults of an experiment.
pub(crate) struct Faults {
    state: Mutex<FaultState>,
    changed: Event,
}

impl Faults {
    /// Creates an empty set of faults; `seed` determines the random choices.
    pub(crate) fn new(seed: u64) -> Faults {
        let state = FaultState {
            active: vec![],
            rng: fastrand::Rng::with_seed(seed),
        };
        Faults {
            state: Mutex::new(state),
            changed: Event::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, FaultState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a fault on a link for a share of the machines.
    pub(crate) fn start(&self, route: Route, hosts: f64, fault: LinkFault, lasts: Duration) {
        let until = Instant::now() + lasts;
        let mut state = self.state();
        state.active.retain(|active| Instant::now() < active.until);
        state.active.push(ActiveFault {
            route,
            hosts,
            fault,
            until,
        });
        drop(state);
        self.changed.notify(usize::MAX);
    }

    /// Ends all faults.
    pub(crate) fn clear(&self) {
        self.state().active.clear();
        self.changed.notify(usize::MAX);
    }

    /// Returns the end of the last cut that affects a message, if there is one.
    fn held_until(&self, route: &Route, host: &str) -> Option<Instant> {
        let state = self.state();
        let cuts = state.active.iter().filter(|active| active.fault == LinkFault::Cut);
        cuts.filter(|cut| cut.affects(route, host)).map(|cut| cut.until).max()
    }

    /// Returns whether a cut holds back messages.
    pub(crate) fn is_held(&self, route: &Route, host: &str) -> bool {
        self.held_until(route, host).is_some()
    }

    /// Waits for the delay of a message and for the end of all cuts on its link.
    pub(crate) async fn wait_to_pass(&self, route: &Route, host: &str) {
        let delay = self.delay(route, host);
        if !delay.is_zero() {
            Timer::after(delay).await;
        }
        loop {
            let changed = self.changed.listen();
            let Some(until) = self.held_until(route, host) else {
                return;
            };
            let end = async {
                Timer::at(until).await;
            };
            changed.or(end).await;
        }
    }

    /// Draws the delay of a message.
    fn delay(&self, route: &Route, host: &str) -> Duration {
        let mut state = self.state();
        let FaultState { active, rng } = &mut *state;
        let slow = active.iter().filter_map(|active| match active.fault {
            LinkFault::Slow { delay_ms } if active.affects(route, host) => Some(delay_ms),
            _ => None,
        });
        let most = slow.max().unwrap_or(0);
        Duration::from_micros((most as f64 * 1000.0 * rng.f64()) as u64)
    }

    /// Decides the treatment of a message that has passed delays and cuts.
    pub(crate) fn delivery(&self, route: &Route, host: &str) -> Delivery {
        let mut state = self.state();
        let FaultState { active, rng } = &mut *state;
        for active in active.iter().filter(|active| active.affects(route, host)) {
            let (share, delivery) = match active.fault {
                LinkFault::Refuses { share } => (share, Delivery::Refuse),
                LinkFault::Resets { share } => (share, Delivery::Reset),
                LinkFault::LosesAnswers { share } => (share, Delivery::LoseAnswer),
                LinkFault::Late { share, least_s, most_s } => (share, Delivery::Late(between(rng, least_s, most_s))),
                LinkFault::Cut | LinkFault::Slow { .. } | LinkFault::Copies { .. } => continue,
            };
            if rng.f64() < share {
                return delivery;
            }
        }
        Delivery::Deliver
    }

    /// Returns the delay of a message's copy, if it is copied.
    pub(crate) fn copy_delay(&self, route: &Route, host: &str) -> Option<Duration> {
        let mut state = self.state();
        let FaultState { active, rng } = &mut *state;
        let mut affecting = active.iter().filter(|active| active.affects(route, host));
        affecting.find_map(|active| match active.fault {
            LinkFault::Copies { share, least_s, most_s } if rng.f64() < share => Some(between(rng, least_s, most_s)),
            _ => None,
        })
    }
}

fn between(rng: &mut fastrand::Rng, least_s: f64, most_s: f64) -> Duration {
    crate::experiment::seconds(least_s + (most_s - least_s) * rng.f64())
}
