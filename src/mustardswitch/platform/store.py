"""HTTP client of the key-value store of the users' platform."""

import base64
import collections.abc
import contextlib
import dataclasses
import json
import urllib.parse

from mustardswitch import events, http_calls
from mustardswitch.internal import change_log, clock, revisions
from mustardswitch.platform import errors
from mustardswitch.proxy import errors as proxy_errors
from mustardswitch.proxy import record_store

CALL_TIMEOUT_S = 1.0
"""Covers the store's usual answer time of 4 ms, slow answers and the round trip between regions."""
WATCH_SLACK_S = 1.0
"""Time beyond the wait of a watch after which its connection is considered dead."""
ERA_HEADER = "store-era"
"""Header whose number rises each time the store is restored from a copy."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Answer:
    """Status and body of an answer, and the era in which the store gave it."""

    status: int
    body: dict
    era: int

    def revision(self, name: str) -> revisions.Revision:
        """Return the revision in a field of the body."""
        return revisions.join(era=self.era, number=self.body[name])

    def item(self, record: collections.abc.Mapping[str, object]) -> change_log.Item:
        """Decode an item of the body."""
        value = None if record.get("deleted") else base64.b64decode(record.get("value", ""))
        revision = revisions.join(era=self.era, number=record["revision"])
        return change_log.Item(key=record["key"], value=value, revision=revision)


class Store:
    """Calls to the store; each raises StoreError when it failed or its outcome is unknown.

    Watches use a connection of their own, so that other calls do not wait for them. Revisions hold
    the era of the answer that named them.
    """

    def __init__(self, *, host: str, port: int) -> None:
        self.calls = http_calls.Connection(host=host, port=port)
        self.watches = http_calls.Connection(host=host, port=port)
        self.era = 0
        """Latest era that an answer carried; 0 before the first one."""
        self.era_since_s = clock.now_s()
        """When an answer first carried this era (``clock.now_s``)."""

    def __repr__(self) -> str:
        return f"Store(host={self.calls.host!r}, port={self.calls.port!r})"

    def close(self) -> None:
        """Close the connections."""
        self.calls.close()
        self.watches.close()

    async def _call(
        self,
        method: str,
        path: str,
        *,
        query: collections.abc.Mapping[str, object] | None = None,
        body: object = None,
        timeout_s: float = CALL_TIMEOUT_S,
        connection: http_calls.Connection | None = None,
    ) -> _Answer:
        target = path if query is None else f"{path}?{urllib.parse.urlencode(query)}"
        data = b"" if body is None else json.dumps(body).encode()
        try:
            response = await (connection or self.calls).call(
                method, target, body=data, timeout_s=timeout_s
            )
            decoded = json.loads(response.body) if response.body else {}
        except (http_calls.CallError, ValueError, RecursionError) as error:
            raise proxy_errors.StoreError(str(error)) from error
        era = self._note_era(response)
        if response.status in (429, 503) or response.status >= 500:
            raise proxy_errors.StoreError(f"{method} {path}: status {response.status}")
        body = decoded if isinstance(decoded, dict) else {}
        return _Answer(status=response.status, body=body, era=era)

    def _note_era(self, response: http_calls.Response) -> int:
        """Return the era of an answer; 0 if it names none."""
        field = response.headers.get(ERA_HEADER, "")
        era = int(field) if field.isdecimal() else 0
        if era > self.era:
            if self.era:
                events.log(events.Event.STORE_RESTORED, era=era, before=self.era)
            self.era = era
            self.era_since_s = clock.now_s()
        return era

    async def read(self, key: str) -> change_log.Item | None:
        """Return the item of a key, or None when the key does not exist."""
        answer = await self._call("GET", "/kv-key", query={"key": key})
        if answer.status == 404:
            return None
        with _decoding("/kv-key"):
            return answer.item(_expect(answer, "/kv-key"))

    async def list_all(self, prefix: str, *, serializable: bool = False) -> change_log.Listing:
        """Return all keys under a prefix, with the store's revision at the first page.

        A ``serializable`` listing costs a tenth, and may be seconds old. The pages are read one
        after the other and form no consistent snapshot; all are of one era.
        """
        items: list[change_log.Item] = []
        revision: revisions.Revision | None = None
        query: dict[str, object] = {"prefix": prefix}
        if serializable:
            query["serializable"] = 1
        while True:
            answer = await self._call("GET", "/kv-range", query=query)
            page = _expect(answer, "/kv-range")
            with _decoding("/kv-range"):
                items += [answer.item(record) for record in page["items"]]
                revision = answer.revision("store_revision") if revision is None else revision
            if answer.era != revisions.era_of(revision):
                raise proxy_errors.StoreError(f"the store was restored between pages of {prefix!r}")
            if not page.get("has_more") or not page["items"]:
                return change_log.Listing(
                    items=tuple(items), revision=revision, complete=prefix == ""
                )
            query["after"] = items[-1].key

    async def watch(self, prefix: str, *, after: int, wait_s: float) -> change_log.Listing:
        """Return the changes after a revision, or none when ``wait_s`` passes first.

        Raises HistoryLostError when the store has dropped them, or lost them by being restored.
        """
        number = revisions.number_of(after)
        query = {"prefix": prefix, "after": number, "wait_ms": int(wait_s * 1000)}
        answer = await self._call(
            "GET",
            "/kv-watch",
            query=query,
            timeout_s=wait_s + WATCH_SLACK_S,
            connection=self.watches,
        )
        if answer.status == 410:
            raise errors.HistoryLostError(
                f"changes after revision {number} are no longer in the history"
            )
        page = _expect(answer, "/kv-watch")
        with _decoding("/kv-watch"):
            listing = change_log.Listing(
                items=tuple(answer.item(record) for record in page.get("events", ())),
                revision=answer.revision("store_revision"),
            )
        if answer.era != revisions.era_of(after) or listing.revision < after:
            raise errors.HistoryLostError(
                f"changes after revision {number} of era {revisions.era_of(after)} may be lost:"
                f" the store is at {page['store_revision']} of era {answer.era}"
            )
        return listing

    async def change(
        self,
        *,
        expected: collections.abc.Mapping[str, int],
        puts: collections.abc.Sequence[record_store.Put] = (),
        deletes: collections.abc.Sequence[str] = (),
    ) -> revisions.Revision | None:
        """Write and delete keys atomically if the expected keys have their revisions (0: absent).

        Returns the new revision, or None when a revision differs or is of an earlier era, or a
        lease has expired.
        """
        if any(
            revision and revisions.era_of(revision) != self.era for revision in expected.values()
        ):
            return None
        body = {
            "expected_revision": [
                {"key": key, "revision": revisions.number_of(revision)}
                for key, revision in expected.items()
            ],
            "puts": [
                {
                    "key": put.key,
                    "value": base64.b64encode(put.value).decode(),
                    **({"lease": put.lease} if put.lease else {}),
                }
                for put in puts
            ],
            "deletes": list(deletes),
        }
        answer = await self._call("POST", "/kv-txn", body=body)
        if answer.status in (404, 412):
            return None
        with _decoding("/kv-txn"):
            _expect(answer, "/kv-txn")
            return answer.revision("revision")

    async def grant_lease(self, ttl_s: float, *, exact: bool = False) -> int:
        """Create a lease that expires after ``ttl_s`` unless renewed, and return its id.

        With ``exact``, raises StoreError if the store lets it last longer.
        """
        ttl_ms = int(ttl_s * 1000)
        answer = await self._call("POST", "/kv-lease", body={"ttl_ms": ttl_ms})
        with _decoding("/kv-lease"):
            granted = _expect(answer, "/kv-lease")
            lease, applied_ms = granted["lease"], granted["ttl_ms"] if exact else ttl_ms
        if applied_ms > ttl_ms:
            raise proxy_errors.StoreError(f"/kv-lease: lasts {applied_ms} ms instead of {ttl_ms}")
        return lease

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return False when it has expired."""
        answer = await self._call("POST", f"/kv-keep/{lease}")
        if answer.status == 404:
            return False
        _expect(answer, "/kv-keep")
        return True

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease; the store removes its keys."""
        await self._call("DELETE", f"/kv-lease-end/{lease}")


@contextlib.contextmanager
def _decoding(path: str) -> collections.abc.Iterator[None]:
    """Raise StoreError for an answer that is not as the store's interface says."""
    try:
        yield
    except (LookupError, TypeError, ValueError, AttributeError) as error:
        raise proxy_errors.StoreError(f"{path}: malformed answer: {error!r}") from error


def _expect(answer: _Answer, path: str) -> dict:
    if answer.status != 200:
        raise proxy_errors.StoreError(f"{path}: status {answer.status}")
    return answer.body
