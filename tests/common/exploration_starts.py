"""States from which the exploration starts that earlier changes of primary have left behind."""

from tests.common import exploration_state
from tests.common.exploration_state import A, B, C, Commit, Holder, Seen, State


def recorded(
    server: int,
    *,
    requests: tuple[int, ...] = (),
    pending: tuple[int, ...] = (),
    waiting: bool = False,
    stopped: bool = False,
) -> State:
    """Return a state with the record of an earlier holder, which all instances have read.

    Its ``requests`` may be executed late; ``pending`` ones were accepted. A commit that was sent
    before the record may be ``waiting`` in the primary, which may have been ``stopped``. If one of
    the requests is for the primary, the record is marked; if one is for another server than the
    recorded one, its holder had found a record, and lets no commits pass.
    """
    state = exploration_state.change_server(exploration_state.first_state(), A, leads=not stopped)
    marked = server != A and A in requests + pending
    held = set(requests + pending) > {server} or marked
    commit = Commit(sender=1, server=A, above=(0, 0), open=False)
    return state._replace(
        commits=(commit,) if waiting else (),
        instances=tuple(each._replace(requested=server, held=held) for each in state.instances),
        record=server,
        held=held,
        marked=marked,
        requests=tuple((each, 0, 0) for each in requests),
        pending=pending,
    )


def recorded_without_answer(server: int, **left: object) -> State:
    """Return such a state in which the recorded server gives no answer."""
    state = recorded(server, **left)
    return exploration_state.change_server(state, server, silent=True)


def repeated() -> State:
    """Return a state in which the primary leads, and a repeated request for it is on its way."""
    state = recorded(A)
    holder = Holder(
        instance=0,
        token=1,
        requested=A,
        requested_before=exploration_state.NOBODY,
        primary=B,
        term=2,
        seen=tuple(
            Seen(listed=n in (A, B, C), leads=n == B) for n in range(len(exploration_state.NAMES))
        ),
        statuses=(None,) * len(exploration_state.NAMES),
        sent=True,
        repeated=True,
    )
    return state._replace(
        holder=holder, tokens=1, seen_token=1, term=2, requests=((A, holder.token, 0),)
    )
