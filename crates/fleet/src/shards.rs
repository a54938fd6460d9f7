//! State in shards, each under its own lock: threads that work on different shards don't wait for each other, and a
//! panic affects only its own shard.

use std::panic::{catch_unwind, AssertUnwindSafe};

use parking_lot::Mutex;

/// A fixed number of shards, selected by the hash of a key.
pub struct Shards<T> {
    shards: Vec<Mutex<T>>,
}

impl<T: Default> Shards<T> {
    /// Creates `count` shards, at least one. More than twice the number of threads that use them is enough.
    pub fn new(count: usize) -> Shards<T> {
        Shards { shards: (0..count.max(1)).map(|_| Mutex::default()).collect() }
    }

    /// Runs `work` on the shard of a key, under its lock. Returns `None` if it panicked. The shard is then reset to its
    /// default, since the panic may have left it inconsistent.
    pub fn with<R>(&self, key: u64, work: impl FnOnce(&mut T) -> R) -> Option<R> {
        // Consecutive keys fall into different shards (Knuth's multiplicative hash).
        let index = (key.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as usize % self.shards.len();
        let mut shard = self.shards[index].lock();
        let result = catch_unwind(AssertUnwindSafe(|| work(&mut shard)));
        if result.is_err() {
            tracing::error!("fleet: shard {index} panicked and was reset");
            *shard = T::default();
        }
        result.ok()
    }

    /// Visits each shard in turn; no two locks are held at once.
    pub fn for_each(&self, mut visit: impl FnMut(&mut T)) {
        self.shards.iter().for_each(|shard| visit(&mut shard.lock()));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_panic_resets_its_own_shard_and_no_other() {
        let shards: Shards<Vec<u64>> = Shards::new(4);
        (0..64).for_each(|key| _ = shards.with(key, |keys| keys.push(key)));
        let mut used_shards = 0;
        shards.for_each(|keys| used_shards += usize::from(!keys.is_empty()));
        assert_eq!(used_shards, 4, "the keys are spread over all shards");
        let lost_count = shards.with(7, |keys| keys.len()).unwrap();
        assert_eq!(shards.with(7, |_| panic!("out of range")), None);
        let mut remaining = 0;
        shards.for_each(|keys| remaining += keys.len());
        assert_eq!(remaining, 64 - lost_count);
        assert_eq!(shards.with(7, |keys| keys.len()), Some(0), "the shard is usable and empty");
    }

    #[test]
    fn concurrent_updates_are_not_lost() {
        let shards: Shards<u64> = Shards::new(3);
        std::thread::scope(|scope| {
            for _ in 0..4 {
                scope.spawn(|| (0..10_000).for_each(|key| _ = shards.with(key, |sum| *sum += key)));
            }
        });
        let mut total = 0;
        shards.for_each(|sum| total += *sum);
        assert_eq!(total, 4 * (0..10_000).sum::<u64>());
    }
}
