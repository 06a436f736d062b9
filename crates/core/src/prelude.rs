//! Re-exports of the types that almost every module of the workspace uses.

pub use crate::config::{Configuration, Service, Target};
pub use crate::ids::{InstanceId, RequestId, ServiceId, TargetId, Version};
pub use crate::load::{LoadReport, RateLimit, TargetLoad, TargetState};
pub use crate::outcome::{AttemptResult, Loss, Outcome, Refusal};
pub use crate::time::Time;
