//! State in shards, each under its own lock: whoever works on one waits for nobody who works on another, and a panic in
//! one costs that one.

use std::panic::{catch_unwind, AssertUnwindSafe};

use parking_lot::Mutex;

/// So many parts of a state, told apart by a key.
pub struct Shards<T> {
    all: Vec<Mutex<T>>,
}

impl<T: Default> Shards<T> {
    /// As many as are asked for, one at least. More than twice the threads that work on them is enough.
    pub fn new(count: usize) -> Shards<T> {
        Shards { all: (0..count.max(1)).map(|_| Mutex::default()).collect() }
    }

    /// Works on the shard of a key, under its lock. `None` where that panicked: the shard is as new then, since what is
    /// left of it is not known.
    pub fn with<R>(&self, key: u64, work: impl FnOnce(&mut T) -> R) -> Option<R> {
        // Keys in a row fall into different shards (Knuth's multiplicative hash).
        let place = (key.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as usize % self.all.len();
        let mut shard = self.all[place].lock();
        let done = catch_unwind(AssertUnwindSafe(|| work(&mut shard)));
        if done.is_err() {
            tracing::error!("fleet: shard {place} failed and begins anew");
            *shard = T::default();
        }
        done.ok()
    }

    /// Looks at each in turn; no two locks are held at once.
    pub fn for_each(&self, mut look: impl FnMut(&mut T)) {
        self.all.iter().for_each(|shard| look(&mut shard.lock()));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_panic_costs_its_own_shard_and_no_other() {
        let shards: Shards<Vec<u64>> = Shards::new(4);
        (0..64).for_each(|key| _ = shards.with(key, |all| all.push(key)));
        let mut count = 0;
        shards.for_each(|all| count += usize::from(!all.is_empty()));
        assert_eq!(count, 4, "keys are spread");
        let lost = shards.with(7, |all| all.len()).unwrap();
        assert_eq!(shards.with(7, |_| panic!("out of range")), None);
        let mut left = 0;
        shards.for_each(|all| left += all.len());
        assert_eq!(left, 64 - lost);
        assert_eq!(shards.with(7, |all| all.len()), Some(0), "it goes on, as new");
    }

    #[test]
    fn threads_lose_nothing_of_each_other() {
        let shards: Shards<u64> = Shards::new(3);
        std::thread::scope(|scope| {
            for _ in 0..4 {
                scope.spawn(|| (0..10_000).for_each(|key| _ = shards.with(key, |sum| *sum += key)));
            }
        });
        let mut sum = 0;
        shards.for_each(|part| sum += *part);
        assert_eq!(sum, 4 * (0..10_000).sum::<u64>());
    }
}
