//! The schedule of pushes, comparisons, reads and announcements.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use super::outbox::Outbox;
use super::platform::{ReadMode, Reads};
use super::readiness::Readiness;
use super::unreachable::UnreachablePeers;
use super::{Effect, Endpoint, GossipStart, Ring, RingMember, Update};
use crate::members::HEARTBEAT_INTERVAL;
use crate::time::Time;

/// Time between two comparisons with the seeds while this daemon is not ready.
const SEED_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a tick after which this process counts as resumed from a pause.
///
/// It exceeds the scheduling delays of busy machines; ticks occur at least once for each comparison.
const RESUME_THRESHOLD: Duration = Duration::from_secs(5);
/// Time after which a daemon that has not read the instance list may watch the platform.
///
/// A daemon without a member list counts itself among the watchers, so that without this delay all daemons
/// would watch when a whole fleet starts.
const UNLISTED_WATCH_DELAY: Duration = Duration::from_secs(10);

/// The gossip state of one daemon.
#[derive(Clone, Debug)]
pub struct Gossip {
    heartbeat: Time,
    compare: Time,
    /// Index of the last compared neighbour, random at the start. The index after all neighbours selects a
    /// random seed peer.
    compare_cursor: usize,
    instances: Reads,
    last_tick: Time,
    /// Whether the instance list has been read at least once.
    list_read: bool,
    neighbours: Vec<SocketAddr>,
    outbox: Outbox,
    config: Reads,
    readiness: Readiness,
    ring: Ring,
    rng: Pcg32,
    start: GossipStart,
    started: Time,
    unreachable: UnreachablePeers,
    watching: bool,
}

impl Gossip {
    /// The state of a daemon that starts now.
    pub fn new(start: GossipStart, now: Time) -> Self {
        let mut rng = Pcg32::seed_from_u64(start.seed);
        let wait = start.settings.start_wait;
        let mut read = || Reads::new(now + wait.mul_f64(rng.random()));
        let (config, instances) = (read(), read());
        let seeds = start.seeds.iter().copied().filter(|s| *s != start.own);
        let neighbours: Vec<_> = seeds.collect::<BTreeSet<_>>().into_iter().collect();
        let readiness = Readiness::new(!neighbours.is_empty(), wait, now);
        Self {
            heartbeat: now,
            compare: now,
            config,
            compare_cursor: rng.random_range(0..1 << 16),
            instances,
            last_tick: now,
            list_read: false,
            neighbours,
            outbox: Outbox::default(),
            readiness,
            ring: Ring::default(),
            rng,
            start,
            started: now,
            unreachable: UnreachablePeers::default(),
            watching: false,
        }
    }

    /// The peers that updates are pushed to.
    pub fn neighbours(&self) -> &[SocketAddr] {
        &self.neighbours
    }

    /// Whether this daemon may accept caller work.
    pub fn is_ready(&self) -> bool {
        self.readiness.is_ready()
    }

    /// Whether this daemon watches the platform.
    pub fn is_watching(&self) -> bool {
        self.watching
    }

