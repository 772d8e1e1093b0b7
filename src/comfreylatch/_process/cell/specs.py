"""Specifications that callers submit and operators configure."""

from __future__ import annotations

import attrs

from comfreylatch._ports import cell_workers


@attrs.frozen
class StepSpec:
    """A step of a job: a number of equal tasks.

    Attributes:
        task_count: Number of its tasks.
        cpu_millicores: Processor request of one task.
        memory_mb: Memory request of one task.
        gpus: GPU request of one task.
        estimated_ms: Declared duration of a task; often inaccurate.
        depends_on: Earlier steps whose tasks must all be done first.
        has_checkpoints: Whether tasks save checkpoints as they run.
        is_gang: Whether tasks make progress only while all of them run, and
            end together.
        needs_one_rack: Whether tasks are slower when spread over racks.
        required_label: Label that a worker must have; empty for any.
        data_rack: Rack on which tasks are faster; empty for none.
        max_per_worker: Most tasks of the step on a worker; 0 for no limit.
        is_speculative: Whether several runs of a task may overlap.
        is_lasting: Whether tasks run until the job is cancelled.
        image: Image that the tasks run; tasks of an image behave alike.
        tail_target_ms: Target for the tail latency of a lasting task.
        fills_idle: Whether tasks use processors that others leave idle; they
            don't count against a worker's processor capacity.
        max_unavailable: Most tasks that the owner's orders may make
            unavailable at once.
    """

    task_count: int
    cpu_millicores: int = 0
    memory_mb: int = 0
    gpus: int = 0
    estimated_ms: int = 0
    depends_on: tuple[int, ...] = ()
    has_checkpoints: bool = False
    is_gang: bool = False
    needs_one_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    is_speculative: bool = False
    is_lasting: bool = False
    image: str = ""
    tail_target_ms: int = 0
    fills_idle: bool = False
    max_unavailable: int = 0

    @property
    def need(self) -> cell_workers.Resources:
        """What a task reserves on its worker."""
        return cell_workers.Resources(
            0 if self.fills_idle else self.cpu_millicores,
            self.memory_mb,
            self.gpus,
        )


@attrs.frozen
class AdviceSpec:
    """Advice policy of a queue: its steps run only on advised workers.

    Attributes:
        decision_ms: Duration of one request for advice.
        per_worker_ms: Additional duration per candidate worker.
        valid_ms: Validity of a ticket from the answer.
    """

    decision_ms: float
    per_worker_ms: float
    valid_ms: float


@attrs.frozen
class QueueSpec:
    """A queue that jobs are submitted to, and its scheduling policy.

    Attributes:
        name: Name of the queue.
        host: `Host` header of its callers.
        prefix: Prefix of the paths that belong to it.
        service: Pool of workers that runs its tasks.
        priority: 0 is the highest and may preempt others.
        max_attempts: Failed runs of a task after which its job fails.
        slack_factor: Multiple of the duration of its longest chain of steps in
            which a job should complete.
        target_ms: Time added to this product.
        advice: Advice policy; None if none is required.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    target_ms: int = 0
    advice: AdviceSpec | None = None


@attrs.frozen
class ServiceSpec:
    """A pool of workers.

    Attributes:
        name: Name of the pool.
        guards_capacity: Whether workers refuse tasks that exceed their
            capacity.
        is_standby: Whether its machines are powered off.
    """

    name: str
    guards_capacity: bool = True
    is_standby: bool = False


@attrs.frozen
class FleetConfiguration:
    """The operators' configuration at one version."""

    version: int
    queues: tuple[QueueSpec, ...]
    services: tuple[ServiceSpec, ...]

    @property
    def service_names(self) -> frozenset[str]:
        """Names of the services, including those that queues name."""
        return frozenset(
            [spec.name for spec in self.services]
            + [queue.service for queue in self.queues]
        )

    def guards_capacity(self, service: str) -> bool:
        """Whether a configured service's workers guard their capacity."""
        return any(
            spec.guards_capacity
            for spec in self.services
            if spec.name == service
        )

    def find_queue(self, host: str, path: str) -> QueueSpec | None:
        """Returns the queue with the longest matching prefix, or None."""
        longest_match = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if longest_match is None or len(queue.prefix) > len(
                longest_match.prefix
            ):
                longest_match = queue
        return longest_match


@attrs.frozen
class JobSpec:
    """A job as accepted, with the configuration of its queue at that time.

    Attributes:
        job_id: Id that the caller gave it.
        queue: The queue that accepted it.
        payload: Text passed to each task.
        steps: Its steps, in the order of their numbers.
        repetitions: Number of occurrences of a job that repeats; 0 if its steps
            run once, at once.
        first_due_ms: Wall time at which the first occurrence is due.
        interval_ms: Interval between two occurrences.
        accepted_wall_ms: Wall time of the accepting host at acceptance.
    """

    job_id: str
    queue: QueueSpec
    payload: str
    steps: tuple[StepSpec, ...]
    repetitions: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0
    accepted_wall_ms: int = 0
