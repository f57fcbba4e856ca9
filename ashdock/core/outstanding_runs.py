"""Run commands that were sent directly to a worker and may still arrive there, or again."""

from __future__ import annotations

from collections.abc import Iterator

from ashdock.core.task import AttemptKey


class OutstandingRuns:
    """The direct run commands of one machine that may arrive, by attempt, with their token.

    A command that was not answered may arrive minutes late, also after a repetition of it was
    answered. One that was answered may arrive again. The worker ignores it as long as it knows the
    attempt; once it has forgotten the attempt, it starts it anew. Either is harmless only once the
    worker has a higher token or another incarnation.

    Iteration, `len` and `in` are about commands that may arrive for the first time.
    """

    def __init__(self) -> None:
        """Start without commands."""
        self._in_flight: dict[AttemptKey, int] = {}
        self._unanswered: dict[AttemptKey, int] = {}
        self._answered: dict[AttemptKey, int] = {}

    def __contains__(self, attempt: AttemptKey) -> bool:
        """Whether a command for the attempt may arrive for the first time."""
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
        """Record that the worker answered the command in flight."""
        self._move(attempt, self._answered)

    def not_answered(self, attempt: AttemptKey) -> None:
        """Record that the command in flight was not answered."""
        self._move(attempt, self._unanswered)

    def not_sent(self, attempt: AttemptKey) -> None:
        """Record that the command in flight was never sent."""
        self._in_flight.pop(attempt, None)

    def _move(self, attempt: AttemptKey, commands: dict[AttemptKey, int]) -> None:
        token = self._in_flight.pop(attempt, None)
        if token is not None:
            commands[attempt] = max(token, commands.get(attempt, token))

    def worker_has(self, token: int) -> None:
        """Forget the commands that the worker refuses, now that it has the token."""
        for commands in (self._in_flight, self._unanswered, self._answered):
            for attempt in [key for key, sent_under in commands.items() if sent_under < token]:
                del commands[attempt]

    def clear(self) -> None:
        """Forget all, since they are for an earlier incarnation of the worker."""
        self._in_flight.clear()
        self._unanswered.clear()
        self._answered.clear()

    def accepted_under(self, token: int) -> bool:
        """Whether a worker that has the token would carry out one that arrives first."""
        return any(
            sent_under >= token
            for commands in (self._in_flight, self._unanswered)
            for sent_under in commands.values()
        )

    def may_restart(self, attempt: AttemptKey, token: int) -> bool:
        """Whether one may start the attempt anew, at a worker that has the token and forgot it."""
        return any(
            commands.get(attempt, -1) >= token
            for commands in (self._in_flight, self._unanswered, self._answered)
        )
