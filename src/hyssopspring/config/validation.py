"""Judge the operators' files and say what is accepted."""

from dataclasses import dataclass, replace

import msgspec

from ..core.accepted import (
    Accepted,
    FileState,
    Proposal,
    Verdict,
    lost_rights,
)
from ..core.sentinels import NOTHING
from .checks import find_problems
from .merging import build_configuration, merge
from .schema import ParsedFile, Problem, parse_file


@dataclass(frozen=True, slots=True)
class RawFile:
    """A file as it stands in the folder now."""

    content: str
    revision: int


@dataclass(frozen=True, slots=True)
class ValidationResult:
    """Outcome of judging the folder.

    Attributes:
        accepted: What to store, or `NOTHING` if nothing has changed.
        file_states: `FileState` of the files that were judged, by name.
    """

    accepted: Accepted
    file_states: dict


class FolderValidator:
    """Judge files one by one against all others.

    Args:
        accepted: The `Accepted` that is in force.
    """

    def __init__(self, accepted):
        self.accepted = accepted
        self.generation = accepted.generation + 1
        self.parsed_files = {}
        for name, state in accepted.files.items():
            if state.content is not None:
                self.parsed_files[name] = parse_file(state.content)

    def validate(self, folder, folder_revision):
        """Judge what has changed in the folder.

        Args:
            folder: `RawFile` by name, all read at one moment.
            folder_revision: Revision at which it was read.

        Returns:
            A `ValidationResult`. Nothing changes when the folder was read
            before
            what is already accepted: a service that answers from the
            past would else bring old contents back.
        """
        if folder_revision < self.accepted.folder_revision:
            return ValidationResult(NOTHING, {})
        changed = self.find_changed(folder)
        if not changed or self.accepted.proposal is not None:
            return ValidationResult(NOTHING, {})
        states = self.validate_files(changed, folder)
        files = {**self.accepted.files, **states}
        files = {
            name: state
            for name, state in files.items()
            if state.content is not None or name in folder
        }
        return ValidationResult(
            self.build_accepted(files, folder_revision), states
        )

    def find_changed(self, folder):
        """Return the names of files whose newest form is not judged."""
        names = []
        for name in sorted(set(folder) | set(self.accepted.files)):
            raw = folder.get(name)
            known = self.accepted.files.get(name)
            revision = raw.revision if raw else 0
            if known is None or known.revision != revision:
                names.append(name)
        return names

    def validate_files(self, names, folder):
        """Judge changed files until no further one can be accepted.

        A file may need another that changed at the same moment, so all
        are tried again while one gets through, and at last together.
        """
        waiting = list(names)
        states = {}
        problems = {}
        progress = True
        while waiting and progress:
            progress = False
            for name in list(waiting):
                problem = self.try_apply({name: folder.get(name)})
                problems[name] = problem
                if problem is NOTHING:
                    states[name] = self.accepted_state(name, folder.get(name))
                    waiting.remove(name)
                    progress = True
        if len(waiting) > 1:
            together = {name: folder.get(name) for name in waiting}
            if self.try_apply(together) is NOTHING:
                for name in waiting:
                    states[name] = self.accepted_state(name, folder.get(name))
                waiting = []
        for name in waiting:
            raw = folder.get(name)
            states[name] = self.refused_state(name, raw, problems[name])
        return states

    def try_apply(self, changes):
        """Try to take over *changes*; return a `Problem` or `NOTHING`."""
        trial = dict(self.parsed_files)
        try:
            for name, raw in changes.items():
                trial.pop(name, None)
                if raw is not None:
                    trial[name] = parse_file(raw.content)
            problem = self.find_merged_problem(trial, changes)
        except Problem as found:
            problem = found
        if problem is NOTHING:
            self.parsed_files = trial
        return problem

    def find_merged_problem(self, trial, changes):
        """Return the first problem of the merged whole, or `NOTHING`."""
        merged = merge(trial)
        try:
            configuration = build_configuration(merged, self.generation)
        except msgspec.ValidationError as error:
            return Problem((), f"incomplete: {error}")
        for problem in find_problems(configuration, merged):
            empty = ParsedFile({}, {})
            lines = [
                trial.get(name, empty).line(problem.path) for name in changes
            ]
            return Problem(problem.path, problem.reason, max(lines))
        return NOTHING

    def accepted_state(self, name, raw):
        """Return the state of a file whose newest form is in force."""
        return FileState(
            revision=raw.revision if raw else 0,
            verdict=Verdict.ACCEPTED,
            generation=self.generation,
            content=raw.content if raw else None,
        )

    def refused_state(self, name, raw, problem):
        """Return the state of a file whose newest form is refused."""
        known = self.accepted.files.get(name)
        return FileState(
            revision=raw.revision if raw else 0,
            verdict=Verdict.REFUSED,
            generation=self.generation,
            content=known.content if known else None,
            line=problem.line,
            reason=problem.text,
        )

    def build_accepted(self, files, folder_revision):
        """Return the next `Accepted`, with a proposal if rights go."""
        configuration = build_configuration(
            merge(self.parsed_files), self.generation
        )
        in_force = self.accepted.configuration
        affected = lost_rights(in_force, configuration)
        if not affected:
            return replace(
                self.accepted,
                generation=self.generation,
                folder_revision=folder_revision,
                files=files,
                configuration=configuration,
            )
        proposal = Proposal(
            configuration=configuration,
            files=files,
            affected=affected,
            folder_revision=folder_revision,
        )
        return replace(
            self.accepted, generation=self.generation, proposal=proposal
        )


