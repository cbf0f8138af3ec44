"""Short runs of the soak test, including seeds that violated a guarantee before."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from soak.faults import (
    FAULTS_V1,
    FAULTS_V2,
    drain_server_by_answers,
    grow_configuration,
    inject_endless_answers,
    kill_instance,
    reset_links,
    shed_with_retry_after,
)
from soak.run import soak

if TYPE_CHECKING:
    from collections.abc import Sequence

    from soak.run import Fault

FAULTS_S = 6.0
# The checks ignore violations near a pause or kill of a process, so these faults are rare here.
ANNOUNCEMENT_FAULTS = (
    *(shed_with_retry_after,) * 5,
    *(drain_server_by_answers,) * 4,
    kill_instance,
)
TRANSFER_FAULTS = (
    *(inject_endless_answers,) * 3,
    *(grow_configuration,) * 2,
    kill_instance,
    reset_links,
)
# Seeds 1 to 4 are the regular ones of CI. The others are regression tests:
# 300: two faults started the same instance concurrently, a defect of the soak test itself;
# 306: an instance that had just started used a server that had been draining for four seconds.
SEEDS = (
    (1, FAULTS_V1),
    (300, FAULTS_V1),
    (306, FAULTS_V1),
    (2, FAULTS_V2),
    (3, ANNOUNCEMENT_FAULTS),
    (4, TRANSFER_FAULTS),
)


@pytest.mark.parametrize(("seed", "faults"), SEEDS)
def test_guarantees_hold_while_faults_overlap(seed: int, faults: Sequence[Fault]) -> None:
    """Guards against violations that occur only when faults of real processes overlap."""
    run = asyncio.run(soak(seed, FAULTS_S, faults))
    assert run.results.problems == []
    assert run.results.statuses["search 200"] > 100
