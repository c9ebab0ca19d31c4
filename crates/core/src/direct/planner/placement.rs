//! Where a call goes: what each engine would make it wait, and what its load would cost.

use crate::{
    direct::{
        catalog::TargetStage,
        engine::{CopyState, EngineState, WaitingCall},
        planner::{
            COME_BACK_MS, COMING_MOST, CallKey, LOAD_MARGIN, PlacementAnswer, PlacementRequest,
            PlacementTerms, RefusalCause, ZonePlanner, cache_transfer::PromptSource, millis,
            split_subject, suspects::SHARED_END_PRICE,
        },
    },
    ids::{AdapterName, Instant, TargetName},
};
use std::{net::SocketAddr, time::Duration};

/// Bounds of the time after which a caller is told to come back.
const COME_BACK_LEAST: Duration = Duration::from_millis(100);
const COME_BACK_MOST: Duration = Duration::from_millis(1_500);
/// Time by which a call may wait longer for its load than it was placed for.
const WAIT_OVERRUN: Duration = Duration::from_millis(250);

impl ZonePlanner {
    /// Places a call.
    pub fn place(&mut self, key: CallKey, ask: PlacementRequest, now: Instant) {
        let has_accepted_order = !matches!(ask.terms, PlacementTerms::Beat(_));
        if has_accepted_order {
            self.demand.record(&ask.subject, now);
        }
        let subject = (ask.may_load && has_accepted_order).then(|| ask.subject.clone());
        self.place_known(key, ask, now);
        if let Some(subject) = subject {
            self.spread(&subject, now);
        }
    }

    pub(super) fn place_known(&mut self, key: CallKey, ask: PlacementRequest, now: Instant) {
        if !ask.is_trial && self.needs_trial(ask.fingerprint, now) {
            self.refuse(key, COME_BACK_MS, RefusalCause::NeedsTrial);
            return;
        }
        let Some((name, cost)) = self.cheapest(&ask, now) else {
            self.refuse(key, COME_BACK_MS, RefusalCause::NoEngine);
            return;
        };
        let is_over = cost.wait > Duration::from_millis(u64::from(ask.bound_ms));
        let is_declined = match ask.terms {
            PlacementTerms::Inquire => is_over || cost.loads,
            PlacementTerms::Beat(most) => is_over || millis(cost.total) >= most,
            PlacementTerms::Take => false,
        };
        if is_declined {
            let cause = RefusalCause::Offer(millis(cost.total));
            self.refuse(key, COME_BACK_MS, cause);
            return;
        }
        if is_over {
            // It is loaded all the same, so that it is there when the caller comes back.
            self.load_ahead(&name, &ask, now);
            // Where loads are held, coming back before they are not is in vain.
            let most = COME_BACK_MOST.max(self.loads_held(now));
            let retry_after = cost.wait.clamp(COME_BACK_LEAST, most);
            let cause = RefusalCause::TooLong(millis(cost.wait));
            self.refuse(key, millis(retry_after), cause);
            return;
        }
        self.send_to(&name, key, ask, now);
    }

    fn cheapest(
        &self,
        ask: &PlacementRequest,
        now: Instant,
    ) -> Option<(TargetName, PlacementCost)> {
        let crowd = self.store_loads_in_flight(now) + self.loads_waiting();
        let sources = self.prompt_sources(ask, now);
        let shared_ends = self.shared_ends(ask.fingerprint, now);
        let all_doubted = self
            .engines
            .keys()
            .all(|name| self.health.is_degraded(name));
        self.engines
            .iter()
            .filter(|(name, engine)| {
                engine.entry.stage == TargetStage::Ready
                    && !ask.exclude.contains(name)
                    && !ask.resting.contains(name)
                    && !self.health.is_unreachable(name, now)
            })
            .filter_map(|(name, engine)| {
                let mut cost = self.cost(engine, ask, &sources, crowd, now)?;
                if self.health.is_degraded(name) && !all_doubted {
                    cost.total += self.policy.doubt_penalty;
                }
                cost.total += self
                    .policy
                    .failure_penalty
                    .mul_f64(self.health.failure_rate(name));
                if shared_ends.contains(name) {
                    cost.total += SHARED_END_PRICE;
                }
                if self.health.is_overloaded(name, now) {
                    cost.total += self.policy.shed_penalty;
                }
                Some((name.clone(), cost))
            })
            .min_by_key(|(name, cost)| (cost.total, home_rank(name, &ask.subject)))
    }

