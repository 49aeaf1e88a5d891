"""Schema and parser of a single operators' file."""

import functools
from typing import Annotated

import yaml
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..core.sentinels import NOTHING

NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"
Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Digest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
Fraction = Annotated[float, Field(ge=0, le=1)]
MAX_FILE_CHARACTERS = 65_536
"""Maximum length of a file."""

MAX_DEADLINE_MS = 86_400_000
"""Maximum deadline that a file may set: one day."""

PARSE_CACHE_SIZE = 4096
"""Number of parsed files that are cached by their text."""

LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class StrictSchema(BaseModel):
    """Base class of all schemas; rejects unknown fields."""

    model_config = ConfigDict(extra="forbid", strict=True)


class LimitsSchema(StrictSchema):
    """Limits of a workspace; the lowest value of all files applies."""

    requests_per_second: float | None = Field(None, gt=0)
    concurrent: int | None = Field(None, gt=0)


class WeightsSchema(StrictSchema):
    """Placement weights of a workspace; a later file overrides."""

    tail: Fraction | None = None
    cost: Fraction | None = None
    away: Fraction | None = None


class WorkspaceSchema(StrictSchema):
    """Settings of one workspace."""

    home: Name | None = None
    residency: list[Name] | None = Field(None, min_length=1)
    keys: dict[Name, Digest] | None = None
    limits: LimitsSchema | None = None
    weights: WeightsSchema | None = None
    repeatable: bool | None = None
    deadline_ms: int | None = Field(None, gt=0, le=MAX_DEADLINE_MS)
    attempts: int | None = Field(None, ge=1, le=3)


class OfferSchema(StrictSchema):
    """Settings of one model or service."""

    regions: list[Name] | None = Field(None, min_length=1)
    repeatable: bool | None = None
    deadline_ms: int | None = Field(None, gt=0, le=MAX_DEADLINE_MS)
    attempts: int | None = Field(None, ge=1, le=3)
    fallback: list[Name] | None = None


class RegionSchema(StrictSchema):
    """Settings of one region."""

    round_trip_ms: dict[Name, float] | None = None


class FileSchema(StrictSchema):
    """A complete file."""

    regions: dict[Name, RegionSchema | None] | None = None
    workspaces: dict[Name, WorkspaceSchema | None] | None = None
    models: dict[Name, OfferSchema | None] | None = None
    services: dict[Name, OfferSchema | None] | None = None


class Problem(Exception):  # noqa: N818 - the term that operators see
    """An error in a file.

    Attributes:
        path: Path of keys to the invalid value, as a tuple.
        reason: Description of the error.
        line: Line number in the file; 0 for the whole file.
    """

    def __init__(self, path, reason, line=0):
        super().__init__(f"line {line}: {'.'.join(path)}: {reason}")
        self.path = tuple(path)
        self.reason = reason
        self.line = line

    @property
    def text(self):
        """The path and the reason, without the line."""
        where = ".".join(self.path)
        return f"{where}: {self.reason}" if where else self.reason


class ParsedFile:
    """A validated file.

    Attributes:
        leaves: Value by path of keys.
        lines: Line number by path of keys.
    """

    def __init__(self, leaves, lines):
        self.leaves = leaves
        self.lines = lines

    def line(self, path):
        """Return the line of *path* or of its nearest parent, else 0."""
        for length in range(len(path), 0, -1):
            found = self.lines.get(tuple(path[:length]))
            if found:
                return found
        return 0


@functools.lru_cache(maxsize=PARSE_CACHE_SIZE)
def parse_file(text):
    """Parse and validate one file on its own.

    Args:
        text: The YAML text.

    Returns:
        A `ParsedFile`.

    Raises:
        Problem: The first error in the file.
    """
    if len(text) > MAX_FILE_CHARACTERS:
        raise Problem((), f"file exceeds {MAX_FILE_CHARACTERS} characters")
    loader = LOADER(text)
    try:
        node = loader.get_single_node()
        values = loader.construct_document(node) if node else None
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 0
        what = getattr(error, "problem", None) or "syntax error"
        raise Problem((), f"invalid YAML: {what}", line) from None
    if values is None:
        return ParsedFile({}, {})
    lines = {}
    if node is not None:
        collect_lines(node, (), lines)
    try:
        part = FileSchema.model_validate(values)
    except ValidationError as error:
        raise first_problem(error, lines) from None
    leaves = {}
    flatten(part.model_dump(exclude_unset=True), (), leaves)
    return ParsedFile(leaves, lines)


def first_problem(error, lines):
    """Return the first validation error as a `Problem`."""
    first = error.errors()[0]
    path = tuple(str(part) for part in first["loc"] if part != "[key]")
    place = ParsedFile({}, lines)
    return Problem(path, first["msg"], place.line(path))


def collect_lines(node, path, lines):
    """Record the line of each key below a YAML node.

    Args:
        node: The YAML node.
        path: Path of keys to the node.
        lines: Line number by path, which is extended.

    Raises:
        Problem: A mapping contains a key twice. YAML would silently keep
            only the last value.
    """
    if not isinstance(node, yaml.MappingNode):
        return
    for key, value in node.value:
        below = (*path, str(key.value))
        line = key.start_mark.line + 1
        if below in lines:
            raise Problem(below, "duplicate key", line)
        lines[below] = line
        collect_lines(value, below, lines)


def flatten(value, path, leaves):
    """Collect the leaves of nested mappings in *leaves*.

    Lists are leaves. Each entry at the second level, such as a workspace,
    also gets a leaf with `NOTHING`, so that it exists without any fields.
    """
    if value is None and len(path) != 2:
        return
    if isinstance(value, dict) or value is None:
        if len(path) == 2:
            leaves[path] = NOTHING
        for key, below in (value or {}).items():
            flatten(below, (*path, key), leaves)
        return
    leaves[path] = value