    /// Replaces the members of the ring. `members` must not contain members that are leaving.
    pub fn set_members<'a>(&mut self, members: impl Iterator<Item = RingMember<'a>>, now: Time) {
        self.ring = Ring::new(members);
        self.update_roles(now);
    }

    /// Queues an update for the next push; `from` is the peer that sent it, if any.
    pub fn queue(&mut self, update: Update, from: Option<SocketAddr>, now: Time) {
        self.outbox.add(update, from, now);
    }

    /// Records a reply of a peer; `configured` states whether the peer has a configuration.
    pub fn peer_answered(&mut self, peer: SocketAddr, configured: bool, now: Time) {
        self.readiness.record_peer(configured);
        if self.unreachable.clear(peer) {
            self.update_roles(now);
        }
    }

    /// Records that a peer could not be reached or did not reply.
    pub fn peer_failed(&mut self, peer: SocketAddr, now: Time) {
        self.unreachable.add(peer, now, &mut self.rng);
        self.update_roles(now);
    }

    /// Records that the platform gave a usable configuration.
    pub fn platform_configured(&mut self) {
        self.readiness.record_platform();
    }

    /// Schedules the next read of an endpoint; `ok` is false if the last one got no proper response.
    pub fn read_ended(&mut self, endpoint: Endpoint, ok: bool, now: Time) {
        let mode = self.read_mode(endpoint);
        let reads = match endpoint {
            Endpoint::Config => &mut self.config,
            Endpoint::Instances => {
                self.list_read |= ok;
                &mut self.instances
            }
        };
        reads.end(ok, mode, now, &mut self.rng);
    }

    /// Returns all effects that are due.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        if now - self.last_tick > RESUME_THRESHOLD.max(2 * self.start.settings.exchange) {
            self.resume(now);
        }
        self.last_tick = now;
        let mut effects = Vec::new();
        if self.readiness.become_ready(now) {
            effects.push(Effect::Serve);
        }
        if self.is_ready() && now >= self.heartbeat {
            self.heartbeat = now + HEARTBEAT_INTERVAL.mul_f64(self.rng.random_range(0.9..1.0));
            effects.push(Effect::Announce);
        }
        effects.extend(self.outbox.push(&self.neighbours, now));
        self.compare(now, &mut effects);
        for endpoint in [Endpoint::Config, Endpoint::Instances] {
            let mode = self.read_mode(endpoint);
            let reads = match endpoint {
                Endpoint::Config => &mut self.config,
                Endpoint::Instances => &mut self.instances,
            };
            let wait = reads.start(mode, now);
            effects.extend(wait.map(|wait| Effect::Read(endpoint, wait)));
        }
        effects
    }

    /// When the next effect is due.
    pub fn next(&self) -> Time {
        let reads = [&self.config, &self.instances];
        let reads = reads.into_iter().filter(|r| !r.pending).map(|r| r.due);
        let heartbeat = self.is_ready().then_some(self.heartbeat);
        let timers = [self.outbox.due(), heartbeat, self.readiness.due()];
        let others = timers.into_iter().flatten().chain(reads);
        others.fold(self.compare, Time::min)
    }

    /// Descriptions of broken invariants.
    pub fn verify(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let unique: BTreeSet<_> = self.neighbours.iter().collect();
        if unique.len() < self.neighbours.len() {
            faults.push("the neighbours contain a duplicate".to_owned());
        }
        if self.neighbours.contains(&self.start.own) {
            faults.push("this daemon is its own neighbour".to_owned());
        }
        faults.extend(self.outbox.verify());
        faults
    }

    fn read_mode(&self, endpoint: Endpoint) -> ReadMode {
        let published = self.is_ready() || self.readiness.has_platform();
        match endpoint {
            Endpoint::Config | Endpoint::Instances if self.watching => ReadMode::Watch,
            Endpoint::Config if !published => ReadMode::Start(self.start.settings.start_wait),
            Endpoint::Config | Endpoint::Instances => ReadMode::Rare,
        }
    }

    /// After a pause, the state received from peers is stale: compares and reads at once.
    fn resume(&mut self, now: Time) {
        self.compare = now;
        self.unreachable.clear_all();
        for reads in [&mut self.config, &mut self.instances] {
            reads.bring_forward(self.start.settings.start_wait, now, &mut self.rng);
        }
        self.update_roles(now);
    }

    fn update_roles(&mut self, now: Time) {
        self.unreachable.expire(now);
        let unreachable = &self.unreachable;
        let (avoid, failed) = (
            |p| unreachable.is_avoided(p, now),
            |p| unreachable.has_failed(p),
        );
        let GossipStart {
            domain,
            own,
            seeds,
            settings,
            ..
        } = &self.start;
        self.neighbours = self.ring.neighbours(*own, avoid);
        if self.neighbours.is_empty() {
            let others = seeds.iter().copied().filter(|s| s != own);
            self.neighbours = others.collect::<BTreeSet<_>>().into_iter().collect();
        }
        let may_watch = self.list_read || now - self.started >= UNLISTED_WATCH_DELAY;
        let watching = may_watch && self.ring.watches(*own, domain, settings.watchers, failed);
        if watching && !self.watching {
            self.config.take_over(now, &mut self.rng);
            self.instances.take_over(now, &mut self.rng);
        }
        self.watching = watching;
    }

    fn compare(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if now < self.compare {
            return;
        }
        if !self.is_ready() {
            self.compare = now + SEED_INTERVAL;
            let seeds = self.start.seeds.iter();
            let others = seeds.filter(|s| **s != self.start.own);
            effects.extend(others.map(|s| Effect::Compare(*s)));
            return;
        }
        let interval = self.start.settings.exchange;
        self.compare = now + interval.mul_f64(self.rng.random_range(0.8..1.2));
        self.update_roles(now);
        let seeds = usize::from(!self.start.seeds.is_empty());
        let choices = (self.neighbours.len() + seeds).max(1);
        self.compare_cursor = (self.compare_cursor + 1) % choices;
        let peer = self.neighbours.get(self.compare_cursor).copied();
        effects.extend(
            peer.or_else(|| self.random_seed_peer())
                .map(Effect::Compare),
        );
    }

    /// A random seed peer. Occasional comparisons with one rejoin parts of a fleet that have removed
    /// each other's members during a long partition.
    fn random_seed_peer(&mut self) -> Option<SocketAddr> {
        let at = self.rng.random_range(0..self.start.seeds.len().max(1));
        let seed = self.start.seeds.get(at).copied();
        seed.filter(|s| *s != self.start.own)
    }
}
