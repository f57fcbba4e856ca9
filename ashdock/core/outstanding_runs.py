"""Run commands that were sent directly to a worker and may still arrive there."""

from __future__ import annotations

from collections.abc import Iterator

from ashdock.core.task import AttemptKey


class OutstandingRuns:
    """The direct run commands of one machine that may still arrive, by attempt, with their token.

    A command that was not answered may arrive minutes late, also after a repetition of it was
    answered. It is harmless only once the worker has a higher token or another incarnation.
    """

    def __init__(self) -> None:
        """Start without commands."""
        self._in_flight: dict[AttemptKey, int] = {}
        self._unanswered: dict[AttemptKey, int] = {}

    def __contains__(self, attempt: AttemptKey) -> bool:
        """Whether a command for the attempt may still arrive."""
        return attempt in self._in_flight or attempt in self._unanswered

    def __iter__(self) -> Iterator[AttemptKey]:
        """Iterate over the attempts."""
        return iter({**self._in_flight, **self._unanswered})

    def __len__(self) -> int:
        """Return the number of attempts."""
        return len({*self._in_flight, *self._unanswered})

    def sent(self, attempt: AttemptKey, token: int) -> None:
        """Record that a command is being sent under the token."""
        self._in_flight[attempt] = token

    def answered(self, attempt: AttemptKey) -> None:
        """Record that the command in flight was answered, or was never sent."""
        self._in_flight.pop(attempt, None)

    def not_answered(self, attempt: AttemptKey) -> None:
        """Record that the command in flight was not answered."""
        token = self._in_flight.pop(attempt, None)
        if token is not None:
            self._unanswered[attempt] = max(token, self._unanswered.get(attempt, token))

    def worker_has(self, token: int) -> None:
        """Forget the commands that the worker refuses, now that it has the token."""
        for commands in (self._in_flight, self._unanswered):
            for attempt in [key for key, sent_under in commands.items() if sent_under < token]:
                del commands[attempt]

    def clear(self) -> None:
        """Forget all, since they are for an earlier incarnation of the worker."""
        self._in_flight.clear()
        self._unanswered.clear()

    def accepted_under(self, token: int) -> bool:
        """Whether a worker that has the token would carry out any of them."""
        return any(
            sent_under >= token
            for commands in (self._in_flight, self._unanswered)
            for sent_under in commands.values()
        )
