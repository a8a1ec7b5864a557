"""Claims a service to change its primary, or to complete what the holder of a claim has left."""

import asyncio

from mustardswitch import events
from mustardswitch.internal import ids, promotion
from mustardswitch.proxy import claimed_attempt, errors, ports, service, takeover


async def run_claimed(
    *,
    target: service.Service,
    coordination: ports.Coordination,
    promoter: ports.Promoter,
    primary: ids.ServerId | None,
    silent: bool = False,
    unfinished: ports.UnfinishedChange | None = None,
) -> bool:
    """Claim a service and change its primary; False when this instance did not change it.

    For ``primary`` and ``silent`` see ``Takeover.run``. ``unfinished`` is the state that an
    earlier, unfinished change is known to have left.
    """
    attempt = await _begin(target, coordination, promoter)
    if attempt is None:
        return False
    # Instances of an earlier build mark a request without naming its server.
    unnamed = unfinished is ports.UnfinishedChange.PROMOTION_REQUESTED and attempt.requested is None
    if unnamed:
        attempt.final_ends.clear()
    done = False
    try:
        if unnamed and target.requested is not None:
            # The request that this instance still knows was settled before the claim.
            done = True
            return False
        async with attempt.renewing():
            done = await attempt.run(primary, silent=silent)
        return done
    finally:
        await _release(attempt, unnamed=unnamed and not done)


async def clean_up(
    *,
    target: service.Service,
    coordination: ports.Coordination,
    promoter: ports.Promoter,
    unfinished: ports.UnfinishedChange,
) -> None:
    """Complete a change of primary that the holder of an earlier claim left unfinished.

    A promotion that was requested may still be executed, and would promote a replica whose log is
    missing the commits made since. Only a later request, with a higher fencing token, prevents
    that.
    """
    events.log(events.Event.TAKEOVER_CLEANED, service=target.name, leftover=unfinished.value)
    if unfinished is ports.UnfinishedChange.PROMOTION_REQUESTED:
        if target.leader is not None:
            await run_claimed(
                target=target,
                coordination=coordination,
                promoter=promoter,
                primary=target.leader.server,
                unfinished=unfinished,
            )
        return
    attempt = await _begin(target, coordination, promoter)
    if attempt is None:
        return
    try:
        async with attempt.renewing():
            if attempt.requested is None:
                await attempt.resume_all()
    finally:
        await _release(attempt)


async def _begin(
    target: service.Service, coordination: ports.Coordination, promoter: ports.Promoter
) -> takeover.Takeover | None:
    """Claim a service, and read which promotion an earlier holder may have requested."""
    try:
        claim = await coordination.claim(target.name)
    except errors.StoreError as error:
        events.log(events.Event.CLAIM_FAILED, service=target.name, reason=str(error))
        return None
    if claim is None:
        return None
    attempt = takeover.Takeover(
        target=target, claim=claim, coordination=coordination, promoter=promoter
    )
    while attempt.holds_claim():
        try:
            attempt.requested_before = await coordination.recorded_promotion(target.name)
            attempt.recorded_end = await coordination.recorded_end(target.name)
            recorded = await coordination.recorded_final_ends(target.name)
        except errors.StoreError as error:
            events.log(events.Event.CLAIM_FAILED, service=target.name, reason=str(error))
            await asyncio.sleep(claimed_attempt.POLL_S)
        else:
            attempt.requested = promotion.recorded_server(attempt.requested_before)
            attempt.final_ends.take_over(recorded, requested=attempt.requested is not None)
            if not attempt.final_ends.allowed:
                attempt.earlier_request = attempt.requested_before
            return attempt
    # Not released, which would remove a record that was not read.
    return None


async def _release(attempt: takeover.Takeover, *, unnamed: bool = False) -> None:
    """Release the claim of an attempt; what is left to do stays recorded.

    ``unnamed`` means that a promotion of an unknown server may have been requested.
    """
    unfinished = promoted = None
    if attempt.requested is not None:
        promoted = attempt.recorded_name(attempt.requested)
    if unnamed or promoted is not None:
        unfinished = ports.UnfinishedChange.PROMOTION_REQUESTED
    elif attempt.may_be_paused:
        unfinished = ports.UnfinishedChange.PAUSED
    try:
        await attempt.coordination.release(
            attempt.claim,
            unfinished=unfinished,
            promoted=promoted,
            stopped=attempt.recorded_end,
            complete=attempt.is_complete,
        )
    except errors.StoreError as error:
        events.log(events.Event.CLAIM_FAILED, service=attempt.claim.service, reason=str(error))
