"""Session tokens: the floors of a session, signed, that a caller carries between instances."""

import collections.abc

import itsdangerous
import pydantic

from mustardswitch.internal import errors, ids, positions

MAX_TOKEN_CHARACTERS = 16384
TOKEN_SALT = "mustardswitch-session-token"


class _TokenBody(pydantic.BaseModel):
    """What a token carries: positions by database."""

    model_config = pydantic.ConfigDict(extra="forbid")
    floors: dict[str, str]


class TokenCodec:
    """Signs and checks tokens; the last key signs, every key is accepted, so keys can rotate."""

    def __init__(self, *, keys: collections.abc.Sequence[str]) -> None:
        self.serializer = itsdangerous.URLSafeSerializer(list(keys), salt=TOKEN_SALT)

    def encode(self, floors: positions.MinPositions) -> str:
        """Write the floors as a signed token."""
        body = {name: str(position) for name, position in floors.by_database.items()}
        return self.serializer.dumps(_TokenBody(floors=body).model_dump())

    def decode(self, token: str) -> positions.MinPositions:
        """Check a token and return its floors."""
        if len(token) > MAX_TOKEN_CHARACTERS:
            raise errors.InvalidTokenError(
                f"session token has {len(token)} characters, more than {MAX_TOKEN_CHARACTERS}; "
                "send the token as the proxy gave it"
            )
        try:
            body = _TokenBody.model_validate(self.serializer.loads(token))
            floors = {
                ids.DatabaseName(name): positions.parse_position(text)
                for name, text in body.floors.items()
            }
        except (
            itsdangerous.BadData,
            pydantic.ValidationError,
            errors.InvalidPositionError,
        ) as error:
            raise errors.InvalidTokenError(
                f"session token {token[:24]!r}… is not one that this system signed; "
                "send the token as the proxy gave it, or connect without one"
            ) from error
        return positions.MinPositions(by_database=floors)
