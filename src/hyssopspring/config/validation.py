"""Validate operators' files and compute the next accepted configuration."""

from dataclasses import dataclass, replace

import msgspec

from ..core.accepted import (
    Accepted,
    FileState,
    Proposal,
    Verdict,
    regions_losing_rights,
)
from ..core.sentinels import NOTHING
from .checks import find_problems
from .merging import build_configuration, merge
from .schema import ParsedFile, Problem, parse_file


@dataclass(frozen=True, slots=True)
class RawFile:
    """The current content of a file in the folder.

    Attributes:
        content: The YAML text.
        revision: Revision of the key-value service at which the file was
            last written.
    """

    content: str
    revision: int


@dataclass(frozen=True, slots=True)
class ValidationResult:
    """Result of validating the folder.

    Attributes:
        accepted: The `Accepted` to store, or `NOTHING` if nothing has
            changed.
        file_states: `FileState` by name, for each validated file.
    """

    accepted: Accepted
    file_states: dict


class FolderValidator:
    """Validates each changed file together with all accepted files.

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
        """Validate the files that have changed in the folder.

        Args:
            folder: `RawFile` by name, all read at the same revision.
            folder_revision: Revision at which the folder was read.

        Returns:
            A `ValidationResult`. It changes nothing if the folder was read
            at an older revision than the accepted one, because a stale
            read from the service would otherwise restore old contents. It
            also changes nothing while a proposal is pending.
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
        """Return the names of files whose latest revision is not validated."""
        names = []
        for name in sorted(set(folder) | set(self.accepted.files)):
            raw = folder.get(name)
            previous = self.accepted.files.get(name)
            revision = raw.revision if raw else 0
            if previous is None or previous.revision != revision:
                names.append(name)
        return names

    def validate_files(self, names, folder):
        """Validate changed files until no further file can be accepted.

        A file may depend on another one that changed at the same time.
        The remaining files are therefore retried as long as one of them
        is accepted, and finally validated together as one change.

        Args:
            names: Names of the changed files.
            folder: `RawFile` by name.

        Returns:
            The new `FileState` of each file, by name.
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
        """Apply *changes* to the parsed files if the result is valid.

        Args:
            changes: `RawFile` by name; None removes the file.

        Returns:
            `NOTHING` if the changes were applied, else the `Problem`.
        """
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
        """Return the first problem of the merged files, or `NOTHING`."""
        merged = merge(trial)
        try:
            configuration = build_configuration(merged, self.generation)
        except msgspec.ValidationError as error:
            return Problem((), f"merged configuration is incomplete: {error}")
        for problem in find_problems(configuration, merged):
            empty = ParsedFile({}, {})
            lines = [
                trial.get(name, empty).line(problem.path) for name in changes
            ]
            return Problem(problem.path, problem.reason, max(lines))
        return NOTHING

    def accepted_state(self, name, raw):
        """Return the state of a file whose latest revision is accepted."""
        return FileState(
            revision=raw.revision if raw else 0,
            verdict=Verdict.ACCEPTED,
            generation=self.generation,
            content=raw.content if raw else None,
        )

    def refused_state(self, name, raw, problem):
        """Return the state of a file whose latest revision is refused.

        The content that was accepted last stays in force.
        """
        previous = self.accepted.files.get(name)
        return FileState(
            revision=raw.revision if raw else 0,
            verdict=Verdict.REFUSED,
            generation=self.generation,
            content=previous.content if previous else None,
            line=problem.line,
            reason=problem.text,
        )

    def build_accepted(self, files, folder_revision):
        """Return the next `Accepted`.

        A change that withdraws rights becomes a proposal, which hosts
        have to confirm; any other change is in force immediately.
        """
        configuration = build_configuration(
            merge(self.parsed_files), self.generation
        )
        in_force = self.accepted.configuration
        affected = regions_losing_rights(in_force, configuration)
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
    """Return the `Accepted` after all hosts have confirmed the proposal."""
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
    """Return the `Accepted` after the host list shows new data centres.

    Args:
        accepted: The `Accepted` that is in force.
        listed: Region by data centre.

    Returns:
        The next `Accepted`, or `NOTHING` if it contains all of them.
    """
    data_centres = {**accepted.data_centres, **listed}
    if data_centres == accepted.data_centres:
        return NOTHING
    generation = accepted.generation + 1
    return replace(accepted, generation=generation, data_centres=data_centres)


def forget_data_centre(accepted, name):
    """Return the `Accepted` after operators remove a data centre."""
    data_centres = dict(accepted.data_centres)
    del data_centres[name]
    generation = accepted.generation + 1
    return replace(accepted, generation=generation, data_centres=data_centres)


def withdraw_proposal(accepted, unconfirmed):
    """Return the `Accepted` after a host did not confirm in time.

    All files that the proposal changes are refused, and their previously
    accepted contents stay in force.

    Args:
        accepted: The `Accepted` with the proposal.
        unconfirmed: Names of the hosts that did not confirm.
    """
    proposal = accepted.proposal
    generation = accepted.generation + 1
    reason = "withdraws a right from hosts that did not confirm: "
    reason += ", ".join(sorted(unconfirmed))
    files = dict(accepted.files)
    for name, state in proposal.files.items():
        previous = accepted.files.get(name)
        if state == previous:
            continue
        files[name] = replace(
            state,
            verdict=Verdict.REFUSED,
            generation=generation,
            content=previous.content if previous else None,
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
