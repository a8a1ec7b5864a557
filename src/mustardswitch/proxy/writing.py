"""Serves one write outside of a transaction; it is sent again only if it was certainly not run."""

from mustardswitch.backends import errors as backend_errors
from mustardswitch.internal import clock
from mustardswitch.internal.pace import references
from mustardswitch.proxy import errors, ports, requests, server, statement_context

NOT_RUN = frozenset(
    {
        requests.Refusal.OVERLOADED,
        requests.Refusal.READ_ONLY,
        requests.Refusal.UNKNOWN_STATEMENT,
    }
)
"""Refusals after which a write was certainly not run, so that it is sent again."""


async def run_write(
    context: statement_context.StatementContext,
    statement: requests.Plain | ports.RunPrepared,
) -> requests.Answer:
    """Return the answer to a write; a write that was sent and not answered is OUTCOME_UNKNOWN.

    Raises OutdatedError before it is sent.
    """
    refusal = requests.refuse(requests.Refusal.OVERLOADED, "the deadline has passed")
    while True:
        try:
            backend = await context.service.wait_leader(context.deadline_s, for_commits=True)
            link = await context.acquire(backend, statement.shape)
            await context.prepare_link(backend, link, shape=statement.shape)
            service = context.service
            if not service.may_commit(backend) or not service.accepts_new_work(backend):
                backend.pool.release(link, clean=True)
                continue
            context.check_current_on(backend, link)
        except (errors.NoLeaderError, errors.NoRoomError) as error:
            return requests.refuse(requests.Refusal.OVERLOADED, str(error))
        except errors.NotSentError as error:
            refusal = requests.refuse(requests.Refusal.OVERLOADED, str(error))
        else:
            answer = await _send_once(context, backend, link, statement)
            if answer.refusal not in NOT_RUN:
                return answer
            refusal = answer
            context.sent = False
        if not await context.wait_before_retry():
            return refusal


async def _send_once(
    context: statement_context.StatementContext,
    backend: server.Server,
    link: ports.Link,
    statement: requests.Plain | ports.RunPrepared,
) -> requests.Answer:
    query_sent_at_s = clock.now_s()
    shown_before = context.service.acknowledged.shown_by(backend.server)
    backend.in_flight += 1
    try:
        context.sent = True
        with context.service.commits.tracking(link, backend.server) as commit:
            sent = context.service.note_commit_sent(backend.server, context.request)
            link.send(statement, context.request)
            answer = await link.receive(max(0.001, context.remaining_s))
    except backend_errors.NothingSentError as error:
        backend.abandon(link)
        return requests.refuse(requests.Refusal.OVERLOADED, str(error))
    except backend_errors.BackendError as error:
        backend.note_failure()
        backend.abandon(link)
        return requests.refuse(requests.Refusal.OUTCOME_UNKNOWN, str(error))
    except BaseException:
        backend.abandon(link)
        raise
    finally:
        backend.in_flight -= 1
    if answer.refusal in requests.MAY_HAVE_RUN:
        context.service.commits.note_unanswered()
    if answer.succeeded and not context.service.may_acknowledge(commit, sent, answer.position):
        backend.abandon(link)
        return requests.refuse(
            requests.Refusal.OUTCOME_UNKNOWN, "the primary may have been replaced unnoticed"
        )
    if answer.succeeded:
        backend.note_answer(clock.now_s() - query_sent_at_s, references.Work.WRITE)
        context.service.note_leading(
            backend.server, query_sent_at_s=query_sent_at_s, position=answer.position
        )
        context.service.acknowledged.note_acknowledged(
            backend.server,
            above=shown_before,
            shown=answer.position,
            request=context.request,
        )
        context.session.note_commit(context.service.name, answer.position)
    elif answer.refusal is requests.Refusal.READ_ONLY:
        context.service.note_not_leading(backend.server, query_sent_at_s=query_sent_at_s)
    elif answer.refusal is requests.Refusal.OVERLOADED:
        backend.note_refused()
    elif answer.refusal is requests.Refusal.UNKNOWN_STATEMENT:
        link.shapes.clear()
    backend.pool.release(link, clean=answer.state is requests.TransactionState.IDLE)
    return answer
