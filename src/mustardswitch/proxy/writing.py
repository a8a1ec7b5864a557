"""Serves one write outside of a transaction: it is sent once, and again only if it was not run."""

from mustardswitch.backends import errors as backend_errors
from mustardswitch.internal import clock
from mustardswitch.proxy import errors, ports, requests, server, statement_context

NOT_RUN = frozenset(
    {
        requests.Refusal.OVERLOADED,
        requests.Refusal.READ_ONLY,
        requests.Refusal.UNKNOWN_STATEMENT,
    }
)


async def run_write(
    context: statement_context.StatementContext,
    statement: requests.Plain | ports.RunPrepared,
) -> requests.Answer:
    """Return the answer to a write; one without an answer has an unknown outcome."""
    refusal = requests.refuse(requests.Refusal.OVERLOADED, "no time is left")
    while True:
        try:
            used = await context.service.wait_leader(context.deadline_s)
            link = await context.acquire(used, statement.shape)
            await context.enter(used, link, shape=statement.shape)
        except (errors.NoLeaderError, errors.NoRoomError) as error:
            return requests.refuse(requests.Refusal.OVERLOADED, str(error))
        except errors.NotSentError as error:
            refusal = requests.refuse(requests.Refusal.OVERLOADED, str(error))
        else:
            answer = await _send_once(context, used, link, statement)
            if answer.refusal not in NOT_RUN:
                return answer
            refusal = answer
        if not await context.pause():
            return refusal


async def _send_once(
    context: statement_context.StatementContext,
    used: server.Server,
    link: ports.Link,
    statement: requests.Plain | ports.RunPrepared,
) -> requests.Answer:
    query_sent_at_s = clock.now_s()
    used.in_flight += 1
    try:
        link.send(statement, context.request)
        answer = await link.receive(max(0.001, context.left_s))
    except backend_errors.NothingSentError as error:
        used.abandon(link)
        return requests.refuse(requests.Refusal.OVERLOADED, str(error))
    except backend_errors.BackendError as error:
        used.note_failure()
        used.abandon(link)
        return requests.refuse(requests.Refusal.OUTCOME_UNKNOWN, str(error))
    except BaseException:
        used.abandon(link)
        raise
    finally:
        used.in_flight -= 1
    if answer.succeeded:
        used.note_answer(clock.now_s() - query_sent_at_s)
        context.service.note_leading(
            used.server, query_sent_at_s=query_sent_at_s, position=answer.position
        )
        context.session.note_commit(context.service.name, answer.position)
    elif answer.refusal is requests.Refusal.READ_ONLY:
        context.service.note_not_leading(used.server, query_sent_at_s=query_sent_at_s)
    elif answer.refusal is requests.Refusal.UNKNOWN_STATEMENT:
        link.shapes.clear()
    used.pool.release(link, clean=answer.state is requests.TransactionState.IDLE)
    return answer
