//! What is sent, read and announced when.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use super::outbox::Outbox;
use super::platform::{ReadMode, Reads};
use super::readiness::Readiness;
use super::suspects::Suspects;
use super::{Effect, Endpoint, News, Ring, RingMember, SpreadStart};
use crate::members::HEARTBEAT_INTERVAL;
use crate::time::Time;

/// Time between two questions to the seeds while this daemon is not ready.
const SEED_GAP: Duration = Duration::from_millis(250);
/// Time without a tick after which this process counts as resumed from a pause.
///
/// It is above the delays seen on busy machines; ticks come at least once for each comparison.
const PAUSE: Duration = Duration::from_secs(5);
/// Time after which a daemon that has not read the instance list may watch the platform.
///
/// Until it knows other members it would count itself among the watchers, and so would all others
/// when a whole fleet starts.
const UNLISTED_WATCH: Duration = Duration::from_secs(10);

/// The plan of one daemon.
#[derive(Clone, Debug)]
pub struct Spread {
    heartbeat: Time,
    compare: Time,
    cursor: usize,
    instances: Reads,
    last: Time,
    /// Whether the instance list was read.
    list: bool,
    neighbours: Vec<SocketAddr>,
    outbox: Outbox,
    config: Reads,
    readiness: Readiness,
    ring: Ring,
    rng: Pcg32,
    start: SpreadStart,
    started: Time,
    suspects: Suspects,
    watching: bool,
}

impl Spread {
    /// The plan of a daemon that starts now.
    pub fn new(start: SpreadStart, now: Time) -> Self {
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
            cursor: rng.random_range(0..1 << 16),
            instances,
            last: now,
            list: false,
            neighbours,
            outbox: Outbox::default(),
            readiness,
            ring: Ring::default(),
            rng,
            start,
            started: now,
            suspects: Suspects::default(),
            watching: false,
        }
    }

    /// The peers that news are pushed to.
    pub fn neighbours(&self) -> &[SocketAddr] {
        &self.neighbours
    }

    /// Whether this daemon may take caller work.
    pub fn is_ready(&self) -> bool {
        self.readiness.is_ready()
    }

    /// Whether this daemon watches the platform.
    pub fn is_watching(&self) -> bool {
        self.watching
    }

    /// Takes in the members that are not leaving.
    pub fn set_members<'a>(&mut self, members: impl Iterator<Item = RingMember<'a>>, now: Time) {
        self.ring = Ring::new(members);
        self.arrange(now);
    }

    /// Notes news that came from a peer, or from elsewhere.
    pub fn note(&mut self, news: News, from: Option<SocketAddr>, now: Time) {
        self.outbox.add(news, from, now);
    }

    /// Notes the reply of a peer.
    pub fn peer_answered(&mut self, peer: SocketAddr, configured: bool, now: Time) {
        self.readiness.note_peer(configured);
        if self.suspects.clear(peer) {
            self.arrange(now);
        }
    }

    /// Notes that a peer could not be reached or did not reply.
    pub fn peer_failed(&mut self, peer: SocketAddr, now: Time) {
        self.suspects.add(peer, now, &mut self.rng);
        self.arrange(now);
    }

    /// Notes that the platform gave a usable configuration.
    pub fn platform_configured(&mut self) {
        self.readiness.note_platform();
    }

    /// Notes the end of a read of the platform; `ok` unless there was no proper response.
    pub fn read_ended(&mut self, endpoint: Endpoint, ok: bool, now: Time) {
        let mode = self.mode(endpoint);
        let reads = match endpoint {
            Endpoint::Config => &mut self.config,
            Endpoint::Instances => {
                self.list |= ok;
                &mut self.instances
            }
        };
        reads.end(ok, mode, now, &mut self.rng);
    }

    /// Everything that is due.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        if now - self.last > PAUSE.max(2 * self.start.settings.exchange) {
            self.resume(now);
        }
        self.last = now;
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
            let mode = self.mode(endpoint);
            let reads = match endpoint {
                Endpoint::Config => &mut self.config,
                Endpoint::Instances => &mut self.instances,
            };
            let wait = reads.start(mode, now);
            effects.extend(wait.map(|wait| Effect::Read(endpoint, wait)));
        }
        effects
    }

    /// When something is due next.
    pub fn next(&self) -> Time {
        let reads = [&self.config, &self.instances];
        let reads = reads.into_iter().filter(|r| !r.pending).map(|r| r.due);
        let heartbeat = self.is_ready().then_some(self.heartbeat);
        let timers = [self.outbox.due(), heartbeat, self.readiness.due()];
        let others = timers.into_iter().flatten().chain(reads);
        others.fold(self.compare, Time::min)
    }

    /// Broken invariants.
    pub fn verify(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let unique: BTreeSet<_> = self.neighbours.iter().collect();
        if unique.len() < self.neighbours.len() {
            faults.push("a neighbour stands twice".to_owned());
        }
        if self.neighbours.contains(&self.start.own) {
            faults.push("this daemon is its own neighbour".to_owned());
        }
        faults.extend(self.outbox.verify());
        faults
    }

    fn mode(&self, endpoint: Endpoint) -> ReadMode {
        let published = self.is_ready() || self.readiness.has_platform();
        match endpoint {
            Endpoint::Config | Endpoint::Instances if self.watching => ReadMode::Watch,
            Endpoint::Config if !published => ReadMode::Start(self.start.settings.start_wait),
            Endpoint::Config | Endpoint::Instances => ReadMode::Rare,
        }
    }

    /// After a pause, views of others are stale: compare and read at once.
    fn resume(&mut self, now: Time) {
        self.compare = now;
        self.suspects.clear_all();
        for reads in [&mut self.config, &mut self.instances] {
            reads.bring_forward(self.start.settings.start_wait, now, &mut self.rng);
        }
        self.arrange(now);
    }

    fn arrange(&mut self, now: Time) {
        self.suspects.expire(now);
        let suspects = &self.suspects;
        let (avoid, gone) = (|p| suspects.avoids(p, now), |p| suspects.is_gone(p));
        let SpreadStart {
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
        let informed = self.list || now - self.started >= UNLISTED_WATCH;
        let watching = informed && self.ring.watches(*own, domain, settings.watchers, gone);
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
            self.compare = now + SEED_GAP;
            let seeds = self.start.seeds.iter();
            let others = seeds.filter(|s| **s != self.start.own);
            effects.extend(others.map(|s| Effect::Compare(*s)));
            return;
        }
        let interval = self.start.settings.exchange;
        self.compare = now + interval.mul_f64(self.rng.random_range(0.8..1.2));
        self.arrange(now);
        let seeds = usize::from(!self.start.seeds.is_empty());
        let choices = (self.neighbours.len() + seeds).max(1);
        self.cursor = (self.cursor + 1) % choices;
        let peer = self.neighbours.get(self.cursor).copied();
        effects.extend(peer.or_else(|| self.any_seed()).map(Effect::Compare));
    }

    /// A seed at random. Comparing with one now and then joins parts of a fleet that have dropped
    /// each other's members during a long partition.
    fn any_seed(&mut self) -> Option<SocketAddr> {
        let at = self.rng.random_range(0..self.start.seeds.len().max(1));
        let seed = self.start.seeds.get(at).copied();
        seed.filter(|s| *s != self.start.own)
    }
}
