//! Sleeps that end within about 0.1 ms of their time.
//!
//! The runtime's own timer rounds up to whole milliseconds, which is longer than the network delays
//! and gaps between arrivals that the fakes emulate. A helper thread waits for the earliest time and
//! wakes the runtime through a socket pair; neither thread spins.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::Write;
use std::os::unix::net::UnixStream as StdStream;
use std::rc::Rc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;

/// How much earlier the helper thread rings: from its wake-up to that of the runtime's task it took
/// 0.16 ms on an idle machine, most of it the kernel's timer slack and two thread switches.
const LEAD: Duration = Duration::from_micros(100);

/// Sleeps may end this much early, so that a fast wake-up isn't followed by a second, shorter wait.
const TOLERANCE: Duration = Duration::from_micros(50);

/// Handle of the timer of one runtime.
#[derive(Clone, Debug)]
pub struct Timer {
    inner: Rc<RefCell<Sleepers>>,
}

#[derive(Debug)]
struct Sleepers {
    alarm: Sender<Instant>,
    armed: Option<Instant>,
    next_id: u64,
    waiting: BTreeMap<(Instant, u64), oneshot::Sender<()>>,
}

impl Timer {
    /// Starts the helper thread and the task that wakes sleepers. Call it inside the runtime.
    ///
    /// # Errors
    ///
    /// The socket pair can't be created.
    pub fn start() -> std::io::Result<Self> {
        let (near, far) = StdStream::pair()?;
        near.set_nonblocking(true)?;
        let near = UnixStream::from_std(near)?;
        let (alarm, requests) = channel();
        thread::spawn(move || ring(&requests, far));
        let inner = Rc::new(RefCell::new(Sleepers {
            alarm,
            armed: None,
            next_id: 0,
            waiting: BTreeMap::new(),
        }));
        monoio::spawn(wake_sleepers(near, Rc::clone(&inner)));
        Ok(Self { inner })
    }

    /// The latest time that counts as reached now; use it to tell what is due after a sleep.
    pub fn due() -> Instant {
        Instant::now() + TOLERANCE
    }

    /// Completes when `time` is due, or at once if it has passed.
    pub async fn sleep_until(&self, time: Instant) {
        if time <= Self::due() {
            return;
        }
        let (wake, woken) = oneshot::channel();
        self.inner.borrow_mut().add(time, wake);
        let _ = woken.await;
    }
}

impl Sleepers {
    fn add(&mut self, time: Instant, wake: oneshot::Sender<()>) {
        self.next_id += 1;
        self.waiting.insert((time, self.next_id), wake);
        self.arm();
    }

    fn arm(&mut self) {
        self.waiting.retain(|_, wake| !wake.is_canceled());
        let Some(((first, _), _)) = self.waiting.first_key_value() else {
            return;
        };
        if self.armed.is_none_or(|armed| *first < armed) {
            self.armed = Some(*first);
            // A short sleep is waited for in full; an early ring would be followed by many more.
            let early = first.checked_sub(LEAD);
            let ring = early.filter(|early| *early > Instant::now() + LEAD);
            let _ = self.alarm.send(ring.unwrap_or(*first));
        }
    }

    fn wake_due(&mut self, due: Instant) {
        self.armed = None;
        while let Some(entry) = self.waiting.first_entry() {
            if entry.key().0 > due {
                break;
            }
            let _ = entry.remove().send(());
        }
        self.arm();
    }
}

async fn wake_sleepers(mut bell: UnixStream, inner: Rc<RefCell<Sleepers>>) {
    let mut buf = vec![0; 64];
    loop {
        let (result, back) = bell.read(buf).await;
        buf = back;
        match result {
            Ok(n) if n > 0 => inner.borrow_mut().wake_due(Timer::due()),
            _ => return,
        }
    }
}

/// Body of the helper thread: waits for the earliest requested time, then writes one byte.
fn ring(requests: &Receiver<Instant>, mut far: StdStream) {
    let mut next: Option<Instant> = None;
    loop {
        let received = match next {
            None => requests.recv().map_err(|_| RecvTimeoutError::Disconnected),
            Some(time) => requests.recv_timeout(time.saturating_duration_since(Instant::now())),
        };
        match received {
            Ok(time) => next = Some(next.map_or(time, |n| n.min(time))),
            Err(RecvTimeoutError::Timeout) => {
                next = None;
                if far.write_all(&[1]).is_err() {
                    return;
                }
            }
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}
