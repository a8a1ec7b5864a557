"""Session tokens: a session's minimum positions, signed, which a caller carries to any instance."""

import collections.abc

import itsdangerous
import pydantic

from mustardswitch.internal import errors, ids, positions

MAX_TOKEN_CHARACTERS = 16384
TOKEN_SALT = "mustardswitch-session-token"


class _TokenBody(pydantic.BaseModel):
    """Payload of a token: the minimum positions, written as ``term:offset``, by database name."""

    model_config = pydantic.ConfigDict(extra="forbid")
    floors: dict[str, str]


class TokenCodec:
    """Signs and verifies tokens.

    The last key signs and every key is accepted, so that keys can be rotated.
    """

    def __init__(self, *, keys: collections.abc.Sequence[str]) -> None:
        self.serializer = itsdangerous.URLSafeSerializer(list(keys), salt=TOKEN_SALT)

    def encode(self, min_positions: positions.MinPositions) -> str:
        """Return the minimum positions as a signed token."""
        body = {name: str(position) for name, position in min_positions.by_database.items()}
        return self.serializer.dumps(_TokenBody(floors=body).model_dump())

    def decode(self, token: str) -> positions.MinPositions:
        """Verify a token and return its minimum positions.

        Raises ``InvalidTokenError`` for a token that is too long, malformed, altered or signed by
        an unknown key.
        """
        if len(token) > MAX_TOKEN_CHARACTERS:
            raise errors.InvalidTokenError(
                f"session token has {len(token)} characters, more than {MAX_TOKEN_CHARACTERS}; "
                "send the token as the proxy gave it"
            )
        try:
            body = _TokenBody.model_validate(self.serializer.loads(token))
            by_database = {
                ids.DatabaseName(name): positions.parse_position(text)
                for name, text in body.floors.items()
            }
        except (
            itsdangerous.BadData,
            pydantic.ValidationError,
            errors.InvalidPositionError,
        ) as error:
            raise errors.InvalidTokenError(
                f"session token {token[:24]!r}… was not signed by this system; "
                "send the token as the proxy gave it, or connect without one"
            ) from error
        return positions.MinPositions(by_database=by_database)
