//! The committed plan, and how a member applies it while its lease lasts.

use std::collections::BTreeMap;

use juniperrail_interface::Ms;
use serde::{Deserialize, Serialize};

use crate::evidence::Zone;
use crate::health::ZoneHealth;

/// The ratio of its weight that a zone keeps, and the reason.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneShare {
    /// 0 removes all workers of the zone; 1 leaves the zone unrestricted.
    pub weight_ratio: f64,
    pub reason: ZoneHealth,
}

/// A failover plan, as proposed or committed. Zones that it does not name keep their full weight.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Increases with every change of the shares.
    pub version: u64,
    /// Counts the leader's renewals of this version's lease.
    pub renewal: u64,
    /// The restricted zones.
    pub shares: BTreeMap<Zone, ZoneShare>,
    /// How long a member applies the plan without a renewal.
    pub lease: Ms,
}

impl Plan {
    /// Whether no zone is restricted.
    pub fn is_empty(&self) -> bool {
        self.shares.values().all(|share| share.weight_ratio >= 1.0)
    }

    /// Adopts a committed plan if it is newer, and returns whether it was. An older one, such as that of a deposed leader,
    /// is ignored.
    pub fn adopt_if_newer(&mut self, committed: &Plan) -> bool {
        let is_newer = (committed.version, committed.renewal) > (self.version, self.renewal);
        if is_newer {
            *self = committed.clone();
        }
        is_newer
    }
}

/// The plan that a member applies, timed by the member's own monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct ActivePlan {
    plan: Plan,
    lease_start: Ms,
    expired: bool,
}

impl ActivePlan {
    /// Applies a new or renewed plan and restarts the lease.
    pub fn activate(&mut self, now: Ms, plan: &Plan) {
        (self.plan, self.lease_start, self.expired) = (plan.clone(), now, false);
    }

    /// When the lease ends; `None` if no zone is restricted or the lease has expired.
    pub fn lease_end(&self) -> Option<Ms> {
        (!self.expired && !self.plan.is_empty()).then_some(self.lease_start + self.plan.lease)
    }

    /// Expires the lease if it has ended, and returns whether it did so now. From then on every zone has its full weight.
    pub fn expire(&mut self, now: Ms) -> bool {
        let has_ended = self.lease_end().is_some_and(|end| now >= end);
        self.expired |= has_ended;
        has_ended
    }

    /// The weight ratios of restricted zones; zones that are not listed keep their full weight.
    pub fn weight_ratios(&self) -> BTreeMap<Zone, f64> {
        if self.expired {
            return BTreeMap::new();
        }
        let restricted = self.plan.shares.iter().filter(|(_, share)| share.weight_ratio < 1.0);
        restricted.map(|(zone, share)| (zone.clone(), share.weight_ratio)).collect()
    }

    /// The last plan that was activated, also after its lease has expired.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }
}
