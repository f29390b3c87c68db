//! Division of a route's requests among services by weight.

use smol_str::SmolStr;

/// One service of a split, with its weight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SplitPart {
    /// Service that receives the share.
    pub service: SmolStr,
    /// Share in relation to the weights of the other parts.
    pub weight: u32,
}

/// Services with weights, and the state that assigns requests to them.
///
/// Smooth weighted round robin keeps the requests of every part within one
/// request per part of its share at any time, which random choice does not for
/// small numbers. The choice never depends on the load of the parts: an operator
/// who sends a tenth of the traffic to a new version expects it to receive a
/// tenth.
#[derive(Debug, Clone, Default)]
pub struct Split {
    parts: Vec<SplitPart>,
    credits: Vec<i64>,
}

impl Split {
    /// Creates a split; a part with weight 0 gets no requests.
    pub fn new(parts: Vec<SplitPart>) -> Self {
        let credits = vec![0; parts.len()];
        Self { parts, credits }
    }

    /// Returns the parts in the order of the configuration.
    pub fn get_parts(&self) -> &[SplitPart] {
        &self.parts
    }

    /// Moves the start of the rotation, so that VMs with equal routes do not
    /// send their first requests to the same part.
    pub fn rotate(&mut self, steps: u32) {
        for _ in 0..steps {
            self.next_part();
        }
    }

    /// Returns the part for the next request, or `None` if all weights are 0.
    pub fn next_part(&mut self) -> Option<&SplitPart> {
        let total: i64 = self.parts.iter().map(|part| i64::from(part.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut best = None;
        for (index, part) in self.parts.iter().enumerate() {
            self.credits[index] += i64::from(part.weight);
            let is_best = best.is_none_or(|held: usize| self.credits[index] > self.credits[held]);
            if part.weight > 0 && is_best {
                best = Some(index);
            }
        }
        let index = best?;
        self.credits[index] -= total;
        Some(&self.parts[index])
    }
}

/// Two splits are equal if their parts are equal; the position of the rotation
/// is not part of the declaration.
impl PartialEq for Split {
    fn eq(&self, other: &Self) -> bool {
        self.parts == other.parts
    }
}

impl Eq for Split {}