    fn cost(
        &self,
        engine: &EngineState,
        ask: &PlacementRequest,
        sources: &[PromptSource],
        crowd: u32,
        now: Instant,
    ) -> Option<PlacementCost> {
        let load = self.load_wait(engine, ask, crowd, now)?;
        let own = self.prompt_work(engine, ask, sources, now).time;
        let prompts = engine.prompts.backlog(ask.priority, &self.pace, now);
        let calls = u32::try_from(engine.calls.len()).unwrap_or(u32::MAX);
        let over = calls.saturating_sub(engine.entry.slots.saturating_sub(1));
        let tokens = engine.tokens_sent() + ask.max_kv_tokens();
        let full = if tokens > self.limits.kv_tokens * 95 / 100 {
            Duration::from_millis(500)
        } else {
            Duration::ZERO
        };
        let token_wait = self.rates.wait(&engine.entry.name, now);
        let wait = prompts.max(load.time).max(token_wait)
            + own
            + self.figures.time_per_call * calls
            + self.figures.slot_hold_time / engine.entry.slots.max(1) * over
            + full
            + engine.entry.warmup_remaining.min(Duration::from_secs(1));
        Some(PlacementCost {
            wait,
            total: wait + load.penalty,
            loads: load.is_new,
        })
    }

    fn load_wait(
        &self,
        engine: &EngineState,
        ask: &PlacementRequest,
        crowd: u32,
        now: Instant,
    ) -> Option<LoadCost> {
        let (model, adapter) = split_subject(&ask.subject);
        if !engine.has_model(model) || self.lends_older(engine, &ask.subject) {
            return None;
        }
        if adapter.is_none() {
            return Some(LoadCost::default());
        }
        match engine.copies.get(&ask.subject) {
            Some(copy) if copy.state != CopyState::Unloading => {
                let named = self.named_version(&ask.subject);
                let is_stale = named.is_some_and(|named| copy.is_stale_for(named));
                match copy.state {
                    CopyState::Loaded | CopyState::Loading(_) if is_stale => None,
                    CopyState::Loading(at) => Some(LoadCost {
                        time: at.since(now),
                        ..LoadCost::default()
                    }),
                    CopyState::Queued => Some(LoadCost {
                        time: self.loads_held(now) + self.loads.expected_time(&engine.entry.name),
                        ..LoadCost::default()
                    }),
                    CopyState::ReloadQueued => Some(LoadCost {
                        time: self.loads.expected_time(&engine.entry.name),
                        ..LoadCost::default()
                    }),
                    _ => Some(LoadCost::default()),
                }
            }
            Some(_) => None,
            None => {
                if !ask.may_load
                    || now < self.orders_from
                    || !engine.is_inventory_known
                    || engine.unloading.is_some()
                {
                    return None;
                }
                let waiting = engine.queue.len() + engine.loading_count(now);
                if waiting >= 2 * COMING_MOST || !self.can_make_room(engine, now) {
                    return None;
                }
                let is_new =
                    !engine.was_recently_loaded(&ask.subject, self.named_version(&ask.subject));
                let (time, price) = if is_new {
                    (
                        self.loads.expected_wait(&engine.entry.name, crowd),
                        self.policy.load_penalty,
                    )
                } else {
                    (self.figures.reload_time, self.policy.reload_penalty)
                };
                let turn = u32::try_from(engine.queue.len()).unwrap_or(0);
                Some(LoadCost {
                    time: self.loads_held(now) + time + Duration::from_millis(8) * turn,
                    penalty: price,
                    is_new,
                })
            }
        }
    }

    pub(super) fn can_make_room(&self, engine: &EngineState, now: Instant) -> bool {
        let wanted = engine.copies.len();
        wanted < self.limits.adapter_slots as usize || self.victim(engine, now).is_some()
    }

    /// Loads from the store that are on their way in this zone.
    pub(super) fn store_loads_in_flight(&self, now: Instant) -> u32 {
        let loads = self
            .engines
            .values()
            .map(|engine| engine.store_loads_in_flight(now));
        u32::try_from(loads.sum::<usize>()).unwrap_or(u32::MAX)
    }

    pub(super) fn loads_waiting(&self) -> u32 {
        let wanted: usize = self
            .engines
            .values()
            .map(|engine| engine.copies.len() - engine.occupied_slots())
            .sum();
        u32::try_from(wanted).unwrap_or(u32::MAX)
    }

    /// Orders the load of an adapter whose caller was told to come back, if that drives nothing out: under load most
    /// places are in use, and what is brought in ahead would go again before its caller is back.
    pub(super) fn load_ahead(&mut self, name: &TargetName, ask: &PlacementRequest, now: Instant) {
        let has_adapter = split_subject(&ask.subject).1.is_some();
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let has_place = engine.copies.len() < self.limits.adapter_slots as usize;
        if has_adapter && ask.may_load && has_place && !engine.copies.contains_key(&ask.subject) {
            engine.queue_load(&ask.subject, now);
            self.advance(name, now);
        }
    }

