//! Work queue of one searcher.

use std::time::Duration;
use std::time::Instant;

use pimentoflow::connection::lane::work::Work;
use pimentoflow::connection::queue::OfferResult;
use pimentoflow::connection::queue::Queue;
use pimentoflow::wire::proto::Class;

fn work(id: u64, class: Class, deadline: Instant) -> Work {
    Work {
        id,
        class,
        deadline,
        idempotent: true,
        slotted: true,
        fallback: false,
    }
}

/// Guards against a queue that loses or repeats items, exceeds its capacity, violates the deadline order within a
/// class, or sheds urgent work while routine work waits.
#[test]
fn arbitrary_operations_match_a_sorted_list() {
    let base = Instant::now();
    let steps = bolero::produce::<Vec<(u8, u8)>>().with().len(0..200_usize);
    let check = property_check::check().with_iterations(2_000).with_generator(steps);
    check.for_each(|steps| {
        let mut queue = Queue::new(8, 0.1);
        let mut model: Vec<Work> = Vec::new();
        for (id, (kind, ms)) in steps.iter().enumerate() {
            let id = id as u64;
            let class = if kind & 1 == 0 { Class::Urgent } else { Class::Routine };
            let at = base + Duration::from_millis(u64::from(*ms));
            match kind % 5 {
                0..=2 => offer(&mut queue, &mut model, work(id, class, at)),
                3 => pop(&mut queue, &mut model),
                _ => expire(&mut queue, &mut model, at),
            }
            assert!(queue.len() <= 8);
            assert_eq!(queue.len(), model.len());
        }
    });
}

fn offer(queue: &mut Queue, model: &mut Vec<Work>, work: Work) {
    let full = model.len() == 8;
    let routine = model.iter().filter(|w| w.class == Class::Routine);
    let last = routine.max_by_key(|w| (w.deadline, w.id)).copied();
    match queue.offer(work) {
        OfferResult::Accepted => assert!(!full),
        OfferResult::Displaced(shed) => {
            assert!(full && work.class == Class::Urgent);
            assert_eq!(Some(shed), last);
            model.retain(|w| w.id != shed.id);
        }
        OfferResult::Full => {
            assert!(full && (work.class == Class::Routine || last.is_none()));
            return;
        }
    }
    model.push(work);
}

fn pop(queue: &mut Queue, model: &mut Vec<Work>) {
    let Some(work) = queue.pop() else {
        assert!(model.is_empty());
        return;
    };
    let same = model.iter().filter(|w| w.class == work.class);
    let first = same.min_by_key(|w| (w.deadline, w.id)).copied();
    assert_eq!(first, Some(work), "the earliest deadline of a class goes first");
    model.retain(|w| w.id != work.id);
}

fn expire(queue: &mut Queue, model: &mut Vec<Work>, now: Instant) {
    let service_time = Duration::from_millis(20);
    while let Some(work) = queue.pop_expired(now, service_time) {
        assert!(work.deadline <= now + service_time);
        model.retain(|w| w.id != work.id);
    }
    assert!(
        model.iter().all(|w| w.deadline > now + service_time),
        "every item that cannot finish in time is removed"
    );
}

/// Guards against routine work that starves while urgent work waits, and against routine work that exceeds its share.
#[test]
fn routine_keeps_its_share_of_the_dispatches() {
    let base = Instant::now();
    let mut queue = Queue::new(2_000, 0.05);
    for id in 0..1_000 {
        queue.offer(work(id, Class::Urgent, base));
        queue.offer(work(1_000 + id, Class::Routine, base));
    }
    let popped = (0..1_000).filter_map(|_| queue.pop());
    let routine = popped.filter(|w| w.class == Class::Routine).count();
    assert!(
        (45..=55).contains(&routine),
        "{routine} of 1000 dispatches were routine"
    );
}
