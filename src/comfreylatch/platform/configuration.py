"""Decodes the operators' configuration and callers' submissions."""

from __future__ import annotations

from comfreylatch._process.cell import specs
from comfreylatch.platform import wire

TOPIC = "op"
CONFIGURATION_KEY = "config"


def decode_configuration(value: bytes) -> specs.FleetConfiguration:
    """Decodes a configuration.

    Raises:
        wire.BadMessageError: The record is malformed.
    """
    record = wire.decode(wire.Configuration, value)
    return specs.FleetConfiguration(
        version=record.version,
        queues=tuple(_decode_queue(route) for route in record.routes),
        services=tuple(
            specs.ServiceSpec(
                service.name, service.guards_capacity, service.is_standby
            )
            for service in record.services
        ),
    )


def _decode_queue(route: wire.Route) -> specs.QueueSpec:
    advice = None
    if route.advice is not None:
        advice = specs.AdviceSpec(
            route.advice.decision_ms,
            route.advice.per_worker_ms,
            route.advice.valid_ms,
        )
    return specs.QueueSpec(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        service=route.service,
        priority=route.priority,
        max_attempts=max(route.max_attempts, 1),
        slack_factor=route.slack_factor,
        target_ms=int(route.target_ms),
        advice=advice,
    )


def decode_submission(
    job_id: str, queue: specs.QueueSpec, body: bytes, wall_ms: int
) -> specs.JobSpec:
    """Decodes a submission.

    Raises:
        wire.BadMessageError: The body is malformed, or a step is invalid.
    """
    record = wire.decode(wire.Submission, body)
    if not record.steps:
        raise wire.BadMessageError("a job needs at least one step")
    for number, step in enumerate(record.steps):
        if step.task_count < 1:
            raise wire.BadMessageError(f"step {number} has no tasks")
        if any(not 0 <= earlier < number for earlier in step.depends_on):
            raise wire.BadMessageError(
                f"step {number} depends on {list(step.depends_on)}; it may "
                "depend only on earlier steps"
            )
    return specs.JobSpec(
        job_id=job_id,
        queue=queue,
        payload=record.payload,
        steps=tuple(_decode_step(step) for step in record.steps),
        repetitions=max(record.repetitions, 0),
        first_due_ms=int(record.first_due_ms),
        interval_ms=int(record.interval_ms),
        accepted_wall_ms=wall_ms,
    )


def _decode_step(step: wire.Step) -> specs.StepSpec:
    return specs.StepSpec(
        task_count=step.task_count,
        cpu_millicores=int(step.cpu_millicores),
        memory_mb=int(step.memory_mb),
        gpus=int(step.gpus),
        estimated_ms=int(step.estimated_ms),
        depends_on=step.depends_on,
        has_checkpoints=step.has_checkpoints,
        is_gang=step.is_gang,
        needs_one_rack=step.needs_one_rack,
        required_label=step.required_label,
        data_rack=step.data_rack,
        max_per_worker=step.max_per_worker,
        is_speculative=step.is_speculative,
        is_lasting=step.is_lasting,
        image=step.image,
        tail_target_ms=int(step.tail_target_ms),
        fills_idle=step.fills_idle,
        max_unavailable=step.max_unavailable,
    )
