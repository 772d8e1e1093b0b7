"""What callers submit and operators configure."""

from __future__ import annotations

import attrs

from comfreylatch._ports import cell_workers


@attrs.frozen
class StepSpec:
    """A step of a job: tasks that are alike.

    Attributes:
        task_count: Number of its tasks.
        cpu_millicores: Need of one task.
        memory_mb: Need of one task.
        gpus: Need of one task.
        estimated_ms: Declared duration of a task; often far off.
        depends_on: Earlier steps whose tasks must all be done first.
        has_checkpoints: Tasks save their progress as they run.
        is_gang: Tasks work only while all of them run, and end together.
        needs_one_rack: Tasks are slower when they run on several racks.
        required_label: Label that a worker must have; empty for any.
        data_rack: Rack on which tasks are faster; empty for none.
        max_per_worker: Most tasks of the step on a worker; 0 for no bound.
        is_speculative: Several runs of a task may overlap.
        is_lasting: Tasks run until the job is cancelled.
        image: What the tasks run; tasks of an image behave alike.
        tail_target_ms: Bound for the tail latency of a lasting task's users.
        fills_idle: Uses what other tasks leave idle, and is not counted
            against a worker's processors.
        max_unavailable: Most tasks that may be away at once by our orders.
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
    """A queue whose steps may run only on workers that are advised.

    Attributes:
        decision_ms: Time of one call for advice.
        per_worker_ms: Time added for each worker named in the call.
        valid_ms: How long a ticket from the answer is good.
    """

    decision_ms: float
    per_worker_ms: float
    valid_ms: float


@attrs.frozen
class QueueSpec:
    """Where jobs are handed in, and how those of the queue are treated.

    Attributes:
        name: Name of the queue.
        host: `Host` header of its callers.
        prefix: Start of the paths that belong to it.
        service: Pool of workers that runs its tasks.
        priority: 0 comes first and may preempt others.
        max_attempts: Failed runs of a task after which its job has failed.
        slack_factor: Times the longest chain that a job may take in time.
        target_ms: Added to that time.
        advice: Set where advice has to be asked for.
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
        guards_capacity: Workers refuse what does not fit.
        is_standby: Its machines are off.
    """

    name: str
    guards_capacity: bool = True
    is_standby: bool = False


@attrs.frozen
class FleetConfiguration:
    """All that operators have configured, at one version."""

    version: int
    queues: tuple[QueueSpec, ...]
    services: tuple[ServiceSpec, ...]

    def find_queue(self, host: str, path: str) -> QueueSpec | None:
        """The queue with the longest prefix of a path."""
        found = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if found is None or len(queue.prefix) > len(found.prefix):
                found = queue
        return found


@attrs.frozen
class JobSpec:
    """A job as accepted, with its queue as configured then.

    Attributes:
        job_id: The caller's id for it.
        queue: The queue that took it.
        payload: Text handed to each task.
        steps: Its steps, in the order of their numbers.
        repetitions: How often the steps run; 0 for once, at once.
        first_due_ms: Wall time at which the first repetition is due.
        interval_ms: Time between two repetitions.
        accepted_wall_ms: When it was accepted, by the accepting host's clock.
    """

    job_id: str
    queue: QueueSpec
    payload: str
    steps: tuple[StepSpec, ...]
    repetitions: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0
    accepted_wall_ms: int = 0
