"""Merge configuration files in the order of their names, leaf by leaf."""

from dataclasses import dataclass, field

import msgspec

from ..core.configuration import Configuration
from ..core.sentinels import NOTHING

MERGE_RULES = {}

FIELD_RULES = {
    "residency": "intersection",
    "regions": "intersection",
    "repeatable": "all_true",
    "requests_per_second": "minimum",
    "concurrent": "minimum",
    "deadline_ms": "minimum",
    "attempts": "minimum",
}


def rule(name):
    """Register a rule that combines two values of one leaf.

    A rule takes the value merged so far and the value of a later file.

    Args:
        name: Name of the rule, as `FIELD_RULES` refers to it.
    """

    def register(combine):
        MERGE_RULES[name] = combine
        return combine

    return register


@rule("later")
def later(before, after):
    """Return the value of the later file."""
    return after


@rule("intersection")
def intersection(before, after):
    """Return the items that all files permit, independent of their order."""
    return [item for item in before if item in after]


@rule("all_true")
def all_true(before, after):
    """Return whether all files say true, independent of their order."""
    return before and after


@rule("minimum")
def minimum(before, after):
    """Return the lowest limit, independent of the order of the files."""
    return min(before, after)


@dataclass(frozen=True, slots=True)
class Origin:
    """The value that one file sets for a leaf, and its line there."""

    file: str
    line: int
    value: object


@dataclass(slots=True)
class Merged:
    """Merged leaves, and the files that their values come from.

    Attributes:
        leaves: Value by path of keys.
        origins: List of `Origin` by path, in the order of file names.
    """

    leaves: dict = field(default_factory=dict)
    origins: dict = field(default_factory=dict)

    def explain(self, path):
        """Return the rule, the merged value and the origins of one leaf."""
        return {
            "path": ".".join(path),
            "rule": rule_name(path),
            "value": self.leaves[path],
            "files": [
                {"file": one.file, "line": one.line, "value": one.value}
                for one in self.origins[path]
            ],
        }


def merge(files):
    """Merge files in the order of their names.

    Args:
        files: `ParsedFile` by file name.

    Returns:
        A `Merged`.
    """
    merged = Merged()
    for name in sorted(files):
        parsed = files[name]
        for path, value in parsed.leaves.items():
            merge_leaf(merged, path, value)
            origin = Origin(name, parsed.line(path), value)
            merged.origins.setdefault(path, []).append(origin)
    return merged


def merge_leaf(merged, path, value):
    """Combine *value* with the value of the leaf merged so far.

    `NOTHING` stands for an entry without fields; it never replaces one
    that has been merged already.
    """
    if value is NOTHING:
        merged.leaves.setdefault(path, NOTHING)
        return
    if path in merged.leaves:
        combine = MERGE_RULES[rule_name(path)]
        value = combine(merged.leaves[path], value)
    merged.leaves[path] = value


def rule_name(path):
    """Return the name of the rule for the leaf at *path*."""
    if path[0] == "regions" or "keys" in path[2:3]:
        return "later"
    return FIELD_RULES.get(path[-1], "later")


def build_configuration(merged, generation):
    """Return the `Configuration` of merged leaves.

    Raises:
        msgspec.ValidationError: No file sets a required field.
    """
    nested = {}
    for path, value in merged.leaves.items():
        node = nested
        for key in path[:-1]:
            node = node.setdefault(key, {})
        if value is NOTHING:
            node.setdefault(path[-1], {})
        else:
            node[path[-1]] = value
    nested["generation"] = generation
    return msgspec.convert(nested, Configuration)
