//! What is compared: a routing policy with or without hedged requests.

use std::fmt;

use hawthornwall_core::routing::Policy;

/// One column of a comparison.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Variant {
    /// Whether the services' rules allow hedged requests.
    pub hedge: bool,
    /// How daemons pick a target.
    pub policy: Policy,
}

impl Variant {
    /// The variants of some policies. The product's own policy runs with and without hedging, so that
    /// the effects of picking and of hedging can be told apart; the baselines run without.
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

    /// Whether it is one of the policies that the product is compared with.
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
