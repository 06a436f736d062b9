//! Timer with a precision of about 0.1 ms.
//!
//! The timer of the runtime rounds up to whole milliseconds, which is longer than the network
//! delays and request intervals that the fakes emulate. A helper thread blocks until the earliest
//! wake-up time and wakes the runtime through a socket pair. Neither thread spins.

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

/// How long before the requested time the helper thread wakes the runtime. The wake-up takes 0.16
/// ms on an idle machine, mostly for the kernel's timer slack and two thread switches.
const WAKE_LEAD: Duration = Duration::from_micros(100);

/// How much earlier than requested a sleep may end. This avoids a second, shorter sleep after a
/// fast wake-up.
const TOLERANCE: Duration = Duration::from_micros(50);

/// Handle to the timer of a runtime; clones share the helper thread.
#[derive(Clone, Debug)]
pub struct Timer {
    state: Rc<RefCell<TimerState>>,
}

#[derive(Debug)]
struct TimerState {
    wake_times: Sender<Instant>,
    armed: Option<Instant>,
    next_id: u64,
    waiting: BTreeMap<(Instant, u64), oneshot::Sender<()>>,
}

impl Timer {
    /// Starts the helper thread and the task that completes sleeps. Must be called in a runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket pair can't be created.
    pub fn start() -> std::io::Result<Self> {
        let (receiver, sender) = StdStream::pair()?;
        receiver.set_nonblocking(true)?;
        let receiver = UnixStream::from_std(receiver)?;
        let (wake_times, requests) = channel();
        thread::spawn(move || wake_up(&requests, sender));
        let state = Rc::new(RefCell::new(TimerState {
            wake_times,
            armed: None,
            next_id: 0,
            waiting: BTreeMap::new(),
        }));
        monoio::spawn(wake_due_sleepers(receiver, Rc::clone(&state)));
        Ok(Self { state })
    }

    /// Current time plus the tolerance for early wake-ups. After a sleep, everything scheduled up
    /// to this time is due.
    pub fn due() -> Instant {
        Instant::now() + TOLERANCE
    }

    /// Completes when `time` is due, or at once if it has passed.
    pub async fn sleep_until(&self, time: Instant) {
        if time <= Self::due() {
            return;
        }
        let (wake, woken) = oneshot::channel();
        self.state.borrow_mut().add(time, wake);
        let _ = woken.await;
    }
}

impl TimerState {
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
            // A short sleep is not shortened, since an early wake-up would cause many more.
            let early = first.checked_sub(WAKE_LEAD);
            let wake_up = early.filter(|early| *early > Instant::now() + WAKE_LEAD);
            let _ = self.wake_times.send(wake_up.unwrap_or(*first));
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

async fn wake_due_sleepers(mut wake_socket: UnixStream, state: Rc<RefCell<TimerState>>) {
    let mut buf = vec![0; 64];
    loop {
        let (result, back) = wake_socket.read(buf).await;
        buf = back;
        match result {
            Ok(n) if n > 0 => state.borrow_mut().wake_due(Timer::due()),
            _ => return,
        }
    }
}

/// Blocks until the earliest requested time, then writes a byte to wake the runtime.
fn wake_up(requests: &Receiver<Instant>, mut sender: StdStream) {
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
                if sender.write_all(&[1]).is_err() {
                    return;
                }
            }
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}
