"""Parses the table `[objects]` of an operator's file: the object API."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from umberlead.configuration.errors import ConfigError
from umberlead.configuration.keys import Address, Keys
from umberlead.scheduling.settings import Repeatability, RequestClass, Settings

MAX_TIMEOUT_MS = 3_600_000


@dataclass(frozen=True, slots=True)
class ObjectOperation:
    """The request class and timeout of one operation of the object API.

    Attributes:
        class_name: The request class.
        timeout_us: The time limit for the response.
    """

    class_name: str
    timeout_us: int


@dataclass(frozen=True, slots=True)
class ObjectApiConfig:
    """The configuration of the object API.

    Attributes:
        listen: The address that it listens on.
        shard_count: The number of shards.
        plan_by_bucket: The plan whose limits apply to a bucket's requests.
        read: The operation for reading objects.
        write: The operation for writing objects.
        upload: The operation for writing parts of multipart uploads.
        bulk_threshold_bytes: The size from which a read counts as bulk.
        bulk: The operation for bulk reads.
        block_bytes: The size of the blocks in which an object is stored.
        buffer_bytes: The maximum size of the part of a response that is read ahead of its client.
        max_object_bytes: The maximum size of an object.
        max_part_bytes: The maximum size of a part of a multipart upload.
        max_parts: The maximum number of parts of an upload.
        max_uploads: The maximum number of open uploads.
        upload_idle_us: The time after which an unused upload is dropped.
        unit_bytes: The size of one unit of work.
        max_parallel_blocks: The maximum number of blocks of one object in flight.
        memory_bytes: The maximum memory of all blocks together.
    """

    listen: Address
    shard_count: int
    plan_by_bucket: dict[str, str]
    read: ObjectOperation
    write: ObjectOperation
    upload: ObjectOperation
    bulk_threshold_bytes: int
    bulk: ObjectOperation
    block_bytes: int
    buffer_bytes: int
    max_object_bytes: int
    max_part_bytes: int
    max_parts: int
    max_uploads: int
    upload_idle_us: int
    unit_bytes: int
    max_parallel_blocks: int
    memory_bytes: int


def parse_objects(keys: Keys, setting_values: Mapping[str, Any], settings: Settings) -> ObjectApiConfig:
    """Parse the table `[objects]`.

    Args:
        keys: The table.
        setting_values: The unparsed settings by dotted path.
        settings: The same settings, parsed.

    Raises:
        ConfigError: A value is invalid, or names a class or plan that the settings do not define.
    """
    _check_retries_are_marked(settings)
    classes = {request_class.name: request_class for request_class in settings.classes}
    plan_by_bucket = _plan_by_bucket(keys, settings)
    read = _operation(keys, "read", classes)
    write = _operation(keys, "write", classes)
    if classes[write.class_name].repeatability is Repeatability.IDEMPOTENT_BY_KEY:
        raise keys.error("write.class", "must not be a deduplicated class")
    block_bytes = keys.integer("block_bytes", 65536, 1024, 65536)
    return ObjectApiConfig(
        listen=keys.address("listen"),
        shard_count=int(Keys(setting_values, "settings").number("extra.nShards", None, 1, 1e6)),
        plan_by_bucket=plan_by_bucket,
        read=read,
        write=write,
        upload=_operation(keys, "upload", classes) if "upload" in keys.values else write,
        bulk=_operation(keys, "bulk", classes) if "bulk" in keys.values else read,
        bulk_threshold_bytes=keys.integer("bulk_over_bytes", 4 << 20),
        block_bytes=block_bytes,
        buffer_bytes=keys.integer("buffer_bytes", 1 << 20, block_bytes, 16 << 20),
        max_object_bytes=keys.integer("max_object_bytes", 8 << 30, 1),
        max_part_bytes=keys.integer("max_part_bytes", 8 << 20, 1, 32 << 20),
        max_parts=keys.integer("max_parts", 500, 1, 500),
        max_uploads=keys.integer("max_uploads", 64, 1, 4096),
        upload_idle_us=keys.integer("upload_idle_s", 3600, 1) * 1_000_000,
        unit_bytes=keys.integer("unit_bytes", 32768, 1),
        max_parallel_blocks=keys.integer("parallel", 4, 1, 32),
        memory_bytes=keys.integer("memory_bytes", 32 << 20, 1 << 20, 64 << 20),
    )


def _check_retries_are_marked(settings: Settings) -> None:
    """Check that clients mark retries.

    The object API sends many block requests for one response, each with less time left than the one before.
    If retries were not marked, the scheduler would mistake the later block requests for client retries.
    """
    if not settings.clients_mark_retries:
        raise ConfigError("settings.callers.marksRetry", "must be true with the object front")


def _operation(keys: Keys, name: str, classes: Mapping[str, RequestClass]) -> ObjectOperation:
    table = keys.table(name)
    class_name = table.text("class")
    if class_name not in classes:
        raise table.error("class", f"is no class of the settings: {class_name!r}")
    timeout_us = int(table.number("within_ms", 0, 0, MAX_TIMEOUT_MS) * 1000)
    return ObjectOperation(class_name, timeout_us or classes[class_name].timeout_us)


def _plan_by_bucket(keys: Keys, settings: Settings) -> dict[str, str]:
    plans = {plan.name for plan in settings.plans}
    plan_by_bucket = {}
    for bucket, plan in keys.table("buckets").values.items():
        if str(plan) not in plans:
            raise keys.error(f"buckets.{bucket}", f"is no plan of the settings: {plan!r}")
        plan_by_bucket[str(bucket)] = str(plan)
    if not plan_by_bucket:
        raise keys.error("buckets", "needs at least one bucket and its plan")
    return plan_by_bucket