    pub(super) fn send_to(
        &mut self,
        name: &TargetName,
        key: CallKey,
        mut ask: PlacementRequest,
        now: Instant,
    ) {
        // From here on it is this zone's call, also if its load comes to nothing.
        ask.terms = PlacementTerms::Take;
        let (_, adapter) = split_subject(&ask.subject);
        let is_adapter = adapter.is_some();
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        if is_adapter && !engine.copies.contains_key(&ask.subject) {
            engine.queue_load(&ask.subject, now);
        }
        let copy = engine.copies.get_mut(&ask.subject);
        let wait_ms = match copy {
            Some(copy) if matches!(copy.state, CopyState::Queued | CopyState::ReloadQueued) => {
                let bound = Duration::from_millis(u64::from(ask.bound_ms));
                let until = now.after(bound + WAIT_OVERRUN);
                copy.waiters.push(WaitingCall { key, ask, until });
                copy.last_used_at = now;
                self.advance(name, now);
                return;
            }
            Some(copy) => {
                copy.active_calls += 1;
                copy.last_used_at = now;
                match copy.state {
                    CopyState::Loading(at) if at > now => millis(at.since(now) + LOAD_MARGIN),
                    _ => 0,
                }
            }
            None => 0,
        };
        self.send_after(name, key, &ask, wait_ms, now);
    }

    /// Sends a call once its adapter is there and its engine's limit has room for it.
    pub(super) fn send_after(
        &mut self,
        name: &TargetName,
        key: CallKey,
        ask: &PlacementRequest,
        adapter_ms: u32,
        now: Instant,
    ) {
        let token_wait = self.rates.wait(name, now);
        self.rates.take_token(name, now);
        let wait_ms = adapter_ms.max(millis(token_wait));
        let sent = self.note_sent(name, key.clone(), ask, wait_ms, now);
        self.answer_send(name, key, &ask.subject, wait_ms, sent);
    }

    fn answer_send(
        &mut self,
        name: &TargetName,
        key: CallKey,
        subject: &AdapterName,
        wait_ms: u32,
        sent: SentHow,
    ) {
        let engine = self.engines.get(name);
        let answer = PlacementAnswer::Send {
            target: name.clone(),
            life: engine.map(|engine| engine.entry.life).unwrap_or_default(),
            wait_ms,
            fetch: sent.fetch,
            expected_ms: millis(sent.expected),
            version: sent.version,
            is_sought: self.is_sought(subject),
            is_limited: self.rates.is_limited(name),
        };
        self.answer(key, answer);
    }

    /// Counts a call that is sent now; returns what it is sent with.
    fn note_sent(
        &mut self,
        name: &TargetName,
        key: CallKey,
        ask: &PlacementRequest,
        wait_ms: u32,
        now: Instant,
    ) -> SentHow {
        let Some(engine) = self.engines.get(name) else {
            return SentHow::default();
        };
        let load = Duration::from_millis(u64::from(wait_ms));
        let sources = self.prompt_sources(ask, now);
        let work = self.prompt_work(engine, ask, &sources, now);
        let backlog = engine.prompts.backlog(ask.priority, &self.pace, now);
        let named = self.named_version(&ask.subject);
        let moved = work.fetch.map(|source| source.mark.expected());
        let version = named.or(moved).or(engine.pinned_version(&ask.subject));
        self.tell_move(name, &key, ask, &sources, work.fetch);
        self.drop_call(&key);
        if let Some(source) = work.fetch {
            self.lend_cache(source, ask, &key);
        }
        if let Some(engine) = self.engines.get_mut(name) {
            let prompts = &mut engine.prompts;
            prompts.add(key.clone(), work.tokens, ask.priority, now.after(load));
            let call = engine.sent_call(ask);
            engine.add_call(key, call);
        }
        SentHow {
            expected: backlog.max(load) + work.time,
            fetch: work.fetch.map(|source| source.address),
            version,
        }
    }
}

/// What a call is sent with.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SentHow {
    expected: Duration,
    fetch: Option<SocketAddr>,
    /// The version that it asks for.
    version: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct PlacementCost {
    /// Expected wait for the first token.
    wait: Duration,
    /// The wait, and what the placement costs others.
    total: Duration,
    /// Whether its adapter has to come from the store.
    loads: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct LoadCost {
    time: Duration,
    penalty: Duration,
    /// Whether it is a load from the store that is not planned yet.
    is_new: bool,
}

/// Rank by rendezvous hashing, so that equal costs lead an adapter to the same engine.
fn home_rank(target: &TargetName, subject: &AdapterName) -> u64 {
    use siphasher::sip::SipHasher13;
    use std::hash::{Hash, Hasher};
    let mut hasher = SipHasher13::new();
    target.as_str().hash(&mut hasher);
    subject.as_str().hash(&mut hasher);
    hasher.finish()
}
