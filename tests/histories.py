"""Checks on recorded histories of concurrent runs."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Step:
    """One step of a history: *who* did *what* to *key*."""

    what: str
    key: str
    who: str


def check_claims(history):
    """Return what is wrong with a history of claims.

    A key may be granted once. It may be granted again only after the one
    who held it has released it, which it does only if it has not run.
    """
    faults = []
    holders = {}
    for step in history:
        if step.what == "granted":
            if step.key in holders:
                faults.append(f"{step.key} granted twice: {step.who}")
            holders[step.key] = step.who
        if step.what == "released" and holders.get(step.key) == step.who:
            del holders[step.key]
    return faults


def check_generations(history):
    """Return what is wrong with a history of generations.

    On no host may the generation go back, and two hosts that apply the
    same generation must apply the same content.
    """
    faults = []
    newest = {}
    contents = {}
    for host, generation, content in history:
        if generation <= newest.get(host, 0):
            faults.append(f"{host} went back to {generation}")
        newest[host] = generation
        if contents.setdefault(generation, content) != content:
            faults.append(f"generation {generation} has two contents")
    return faults
