//! What the gate task does when a request ends: it learns from the answer, and replies to the senders.

use std::time::Duration;

use futures::channel::oneshot;
use hawthornwall_core::admission::{Event, Limits, RunEnd, WorkId};
use hawthornwall_core::prelude::*;
use hawthornwall_wire::peer::{RequestId, RunReply, RunResult};

use super::super::conn::{Finished, JobEnd};
use super::super::work::Waiter;
use super::GateTask;
use crate::dialect::Dialect;
use crate::self_report::SelfReport;
use crate::telemetry::{Event as Count, log};

impl GateTask {
    pub(super) fn finish(&mut self, finished: Finished) {
        let Finished {
            end,
            idle,
            report,
            work,
        } = finished;
        if let Some(report) = &report {
            self.record_report(report);
        }
        if let Some(load) = report.as_ref().and_then(|r| r.load) {
            self.record_load(load);
        }
        self.idle.extend(idle);
        let run_end = match &end {
            JobEnd::Answered(answer) if answer.status >= 500 => RunEnd::Failed,
            JobEnd::Answered(_) | JobEnd::Lost(Loss::Cancelled) => RunEnd::Completed,
            JobEnd::Lost(_) => RunEnd::Failed,
            JobEnd::Refused(_) => RunEnd::NotRun,
        };
        // A target that isn't probed stays reachable for the gate; the next request tries it again.
        let probed = self.address.dialect == Dialect::Own;
        let unreachable = probed && matches!(end, JobEnd::Refused(Refusal::Down));
        let abandoned = matches!(end, JobEnd::Lost(Loss::Cancelled | Loss::Expired));
        let run_result = match end {
            JobEnd::Answered(answer) => RunResult::Answered(answer),
            JobEnd::Lost(loss) => RunResult::Lost(loss),
            JobEnd::Refused(refusal) => RunResult::Refused(refusal),
        };
        let finish = Event::Finish {
            end: run_end,
            id: work,
        };
        // Before the slot becomes free, so that no waiting request starts at a target that drains.
        if report.is_some_and(|r| r.draining) {
            self.apply(&Event::TargetDrains(true));
        }
        let now_unreachable = unreachable.then_some(Event::Reachable(false));
        let usable = self.gate.usable_slots();
        let abandoned = abandoned.then_some(Event::Abandon(work));
        for event in now_unreachable.iter().chain(&abandoned).chain([&finish]) {
            self.apply(event);
        }
        if self.gate.usable_slots() != usable {
            let usable = self.gate.usable_slots();
            log::info!("number of usable slots changed", kv: { usable });
        }
        self.finish_work(work, &run_result);
    }

    /// Passes what an answer states about the target to the gate, except for its load.
    pub(super) fn record_report(&mut self, report: &SelfReport) {
        let now = self.now;
        if let Some(name) = report.name.as_deref()
            && self.gate.observe_name(name, now)
        {
            log::info!("the target stated its name", kv: { name });
        }
        if report.leaving {
            if !self.gate.target_leaves(now) {
                log::info!("the target stated that it leaves");
            }
            self.apply(&Event::TargetLeaves);
        }
        if self.gate.limit_rate(report.rate_limit, now) {
            let per_second = report.rate_limit.map(|limit| limit.per_second.to_string());
            let per_second = per_second.as_deref().unwrap_or("none");
            log::info!("the target's limit on requests changed", kv: { per_second });
        }
    }

    /// Passes what the answer to a load check states about the cold time to the gate.
    pub(super) fn record_cold(&mut self, report: &SelfReport) {
        self.gate.observe_cold(report.cold, self.now);
        self.report_cold();
    }

    /// Logs and counts that the target is cold, or is warm again.
    pub(super) fn report_cold(&mut self) {
        let cold = self.gate.is_cold();
        if cold == std::mem::replace(&mut self.cold, cold) {
            return;
        }
        if cold {
            self.telemetry.record(Count::TargetCold);
            log::info!("the target was found cold");
        } else {
            log::info!("the target is warm again");
        }
    }

    /// Passes the reported load to the gate. Without a configured target, the reported number of
    /// slots becomes the limit.
    fn record_load(&mut self, load: TargetLoad) {
        self.gate.observe_load(load, self.now);
        if self.target.is_none() && load.slots > 0 {
            let limits = Limits {
                queue_wait: Duration::ZERO,
                slots: load.slots,
            };
            self.apply(&Event::Configure(limits));
        }
    }

    pub(super) fn finish_work(&mut self, work: WorkId, result: &RunResult) {
        let Some(inflight) = self.work.remove(work) else {
            return;
        };
        if let Some(record_id) = inflight.record_id {
            self.records.record_end(record_id, result, self.now);
        }
        for waiter in inflight.waiters {
            self.reply(waiter, result.clone());
        }
    }

    pub(super) fn reply(&mut self, waiter: Waiter, result: RunResult) {
        if let RunResult::Refused(refusal) = &result {
            self.telemetry.record(Count::GateRefused(*refusal));
            if *refusal == Refusal::Evacuated {
                self.evacuated_refusals += 1;
            }
        }
        let held = self.now - waiter.arrived;
        self.send_reply(waiter.reply, waiter.id, result, held);
    }

    pub(super) fn send_reply(
        &mut self,
        reply: oneshot::Sender<RunReply>,
        id: RequestId,
        result: RunResult,
        held: Duration,
    ) {
        let report = self.gate.report(self.now);
        let _ = reply.send(RunReply {
            result,
            held,
            id,
            report,
        });
    }
}
