//! Admission of requests at an entry.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use pimentoflow::process::admission::Admission;
use pimentoflow::process::admission::AdmissionConfig;
use pimentoflow::wire::proto::Class;

const CONFIG: AdmissionConfig = AdmissionConfig {
    urgent: 8,
    routine: 8,
    total: 10,
};

/// Guards against urgent requests that are refused because of routine ones, and against more requests in progress than
/// the quotas allow.
#[test]
fn urgent_admission_ignores_routine_requests() {
    let steps = bolero::produce::<Vec<(u8, bool)>>().with().len(0..300_usize);
    let check = property_check::check().with_iterations(2_000).with_generator(steps);
    check.for_each(|steps| {
        let mut now = Instant::now();
        let admission = Admission::new(CONFIG, now);
        let (mut urgent, mut routine) = (0_u32, 0_u32);
        for (kind, overloaded) in steps {
            now += Duration::from_millis(u64::from(kind / 16));
            match kind % 4 {
                0 => {
                    let admitted = admission.on_request(Class::Urgent, now).is_ok();
                    assert_eq!(admitted, urgent < CONFIG.urgent);
                    urgent += u32::from(admitted);
                }
                1 => {
                    let total = urgent + routine;
                    let admitted = admission.on_request(Class::Routine, now).is_ok();
                    assert!(!admitted || (routine < CONFIG.routine && total < CONFIG.total));
                    assert!(
                        admitted || routine > 0 || total >= CONFIG.total,
                        "one routine request always has room"
                    );
                    routine += u32::from(admitted);
                }
                2 if urgent > 0 => {
                    urgent -= 1;
                    admission.on_done(Class::Urgent, *overloaded, now);
                }
                3 if routine > 0 => {
                    routine -= 1;
                    admission.on_done(Class::Routine, *overloaded, now);
                }
                _ => {}
            }
            let state = admission.state();
            assert_eq!((state.urgent, state.routine), (urgent, routine));
        }
    });
}

/// Guards against a retry-after time that ignores the backlog, so that all refused callers retry at the same time.
#[test]
fn retry_after_follows_the_backlog() {
    let mut now = Instant::now();
    let admission = Admission::new(CONFIG, now);
    for _ in 0..20 {
        now += Duration::from_millis(20);
        assert!(admission.on_request(Class::Routine, now).is_ok());
        admission.on_done(Class::Routine, false, now);
    }
    for _ in 0..8 {
        assert!(admission.on_request(Class::Routine, now).is_ok());
    }
    let refusals = (0..10).filter_map(|_| admission.on_request(Class::Routine, now).err());
    let times: Vec<u128> = refusals.map(|refused| refused.retry_after.as_millis()).collect();
    assert_eq!(times.len(), 10);
    assert!(times.windows(2).all(|pair| pair[0] < pair[1]), "{times:?}");
    assert!(
        (195..=205).contains(&times[9]),
        "ten completions at 20 ms each: {times:?}"
    );
}

/// Guards against a routine quota that is not reduced under overload, and against one that never recovers.
#[test]
fn routine_quota_follows_overload() {
    let mut now = Instant::now();
    let admission = Admission::new(CONFIG, now);
    let mut round = |admission: &Admission, overloaded: bool| {
        now += Duration::from_millis(150);
        if admission.on_request(Class::Routine, now).is_ok() {
            admission.on_done(Class::Routine, overloaded, now);
        }
    };
    for _ in 0..10 {
        round(&admission, true);
    }
    assert_eq!(admission.state().routine_quota, 1);
    for _ in 0..60 {
        round(&admission, false);
    }
    assert_eq!(admission.state().routine_quota, CONFIG.routine);
}

/// Guards against counts that are lost, or exceed the quota, when several threads admit requests concurrently.
#[test]
fn concurrent_requests_never_exceed_the_quota() {
    let now = Instant::now();
    let admission = Admission::new(CONFIG, now);
    let peak = AtomicU32::new(0);
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                for _ in 0..2_000 {
                    if admission.on_request(Class::Routine, now).is_ok() {
                        peak.fetch_max(admission.state().routine, Ordering::AcqRel);
                        admission.on_done(Class::Routine, false, now);
                    }
                }
            });
        }
    });
    assert!(peak.load(Ordering::Acquire) <= CONFIG.routine);
    assert_eq!(admission.state().routine, 0);
}
