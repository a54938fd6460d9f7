use super::*;

const ZONE_COUNT: usize = 3;

#[test]
fn all_proxies_fit_beside_unidentified_connections_collectors_and_probes() {
    for (sockets, proxies) in [(256, 150), (384, 150), (512, 400), (1024, 400)] {
        let Budget { open, unidentified, collectors, probes } = Budget::new(sockets, proxies, ZONE_COUNT);
        assert!(
            RESERVED_DESCRIPTORS + proxies + unidentified + collectors + probes <= sockets,
            "{proxies} proxies do not fit in {sockets} sockets"
        );
        assert!(
            proxies + unidentified + collectors <= open,
            "{sockets} sockets: connections exceed their limit of {open}"
        );
        assert!(
            unidentified > 2 * probes && probes > 0 && collectors > ZONE_COUNT,
            "{sockets} sockets leave too few: {unidentified} unidentified, {collectors} collectors, {probes} probes"
        );
    }
    // With fewer descriptors than proxies, connections of each kind and probes are still allowed.
    assert_eq!(
        Budget::new(24, 400, ZONE_COUNT),
        Budget { open: 12, unidentified: 3, collectors: 12, probes: 1 }
    );
}

#[test]
fn longest_idle_connection_is_evicted() {
    let limiter = ConnectionLimiter::new(2);
    let handles: Vec<Rc<Notify>> = [1, 2].map(|id| limiter.admit(StreamId(id))).into();
    limiter.touch(StreamId(1));
    limiter.admit(StreamId(3));
    // `enable` returns whether the handle has been notified.
    let is_evicted = |handle: &Rc<Notify>| std::pin::pin!(handle.notified()).as_mut().enable();
    assert_eq!(handles.iter().map(is_evicted).collect::<Vec<_>>(), [false, true]);
}