def apply_proposal(accepted):
    """Return what follows when all hosts have confirmed the proposal."""
    proposal = accepted.proposal
    generation = accepted.generation + 1
    configuration = replace(proposal.configuration, generation=generation)
    return replace(
        accepted,
        generation=generation,
        folder_revision=proposal.folder_revision,
        files=proposal.files,
        configuration=configuration,
        proposal=None,
    )


def add_data_centres(accepted, listed):
    """Return what follows when the host list shows new data centres.

    Args:
        accepted: The `Accepted` that is in force.
        listed: Region by data centre.

    Returns:
        The next `Accepted`, or `NOTHING` if all are known.
    """
    known = {**accepted.data_centres, **listed}
    if known == accepted.data_centres:
        return NOTHING
    generation = accepted.generation + 1
    return replace(accepted, generation=generation, data_centres=known)


def forget_data_centre(accepted, name):
    """Return what follows when operators take a data centre off."""
    known = dict(accepted.data_centres)
    del known[name]
    generation = accepted.generation + 1
    return replace(accepted, generation=generation, data_centres=known)


def withdraw_proposal(accepted, unconfirmed):
    """Return what follows when a host did not confirm in time.

    Args:
        accepted: The `Accepted` with the proposal.
        unconfirmed: Names of the hosts that did not confirm.
    """
    proposal = accepted.proposal
    generation = accepted.generation + 1
    reason = "takes a right from hosts that did not confirm: "
    reason += ", ".join(sorted(unconfirmed))
    files = dict(accepted.files)
    for name, state in proposal.files.items():
        known = accepted.files.get(name)
        if state == known:
            continue
        files[name] = replace(
            state,
            verdict=Verdict.REFUSED,
            generation=generation,
            content=known.content if known else None,
            line=state.line,
            reason=state.reason or reason,
        )
    gone = set(accepted.files) - set(proposal.files)
    for name in gone:
        files[name] = replace(
            accepted.files[name],
            revision=0,
            verdict=Verdict.REFUSED,
            generation=generation,
            reason=reason,
        )
    return replace(
        accepted,
        generation=generation,
        folder_revision=proposal.folder_revision,
        files=files,
        proposal=None,
    )
