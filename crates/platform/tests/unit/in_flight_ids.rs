//! Tests of `src/in_flight_ids.rs`.

use super::*;

#[test]
fn takes_over_an_id_only_from_a_closed_client_whose_request_cannot_run_twice() {
    use Idempotency::{Idempotent, Keyed, NonIdempotent};
    for idempotency in [Idempotent, Keyed, NonIdempotent] {
        for may_have_run in [false, true] {
            let waiting = EarlierRequest {
                is_client_gone: false,
                may_have_run,
            };
            let conflict = may_take_over(waiting, idempotency);
            assert_eq!(conflict, Err(IdConflict::ClientWaiting), "{idempotency:?}");
        }
        let unsent = EarlierRequest {
            is_client_gone: true,
            may_have_run: false,
        };
        assert_eq!(may_take_over(unsent, idempotency), Ok(()));
        let sent = EarlierRequest {
            is_client_gone: true,
            may_have_run: true,
        };
        let expected = match idempotency {
            Idempotent => Ok(()),
            Keyed | NonIdempotent => Err(IdConflict::MayHaveRun),
        };
        assert_eq!(may_take_over(sent, idempotency), expected);
    }
}
