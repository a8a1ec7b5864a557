"""Values of the fields of datagrams between instances, sound and odd ones."""

from hypothesis import strategies as st

from mustardswitch.internal import former_primary, positions
from mustardswitch.peers import datagram_fields, datagrams

ALPHABET = 'ab-/"\\é\n\0\U0001f600'
NAMES = st.text(alphabet=ALPHABET, min_size=1, max_size=2)
TEXTS = st.text(alphabet=ALPHABET, max_size=5)
NUMBERS = st.integers(0, datagram_fields.MAX_NUMBER - 1)
PRIMARIES = st.builds(datagrams.PrimaryRef, service=NAMES, server=NAMES)
PROMOTIONS = st.builds(
    datagrams.RecordedPromotion, service=NAMES, server=NAMES, revision=st.integers(0, 10**6)
)
POSITIONS = st.builds(positions.Position, term=NUMBERS, offset=NUMBERS)
HELD = st.builds(
    datagrams.HeldCommits,
    service=NAMES,
    server=NAMES,
    revision=NUMBERS,
    above=st.none() | POSITIONS,
)
PROVED = st.builds(
    datagrams.ProvedPromotion, service=NAMES, server=NAMES, end=st.none() | POSITIONS
)
ORDERS = st.builds(datagrams.StopOrder, service=NAMES, server=NAMES, term=NUMBERS)
AGES = st.just(former_primary.NEVER_S) | st.integers(0, 10**9).map(lambda age_ms: age_ms / 1000)
REPORTS = st.builds(
    datagrams.PrimaryReport,
    order=ORDERS,
    report=st.builds(
        former_primary.Report,
        order=st.sampled_from(former_primary.Order),
        end=st.none() | POSITIONS,
        answered_s=AGES,
        connected_s=AGES,
        refused_s=AGES,
    ),
)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | TEXTS,
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(TEXTS, inner),
    max_leaves=8,
)
VALID = {
    "instance": "one",
    "lacking": [["s", "a"]],
    "leading": ["s", "b"],
    "summary": "b all_paused",
    "proved": ["s", "b", [1, 2]],
    "stale": True,
    "recorded": [["s", "b", 7]],
    "held": [["s", "b", 7, [1, 2]], ["t", "b", 7, None]],
    "stop": [["s", "a", 3]],
    "primaries": [["s", "a", 3, "stopped", [1, 2], 0.5, 0, None]],
}
