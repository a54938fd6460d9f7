//! The median of several members' wall clocks.

use juniperrail_interface::Ms;

/// Returns the median of the clock readings, in Unix milliseconds, or `None` if none is finite. Of an even count it is
/// the lower of the two middle readings, so that nothing starts before at least half of the clocks have reached its
/// time. As long as fewer than half of the clocks are wrong, the median lies within the range of the correct ones.
pub fn median_clock(readings: impl IntoIterator<Item = Ms>) -> Option<Ms> {
    let mut readings: Vec<Ms> = readings.into_iter().filter(|reading| reading.is_finite()).collect();
    readings.sort_by(f64::total_cmp);
    readings.get(readings.len().checked_sub(1)? / 2).copied()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_minority_of_wrong_clocks_does_not_move_the_median_beyond_correct_ones() {
        assert_eq!(median_clock([]), None);
        assert_eq!(median_clock([f64::NAN]), None);
        assert_eq!(median_clock([5.0]), Some(5.0));
        assert_eq!(median_clock([1e12, 100.0, 101.0]), Some(101.0), "one clock far ahead");
        assert_eq!(median_clock([-1e12, 100.0, 101.0]), Some(100.0), "one clock far behind");
        assert_eq!(median_clock([3_600_000.0, 1.0]), Some(1.0), "of two clocks the earlier one counts");
    }
}
