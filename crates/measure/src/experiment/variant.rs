//! Variants of a comparison: a routing policy with or without hedged requests.

use std::fmt;

use hawthornwall_core::routing::Policy;

/// A configuration that is compared with others. Its display form is its name in reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Variant {
    /// Whether the rules of the services allow hedged requests.
    pub hedge: bool,
    /// Policy by which daemons select targets.
    pub policy: Policy,
}

impl Variant {
    /// Variants for some policies. The product's own policy is run with and without hedging, so
    /// that the effects of target selection and of hedging can be separated; the baselines are run
    /// without.
    pub fn of(policies: &[Policy]) -> Vec<Self> {
        let mut variants = Vec::new();
        for &policy in policies {
            if policy == Policy::Expected {
                variants.push(Self {
                    hedge: true,
                    policy,
                });
            }
            variants.push(Self {
                hedge: false,
                policy,
            });
        }
        variants
    }

    /// Whether the policy is one that the product is compared with.
    pub fn is_baseline(self) -> bool {
        self.policy != Policy::Expected
    }
}

impl fmt::Display for Variant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.is_baseline(), self.hedge) {
            (false, true) => f.write_str("product"),
            (false, false) => f.write_str("product, no hedge"),
            (true, _) => f.write_str(self.policy.name()),
        }
    }
}
