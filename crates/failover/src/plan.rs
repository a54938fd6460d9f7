//! What is agreed on, and what a member goes by.

use std::collections::BTreeMap;

use juniperrail_interface::Ms;
use serde::{Deserialize, Serialize};

use crate::evidence::Zone;
use crate::health::ZoneHealth;

/// What part of its weight a zone keeps, and why.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneShare {
    /// 0 takes its workers out, 1 says nothing of them.
    pub weight_ratio: f64,
    pub reason: ZoneHealth,
}

/// A plan in common. Zones that it does not name keep their whole weight.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    pub version: u64,
    /// Counts the leader's word that it still holds.
    pub renewal: u64,
    pub shares: BTreeMap<Zone, ZoneShare>,
    /// How long a member that hears nothing more goes by it.
    pub lease: Ms,
}

impl Plan {
    /// Whether it says anything.
    pub fn is_empty(&self) -> bool {
        self.shares.values().all(|share| share.weight_ratio >= 1.0)
    }

    /// Takes over what was agreed; an older plan, as of a leader that was deposed meanwhile, changes nothing.
    pub fn adopt_if_newer(&mut self, later: &Plan) -> bool {
        let newer = (later.version, later.renewal) > (self.version, self.renewal);
        if newer {
            *self = later.clone();
        }
        newer
    }
}

/// The plan that a member goes by, by its own monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct ActivePlan {
    plan: Plan,
    since: Ms,
    lapsed: bool,
}

impl ActivePlan {
    /// The plan was agreed, or agreed anew.
    pub fn activate(&mut self, now: Ms, plan: &Plan) {
        (self.plan, self.since, self.lapsed) = (plan.clone(), now, false);
    }

    /// Until when the last word holds.
    pub fn lease_end(&self) -> Option<Ms> {
        (!self.lapsed && !self.plan.is_empty()).then_some(self.since + self.plan.lease)
    }

    /// Whether the lease is over by now: from then on every zone has its whole weight again.
    pub fn expire(&mut self, now: Ms) -> bool {
        let over = self.lease_end().is_some_and(|until| now >= until);
        self.lapsed |= over;
        over
    }

    /// What part of their weight zones keep; who is not named keeps all.
    pub fn weight_ratios(&self) -> BTreeMap<Zone, f64> {
        if self.lapsed {
            return BTreeMap::new();
        }
        let some = self.plan.shares.iter().filter(|(_, share)| share.weight_ratio < 1.0);
        some.map(|(zone, share)| (zone.clone(), share.weight_ratio)).collect()
    }

    pub fn plan(&self) -> &Plan {
        &self.plan
    }
}
